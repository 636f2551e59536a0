// Rendezvous hashing of submissions to entries, and the change from one view to the next.

#include "policy/submission_witnesses.h"

#include <algorithm>
#include <cstdint>
#include <string_view>
#include <tuple>
#include <utility>

namespace greengagehead::policy {

namespace {

/// FNV-1a. `std::hash` may differ between the builds of two entries.
std::uint64_t hash_of(std::string_view text)
{
    constexpr std::uint64_t offset = 14695981039346656037U;
    constexpr std::uint64_t prime = 1099511628211U;
    auto hash = offset;
    for (auto const character : text)
        hash = (hash ^ static_cast<unsigned char>(character)) * prime;
    return hash;
}

/// Finalizer of MurmurHash3: each bit of the input changes half of the bits of the result.
std::uint64_t mix(std::uint64_t value)
{
    value = (value ^ (value >> 33U)) * 0xff51afd7ed558ccdU;
    value = (value ^ (value >> 33U)) * 0xc4ceb9fe1a85ec53U;
    return value ^ (value >> 33U);
}

std::size_t count_common(witness_set const& a, witness_set const& b)
{
    return static_cast<std::size_t>(std::count_if(a.begin(), a.end(), [&b](auto const& name) {
        return std::find(b.begin(), b.end(), name) != b.end();
    }));
}

/// Whether a majority of one set may have no member in common with a majority of the other.
bool may_disagree(witness_set const& a, witness_set const& b)
{
    auto const members = a.size() + b.size() - count_common(a, b);
    return majority_of(a.size()) + majority_of(b.size()) <= members;
}

} // namespace

witness_candidate::witness_candidate(std::string entry_name, std::string entry_zone)
    : name(std::move(entry_name)), zone(std::move(entry_zone)), name_hash(mix(hash_of(this->name)))
{
}

witness_set choose_witnesses(std::string const& key, std::vector<witness_candidate> const& entries)
{
    auto const key_hash = hash_of(key);
    auto const size = std::min(entries.size(), witnesses_per_submission);
    std::vector<std::uint64_t> ranks;
    ranks.reserve(entries.size());
    for (auto const& entry : entries)
        ranks.push_back(mix(key_hash ^ entry.name_hash));
    std::vector<std::size_t> chosen;
    auto const is_chosen = [&chosen](std::size_t index) {
        return std::find(chosen.begin(), chosen.end(), index) != chosen.end();
    };
    auto const zone_is_used = [&](std::size_t index) {
        return std::any_of(chosen.begin(), chosen.end(), [&](auto const other) {
            return entries[other].zone == entries[index].zone;
        });
    };
    auto const choose_lowest = [&](bool only_new_zones) {
        auto best = entries.size();
        for (std::size_t i = 0; i < entries.size(); ++i) {
            if (is_chosen(i) || (only_new_zones && zone_is_used(i)))
                continue;
            if (best == entries.size()
                || std::tie(ranks[i], entries[i].name) < std::tie(ranks[best], entries[best].name))
                best = i;
        }
        if (best == entries.size())
            return false;
        chosen.push_back(best);
        return true;
    };
    while (chosen.size() < size && (choose_lowest(true) || choose_lowest(false)))
        continue;
    witness_set names;
    for (auto const index : chosen)
        names.push_back(entries[index].name);
    return names;
}

void witness_sets::set_entries(std::vector<witness_candidate> entries, base::steady_time now)
{
    std::erase_if(this->former, [now](auto const& item) { return item.counts_until <= now; });
    if (entries == this->current)
        return;
    if (!this->current.empty())
        this->former.push_back({std::move(this->current), now + witness_transition});
    this->current = std::move(entries);
}

std::vector<witness_set> witness_sets::find(std::string const& key, base::steady_time now) const
{
    if (this->current.empty())
        return {};
    std::vector<witness_set> sets {choose_witnesses(key, this->current)};
    for (auto const& item : this->former) {
        if (item.counts_until <= now)
            continue;
        auto set = choose_witnesses(key, item.entries);
        if (may_disagree(set, sets.front()))
            sets.push_back(std::move(set));
    }
    return sets;
}

} // namespace greengagehead::policy
