// Lease table: ends of leases, the view in force and lost entries.

#include "control/lease_table.h"

#include <algorithm>

namespace greengagehead::control {

lease_table::lease_table(lease_settings settings) : settings(settings) { }

/// Upper bound of the end of a lease in this member's clock; the clock of the entry may be slower.
base::steady_time lease_table::latest_lease_end(base::steady_time start) const
{
    return start + this->settings.duration * (100 + this->settings.clock_drift_percent) / 100;
}

void lease_table::reset(std::vector<protocol::process_id> const& live, base::steady_time now)
{
    this->holders.clear();
    this->highest_in_force = 0;
    this->predecessor_lease_end = this->latest_lease_end(now);
    for (auto const& entry : live)
        this->add(entry, now);
}

void lease_table::add(protocol::process_id const& entry, base::steady_time now)
{
    auto& holder = this->holders[entry];
    holder.live = true;
    holder.lease_end = std::max(holder.lease_end, this->latest_lease_end(now));
}

void lease_table::update_live(std::vector<protocol::live_entry> const& live)
{
    for (auto& holder : this->holders)
        holder.second.live = std::any_of(
            live.begin(), live.end(), [&](auto const& other) { return other.id == holder.first; });
}

bool lease_table::record_renewal(protocol::process_id const& entry, base::clock_reading entry_clock,
                                 protocol::view_number settled_view)
{
    auto& holder = this->holders[entry];
    if (entry_clock <= holder.last_entry_clock)
        return false;
    holder.last_entry_clock = entry_clock;
    holder.settled_view = std::max(holder.settled_view, settled_view);
    return true;
}

base::clock_reading lease_table::grant(protocol::process_id const& entry,
                                       base::clock_reading entry_clock, protocol::view_number view,
                                       base::steady_time now)
{
    auto& holder = this->holders[entry];
    holder.lease_end = this->latest_lease_end(now);
    holder.leases[view] = holder.lease_end;
    return entry_clock + this->settings.duration;
}

void lease_table::remove_expired_leases(lease_holder& holder, base::steady_time now)
{
    std::erase_if(holder.leases, [now](auto const& lease) { return lease.second <= now; });
}

protocol::view_number lease_table::view_in_force(protocol::view_number current,
                                                 base::steady_time now)
{
    for (auto& [entry, holder] : this->holders)
        remove_expired_leases(holder, now);
    std::erase_if(this->holders, [](auto const& holder) {
        return !holder.second.live && holder.second.leases.empty();
    });
    if (now < this->predecessor_lease_end)
        return this->highest_in_force;
    auto lowest = current;
    // An entry may act on the oldest view for which it has an unexpired lease, unless it has
    // settled a later one.
    for (auto const& [entry, holder] : this->holders) {
        if (holder.leases.empty() || holder.settled_view >= lowest)
            continue;
        lowest = std::min(lowest, std::max(holder.settled_view, holder.leases.begin()->first));
    }
    this->highest_in_force = std::max(this->highest_in_force, lowest);
    return this->highest_in_force;
}

std::vector<protocol::process_id> lease_table::lost_entries(base::steady_time now) const
{
    std::vector<protocol::process_id> lost;
    for (auto const& [entry, holder] : this->holders)
        if (holder.live && now > holder.lease_end + this->settings.loss_timeout)
            lost.push_back(entry);
    return lost;
}

} // namespace greengagehead::control
