// Which entries place tasks on an endpoint, when there are many entries.
//
// Entries learn of free slots from reports that are up to 300 ms old. The more entries use one
// endpoint, the more of their starts arrive when its slots are taken. Therefore each endpoint is
// used by some of the entries only. Entries and agents compute the same choice from names alone, by
// rendezvous hashing: when an entry comes or goes, only its own place in the order changes.

#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace greengagehead::policy {

/// Entries that use an endpoint when there are enough endpoints for each entry.
constexpr std::size_t entries_per_endpoint = 8;
/// Endpoints of one kind, zone and size that an entry uses on average. Where there are few of them,
/// more entries share each one.
constexpr std::size_t endpoints_per_entry = 3;

/// Returns how many entries share each of `endpoints` endpoints of one kind, zone and size; at
/// least 1.
[[nodiscard]] std::size_t sharing_entries(std::size_t entries, std::size_t endpoints);

/// Returns the position of `entry` in the order in which `entries` are chosen for the endpoints of
/// `agent`, from 0. `entry` need not be one of `entries`.
[[nodiscard]] std::size_t rank_of_entry(std::string_view agent, std::string_view entry,
                                        std::vector<std::string> const& entries);

/// Returns the indexes of `entries` in the order in which they are chosen for the endpoints of
/// `agent`.
[[nodiscard]] std::vector<std::size_t> order_of_entries(std::string_view agent,
                                                        std::vector<std::string> const& entries);

} // namespace greengagehead::policy
