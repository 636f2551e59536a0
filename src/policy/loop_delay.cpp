// Delays of an event loop, from the times of its periodic timer.

#include "policy/loop_delay.h"

#include <algorithm>
#include <utility>

namespace greengagehead::policy {

using std::chrono::duration_cast;
using std::chrono::microseconds;

microseconds loop_delay::record(base::steady_time now)
{
    auto const previous = std::exchange(this->last_handled, now);
    if (previous == base::steady_time {})
        return microseconds(0);
    this->last_delay
        = std::max(duration_cast<microseconds>(now - previous) - this->interval, microseconds(0));
    if (this->last_delay >= min_reported)
        ++this->current.count;
    this->current.longest = std::max(this->current.longest, this->last_delay);
    return this->last_delay;
}

loop_delay::summary loop_delay::take()
{
    return std::exchange(this->current, {});
}

} // namespace greengagehead::policy
