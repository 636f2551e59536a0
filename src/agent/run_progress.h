// Progress of one run, and whether its task would end sooner if it was started again elsewhere.

#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace greengagehead::agent {

/// Times are readings of the worker's clock, so that the age of a report when it is processed does
/// not matter.
class run_progress {
public:
    void start(std::chrono::milliseconds now);
    /// @param percent share of the work that is done, rounded down.
    void update(std::uint32_t percent, std::chrono::milliseconds now);

    /// Estimated time until the end of a run that lags: one that has stalled, or is so much slower
    /// than expected that a new run elsewhere would end first. Empty if the run does not lag or
    /// `expected` is not positive. Run times vary, so a run that only takes longer than usual does
    /// not lag.
    [[nodiscard]] std::optional<std::chrono::milliseconds> lag(std::chrono::microseconds expected,
                                                               std::chrono::milliseconds now) const;

private:
    std::optional<std::chrono::milliseconds> started_at;
    std::chrono::milliseconds last_advance {0}; // When the percentage last rose.
    std::uint32_t percent_done = 0;
};

} // namespace greengagehead::agent
