// Decides on the leader which membership change comes next: letting a member with a wiped disk back
// in, promoting learners that have caught up, replacing members, and letting standbys in until the
// group has its full size.

#pragma once

#include <chrono>
#include <cstddef>
#include <limits>
#include <map>
#include <optional>
#include <string>

#include "base/clock.h"
#include "consensus/raft_node.h"
#include "protocol/command.h"
#include "protocol/raft_message.h"

namespace greengagehead::consensus {

struct membership_rules {
    /// A voter unreachable for this long is replaced by an announced standby, and a learner is
    /// dropped; 0 for never.
    std::chrono::milliseconds replace_after {0};
    /// Standbys are let in until the group has this many members; 0 for never.
    std::size_t most_members = 0;
    /// Voters that must stay, reachable or not: with twice the losses to bear and one more, every
    /// acknowledged change is on a disk that is left. More are dropped while they are unreachable.
    std::size_t least_voters = std::numeric_limits<std::size_t>::max();
};

class membership_planner {
public:
    explicit membership_planner(membership_rules rules);

    /// `peer` introduced itself with this identity.
    void announced(std::string const& peer, protocol::member_id id, std::string address,
                   base::steady_time now);

    /// Membership after one step, or nothing to do. Each step keeps a quorum of voters that have
    /// answered recently.
    [[nodiscard]] std::optional<protocol::membership> next(raft_node const& node,
                                                           base::steady_time now) const;

    /// First step of an operator's change. Errors: `invalid_argument` for an unknown, already
    /// present or not announced member, `conflict` when it would leave no reachable quorum.
    [[nodiscard]] base::result<protocol::membership>
    first_step(raft_node const& node, protocol::change_members const& change,
               base::steady_time now) const;

private:
    struct announcement {
        protocol::member_id id = 0;
        std::string address;
        base::steady_time at;
    };

    [[nodiscard]] announcement const* find(std::string const& peer, base::steady_time now) const;
    [[nodiscard]] std::optional<protocol::membership> readmit_wiped(raft_node const& node,
                                                                    base::steady_time now) const;
    [[nodiscard]] std::optional<protocol::membership> promote_learner(raft_node const& node,
                                                                      base::steady_time now) const;
    [[nodiscard]] std::optional<protocol::membership> remove_replaced(raft_node const& node,
                                                                      base::steady_time now) const;
    /// A learner that is gone for good would keep the group from every other change.
    [[nodiscard]] std::optional<protocol::membership>
    drop_lost_learner(raft_node const& node, base::steady_time now) const;
    [[nodiscard]] std::optional<protocol::membership>
    replace_unreachable(raft_node const& node, base::steady_time now) const;
    /// A voter that is gone for good beside its successor would still count for the quorum.
    [[nodiscard]] std::optional<protocol::membership> drop_surplus(raft_node const& node,
                                                                   base::steady_time now) const;
    [[nodiscard]] std::optional<protocol::membership> grow(raft_node const& node,
                                                           base::steady_time now) const;
    /// A voter that has been silent for too long; null for none, and while a member learns.
    [[nodiscard]] protocol::group_member const* lost_voter(raft_node const& node,
                                                           base::steady_time now) const;
    /// Adds any announced standby.
    [[nodiscard]] std::optional<protocol::membership>
    add_standby(raft_node const& node, std::string const& replaces, base::steady_time now) const;
    [[nodiscard]] base::result<protocol::membership>
    add_learner(raft_node const& node, std::string const& peer, std::string const& address,
                std::string const& replaces, base::steady_time now) const;
    [[nodiscard]] base::result<protocol::membership>
    remove_member(raft_node const& node, std::string const& peer, base::steady_time now) const;

    membership_rules rules;
    /// Latest introduction per peer name.
    std::map<std::string, announcement> announcements;
};

} // namespace greengagehead::consensus
