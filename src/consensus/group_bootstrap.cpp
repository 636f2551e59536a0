// Collection of the identities of the initial members.

#include "consensus/group_bootstrap.h"

#include <algorithm>
#include <utility>

namespace greengagehead::consensus {

group_bootstrap::group_bootstrap(std::string name, std::vector<group_address> initial,
                                 protocol::member_id self)
    : name(std::move(name)), initial(std::move(initial))
{
    this->identities[this->name] = self;
}

void group_bootstrap::record_answer(std::string const& peer, protocol::member_id id, bool fresh)
{
    this->group_exists |= !fresh;
    this->identities[peer] = id;
}

bool group_bootstrap::is_proposer() const
{
    auto const first = std::min_element(
        this->initial.begin(), this->initial.end(),
        [](auto const& left, auto const& right) { return left.name < right.name; });
    return first != this->initial.end() && first->name == this->name;
}

std::optional<protocol::membership> group_bootstrap::proposal() const
{
    if (this->group_exists || !this->is_proposer())
        return {};
    protocol::membership members;
    for (auto const& member : this->initial) {
        auto const identity = this->identities.find(member.name);
        if (identity == this->identities.end())
            return {};
        members.members.push_back({identity->second, member.name, member.address, true, {}});
    }
    return members;
}

} // namespace greengagehead::consensus
