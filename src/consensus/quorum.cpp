// Counting and lookup of members.

#include "consensus/quorum.h"

#include <algorithm>

namespace greengagehead::consensus {

namespace {

std::size_t voters_not_in(protocol::membership const& members, protocol::membership const& other)
{
    return static_cast<std::size_t>(
        std::count_if(members.members.begin(), members.members.end(), [&other](auto const& member) {
            return member.voter && !is_voter(other, member.id);
        }));
}

} // namespace

std::size_t voter_count(protocol::membership const& members)
{
    return static_cast<std::size_t>(std::count_if(members.members.begin(), members.members.end(),
                                                  [](auto const& member) { return member.voter; }));
}

std::size_t quorum_size(protocol::membership const& members)
{
    return voter_count(members) / 2 + 1;
}

bool is_voter(protocol::membership const& members, protocol::member_id id)
{
    auto const* member = find_member(members, id);
    return member != nullptr && member->voter;
}

protocol::group_member const* find_member(protocol::membership const& members,
                                          protocol::member_id id)
{
    auto const found = std::find_if(members.members.begin(), members.members.end(),
                                    [id](auto const& member) { return member.id == id; });
    return found == members.members.end() ? nullptr : &*found;
}

protocol::group_member const* find_member(protocol::membership const& members,
                                          std::string_view name)
{
    auto const found = std::find_if(members.members.begin(), members.members.end(),
                                    [name](auto const& member) { return member.name == name; });
    return found == members.members.end() ? nullptr : &*found;
}

std::size_t changed_voters(protocol::membership const& before, protocol::membership const& after)
{
    return voters_not_in(before, after) + voters_not_in(after, before);
}

} // namespace greengagehead::consensus
