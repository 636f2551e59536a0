// Estimate of the remaining time from the share of the work that is done.

#include "agent/run_progress.h"

#include <algorithm>

namespace greengagehead::agent {

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Run times of one kind spread to about four times the typical one, and a declared time may be
/// off by half.
constexpr int unlikely_length_percent = 600;
/// The first moments of a run show too little of its pace.
constexpr milliseconds least_age {30};
/// A new run takes its whole time, and waits and stops first.
constexpr int new_run_percent = 150;
constexpr milliseconds moving_time {50};
/// Without progress for this long, and for three times the usual time per percent, a run stands
/// still.
constexpr milliseconds least_standstill {150};
constexpr int standstill_steps = 3;
constexpr milliseconds standing_still {60'000};
constexpr int whole = 100;

} // namespace

void run_progress::start(milliseconds now)
{
    this->started = now;
    this->advanced = now;
}

void run_progress::update(std::uint32_t percent, milliseconds now)
{
    if (!this->started)
        this->start(now);
    if (percent <= this->done)
        return;
    this->done = percent;
    this->advanced = now;
}

std::optional<milliseconds> run_progress::lag(microseconds expected, milliseconds now) const
{
    if (!this->started || expected.count() <= 0)
        return std::nullopt;
    microseconds const age = now - *this->started;
    if (age < std::max<microseconds>(least_age, expected / 2))
        return std::nullopt;
    microseconds const progressed = this->advanced - *this->started;
    auto const step = std::max(expected / whole, progressed / std::max(this->done, 1U));
    microseconds const still = now - this->advanced;
    if (still >= std::max<microseconds>(least_standstill, standstill_steps * step))
        return standing_still;
    // The share is rounded down, so the run is nearly one percent further at most.
    auto const total = age * whole / (this->done + 1);
    auto const remaining = total - age;
    bool const slow = total * whole > expected * unlikely_length_percent;
    bool const worthwhile = remaining * whole > expected * new_run_percent + moving_time * whole;
    if (!slow || !worthwhile)
        return std::nullopt;
    return duration_cast<milliseconds>(remaining);
}

} // namespace greengagehead::agent
