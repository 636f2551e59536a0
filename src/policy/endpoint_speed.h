// Learned speeds of endpoints relative to the fleet.

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "base/clock.h"
#include "protocol/identity.h"

namespace greengagehead::policy {

/// One successful run of a task.
struct endpoint_run {
    std::string endpoint;
    protocol::process_id agent; ///< Another incarnation of the agent starts as unknown.
    std::chrono::microseconds run_time {0};
    /// Run time of the task on an ordinary endpoint; 0 if it is not known.
    std::chrono::microseconds expected {0};
};

/// Learns how fast each endpoint runs tasks, compared with the median endpoint of the fleet. A
/// speed of 1 is ordinary. Unknown endpoints and those whose speed is close to 1 count as ordinary,
/// so that differences within the error of the estimate change no placement. Without runs a learned
/// speed returns to 1 within 60 s. Owned by the entry; not thread-safe.
class endpoint_speed {
public:
    endpoint_speed();
    ~endpoint_speed();
    endpoint_speed(endpoint_speed const&) = delete;
    endpoint_speed& operator=(endpoint_speed const&) = delete;

    /// Records a run. A run without a run time or an expected time is ignored.
    void record(endpoint_run const& run, base::steady_time now);
    /// Multiple of the ordinary speed, from 0.1 to 10.
    /// @param agent incarnation of the endpoint's agent.
    [[nodiscard]] double speed(std::string const& endpoint, protocol::process_id const& agent,
                               base::steady_time now) const;
    /// Run time on the endpoint of a task that takes `ordinary` on an ordinary endpoint.
    [[nodiscard]] std::chrono::microseconds run_time_on(std::string const& endpoint,
                                                        protocol::process_id const& agent,
                                                        std::chrono::microseconds ordinary,
                                                        base::steady_time now) const;
    /// Whether an eighth or more of the known endpoints are faster or slower than the median.
    /// Otherwise speeds say too little to decide by them.
    [[nodiscard]] bool uneven() const;
    [[nodiscard]] std::size_t size() const; ///< Remembered endpoints; bounded.

private:
    struct implementation;
    std::unique_ptr<implementation> impl;
};

} // namespace greengagehead::policy
