// Which incarnation of the worker an agent works with, judged by what the worker answers. An
// incarnation is recognized by its start: a worker may be called by another id than before, and an
// answer may deny an id for a while, without anything having ended.

#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "agent/leased_worker.h"

namespace greengagehead::agent {

/// What an answer tells about incarnations.
enum class answer_origin : std::uint8_t {
    present, ///< The present incarnation has answered.
    unknown, ///< A former incarnation, or it cannot be told which one.
    denied, ///< Whoever answered is not called as the present incarnation is.
    other_life, ///< Another incarnation than the present one has answered.
};

class incarnation_tracker {
public:
    /// Empty id while the worker has not announced itself.
    [[nodiscard]] worker_incarnation const& present() const { return this->incarnation; }
    /// How calls name the present incarnation: without its id while the worker denies that.
    [[nodiscard]] worker_incarnation addressed() const;
    /// The worker has denied the id of the present incarnation, and has not accepted a call that
    /// names it since. Only another start in an answer tells that the incarnation has ended.
    [[nodiscard]] bool is_denied() const { return this->denied; }
    /// Whether the present incarnation is known to be the one that answers: its id is not denied,
    /// or it has answered a call without an id since.
    [[nodiscard]] bool is_heard() const { return !this->denied || this->heard; }

    /// @param named incarnation that the call named.
    /// Returns `denied` once for each time the id is denied, and `unknown` for further denials.
    answer_origin judge(worker_incarnation const& named, worker_reply const& reply);
    /// Whether an announced incarnation, which the worker has confirmed, is the present one.
    [[nodiscard]] bool is_present(worker_incarnation const& announced) const;
    /// The present incarnation has confirmed this id.
    void rename(std::string const& id);
    /// The present incarnation has announced itself.
    void on_announced() { this->announced = this->incarnation; }
    /// Whether the present incarnation has announced itself.
    [[nodiscard]] bool is_announced() const { return this->announced == this->incarnation; }
    /// The incarnation that an answer names. A start may be wrong in some answers: the announced
    /// incarnation is recognized when it is named again, with the id by which it was announced.
    [[nodiscard]] worker_incarnation answering(std::string const& id, std::uint64_t born) const;
    /// Another incarnation is the present one.
    void replace(worker_incarnation const& next);

private:
    [[nodiscard]] answer_origin judge_denial(worker_incarnation const& named);
    answer_origin judge_start(worker_incarnation const& named, worker_reply const& reply);

    worker_incarnation incarnation;
    /// The last one that has announced itself.
    std::optional<worker_incarnation> announced;
    bool denied = false;
    /// While the id is denied: an answer to a call without an id has named the present start.
    bool heard = false;
};

} // namespace greengagehead::agent
