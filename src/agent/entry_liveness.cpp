// Timeouts and replacement of entries.

#include "agent/entry_liveness.h"

#include <algorithm>

namespace greengagehead::agent {

void entry_liveness::heard(protocol::process_id const& entry, base::steady_time now)
{
    this->entries[entry.name] = {entry.incarnation, now + this->timeout};
}

void entry_liveness::link_down(std::string const& peer, base::steady_time now)
{
    auto const found = this->entries.find(peer);
    if (found != this->entries.end())
        found->second.lost_at = std::min(found->second.lost_at, now + this->link_grace);
}

bool entry_liveness::lost(protocol::process_id const& entry, base::steady_time now) const
{
    auto const found = this->entries.find(entry.name);
    return found == this->entries.end() || found->second.incarnation != entry.incarnation
        || found->second.lost_at <= now;
}

} // namespace greengagehead::agent
