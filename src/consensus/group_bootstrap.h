// First start of a group, when its members do not know each other's random identities yet.
//
// Each new member asks all configured members for their identities. Only the member whose name
// sorts first may propose the first membership, and only after every configured member has answered
// to its current identity that it has no log. A member with a wiped disk therefore learns from an
// answer that a group with a log exists, and waits to be added to it. The proposer still needs the
// votes of a quorum of the identities that it proposes. The first log entry has the term in which
// the proposer was elected.

#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "protocol/raft_message.h"

namespace greengagehead::consensus {

/// Configured member of the initial group.
struct group_address {
    std::string name; ///< Peer name.
    std::string address;
};

class group_bootstrap {
public:
    /// @param name peer name of this member. @param self its identity.
    group_bootstrap(std::string name, std::vector<group_address> initial, protocol::member_id self);

    /// Records an answer of `peer` that was addressed to the current identity of this member.
    /// @param fresh whether the log of `peer` is empty.
    void record_answer(std::string const& peer, protocol::member_id id, bool fresh);

    /// The first membership; empty until this member may propose it.
    [[nodiscard]] std::optional<protocol::membership> proposal() const;

private:
    /// True when the name of this member sorts first.
    [[nodiscard]] bool is_proposer() const;

    std::string name;
    std::vector<group_address> initial;
    /// Identities by peer name.
    std::map<std::string, protocol::member_id> identities;
    /// A member that has a log has answered.
    bool group_exists = false;
};

} // namespace greengagehead::consensus
