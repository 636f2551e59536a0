// Interval and receivers of announcements, and evaluation of the answers.

#include "consensus/group_discovery.h"

#include <chrono>
#include <set>
#include <utility>

namespace greengagehead::consensus {

namespace {

/// Short compared with the half second within which a new group should be ready.
constexpr std::chrono::milliseconds hello_interval {100};
/// Answers arrive at the announcement interval. A leader that was not reported for this long may
/// have been replaced by another one.
constexpr std::chrono::milliseconds leader_report_lifetime {1000};

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
    : self(std::move(name)), controls(names_of(configured))
{
}

void group_discovery::set_configured(std::vector<std::string> members)
{
    this->controls.set_configured(std::move(members));
}

std::vector<std::string> group_discovery::due_peers(protocol::membership const& members,
                                                    base::steady_time now)
{
    if (this->last_hello && now - *this->last_hello < hello_interval)
        return {};
    this->last_hello = now;
    // Only the leader can add this member, and it may be missing from both the settings and the
    // log. The group learned from earlier answers is therefore included.
    std::set<std::string> peers(this->controls.all().begin(), this->controls.all().end());
    for (auto const& member : members.members)
        peers.insert(member.name);
    peers.erase(this->self);
    return {peers.begin(), peers.end()};
}

void group_discovery::record_answer(protocol::control_group const& reported, base::steady_time now)
{
    this->controls.update_group(reported);
    if (!reported.leader.name.empty() && this->is_current(reported))
        this->leader_reported_at = now;
}

protocol::control_group group_discovery::latest_group(base::steady_time now) const
{
    auto group = this->controls.latest();
    if (!this->leader_reported_at || now - *this->leader_reported_at >= leader_report_lifetime)
        group.leader = {};
    return group;
}

bool group_discovery::is_current(protocol::control_group const& group) const
{
    return !protocol::older(group, this->controls.latest());
}

} // namespace greengagehead::consensus
