// Lease stamps and the adopted view.

#include "agent/entry_leases.h"

#include <algorithm>

#include "base/log_record.h"

namespace greengagehead::agent {

void entry_leases::record(protocol::lease_stamp const& stamp, base::steady_time now)
{
    // An entry without a lease may keep an outdated view indefinitely, and its stamp permits no
    // later start.
    if (!stamp.leased)
        return;
    this->highest_seen = std::max(this->highest_seen, stamp.view);
    std::erase_if(this->stamps,
                  [now](auto const& item) { return base::from_reading(item.expires_at) <= now; });
    if (!this->valid(stamp, now))
        return;
    auto const existing
        = std::find_if(this->stamps.begin(), this->stamps.end(),
                       [&stamp](auto const& item) { return item.entry == stamp.entry; });
    if (existing == this->stamps.end())
        this->stamps.push_back(stamp);
    else if (stamp.view > existing->view
             || (stamp.view == existing->view && stamp.expires_at > existing->expires_at))
        *existing = stamp;
}

bool entry_leases::record(protocol::lease_update const& update, base::steady_time now)
{
    this->record(update.lease, now);
    // The acknowledgement may have come from an earlier incarnation of this agent, which has
    // adopted views that this one has not.
    if (update.view_omitted)
        return false;
    if (update.lease.view <= this->adopted || update.lease.view < this->highest_seen)
        return false;
    this->adopted = update.lease.view;
    this->zones_out = {update.zones_out.begin(), update.zones_out.end()};
    this->draining_endpoints = {update.draining_endpoints.begin(), update.draining_endpoints.end()};
    this->live_entries = update.live_entries;
    base::log_record(base::log_event::view_adopted)
        .with("view", this->adopted)
        .with("entry", update.lease.entry.name);
    return true;
}

std::optional<protocol::lease_stamp> entry_leases::latest(protocol::process_id const& entry) const
{
    auto const found = std::find_if(this->stamps.begin(), this->stamps.end(),
                                    [&entry](auto const& item) { return item.entry == entry; });
    if (found == this->stamps.end())
        return std::nullopt;
    return *found;
}

bool entry_leases::valid(protocol::lease_stamp const& stamp, base::steady_time now) const
{
    auto const expires_at = base::from_reading(stamp.expires_at);
    return expires_at > now && expires_at <= now + this->max_lease;
}

bool entry_leases::live(protocol::process_id const& entry) const
{
    return std::find(this->live_entries.begin(), this->live_entries.end(), entry)
        != this->live_entries.end();
}

bool entry_leases::zone_out(std::string const& zone) const
{
    return this->zones_out.contains(zone);
}

bool entry_leases::draining(std::string const& endpoint) const
{
    return this->draining_endpoints.contains(endpoint);
}

} // namespace greengagehead::agent
