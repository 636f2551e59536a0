// Ends of leases on two clocks.

#include "agent/worker_lease.h"

#include <algorithm>

namespace greengagehead::agent {

namespace {

using std::chrono::milliseconds;

/// Leases are this long where the permissions of the runs allow it. A run of which the entry has
/// renewed the permission within its update interval (300 ms) then fits into the lease of others.
constexpr milliseconds lease_duration {800};

} // namespace

worker_lease::worker_lease(lease_limits worker_limits, base::steady_time now)
    : limits(worker_limits), current {worker_clock(0),
                                      now
                                          + worker_limits.max_lease
                                              * (100 + worker_limits.clock_drift_percent) / 100}
{
}

void worker_lease::reset()
{
    this->last_reading.reset();
    this->current.end = worker_clock(0);
}

void worker_lease::record_clock(worker_clock reading, base::steady_time now)
{
    if (this->last_reading && reading < *this->last_reading)
        return;
    this->last_reading = reading;
    this->read_at = now;
}

worker_clock worker_lease::worker_time(base::steady_time now) const
{
    return *this->last_reading + std::chrono::duration_cast<worker_clock>(now - this->read_at);
}

worker_clock worker_lease::next_end(base::steady_time latest, base::steady_time now) const
{
    if (!this->last_reading)
        return this->limits.max_lease;
    auto const longest = now + std::min(lease_duration, this->limits.max_lease);
    auto const end = std::clamp(latest, now, longest);
    return std::max(this->current.end,
                    this->worker_time(now) + std::chrono::duration_cast<worker_clock>(end - now));
}

worker_lease::grants worker_lease::grant(worker_clock end, base::steady_time now)
{
    auto const before = this->current;
    if (end <= before.end)
        return before;
    this->current.end = end;
    auto longest = this->limits.max_lease;
    base::steady_time::duration since_reading {0};
    if (this->last_reading) {
        longest = std::min(longest, end - this->worker_time(now));
        since_reading = now - this->read_at;
    }
    // The worker's clock may have fallen behind since its last reading, and goes on to do so.
    auto const drift = (since_reading + longest) * this->limits.clock_drift_percent / 100;
    this->current.expire_at = std::max(before.expire_at, now + longest + drift);
    return before;
}

void worker_lease::withdraw(grants const& before, grants const& after)
{
    if (this->current == after)
        this->current = before;
}

} // namespace greengagehead::agent
