// Peer names of the control members to which a process can send requests: those of its settings,
// which may be out of date, and those of the latest control group that was reported to it.

#pragma once

#include <string>
#include <vector>

#include "protocol/control_group.h"

namespace greengagehead::protocol {

class control_peers {
public:
    /// @param configured peer names of the members that the settings name.
    explicit control_peers(std::vector<std::string> configured);

    void set_configured(std::vector<std::string> names);
    /// Adopts a reported group, unless it is older than the latest one or has no members.
    /// Returns whether the members or the leader changed.
    bool update_group(control_group const& reported);
    /// The latest group; without members while none was reported.
    [[nodiscard]] control_group const& latest() const { return this->group; }

    /// Members of the latest group, or the configured ones while no group was reported.
    [[nodiscard]] std::vector<std::string> const& members() const;
    /// The members and the leader of the latest group, followed by the other configured ones. Those
    /// allow the process to reach a group that has replaced all its members in the meantime.
    [[nodiscard]] std::vector<std::string> const& all() const { return this->candidates; }

private:
    void update_candidates();

    std::vector<std::string> configured;
    control_group group;
    std::vector<std::string> member_names; // Of `group`.
    std::vector<std::string> candidates; // Result of all().
};

} // namespace greengagehead::protocol
