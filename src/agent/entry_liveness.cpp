// Timeouts and replacement of entries.

#include "agent/entry_liveness.h"

#include <algorithm>

namespace greengagehead::agent {

void entry_liveness::heard(protocol::lease_stamp const& stamp, base::steady_time now)
{
    auto const expires_at = base::from_reading(stamp.expires_at);
    if (expires_at <= now || expires_at > now + this->max_validity)
        return;
    auto const incarnation = stamp.entry.incarnation;
    auto& entry = this->entries.try_emplace(stamp.entry.name, entry_state {incarnation, {}, {}})
                      .first->second;
    std::erase_if(entry.replaced, [now](auto const& former) { return former.until <= now; });
    if (std::any_of(entry.replaced.begin(), entry.replaced.end(),
                    [=](auto const& former) { return former.incarnation == incarnation; }))
        return;
    if (entry.incarnation != incarnation) {
        entry.replaced.push_back({entry.incarnation, now + this->max_validity});
        entry.incarnation = incarnation;
        entry.lost_at = {};
    }
    // Messages may arrive out of order, and a stamp may end early with the lease of its entry.
    entry.lost_at = std::max(entry.lost_at, std::min(now + this->timeout, expires_at));
}

void entry_liveness::link_down(std::string const& peer, base::steady_time now)
{
    auto const found = this->entries.find(peer);
    if (found != this->entries.end())
        found->second.lost_at = std::min(found->second.lost_at, now + this->link_grace);
}

bool entry_liveness::lost(protocol::process_id const& entry, base::steady_time now) const
{
    return this->alive_until(entry) <= now;
}

base::steady_time entry_liveness::alive_until(protocol::process_id const& entry) const
{
    auto const found = this->entries.find(entry.name);
    if (found == this->entries.end() || found->second.incarnation != entry.incarnation)
        return base::steady_time::min();
    return found->second.lost_at;
}

} // namespace greengagehead::agent
