// Decides on the leader which membership change is made next: readmitting a member whose disk was
// wiped, promoting learners that have caught up, removing and replacing members, and adding
// standbys until the group has its full size.

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
    /// A voter that is unreachable for this long is replaced by an announced standby, and a learner
    /// is removed; 0 for never.
    std::chrono::milliseconds replace_after {0};
    /// Standbys are added until the group has this many members; 0 for never.
    std::size_t max_members = 0;
    /// Unreachable voters are removed only while the group has more voters than this. With
    /// 2 * losses + 1 voters, every acknowledged change is still on a disk after that many losses.
    std::size_t min_voters = std::numeric_limits<std::size_t>::max();
};

class membership_planner {
public:
    explicit membership_planner(membership_rules rules);

    /// Records that `peer` has announced itself with this identity and address.
    void record_announcement(std::string const& peer, protocol::member_id id, std::string address,
                             base::steady_time now);

    /// Membership after the next single change; empty when there is nothing to change. Each change
    /// keeps a quorum of voters that have answered recently.
    [[nodiscard]] std::optional<protocol::membership> next_change(raft_node const& node,
                                                                  base::steady_time now) const;

    /// Membership after the first step of a change that an operator requests. Errors: `unavailable`
    /// unless the node is an established leader, `invalid_argument` for a member that is
    /// unknown, already present or has not announced itself recently, `conflict` when the change
    /// would leave no reachable quorum.
    [[nodiscard]] base::result<protocol::membership>
    first_step(raft_node const& node, protocol::change_members const& change,
               base::steady_time now) const;

private:
    struct announcement {
        protocol::member_id id = 0;
        std::string address;
        base::steady_time received_at;
    };

    /// Null when `peer` has not announced itself recently.
    [[nodiscard]] announcement const* recent_announcement(std::string const& peer,
                                                          base::steady_time now) const;
    /// Replaces a voter whose disk was wiped by a learner with its new identity.
    [[nodiscard]] std::optional<protocol::membership> readmit_wiped(raft_node const& node,
                                                                    base::steady_time now) const;
    [[nodiscard]] std::optional<protocol::membership> promote_learner(raft_node const& node,
                                                                      base::steady_time now) const;
    [[nodiscard]] std::optional<protocol::membership> remove_replaced(raft_node const& node,
                                                                      base::steady_time now) const;
    /// Removes a learner that has been unreachable for too long; it would block all other changes.
    [[nodiscard]] std::optional<protocol::membership>
    remove_lost_learner(raft_node const& node, base::steady_time now) const;
    [[nodiscard]] std::optional<protocol::membership>
    replace_unreachable(raft_node const& node, base::steady_time now) const;
    /// Removes an unreachable voter that the group does not need; it would still count towards the
    /// size of the quorum.
    [[nodiscard]] std::optional<protocol::membership>
    remove_surplus_voter(raft_node const& node, base::steady_time now) const;
    [[nodiscard]] std::optional<protocol::membership> grow(raft_node const& node,
                                                           base::steady_time now) const;
    /// A voter that has been unreachable for too long; null for none, and while the group has a
    /// learner.
    [[nodiscard]] protocol::group_member const* lost_voter(raft_node const& node,
                                                           base::steady_time now) const;
    /// Adds one of the announced standbys as a learner.
    /// @param replaces peer name of the member to remove once the standby is a voter; empty for
    /// none.
    [[nodiscard]] std::optional<protocol::membership>
    add_standby(raft_node const& node, std::string const& replaces, base::steady_time now) const;
    [[nodiscard]] base::result<protocol::membership>
    add_learner(raft_node const& node, std::string const& peer, std::string const& address,
                std::string const& replaces, base::steady_time now) const;
    [[nodiscard]] base::result<protocol::membership>
    remove_member(raft_node const& node, std::string const& peer, base::steady_time now) const;

    membership_rules rules;
    /// Latest announcement by peer name.
    std::map<std::string, announcement> announcements;
};

} // namespace greengagehead::consensus
