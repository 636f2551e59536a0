// Learns the speeds of endpoints and the run times of tasks together, each from the other.

#pragma once

#include <chrono>
#include <string>

#include "base/clock.h"
#include "policy/endpoint_speed.h"
#include "policy/normalized_run_times.h"
#include "protocol/identity.h"

namespace greengagehead::policy {

/// One successful run of a task on an endpoint.
struct learned_run {
    std::string team;
    std::string kind;
    std::string endpoint;
    protocol::process_id agent;
    std::chrono::microseconds run_time {0};
    std::chrono::microseconds declared {0}; ///< As the caller declared it; 0 when not given.
};

/// The run times of a task on a slow endpoint say something about the task only once the endpoint
/// is known to be slow, and the reverse. As the speeds are relative to the median of the fleet, the
/// estimates do not drift.
class speed_learner {
public:
    void record(learned_run const& run, base::steady_time now);
    /// Run time on an ordinary endpoint.
    /// @param declared run time declared by the caller; 0 when not given.
    [[nodiscard]] run_time_estimate estimate(std::string const& team, std::string const& kind,
                                             std::chrono::microseconds declared) const
    {
        return this->run_times.estimate(team, kind, declared);
    }
    [[nodiscard]] endpoint_speed const& speeds() const { return this->endpoints; }

private:
    endpoint_speed endpoints;
    normalized_run_times run_times;
};

} // namespace greengagehead::policy
