// Measures how far an event loop is behind, from the times at which its periodic timer is handled.

#pragma once

#include <chrono>
#include <cstdint>

#include "base/clock.h"

namespace greengagehead::policy {

/// Delays of one event loop. Whatever the loop reads has waited for up to this time. Not
/// thread-safe.
class loop_delay {
public:
    /// What the loop was late by since the last call of `take`.
    struct summary {
        std::chrono::microseconds longest {0};
        std::uint64_t count = 0; ///< Delays of `min_reported` and more.
    };

    /// Shorter delays are usual on a busy machine and are not counted in a summary.
    static constexpr std::chrono::milliseconds min_reported {100};

    /// @param timer_interval of the periodic timer.
    explicit loop_delay(std::chrono::microseconds timer_interval) : interval(timer_interval) { }

    /// Call whenever the timer is handled. Returns by how much it is late.
    std::chrono::microseconds record(base::steady_time now);
    /// The delay of the last call of `record`.
    [[nodiscard]] std::chrono::microseconds latest() const { return this->last_delay; }
    /// Returns the summary and begins a new one.
    [[nodiscard]] summary take();

private:
    std::chrono::microseconds interval;
    base::steady_time last_handled; ///< Unset before the first call of `record`.
    std::chrono::microseconds last_delay {0};
    summary current;
};

} // namespace greengagehead::policy
