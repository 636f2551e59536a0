// Keeps the latest group and the order in which its members are asked.

#include "protocol/control_peers.h"

#include <algorithm>
#include <utility>

namespace greengagehead::protocol {

namespace {

void add(std::vector<std::string>& names, std::string const& name)
{
    if (!name.empty() && std::find(names.begin(), names.end(), name) == names.end())
        names.push_back(name);
}

} // namespace

control_peers::control_peers(std::vector<std::string> names)
    : configured(std::move(names)), candidates(this->configured)
{
}

bool control_peers::update_group(control_group const& told)
{
    if (told.members.empty() || older(told, this->group))
        return false;
    auto const before = std::exchange(this->group, told);
    // A member that has lost its leader says nothing about who leads now.
    if (this->group.leader.name.empty() && !older(before, this->group))
        this->group.leader = before.leader;
    this->member_names.clear();
    for (auto const& member : this->group.members)
        add(this->member_names, member.name);
    this->list_candidates();
    return before.members != this->group.members || before.leader != this->group.leader;
}

void control_peers::set_configured(std::vector<std::string> names)
{
    this->configured = std::move(names);
    this->list_candidates();
}

void control_peers::list_candidates()
{
    this->candidates = this->member_names;
    add(this->candidates, this->group.leader.name);
    for (auto const& name : this->configured)
        add(this->candidates, name);
}

std::vector<std::string> const& control_peers::members() const
{
    return this->member_names.empty() ? this->configured : this->member_names;
}

} // namespace greengagehead::protocol
