// Rules for membership changes and their order.

#include "consensus/membership_planner.h"

#include <algorithm>
#include <array>
#include <utility>

#include "consensus/quorum.h"

namespace greengagehead::consensus {

namespace {

using protocol::group_member;
using protocol::membership;

/// Members outside the group announce themselves every 100 ms. The disk, and with it the identity,
/// may have been wiped since an older announcement.
constexpr std::chrono::milliseconds announcement_lifetime {1000};
/// A member that has answered within this time is reachable. It spans several heartbeats, so that
/// the loss of one message does not make a member unreachable.
constexpr std::chrono::milliseconds reachable_timeout {600};
/// A member that announces a new identity is readmitted once its old one has not answered for this
/// long. The old identity of a wiped disk never answers again.
constexpr std::chrono::milliseconds wiped_identity_timeout {1000};
/// Bounds the table, as peers may announce themselves under any name.
constexpr std::size_t max_announcements = 64;

/// Time since the last answer of `member`, or since the first request to it if that is shorter;
/// zero for the leader itself and before the first request.
std::chrono::nanoseconds time_since_contact(raft_node const& node, protocol::member_id member,
                                            base::steady_time now)
{
    auto const* progress = node.followers()->find(member);
    if (progress == nullptr || !progress->first_send)
        return {};
    return now - std::max(progress->last_contact, *progress->first_send);
}

bool is_reachable(raft_node const& node, protocol::member_id member, base::steady_time now)
{
    if (member == node.id())
        return true;
    auto const* progress = node.followers()->find(member);
    return progress != nullptr && progress->last_contact != base::steady_time::min()
        && now - progress->last_contact < reachable_timeout;
}

/// True when a quorum of the voters of `members` has answered recently.
bool has_reachable_quorum(raft_node const& node, membership const& members, base::steady_time now)
{
    auto const reachable_voters
        = std::count_if(members.members.begin(), members.members.end(), [&](auto const& member) {
              return member.voter && is_reachable(node, member.id, now);
          });
    return static_cast<std::size_t>(reachable_voters) >= quorum_size(members);
}

/// Returns `members` if it has a reachable quorum.
std::optional<membership> if_quorum_reachable(raft_node const& node, membership members,
                                              base::steady_time now)
{
    if (voter_count(members) == 0 || !has_reachable_quorum(node, members, now))
        return {};
    return members;
}

/// Removes the member `name`, and references to it as a member to be replaced.
membership without(membership members, std::string const& name)
{
    std::erase_if(members.members, [&name](auto const& member) { return member.name == name; });
    for (auto& member : members.members) {
        if (member.replaces == name)
            member.replaces.clear();
    }
    return members;
}

base::error change_error(base::error_code code, std::string const& peer, std::string text)
{
    return {code, base::error_step::replicate, peer, std::move(text)};
}

} // namespace

membership_planner::membership_planner(membership_rules rules) : rules(rules) { }

void membership_planner::record_announcement(std::string const& peer, protocol::member_id id,
                                             std::string address, base::steady_time now)
{
    if (this->announcements.size() >= max_announcements && !this->announcements.contains(peer))
        std::erase_if(this->announcements, [now](auto const& announced) {
            return now - announced.second.received_at >= announcement_lifetime;
        });
    if (this->announcements.size() < max_announcements || this->announcements.contains(peer))
        this->announcements[peer] = {id, std::move(address), now};
}

membership_planner::announcement const*
membership_planner::recent_announcement(std::string const& peer, base::steady_time now) const
{
    auto const found = this->announcements.find(peer);
    if (found == this->announcements.end()
        || now - found->second.received_at >= announcement_lifetime)
        return nullptr;
    return &found->second;
}

std::optional<membership> membership_planner::next_change(raft_node const& node,
                                                          base::steady_time now) const
{
    if (!node.established() || node.changing_members())
        return {};
    using rule = std::optional<membership> (membership_planner::*)(raft_node const&,
                                                                   base::steady_time) const;
    // A lost voter is replaced before the group grows; otherwise a standby could join the group
    // without replacing the lost voter.
    constexpr std::array<rule, 7> order {&membership_planner::readmit_wiped,
                                         &membership_planner::promote_learner,
                                         &membership_planner::remove_replaced,
                                         &membership_planner::remove_lost_learner,
                                         &membership_planner::replace_unreachable,
                                         &membership_planner::remove_surplus_voter,
                                         &membership_planner::grow};
    for (auto const& apply : order) {
        if (auto step = (this->*apply)(node, now))
            return step;
    }
    return {};
}

std::optional<membership> membership_planner::readmit_wiped(raft_node const& node,
                                                            base::steady_time now) const
{
    for (auto const& member : node.log().members().members) {
        auto const* announced = this->recent_announcement(member.name, now);
        if (announced == nullptr || announced->id == member.id || member.id == node.id()
            || time_since_contact(node, member.id, now) < wiped_identity_timeout)
            continue;
        // Removing the old voter and adding a learner changes only one voter. It is therefore a
        // single step, so that a crash cannot leave the group without either of them.
        auto step = node.log().members();
        for (auto& changed : step.members) {
            if (changed.id == member.id)
                changed = {announced->id, member.name, announced->address, false, member.replaces};
        }
        if (auto safe = if_quorum_reachable(node, std::move(step), now))
            return safe;
    }
    return {};
}

std::optional<membership> membership_planner::promote_learner(raft_node const& node,
                                                              base::steady_time now) const
{
    for (auto const& member : node.log().members().members) {
        auto const* progress = node.followers()->find(member.id);
        if (member.voter || progress == nullptr || progress->match < node.commit_index()
            || !is_reachable(node, member.id, now))
            continue;
        auto step = node.log().members();
        for (auto& changed : step.members)
            changed.voter |= changed.id == member.id;
        if (auto safe = if_quorum_reachable(node, std::move(step), now))
            return safe;
    }
    return {};
}

std::optional<membership> membership_planner::remove_replaced(raft_node const& node,
                                                              base::steady_time now) const
{
    auto const& members = node.log().members();
    for (auto const& member : members.members) {
        if (!member.voter || member.replaces.empty()
            || find_member(members, member.replaces) == nullptr)
            continue;
        if (auto safe = if_quorum_reachable(node, without(members, member.replaces), now))
            return safe;
    }
    return {};
}

std::optional<membership> membership_planner::remove_lost_learner(raft_node const& node,
                                                                  base::steady_time now) const
{
    if (this->rules.replace_after.count() == 0)
        return {};
    auto const& members = node.log().members();
    for (auto const& member : members.members) {
        if (member.voter || time_since_contact(node, member.id, now) < this->rules.replace_after)
            continue;
        auto step = members;
        std::erase_if(step.members, [&member](auto const& other) { return other.id == member.id; });
        return step;
    }
    return {};
}

std::optional<membership> membership_planner::replace_unreachable(raft_node const& node,
                                                                  base::steady_time now) const
{
    auto const* lost = this->lost_voter(node, now);
    return lost == nullptr ? std::nullopt : this->add_standby(node, lost->name, now);
}

std::optional<membership> membership_planner::remove_surplus_voter(raft_node const& node,
                                                                   base::steady_time now) const
{
    auto const& members = node.log().members();
    auto const* lost = this->lost_voter(node, now);
    if (lost == nullptr || voter_count(members) <= this->rules.min_voters)
        return {};
    return if_quorum_reachable(node, without(members, lost->name), now);
}

group_member const* membership_planner::lost_voter(raft_node const& node,
                                                   base::steady_time now) const
{
    auto const& members = node.log().members();
    bool const has_learner = voter_count(members) != members.members.size();
    if (this->rules.replace_after.count() == 0 || has_learner)
        return nullptr;
    auto const lost
        = std::find_if(members.members.begin(), members.members.end(), [&](auto const& member) {
              return time_since_contact(node, member.id, now) >= this->rules.replace_after;
          });
    return lost == members.members.end() ? nullptr : &*lost;
}

std::optional<membership> membership_planner::grow(raft_node const& node,
                                                   base::steady_time now) const
{
    auto const& members = node.log().members();
    // While a member is unreachable, a standby may be needed to replace it.
    bool const ready
        = std::all_of(members.members.begin(), members.members.end(), [&](auto const& member) {
              return member.voter && is_reachable(node, member.id, now);
          });
    if (!ready || members.members.size() >= this->rules.max_members)
        return {};
    return this->add_standby(node, {}, now);
}

std::optional<membership> membership_planner::add_standby(raft_node const& node,
                                                          std::string const& replaces,
                                                          base::steady_time now) const
{
    for (auto const& [peer, announced] : this->announcements) {
        auto step = this->add_learner(node, peer, announced.address, replaces, now);
        if (step)
            return std::move(step.value());
    }
    return {};
}

base::result<membership> membership_planner::first_step(raft_node const& node,
                                                        protocol::change_members const& change,
                                                        base::steady_time now) const
{
    using action = protocol::change_members::action;
    if (!node.established())
        return change_error(
            base::error_code::unavailable, {},
            "this member is not the leader, or has not committed an entry of its term yet");
    switch (change.what) {
    case action::add:
        return this->add_learner(node, change.member, change.address, {}, now);
    case action::remove:
        return this->remove_member(node, change.member, now);
    case action::replace:
        if (find_member(node.log().members(), change.member) == nullptr)
            return change_error(base::error_code::invalid_argument, change.member,
                                "is not a member of the control group");
        return this->add_learner(node, change.replacement, change.address, change.member, now);
    }
    return change_error(base::error_code::invalid_argument, {}, "unknown membership change");
}

base::result<membership> membership_planner::add_learner(raft_node const& node,
                                                         std::string const& peer,
                                                         std::string const& address,
                                                         std::string const& replaces,
                                                         base::steady_time now) const
{
    auto members = node.log().members();
    if (find_member(members, peer) != nullptr)
        return change_error(base::error_code::invalid_argument, peer,
                            "is already a member of the control group");
    auto const* announced = this->recent_announcement(peer, now);
    if (announced == nullptr)
        return change_error(base::error_code::invalid_argument, peer,
                            "has not announced itself to this leader recently");
    auto const& peer_address = address.empty() ? announced->address : address;
    members.members.push_back({announced->id, peer, peer_address, false, replaces});
    return members;
}

base::result<membership> membership_planner::remove_member(raft_node const& node,
                                                           std::string const& peer,
                                                           base::steady_time now) const
{
    auto const& members = node.log().members();
    if (find_member(members, peer) == nullptr)
        return change_error(base::error_code::invalid_argument, peer,
                            "is not a member of the control group");
    auto step = if_quorum_reachable(node, without(members, peer), now);
    if (!step)
        return change_error(base::error_code::conflict, peer,
                            "removing this member would leave no reachable quorum");
    return std::move(*step);
}

} // namespace greengagehead::consensus
