// Counting of voters, quorum size, and lookup of members in a membership.

#pragma once

#include <cstddef>
#include <string_view>

#include "protocol/raft_message.h"

namespace greengagehead::consensus {

[[nodiscard]] std::size_t voter_count(protocol::membership const& members);
/// Smallest number of voters that is a majority; 1 for a membership without voters.
[[nodiscard]] std::size_t quorum_size(protocol::membership const& members);
[[nodiscard]] bool is_voter(protocol::membership const& members, protocol::member_id id);
/// Null when there is no such member.
[[nodiscard]] protocol::group_member const* find_member(protocol::membership const& members,
                                                        protocol::member_id id);
[[nodiscard]] protocol::group_member const* find_member(protocol::membership const& members,
                                                        std::string_view name);
/// Number of members that are voters in exactly one of the two memberships. A majority of one and a
/// majority of the other are certain to have a voter in common only if this is at most 1.
[[nodiscard]] std::size_t changed_voters(protocol::membership const& before,
                                         protocol::membership const& after);

} // namespace greengagehead::consensus
