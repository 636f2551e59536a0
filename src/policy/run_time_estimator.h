// Learned run times per team and kind. Declared times are used only until enough runs were
// recorded.

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace greengagehead::policy {

struct run_time_estimate {
    std::chrono::microseconds typical {0}; ///< Median.
    std::chrono::microseconds slow {0}; ///< 95th percentile; a run beyond it is a straggler.
    /// Recorded runs; 0 when the estimate is the declared or default time.
    std::uint64_t samples = 0;
};

class run_time_estimator {
public:
    run_time_estimator();
    ~run_time_estimator();
    run_time_estimator(run_time_estimator const&) = delete;
    run_time_estimator& operator=(run_time_estimator const&) = delete;

    void record(std::string const& team, std::string const& kind,
                std::chrono::microseconds run_time);
    /// @param declared run time declared by the caller; 0 when not given.
    [[nodiscard]] run_time_estimate estimate(std::string const& team, std::string const& kind,
                                             std::chrono::microseconds declared) const;
    [[nodiscard]] std::size_t keys() const; ///< Stored pairs of team and kind; bounded.

private:
    struct implementation;
    std::unique_ptr<implementation> impl;
};

} // namespace greengagehead::policy
