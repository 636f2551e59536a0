// The control group as reported by a process that serves control, which need not be a member.

#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace greengagehead::protocol {

/// Name and network address of a member of the control group.
struct member_address {
    std::string name; ///< Peer name.
    std::string address;

    bool operator==(member_address const&) const = default;
};

struct control_group {
    // A group with a higher pair of term and index is newer.
    /// Term of the leader that the sender follows, or of its last log entry when it knows no
    /// leader.
    std::uint64_t term = 0;
    std::uint64_t index = 0; ///< Log index of the membership.
    member_address leader; ///< Empty when unknown.
    std::vector<member_address> members;
};

/// Returns whether `left` has a lower pair of term and index than `right`.
[[nodiscard]] bool older(control_group const& left, control_group const& right);

/// Address of the member or leader with this peer name; empty when the group has none.
[[nodiscard]] std::string address_of(control_group const& group, std::string const& member);

} // namespace greengagehead::protocol
