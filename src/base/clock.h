// Clock types shared by all layers. Cores never read a clock: callers pass the time in.

#pragma once

#include <chrono>

namespace greengagehead::base {

using steady_time = std::chrono::steady_clock::time_point;

/// For what connects cores to sockets: tasks, routes and adapters.
[[nodiscard]] inline steady_time steady_now()
{
    return std::chrono::steady_clock::now();
}

/// Reading of some process's steady clock, as sent on the wire. It is only comparable with other
/// readings of the same process.
using clock_reading = std::chrono::microseconds;

[[nodiscard]] inline clock_reading to_reading(steady_time time)
{
    return std::chrono::duration_cast<clock_reading>(time.time_since_epoch());
}

[[nodiscard]] inline steady_time from_reading(clock_reading reading)
{
    return steady_time(std::chrono::duration_cast<steady_time::duration>(reading));
}

} // namespace greengagehead::base
