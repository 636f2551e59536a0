// Detects lost entries, because ephemeral tasks end with their entry.

#pragma once

#include <chrono>
#include <map>
#include <string>

#include "base/clock.h"
#include "protocol/identity.h"

namespace greengagehead::agent {

/// A caller that loses its entry may send an ephemeral job to another one. The runs of the lost
/// entry must have ended by then.
class entry_liveness {
public:
    /// @param timeout an entry without a message for this long is lost.
    /// @param link_grace an entry whose link is down for this long is lost.
    entry_liveness(std::chrono::milliseconds timeout, std::chrono::milliseconds link_grace)
        : timeout(timeout), link_grace(link_grace)
    {
    }

    /// A start batch or a lease update has arrived from the entry.
    void heard(protocol::process_id const& entry, base::steady_time now);
    void link_down(std::string const& peer, base::steady_time now);

    /// Also true for an entry that has never sent a message, and for an incarnation that is not the
    /// last one heard.
    [[nodiscard]] bool lost(protocol::process_id const& entry, base::steady_time now) const;

private:
    struct entry_state {
        protocol::incarnation_number incarnation = 0;
        base::steady_time lost_at;
    };

    std::chrono::milliseconds timeout;
    std::chrono::milliseconds link_grace;
    std::map<std::string, entry_state> entries; // Last heard incarnation, by name.
};

} // namespace greengagehead::agent
