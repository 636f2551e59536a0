// Measures how much slot time arrives at an entry.

#pragma once

#include <chrono>

#include "base/clock.h"

namespace greengagehead::policy {

/// Averaging time of the demand that entries report.
constexpr std::chrono::milliseconds demand_averaging_time {1000};

/// Exponentially weighted rate of arriving work. Not thread-safe.
class demand_meter {
public:
    /// Adds work that has arrived, whether it is admitted or refused.
    void add(std::chrono::microseconds slot_time, base::steady_time now);
    /// Slot time that arrives per second. During the averaging time after the first call of `add`,
    /// the average is taken over the shorter time.
    [[nodiscard]] std::chrono::microseconds per_second(base::steady_time now) const;

private:
    [[nodiscard]] double sum_at(base::steady_time now) const;

    double sum = 0; ///< Decayed sum in microseconds, at `updated_at`.
    base::steady_time updated_at;
    base::steady_time started_at; ///< First work; unset before.
};

} // namespace greengagehead::policy
