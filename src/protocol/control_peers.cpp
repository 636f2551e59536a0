// Merges the members of the latest group with the configured ones.

#include "protocol/control_peers.h"

#include <algorithm>
#include <utility>

namespace greengagehead::protocol {

namespace {

void add_unique(std::vector<std::string>& names, std::string const& name)
{
    if (!name.empty() && std::find(names.begin(), names.end(), name) == names.end())
        names.push_back(name);
}

} // namespace

control_peers::control_peers(std::vector<std::string> names)
    : configured(std::move(names)), candidates(this->configured)
{
}

bool control_peers::update_group(control_group const& reported)
{
    if (reported.members.empty() || older(reported, this->group))
        return false;
    auto const previous = std::exchange(this->group, reported);
    // A member that has lost contact with its leader reports none. That is no sign of a new leader,
    // so the leader reported before for the same term and index stays.
    if (this->group.leader.name.empty() && !older(previous, this->group))
        this->group.leader = previous.leader;
    this->member_names.clear();
    for (auto const& member : this->group.members)
        add_unique(this->member_names, member.name);
    this->update_candidates();
    return previous.members != this->group.members || previous.leader != this->group.leader;
}

void control_peers::set_configured(std::vector<std::string> names)
{
    this->configured = std::move(names);
    this->update_candidates();
}

void control_peers::update_candidates()
{
    this->candidates = this->member_names;
    add_unique(this->candidates, this->group.leader.name);
    for (auto const& name : this->configured)
        add_unique(this->candidates, name);
}

std::vector<std::string> const& control_peers::members() const
{
    return this->member_names.empty() ? this->configured : this->member_names;
}

} // namespace greengagehead::protocol
