// Pace and receivers of introductions, and what their answers told.

#include "consensus/group_discovery.h"

#include <chrono>
#include <set>
#include <utility>

namespace greengagehead::consensus {

namespace {

/// Short against the half second in which a new group should be ready.
constexpr std::chrono::milliseconds introduction_interval {100};
/// Answers come at the pace of introductions; an older leader may have been followed by another.
constexpr std::chrono::milliseconds leader_lifetime {1000};

std::vector<std::string> names_of(std::vector<group_address> const& members)
{
    std::vector<std::string> names;
    names.reserve(members.size());
    for (auto const& member : members)
        names.push_back(member.name);
    return names;
}

} // namespace

group_discovery::group_discovery(std::string name, std::vector<group_address> const& configured)
    : self(std::move(name)), known(names_of(configured))
{
}

void group_discovery::set_configured(std::vector<std::string> members)
{
    this->known.set_configured(std::move(members));
}

std::vector<std::string> group_discovery::due_peers(protocol::membership const& members,
                                                    base::steady_time now)
{
    if (this->last_introduction && now - *this->last_introduction < introduction_interval)
        return {};
    this->last_introduction = now;
    // The leader, which alone can let this member in, may be named by none of its settings and log.
    std::set<std::string> peers(this->known.all().begin(), this->known.all().end());
    for (auto const& member : members.members)
        peers.insert(member.name);
    peers.erase(this->self);
    return {peers.begin(), peers.end()};
}

void group_discovery::answered(protocol::control_group const& told, base::steady_time now)
{
    this->known.learn(told);
    if (!told.leader.name.empty() && this->up_to_date(told))
        this->leader_told = now;
}

protocol::control_group group_discovery::told(base::steady_time now) const
{
    auto group = this->known.latest();
    if (!this->leader_told || now - *this->leader_told >= leader_lifetime)
        group.leader = {};
    return group;
}

bool group_discovery::up_to_date(protocol::control_group const& group) const
{
    return !protocol::older(group, this->known.latest());
}

} // namespace greengagehead::consensus
