// Detects lost entries, because ephemeral tasks end with their entry.

#pragma once

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "protocol/message.h"

namespace greengagehead::agent {

/// A caller that loses its entry may send an ephemeral job to another one. The runs of the lost
/// entry must have ended by then.
class entry_liveness {
public:
    /// @param timeout an entry without a message for this long is lost.
    /// @param link_grace an entry whose link is down for this long is lost.
    /// @param max_validity a stamp that expires later than this was made with another clock.
    entry_liveness(std::chrono::milliseconds timeout, std::chrono::milliseconds link_grace,
                   std::chrono::milliseconds max_validity)
        : timeout(timeout), link_grace(link_grace), max_validity(max_validity)
    {
    }

    /// A start batch or a lease update has arrived. It counts until its stamp expires, because it
    /// may have been sent long before: a cancellation may still be on its way behind it.
    void heard(protocol::lease_stamp const& stamp, base::steady_time now);
    void link_down(std::string const& peer, base::steady_time now);

    /// Also true for an entry that has never sent a message, and for an incarnation that is not the
    /// last one heard.
    [[nodiscard]] bool lost(protocol::process_id const& entry, base::steady_time now) const;
    /// When the entry is lost unless another message arrives. In the past for an entry of which
    /// `lost` is true.
    [[nodiscard]] base::steady_time alive_until(protocol::process_id const& entry) const;

private:
    /// A former incarnation. Its last messages may still be on their way.
    struct replaced_incarnation {
        protocol::incarnation_number incarnation = 0;
        base::steady_time until; ///< No stamp of it is valid from then on.
    };
    struct entry_state {
        protocol::incarnation_number incarnation = 0; ///< Not among `replaced`.
        base::steady_time lost_at;
        std::vector<replaced_incarnation> replaced;
    };

    std::chrono::milliseconds timeout;
    std::chrono::milliseconds link_grace;
    std::chrono::milliseconds max_validity;
    std::map<std::string, entry_state> entries; // Last heard incarnation, by name.
};

} // namespace greengagehead::agent
