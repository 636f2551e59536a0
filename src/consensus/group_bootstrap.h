// First start of a group, whose members do not know each other's random identities yet.
//
// Each new member asks all configured members who they are. Only the one whose name sorts first may
// propose the first membership, and only after every configured member has answered to its current
// identity that it has no log. A wiped member of a group that has stored anything therefore hears
// of a log and waits to be let in. The proposer still needs the votes of a quorum of the
// identities that it proposes, and the first log entry is created under the term it won.

#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "protocol/raft_message.h"

namespace greengagehead::consensus {

/// A configured member of the initial group.
struct group_address {
    std::string name; ///< Peer name.
    std::string address;
};

class group_bootstrap {
public:
    group_bootstrap(std::string name, std::vector<group_address> initial, protocol::member_id self);

    /// An answer of `peer` that was addressed to the identity of this member.
    void heard(std::string const& peer, protocol::member_id id, bool fresh);

    /// The first membership, once this member may propose it.
    [[nodiscard]] std::optional<protocol::membership> proposal() const;

private:
    [[nodiscard]] bool designated() const;

    std::string name;
    std::vector<group_address> initial;
    std::map<std::string, protocol::member_id> identities;
    /// A member with a log was heard of, so a group exists.
    bool group_exists = false;
};

} // namespace greengagehead::consensus
