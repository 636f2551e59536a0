// Ends of leases on two clocks.

#include "agent/worker_lease.h"

#include <algorithm>

namespace greengagehead::agent {

worker_lease::worker_lease(lease_limits worker_limits, base::steady_time now)
    : limits(worker_limits)
{
    this->current.named_until = now + this->limits.max_lease;
    this->extend_expiry(now);
}

void worker_lease::extend_expiry(base::steady_time now)
{
    auto const longest = this->limits.max_lease;
    auto const drift = longest * this->limits.clock_drift_percent / 100;
    this->current.expire_at = std::max(this->current.expire_at, now + longest + drift);
}

void worker_lease::on_restarted(base::steady_time now)
{
    this->reset();
    this->inherited_until = worker_clock::max();
    this->extend_expiry(now);
}

void worker_lease::on_resumed(base::steady_time now)
{
    this->inherited_until = worker_clock::max();
    this->extend_expiry(now);
}

void worker_lease::on_fenced(worker_clock reading, base::steady_time now)
{
    if (this->inherited_until != worker_clock::max())
        return;
    this->inherited_until = reading + this->limits.max_lease;
    this->extend_expiry(now);
}

void worker_lease::reset()
{
    this->last_reading.reset();
    this->inherited_until = worker_clock(0);
    this->current.end = worker_clock(0);
}

void worker_lease::on_paused(base::steady_time::duration duration)
{
    this->current.named_until += duration;
    this->current.expire_at += duration;
}

void worker_lease::record_clock(worker_clock reading, base::steady_time now)
{
    if (this->last_reading && reading <= this->worker_time(now))
        return;
    this->last_reading = reading;
    this->read_at = now;
}

worker_clock worker_lease::worker_time(base::steady_time now) const
{
    auto const passed = now - this->read_at;
    return *this->last_reading
        + std::chrono::duration_cast<worker_clock>(passed * (100 - this->limits.clock_drift_percent)
                                                   / 100);
}

worker_clock worker_lease::next_end(base::steady_time latest, base::steady_time now) const
{
    if (!this->last_reading)
        return worker_clock(0);
    auto const end = std::clamp(latest, now, now + this->limits.max_lease);
    return std::max(this->current.end,
                    this->worker_time(now) + std::chrono::duration_cast<worker_clock>(end - now));
}

worker_lease::grants worker_lease::grant(worker_clock end, base::steady_time now)
{
    auto const before = this->current;
    ++this->current.commands;
    if (!this->last_reading || end <= before.end)
        return before;
    auto const longest = std::min(end - this->worker_time(now), this->limits.max_lease);
    auto const drift = longest * this->limits.clock_drift_percent / 100;
    this->current.end = end;
    this->current.named_until = std::max(before.named_until, now + longest);
    this->current.expire_at = std::max(before.expire_at, now + longest + drift);
    return before;
}

void worker_lease::withdraw(grants const& before, grants const& after)
{
    if (this->current == after)
        this->current = before;
}

} // namespace greengagehead::agent
