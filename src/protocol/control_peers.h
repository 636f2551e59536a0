// Control members that a process can ask: those of its settings, which may be out of date, and the
// latest group that it was told of.

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
    /// Returns whether there are peers now that were not known before. An older group than the
    /// latest one changes nothing.
    bool update_group(control_group const& told);
    [[nodiscard]] control_group const& latest() const { return this->group; }

    /// Members of the latest group; the configured ones while no group is known.
    [[nodiscard]] std::vector<std::string> const& members() const;
    /// The same, followed by the other configured ones. These are the way back to a group that has
    /// replaced all its members meanwhile.
    [[nodiscard]] std::vector<std::string> const& all() const { return this->candidates; }

private:
    void list_candidates();

    std::vector<std::string> configured;
    control_group group;
    std::vector<std::string> member_names; ///< Of `group`.
    std::vector<std::string> candidates;
};

} // namespace greengagehead::protocol
