// Finds the control group: a member without a leader announces itself to every control process that
// it knows, and learns the current group from the answers.

#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "consensus/group_bootstrap.h"
#include "protocol/control_peers.h"
#include "protocol/raft_message.h"

namespace greengagehead::consensus {

class group_discovery {
public:
    /// @param self peer name of this member. @param configured the members in the settings.
    group_discovery(std::string self, std::vector<group_address> const& configured);

    void set_configured(std::vector<std::string> members);
    /// Peers to which this member is to announce itself now; empty until the next announcement is
    /// due. @param members membership in the local log, which may be out of date.
    [[nodiscard]] std::vector<std::string> due_peers(protocol::membership const& members,
                                                     base::steady_time now);
    /// Records the group that another control process reported in its answer to an announcement.
    void record_answer(protocol::control_group const& reported, base::steady_time now);

    /// The newest group that was reported. Its leader is empty unless it was reported recently.
    [[nodiscard]] protocol::control_group latest_group(base::steady_time now) const;
    /// Whether `group` is at least as new as the newest group that was reported.
    [[nodiscard]] bool is_current(protocol::control_group const& group) const;

private:
    std::string self;
    protocol::control_peers controls;
    std::optional<base::steady_time> last_hello;
    /// When the leader of the newest group was last reported.
    std::optional<base::steady_time> leader_reported_at;
};

} // namespace greengagehead::consensus
