// Tells which entries are still there, for the tasks that end with their entry.

#pragma once

#include <chrono>
#include <map>
#include <string>

#include "base/clock.h"
#include "protocol/identity.h"

namespace greengagehead::agent {

/// A caller that loses its entry may send an ephemeral job to another one. The runs of the lost
/// entry must have ended by then.
class owner_watch {
public:
    /// @param silence an entry not heard for this long is lost.
    /// @param link_grace an entry whose link is down is lost after this time.
    owner_watch(std::chrono::milliseconds silence, std::chrono::milliseconds link_grace)
        : silence(silence), link_grace(link_grace)
    {
    }

    /// A message of this life of an entry has arrived.
    void heard(protocol::process_id const& entry, base::steady_time now);
    void link_down(std::string const& peer, base::steady_time now);

    /// Also true for a life that a later one has replaced, and for one that was never heard.
    [[nodiscard]] bool lost(protocol::process_id const& entry, base::steady_time now) const;

private:
    struct presence {
        protocol::incarnation_number incarnation = 0;
        base::steady_time lost_at;
    };

    std::chrono::milliseconds silence;
    std::chrono::milliseconds link_grace;
    std::map<std::string, presence> entries; // Latest life of each name.
};

} // namespace greengagehead::agent
