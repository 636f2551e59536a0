// Clock types shared by all layers. Core classes never read a clock: callers pass in the time.

#pragma once

#include <chrono>

namespace greengagehead::base {

using steady_time = std::chrono::steady_clock::time_point;

/// Only for code that connects core classes to sockets: tasks, routes and adapters.
[[nodiscard]] inline steady_time steady_now()
{
    return std::chrono::steady_clock::now();
}

/// Value of the steady clock of one process, as sent on the wire. It is only comparable with other
/// values of the same process.
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
