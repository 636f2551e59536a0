// Decisions taken for one job, in order, as shown by `explain`.

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.h"

namespace greengagehead::entry {

enum class decision_kind : std::uint8_t {
    admitted,
    claim_asked,
    claimed,
    claim_given_up,
    copied,
    copy_missing,
    placed,
    hedged,
    resent,
    refused,
    retried,
    outcome,
    endpoint_lost,
    cancelled,
    taken_over,
    recovered,
    ownership_checked,
    finished,
};

struct decision {
    base::steady_time time;
    decision_kind kind = decision_kind::admitted;
    std::int32_t task = -1; ///< -1 for the whole job.
    std::uint32_t attempt = 0;
    std::string endpoint; ///< Or the name of the peer concerned.
    std::string reason;
    std::uint32_t candidates = 0;
};

class decision_log {
public:
    /// Decisions beyond the limit are counted, not stored.
    void add(decision entry);
    void set_limit(std::size_t entries) { this->limit = entries; }
    [[nodiscard]] std::size_t size() const { return this->entries.size(); }

    /// JSON array; times are in milliseconds since `start`.
    [[nodiscard]] std::string to_json(base::steady_time start) const;

private:
    std::size_t limit = 200;
    std::uint64_t dropped = 0;
    std::vector<decision> entries;
};

} // namespace greengagehead::entry
