// Fencing token of this process of the agent, and whether another process has taken over the
// worker.

#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "base/clock.h"

namespace greengagehead::agent {

/// A worker refuses every token that is lower than the highest one that its present life has seen.
/// A process that begins after a clock was set back may raise its token until the worker accepts
/// it. Once the worker has accepted a token of a process, only another process can have used a
/// higher one, so a refusal means that this process is superseded. That counts across the lives of
/// the worker: a later process may be the first one to reach a new life.
class fencing_token {
public:
    enum class refusal : std::uint8_t {
        former_token, ///< The refused call does not tell anything about the present token.
        raised,
        superseded, ///< From now on this process must not call the worker.
    };

    /// @param initial should be higher than the tokens of all earlier processes.
    fencing_token(std::uint64_t initial, base::steady_time now);

    [[nodiscard]] std::uint64_t value() const { return this->present; }
    [[nodiscard]] bool superseded() const { return this->superseded_at.has_value(); }

    /// Later calls make the worker refuse those that were sent before.
    void advance() { ++this->present; }
    /// The worker has accepted a call of this process.
    void on_accepted();
    /// The worker has refused a call.
    /// @param sent token of the call.
    refusal on_refused(std::uint64_t sent, base::steady_time now);
    /// The worker announces itself to this process, so a process that took over may have ended, or
    /// the higher token was in a late order of an earlier process, carried out by a new life of the
    /// worker. A process that has been superseded for long raises its token and goes on like a new
    /// one; then this returns true.
    bool resume(base::steady_time now);

private:
    void raise();

    /// Each raise in a row doubles the step, so that a clock that was set back by a year costs some
    /// 20 raises.
    static constexpr std::uint64_t first_step = 60'000;
    static constexpr std::uint64_t longest_step = std::uint64_t(1) << 40U;
    /// A process that raises its token later may be older than the one that has used a higher one:
    /// it may have been paused since it began.
    static constexpr std::chrono::seconds raising_time {5};
    /// An order may be carried out this long after it was sent, and two processes of one agent run
    /// at once for a few seconds at most. Doubled each time, because two processes that go on side
    /// by side take the worker from each other.
    static constexpr std::chrono::seconds first_resume_delay {30};
    static constexpr std::chrono::minutes longest_resume_delay {16};

    std::uint64_t present;
    std::uint64_t next_step = first_step;
    /// The worker has accepted a token since this process began or resumed.
    bool accepted = false;
    base::steady_time raise_before;
    std::optional<base::steady_time> superseded_at;
    base::steady_time::duration resume_delay = first_resume_delay;
};

} // namespace greengagehead::agent
