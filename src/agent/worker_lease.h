// The lease of a worker: what it has been granted, by its own clock, and when that has certainly
// ended by the clock of the agent.

#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "agent/leased_worker.h"
#include "base/clock.h"

namespace greengagehead::agent {

struct lease_limits {
    /// Longest lease that the worker grants, on the worker's clock.
    std::chrono::milliseconds max_lease {1000};
    /// How much slower than the agent's clock the worker's clock may run.
    std::uint32_t clock_drift_percent = 2;
    /// Longest time that the worker may hold back a report while something runs.
    std::chrono::milliseconds max_report_wait {200};
    /// Longest time that the worker takes to stop a run, on its own clock.
    std::chrono::milliseconds max_stop_duration {50};
    /// Most ends in one report of the worker.
    std::size_t max_listed_ends = 500;

    /// Time after which a stop has certainly ended a run. It is longer than `max_stop_duration`,
    /// because a worker's timers are late under load.
    [[nodiscard]] std::chrono::milliseconds longest_stop_wait() const
    {
        return 2 * this->max_stop_duration;
    }
};

/// The worker has one lease for all that runs there, and never shortens it. A command names the
/// absolute end of the lease, so one that is carried out late does not extend it.
class worker_lease {
public:
    struct grants {
        /// Latest end that a command to this incarnation of the worker has named.
        worker_clock end {0};
        /// The same on the agent's clock, if the worker's clock keeps pace with it.
        base::steady_time named_until;
        /// Latest possible end of all granted leases on the agent's clock, allowing for the drift
        /// of the worker's clock. Does not go back with a new incarnation.
        base::steady_time expire_at;
        std::uint64_t commands = 0; ///< That have named an end.

        bool operator==(grants const&) const = default;
    };

    /// A former incarnation of this agent may have granted the longest lease right before `now`.
    worker_lease(lease_limits limits, base::steady_time now);

    /// A new incarnation of the worker, or none: nothing is known of its clock and nothing granted.
    void reset();
    /// The worker has accepted a call of this process for the first time. A former process may have
    /// granted the longest lease right before.
    void on_taken_over(base::steady_time now) { this->extend_expiry(now); }
    /// The worker has restarted under its id. Until it has seen a higher token it may carry out
    /// commands to its former incarnation, whose ends mean the longest lease on its new clock.
    void on_restarted(base::steady_time now);
    /// This process goes on after another one may have granted leases to the present incarnation,
    /// until the worker has seen the token that was raised now.
    void on_resumed(base::steady_time now);
    /// The worker has answered a call with a token that was raised after `on_restarted` or
    /// `on_resumed`.
    void on_fenced(worker_clock reading, base::steady_time now);
    /// This process has not run for `duration`. The worker may not have run either, and its clock
    /// may have stood still, so leases may last longer by that.
    void on_paused(base::steady_time::duration duration);
    /// A reading that is older than what is known has no effect: answers may arrive out of order,
    /// and may be read long after they were sent, because the agent was paused.
    void record_clock(worker_clock reading, base::steady_time now);
    /// Last reading in this incarnation.
    [[nodiscard]] std::optional<worker_clock> clock() const { return this->last_reading; }

    /// End of the lease that a command may name now, on the worker's clock. Later than `latest`
    /// only if an earlier command has named it. 0 without a reading of the clock.
    [[nodiscard]] worker_clock next_end(base::steady_time latest, base::steady_time now) const;
    /// A command that names this end is sent. Returns the grants before it.
    grants grant(worker_clock end, base::steady_time now);
    /// A command was not sent after all. Has no effect if another one was sent meanwhile.
    void withdraw(grants const& before, grants const& after);

    [[nodiscard]] grants const& granted() const { return this->current; }
    /// Latest end of any lease on the worker's clock. 0 if none was granted, and the maximum while
    /// it is unknown.
    [[nodiscard]] worker_clock latest_end() const
    {
        return std::max(this->current.end, this->inherited_until);
    }
    /// Whether every lease that was granted has certainly ended.
    [[nodiscard]] bool expired(base::steady_time now) const
    {
        return now >= this->current.expire_at;
    }

private:
    /// The worker may have been granted the longest lease just now.
    void extend_expiry(base::steady_time now);
    /// Lower bound of the worker's clock, which may have fallen behind since the last reading.
    [[nodiscard]] worker_clock worker_time(base::steady_time now) const;

    lease_limits limits;
    std::optional<worker_clock> last_reading;
    base::steady_time read_at; ///< Of the last reading.
    /// Latest end of leases that commands to a former incarnation, or of another process of the
    /// agent, have granted. 0 if there are none, and the maximum while it is unknown.
    worker_clock inherited_until {0};
    grants current;
};

} // namespace greengagehead::agent
