// Comparison of control groups and look-up of member addresses.

#include "protocol/control_group.h"

#include <algorithm>
#include <tuple>

namespace greengagehead::protocol {

bool older(control_group const& left, control_group const& right)
{
    return std::tie(left.term, left.index) < std::tie(right.term, right.index);
}

std::string address_of(control_group const& group, std::string const& member)
{
    auto const found
        = std::find_if(group.members.begin(), group.members.end(),
                       [&member](auto const& candidate) { return candidate.name == member; });
    if (found != group.members.end())
        return found->address;
    return group.leader.name == member ? group.leader.address : std::string();
}

} // namespace greengagehead::protocol
