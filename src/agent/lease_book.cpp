// Lease stamps and the known view.

#include "agent/lease_book.h"

#include <algorithm>

#include "base/log_record.h"

namespace greengagehead::agent {

void lease_book::note(protocol::lease_stamp const& stamp, base::steady_time now)
{
    // Without a lease the entry may hold an old view for any time, and permits nothing later.
    if (!stamp.leased)
        return;
    this->highest = std::max(this->highest, stamp.view);
    std::erase_if(this->stamps,
                  [now](auto const& item) { return base::from_reading(item.expires_at) <= now; });
    if (!this->valid(stamp, now))
        return;
    auto const kept
        = std::find_if(this->stamps.begin(), this->stamps.end(),
                       [&stamp](auto const& item) { return item.entry == stamp.entry; });
    if (kept == this->stamps.end())
        this->stamps.push_back(stamp);
    else if (stamp.view > kept->view
             || (stamp.view == kept->view && stamp.expires_at > kept->expires_at))
        *kept = stamp;
}

bool lease_book::note(protocol::lease_update const& update, base::steady_time now)
{
    this->note(update.lease, now);
    if (update.lease.view <= this->known || update.lease.view < this->highest)
        return false;
    this->known = update.lease.view;
    this->zones_out = {update.zones_out.begin(), update.zones_out.end()};
    this->draining_endpoints = {update.draining_endpoints.begin(), update.draining_endpoints.end()};
    this->live_entries = update.live_entries;
    base::log_record(base::log_event::view_adopted)
        .with("view", this->known)
        .with("entry", update.lease.entry.name);
    return true;
}

std::optional<protocol::lease_stamp> lease_book::latest(protocol::process_id const& entry) const
{
    auto const found = std::find_if(this->stamps.begin(), this->stamps.end(),
                                    [&entry](auto const& item) { return item.entry == entry; });
    if (found == this->stamps.end())
        return std::nullopt;
    return *found;
}

bool lease_book::valid(protocol::lease_stamp const& stamp, base::steady_time now) const
{
    auto const expires_at = base::from_reading(stamp.expires_at);
    return expires_at > now && expires_at <= now + this->longest_lease;
}

bool lease_book::live(protocol::process_id const& entry) const
{
    return std::find(this->live_entries.begin(), this->live_entries.end(), entry)
        != this->live_entries.end();
}

bool lease_book::zone_out(std::string const& zone) const
{
    return this->zones_out.contains(zone);
}

bool lease_book::draining(std::string const& endpoint) const
{
    return this->draining_endpoints.contains(endpoint);
}

} // namespace greengagehead::agent
