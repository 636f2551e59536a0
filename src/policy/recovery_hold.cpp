// Holding of requests by the expected end of a recovery.

#include "policy/recovery_hold.h"

#include <algorithm>

namespace greengagehead::policy {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Allows for endpoints that differ in speed and for the delay of a start message, as the admission
/// by target does.
constexpr int run_time_percent = 115;

} // namespace

recovery_hold::recovery_hold(recovery_hold_limits initial_limits, steady_time started)
    : limits(initial_limits), began(started)
{
}

void recovery_hold::record_state(bool now_complete, steady_time now)
{
    if (now_complete == this->complete)
        return;
    this->complete = now_complete;
    if (now_complete)
        this->learn(std::chrono::ceil<milliseconds>(now - this->began));
    else
        this->began = now;
}

void recovery_hold::learn(milliseconds duration)
{
    // A recovery beyond the limit would only repeat the limit, which applies without it.
    if (duration > this->limits.max_recovery)
        return;
    this->learned.at(this->next_learned) = std::max(duration, milliseconds(1));
    this->next_learned = (this->next_learned + 1) % learned_recoveries;
}

recovery_hold::steady_time recovery_hold::latest_end() const
{
    return this->began + this->limits.max_recovery;
}

milliseconds recovery_hold::longest_learned() const
{
    return *std::max_element(this->learned.begin(), this->learned.end());
}

bool recovery_hold::recovering(steady_time now) const
{
    // Also after the first endpoint is known: those of other kinds may still be missing.
    return now < this->latest_end();
}

recovery_hold::steady_time recovery_hold::expected_end(steady_time now) const
{
    auto const typical = this->longest_learned();
    auto const expected = this->began + typical;
    // A recovery that takes longer than all before it may take as long as the limit.
    if (typical.count() == 0 || expected <= now)
        return std::max(this->latest_end(), now);
    return expected;
}

hold_decision recovery_hold::decide(hold_request const& request, std::size_t bytes_held,
                                    steady_time now) const
{
    if (!this->recovering(now))
        return {hold_verdict::not_recovering, {}};
    auto const latest_start = request.deadline
        - std::chrono::ceil<microseconds>(request.run_time) * run_time_percent / 100;
    if (latest_start < this->expected_end(now))
        return {hold_verdict::too_little_time, {}};
    if (request.bytes > this->limits.max_bytes
        || bytes_held > this->limits.max_bytes - request.bytes)
        return {hold_verdict::no_memory, {}};
    return {hold_verdict::hold, std::min(this->latest_end(), latest_start)};
}

} // namespace greengagehead::policy
