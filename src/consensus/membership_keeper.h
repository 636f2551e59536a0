// Decides on the leader which membership change comes next: letting a member with a wiped disk back
// in, promoting learners that have caught up, and replacing members.

#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>

#include "base/clock.h"
#include "consensus/raft_node.h"
#include "protocol/command.h"
#include "protocol/raft_message.h"

namespace greengagehead::consensus {

class membership_keeper {
public:
    /// A voter that was unreachable for `replace_after` is replaced by an announced standby; zero
    /// turns this off.
    explicit membership_keeper(std::chrono::milliseconds replace_after);

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
    [[nodiscard]] std::optional<protocol::membership>
    replace_unreachable(raft_node const& node, base::steady_time now) const;
    [[nodiscard]] base::result<protocol::membership>
    add_learner(raft_node const& node, std::string const& peer, std::string const& address,
                std::string const& replaces, base::steady_time now) const;
    [[nodiscard]] base::result<protocol::membership>
    remove_member(raft_node const& node, std::string const& peer, base::steady_time now) const;

    std::chrono::milliseconds replace_after;
    /// Latest introduction per peer name.
    std::map<std::string, announcement> announcements;
};

} // namespace greengagehead::consensus
