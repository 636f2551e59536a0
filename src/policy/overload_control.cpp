// Feedback control of the delay of an event loop.

#include "policy/overload_control.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace greengagehead::policy {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds tick_interval {10};
/// For each pass of the loop. Both poles of the closed loop are at 0.5, so it does not oscillate.
constexpr double proportional_gain = 0.75;
constexpr double integral_gain = 0.25;
/// Excess beyond these limits has no further effect.
constexpr double min_excess = -1;
constexpr double max_excess = 4;
/// Largest change of the restriction at one tick.
constexpr double max_step = 2;
/// 1 of 32 requests is still accepted.
constexpr double max_restriction = 5;
/// Exponents of the accepted part. A priority is preferred, but none is shut out.
constexpr std::array priority_exponents {0.75, 1.0, 1.25};
/// Requests of a kind that is new begin in the middle of their distance.
constexpr double initial_credit = 0.5;
/// Passes of the loop from reading a request to its answer.
constexpr int passes_to_answer = 2;
constexpr std::uint64_t max_retry_seconds = 3;

} // namespace

overload_control::overload_control(milliseconds initial_max_delay)
    : max_delay(initial_max_delay), delays(tick_interval)
{
    static_assert(priority_exponents.size() == priority_count);
}

void overload_control::record_tick(base::steady_time now)
{
    auto const previous = this->delays.latest();
    auto const delay = this->delays.record(now);
    this->last_tick = now;
    if (this->max_delay.count() == 0)
        return;
    this->lasting_delay = std::min(previous, delay);
    this->count_late(delay);
    if (this->restriction == 0 && this->late_ticks == 0) {
        this->last_excess = min_excess;
        return;
    }
    auto const excess = this->excess_of(delay);
    auto const change = excess - std::exchange(this->last_excess, excess);
    if (this->restriction == 0 && !this->late_for_long())
        return;
    // A pass that is shorter than the one aimed at says less about the load.
    auto const weight = std::min(1.0, std::exp2(excess));
    auto const step = proportional_gain * change + integral_gain * weight * excess;
    this->set_restriction(this->restriction + std::clamp(step, -max_step, max_step));
}

void overload_control::count_late(microseconds delay)
{
    if (delay <= this->max_delay) {
        this->late_ticks = 0;
        this->late_time = microseconds(0);
        return;
    }
    ++this->late_ticks;
    this->late_time += delay;
}

double overload_control::excess_of(microseconds delay) const
{
    auto const relative
        = std::chrono::duration<double>(delay + tick_interval) / (this->max_delay + tick_interval);
    return std::clamp(std::log2(relative), min_excess, max_excess);
}

void overload_control::set_restriction(double value)
{
    this->restriction = std::clamp(value, 0.0, max_restriction);
    for (std::size_t i = 0; i < priority_count; ++i)
        this->accepted_parts.at(i) = std::exp2(-this->restriction * priority_exponents.at(i));
    if (this->restriction == 0)
        this->credits.clear();
}

double overload_control::accepted_part(std::uint32_t priority) const
{
    return this->accepted_parts.at(std::min<std::size_t>(priority, priority_count - 1));
}

bool overload_control::refuse_next(std::string const& kind, std::uint32_t priority)
{
    if (this->restriction == 0)
        return false;
    auto& credit = this->credits.try_emplace(kind, initial_credit).first->second;
    credit += this->accepted_part(priority);
    if (credit < 1)
        return true;
    credit -= 1;
    return false;
}

bool overload_control::misses(microseconds useful, microseconds run_time,
                              base::steady_time now) const
{
    if (!this->behind())
        return false;
    // The request was there when this pass of the loop began, at the latest tick.
    auto const waited = std::chrono::duration_cast<microseconds>(now - this->last_tick);
    return waited + passes_to_answer * this->lasting_delay + run_time > useful;
}

seconds overload_control::next_retry_after()
{
    auto const spread
        = std::min(max_retry_seconds, 1 + static_cast<std::uint64_t>(this->restriction));
    return seconds(1 + this->retries++ % spread);
}

} // namespace greengagehead::policy
