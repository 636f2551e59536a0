// The control group as a process knows it: told by any process that serves control, whether it is a
// member or not.

#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace greengagehead::protocol {

/// Where a member of the control group is reached.
struct member_address {
    std::string name; ///< Peer name.
    std::string address;

    bool operator==(member_address const&) const = default;
};

struct control_group {
    /// Term of the leader that the teller follows, or of its last log entry when it knows none, and
    /// log index of the membership. A group with a higher pair is newer.
    std::uint64_t term = 0;
    std::uint64_t index = 0;
    member_address leader; ///< Empty when unknown.
    std::vector<member_address> members;
};

[[nodiscard]] bool older(control_group const& left, control_group const& right);

/// Address of a member; empty when it is not part of the group.
[[nodiscard]] std::string address_of(control_group const& group, std::string const& member);

} // namespace greengagehead::protocol
