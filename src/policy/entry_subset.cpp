// Rendezvous hashing of entries and agents.

#include "policy/entry_subset.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <utility>

namespace greengagehead::policy {

namespace {

// Constants of the 64-bit FNV-1a hash.
constexpr std::uint64_t fnv_offset = 0xCBF29CE484222325;
constexpr std::uint64_t fnv_prime = 0x100000001B3;

std::uint64_t add_to_hash(std::uint64_t hash, std::string_view text)
{
    for (char const letter : text) {
        hash ^= static_cast<unsigned char>(letter);
        hash *= fnv_prime;
    }
    return hash;
}

/// Spreads a difference in the last characters over all bits (finalizer of MurmurHash3).
std::uint64_t mix(std::uint64_t hash)
{
    constexpr unsigned shift = 33;
    hash ^= hash >> shift;
    hash *= 0xFF51AFD7ED558CCD;
    hash ^= hash >> shift;
    hash *= 0xC4CEB9FE1A85EC53;
    hash ^= hash >> shift;
    return hash;
}

/// Weight of an entry for an agent. The entry with the highest weight is chosen first. The hash is
/// the same in every build, since entries and agents compare their results.
std::pair<std::uint64_t, std::string_view> weight(std::uint64_t agent_hash, std::string_view entry)
{
    return {mix(add_to_hash(agent_hash, entry)), entry};
}

} // namespace

std::size_t sharing_entries(std::size_t entries, std::size_t endpoints)
{
    auto const divisor = std::max<std::size_t>(endpoints, 1);
    auto const needed = (endpoints_per_entry * entries + divisor - 1) / divisor;
    return std::clamp<std::size_t>(std::max(entries_per_endpoint, needed), 1,
                                   std::max<std::size_t>(entries, 1));
}

std::size_t rank_of_entry(std::string_view agent, std::string_view entry,
                          std::vector<std::string> const& entries)
{
    auto const agent_hash = add_to_hash(add_to_hash(fnv_offset, agent), "|");
    auto const own_weight = weight(agent_hash, entry);
    return static_cast<std::size_t>(
        std::count_if(entries.begin(), entries.end(), [&](std::string const& other) {
            return weight(agent_hash, other) > own_weight;
        }));
}

std::vector<std::size_t> order_of_entries(std::string_view agent,
                                          std::vector<std::string> const& entries)
{
    auto const agent_hash = add_to_hash(add_to_hash(fnv_offset, agent), "|");
    std::vector<std::pair<std::pair<std::uint64_t, std::string_view>, std::size_t>> weighted;
    for (std::size_t index = 0; index < entries.size(); ++index)
        weighted.emplace_back(weight(agent_hash, entries[index]), index);
    std::sort(weighted.begin(), weighted.end(), std::greater<>());
    std::vector<std::size_t> order;
    order.reserve(entries.size());
    for (auto const& element : weighted)
        order.push_back(element.second);
    return order;
}

} // namespace greengagehead::policy
