// Pace of one run, and whether its task would end sooner elsewhere.

#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "base/clock.h"

namespace greengagehead::agent {

class run_progress {
public:
    void start(base::steady_time now);
    /// @param percent done of the work, rounded down.
    void update(std::uint32_t percent, base::steady_time now);

    /// Time until the end at the present pace, at least, when the run lags: it stands still, or is
    /// so much slower than expected that a new run elsewhere would be done first. Tasks vary, so a
    /// run that is merely long does not count. Empty without an expected time.
    [[nodiscard]] std::optional<std::chrono::milliseconds> lag(std::chrono::microseconds expected,
                                                               base::steady_time now) const;

private:
    std::optional<base::steady_time> started;
    base::steady_time advanced; // When the percentage last rose.
    std::uint32_t done = 0;
};

} // namespace greengagehead::agent
