// Questions about a membership.

#pragma once

#include <cstddef>
#include <string_view>

#include "protocol/raft_message.h"

namespace greengagehead::consensus {

[[nodiscard]] std::size_t voter_count(protocol::membership const& members);
/// Smallest number of voters that is a majority; 1 for an empty membership.
[[nodiscard]] std::size_t quorum_size(protocol::membership const& members);
[[nodiscard]] bool is_voter(protocol::membership const& members, protocol::member_id id);
/// Null when there is no such member.
[[nodiscard]] protocol::group_member const* find_member(protocol::membership const& members,
                                                        protocol::member_id id);
[[nodiscard]] protocol::group_member const* find_member(protocol::membership const& members,
                                                        std::string_view name);
/// Number of voters that are in exactly one of the two memberships. Two majorities are certain to
/// have a member in common only when this is at most 1.
[[nodiscard]] std::size_t changed_voters(protocol::membership const& before,
                                         protocol::membership const& after);

} // namespace greengagehead::consensus
