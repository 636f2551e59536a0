// A member that follows no leader introduces itself to every control process that it knows of, and
// learns from the answers which group there is.

#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "consensus/group_bootstrap.h"
#include "protocol/known_controls.h"
#include "protocol/raft_message.h"

namespace greengagehead::consensus {

class group_discovery {
public:
    /// @param self peer name of this member. @param configured the members that the settings name.
    group_discovery(std::string self, std::vector<group_address> const& configured);

    void set_configured(std::vector<std::string> members);
    /// Peers to introduce this member to now; none while an introduction is not due.
    /// @param members the group by the own log, which may be out of date.
    [[nodiscard]] std::vector<std::string> due_peers(protocol::membership const& members,
                                                     base::steady_time now);
    /// Another control process answered an introduction.
    void answered(protocol::control_group const& told, base::steady_time now);

    /// The newest group that was told; its leader only while it is repeated.
    [[nodiscard]] protocol::control_group told(base::steady_time now) const;
    /// Whether `group` is at least as new as what was told.
    [[nodiscard]] bool up_to_date(protocol::control_group const& group) const;

private:
    std::string self;
    protocol::known_controls known;
    std::optional<base::steady_time> last_introduction;
    /// Last time that somebody named the leader of the newest group.
    std::optional<base::steady_time> leader_told;
};

} // namespace greengagehead::consensus
