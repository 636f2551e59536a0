// Estimate of the remaining time from the share of the work that is percent_done.

#include "agent/run_progress.h"

#include <algorithm>

namespace greengagehead::agent {

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Run times of one kind reach about four times the typical one, and the declared time may be wrong
/// by half. A run with a longer estimate than this, relative to the expected time, is slow.
constexpr int slow_percent = 600;
/// A younger run has made too little progress for an estimate.
constexpr milliseconds min_age {30};
/// Cost of a new run: its run time with a margin, and the time to stop the old run and to wait for
/// a slot.
constexpr int restart_percent = 150;
constexpr milliseconds restart_overhead {50};
/// A run has stalled after this time without progress, if that is also at least three times the
/// usual time per percent.
constexpr milliseconds min_stall {150};
constexpr int stall_steps = 3;
/// Remaining time that is reported for a stalled run.
constexpr milliseconds stalled_remaining {60'000};
constexpr int hundred_percent = 100;

} // namespace

void run_progress::start(milliseconds now)
{
    this->started_at = now;
    this->last_advance = now;
}

void run_progress::update(std::uint32_t percent, milliseconds now)
{
    if (!this->started_at)
        this->start(now);
    if (percent <= this->percent_done)
        return;
    this->percent_done = percent;
    this->last_advance = now;
}

std::optional<milliseconds> run_progress::lag(microseconds expected, milliseconds now) const
{
    if (!this->started_at || expected.count() <= 0)
        return std::nullopt;
    microseconds const age = now - *this->started_at;
    if (age < std::max<microseconds>(min_age, expected / 2))
        return std::nullopt;
    microseconds const progressed = this->last_advance - *this->started_at;
    auto const step
        = std::max(expected / hundred_percent, progressed / std::max(this->percent_done, 1U));
    microseconds const stalled_for = now - this->last_advance;
    if (stalled_for >= std::max<microseconds>(min_stall, stall_steps * step))
        return stalled_remaining;
    // The share is rounded down, so up to one more percent may be done. Counting it keeps the
    // estimate low.
    auto const total = age * hundred_percent / (this->percent_done + 1);
    auto const remaining = total - age;
    bool const slow = total * hundred_percent > expected * slow_percent;
    bool const restart_is_faster = remaining * hundred_percent
        > expected * restart_percent + restart_overhead * hundred_percent;
    if (!slow || !restart_is_faster)
        return std::nullopt;
    return duration_cast<milliseconds>(remaining);
}

} // namespace greengagehead::agent
