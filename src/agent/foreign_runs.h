// Runs on the worker that its agent does not know. They must end, and bound the lease of the worker
// until they have.

#pragma once

#include <chrono>
#include <map>
#include <optional>

#include "agent/leased_worker.h"
#include "base/clock.h"

namespace greengagehead::agent {

/// A run counts until the worker has listed its end or its lease has expired. A report without it
/// proves nothing: the worker may leave out a run that it is stopping.
class foreign_runs {
public:
    /// A report that the worker made at `reading` lists the run.
    void on_listed(worker_run const& run, worker_clock reading, base::steady_time now);
    void on_ended(worker_run const& run) { this->known.erase(run); }
    /// Removes the runs whose lease had ended when the worker made a report.
    /// @param granted_until latest end of a lease that this agent has granted, also by commands to
    /// a former incarnation of the worker.
    /// @param max_lease longest lease that an order of another process may have granted.
    void remove_expired(worker_clock reading, worker_clock granted_until,
                        std::chrono::milliseconds max_lease);
    /// The worker has ended, and with it everything that it ran.
    void clear() { this->known.clear(); }

    /// When the first of them was listed for the first time; empty if there is none.
    [[nodiscard]] std::optional<base::steady_time> since() const;

private:
    struct listing {
        base::steady_time first;
        worker_clock last {0}; ///< When the worker made the last report that lists the run.
    };
    struct run_order {
        bool operator()(worker_run const& left, worker_run const& right) const;
    };

    std::map<worker_run, listing, run_order> known;
};

} // namespace greengagehead::agent
