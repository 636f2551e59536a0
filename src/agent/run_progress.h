// Pace of one run, and whether its task would end sooner elsewhere.

#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace greengagehead::agent {

/// Times are readings of the worker's clock, so that a report which is read late misleads nobody.
class run_progress {
public:
    void start(std::chrono::milliseconds now);
    /// @param percent done of the work, rounded down.
    void update(std::uint32_t percent, std::chrono::milliseconds now);

    /// Time until the end at the present pace, at least, when the run lags: it stands still, or is
    /// so much slower than expected that a new run elsewhere would be done first. Tasks vary, so a
    /// run that is merely long does not count. Empty without an expected time.
    [[nodiscard]] std::optional<std::chrono::milliseconds> lag(std::chrono::microseconds expected,
                                                               std::chrono::milliseconds now) const;

private:
    std::optional<std::chrono::milliseconds> started;
    std::chrono::milliseconds advanced {0}; // When the percentage last rose.
    std::uint32_t done = 0;
};

} // namespace greengagehead::agent
