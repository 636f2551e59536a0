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
///
/// The higher token may also have been in a late order of a process that has ended. A refusal does
/// not tell, but the announcements of the worker do: they go to one process, and one that gets none
/// any more gives up its endpoint and takes no work. So a superseded process goes on when the
/// worker has announced itself here for as long as that takes.
class fencing_token {
public:
    enum class refusal : std::uint8_t {
        former_token, ///< The refused call does not tell anything about the present token.
        raised,
        superseded, ///< From now on this process must not call the worker.
    };

    /// @param initial_token should be higher than the tokens of all earlier processes: the time in
    /// milliseconds.
    fencing_token(std::uint64_t initial_token, base::steady_time now);

    /// @param interval between two announcements of the worker.
    void set_announcement_interval(std::chrono::milliseconds interval)
    {
        this->announcement_interval = interval;
    }

    [[nodiscard]] std::uint64_t value() const { return this->present; }
    [[nodiscard]] bool superseded() const { return this->superseded_at.has_value(); }

    /// Later calls make the worker refuse those that were sent before.
    void advance() { ++this->present; }
    /// The worker has accepted a call of this process.
    void on_accepted();
    /// The worker has refused a call.
    /// @param sent token of the call.
    refusal on_refused(std::uint64_t sent, base::steady_time now);
    /// The worker has announced itself to this process. Returns true if that shows that no other
    /// process is at work: then this one goes on like a new one, with the token that a process has
    /// which begins now.
    bool resume(base::steady_time now);

private:
    void raise();
    void supersede(base::steady_time now);
    [[nodiscard]] base::steady_time::duration first_resume_delay() const;

    /// Each raise in a row doubles the step, so that a clock that was set back by a year costs some
    /// 20 raises.
    static constexpr std::uint64_t first_step = 60'000;
    static constexpr std::uint64_t longest_step = std::uint64_t(1) << 40U;
    /// A process that raises its token later may be older than the one that has used a higher one:
    /// it may have been paused since it began.
    static constexpr std::chrono::seconds raising_time {5};
    /// An endpoint without an announcement for this many intervals takes no work.
    static constexpr int missed_announcements = 3;
    /// Two processes of one agent run side by side for less than this while one replaces the other,
    /// and the worker may announce itself to either of them.
    static constexpr std::chrono::seconds longest_replacement {4};
    /// Doubled each time, because two processes that both get announcements take the worker from
    /// each other.
    static constexpr std::chrono::minutes longest_resume_delay {16};
    /// A process that has kept the worker for this time, and for several resume delays, has no
    /// such rival: that one would have waited for its resume delay only.
    static constexpr std::chrono::minutes stable_time {1};
    static constexpr int stable_delays = 4;

    std::uint64_t initial;
    base::steady_time began;
    std::uint64_t present;
    std::uint64_t next_step = first_step;
    /// The worker has accepted a token since this process began or resumed.
    bool accepted = false;
    base::steady_time raise_before;
    std::chrono::milliseconds announcement_interval {1500};
    std::optional<base::steady_time> superseded_at;
    /// Since then no announcement of the worker to this process has been missing.
    base::steady_time announced_since;
    base::steady_time last_announced;
    std::optional<base::steady_time> resumed_at;
    base::steady_time::duration resume_delay {0}; ///< Of the last time.
};

} // namespace greengagehead::agent
