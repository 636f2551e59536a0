// Exponentially weighted rate of arriving work.

#include "policy/demand_meter.h"

#include <algorithm>
#include <cmath>

namespace greengagehead::policy {

namespace {

/// Shortest time over which a rate is formed; one renewal. A first job alone would otherwise count
/// as a high rate.
constexpr std::chrono::milliseconds min_averaging_time {300};

double in_averaging_times(base::steady_time::duration time)
{
    return std::chrono::duration<double>(time)
        / std::chrono::duration<double>(demand_averaging_time);
}

} // namespace

void demand_meter::add(std::chrono::microseconds slot_time, base::steady_time now)
{
    if (this->started_at == base::steady_time {}) {
        this->started_at = now;
        this->updated_at = now;
    }
    this->sum = this->sum_at(now) + static_cast<double>(slot_time.count());
    this->updated_at = std::max(this->updated_at, now);
}

std::chrono::microseconds demand_meter::per_second(base::steady_time now) const
{
    if (this->started_at == base::steady_time {})
        return std::chrono::microseconds(0);
    auto const measured
        = std::max<base::steady_time::duration>(now - this->started_at, min_averaging_time);
    auto const weight = 1 - std::exp(-in_averaging_times(measured));
    auto const averaging_seconds = std::chrono::duration<double>(demand_averaging_time).count();
    return std::chrono::microseconds(
        static_cast<std::int64_t>(this->sum_at(now) / weight / averaging_seconds));
}

double demand_meter::sum_at(base::steady_time now) const
{
    auto const elapsed = std::max(now - this->updated_at, base::steady_time::duration(0));
    return this->sum * std::exp(-in_averaging_times(elapsed));
}

} // namespace greengagehead::policy
