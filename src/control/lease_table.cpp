// Lease arithmetic.

#include "control/lease_table.h"

#include <algorithm>

namespace greengagehead::control {

lease_table::lease_table(lease_terms terms) : terms(terms) { }

/// Upper bound of the end of a lease in this member's clock. The holder's clock may be slower.
base::steady_time lease_table::end_of_lease(base::steady_time start) const
{
    return start + this->terms.duration * (100 + this->terms.drift_percent) / 100;
}

void lease_table::start(std::vector<protocol::process_id> const& live, base::steady_time now)
{
    this->holders.clear();
    this->reached = 0;
    this->predecessor_end = this->end_of_lease(now);
    for (auto const& entry : live)
        this->add(entry, now);
}

void lease_table::add(protocol::process_id const& entry, base::steady_time now)
{
    auto& target = this->holders[entry];
    target.live = true;
    target.lease_end = std::max(target.lease_end, this->end_of_lease(now));
}

void lease_table::keep_only_live(std::vector<protocol::live_entry> const& live)
{
    for (auto& holder : this->holders)
        holder.second.live = std::any_of(
            live.begin(), live.end(), [&](auto const& other) { return other.id == holder.first; });
}

bool lease_table::hear(protocol::process_id const& entry, base::clock_reading entry_clock,
                       protocol::view_number settled)
{
    auto& source = this->holders[entry];
    if (entry_clock <= source.last_clock)
        return false;
    source.last_clock = entry_clock;
    source.settled = std::max(source.settled, settled);
    return true;
}

base::clock_reading lease_table::grant(protocol::process_id const& entry,
                                       base::clock_reading entry_clock, protocol::view_number view,
                                       base::steady_time now)
{
    auto& target = this->holders[entry];
    target.lease_end = this->end_of_lease(now);
    target.leases[view] = target.lease_end;
    return entry_clock + this->terms.duration;
}

void lease_table::expire(holder& target, base::steady_time now)
{
    std::erase_if(target.leases, [now](auto const& lease) { return lease.second <= now; });
}

protocol::view_number lease_table::in_force(protocol::view_number current, base::steady_time now)
{
    for (auto& [entry, item] : this->holders)
        expire(item, now);
    std::erase_if(this->holders,
                  [](auto const& item) { return !item.second.live && item.second.leases.empty(); });
    if (now < this->predecessor_end)
        return this->reached;
    auto lowest = current;
    for (auto const& [entry, item] : this->holders) {
        if (item.leases.empty() || item.settled >= lowest)
            continue;
        lowest = std::min(lowest, std::max(item.settled, item.leases.begin()->first));
    }
    this->reached = std::max(this->reached, lowest);
    return this->reached;
}

std::vector<protocol::process_id> lease_table::lost(base::steady_time now) const
{
    std::vector<protocol::process_id> lost;
    for (auto const& [entry, item] : this->holders)
        if (item.live && now > item.lease_end + this->terms.loss_timeout)
            lost.push_back(entry);
    return lost;
}

} // namespace greengagehead::control
