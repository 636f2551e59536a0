// Learned run times per team and kind on an ordinary endpoint, from run times that are normalized
// by the speed of the endpoint, and from what callers declare.

#pragma once

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>

#include "policy/run_time_estimator.h"

namespace greengagehead::policy {

/// One successful run.
struct normalized_run {
    std::string team;
    std::string kind;
    /// Run time multiplied by the speed of the endpoint.
    std::chrono::microseconds run_time {0};
    std::chrono::microseconds declared {0}; ///< As the caller declared it; 0 when not given.
};

/// Learns for each team and kind how far declared times are off, and how much they say about single
/// tasks. Where they say nothing, the estimate is the median of the kind; where they are in
/// proportion to the run times, it is the declared time multiplied by the usual error; in between
/// it is a mean of both.
class normalized_run_times {
public:
    normalized_run_times();
    ~normalized_run_times();
    normalized_run_times(normalized_run_times const&) = delete;
    normalized_run_times& operator=(normalized_run_times const&) = delete;

    /// Ignores a run without a run time.
    void record(normalized_run const& run);
    /// Run time on an ordinary endpoint. `slow` is the 95th percentile and follows the tail of the
    /// kind.
    /// @param declared run time declared by the caller; 0 when not given.
    [[nodiscard]] run_time_estimate estimate(std::string const& team, std::string const& kind,
                                             std::chrono::microseconds declared) const;
    [[nodiscard]] std::size_t keys() const; ///< Stored pairs of team and kind; bounded.

private:
    struct implementation;
    std::unique_ptr<implementation> impl;
};

} // namespace greengagehead::policy
