// Packed form of many claims in a snapshot. Encoding each claim through a field list would build
// about twenty JSON values per claim, and a member cannot answer requests while it takes a
// snapshot.

#pragma once

#include <string>
#include <vector>

#include "protocol/identity.h"
#include "state/claim_table.h"

namespace greengagehead::state {

/// Columns of a group of claims. Each column lists the claims in the same order.
struct claim_section {
    std::vector<std::string> names; ///< Distinct teams and backups, in order of first use.
    std::vector<protocol::process_id> owners; ///< Distinct owners, in order of first use.
    std::string jobs; ///< Job ids, 16 bytes each.
    std::string digests; ///< 32 bytes each.
    std::string submissions; ///< Concatenated; their lengths are in `numbers`.
    std::string numbers; ///< A fixed count of 64-bit numbers per claim, in little-endian order.
};

/// Throws std::out_of_range for a claim whose job id or digest is not hexadecimal of the right
/// size.
[[nodiscard]] claim_section pack(std::vector<claim_image> const& claims);

/// Throws std::out_of_range when a column is too short or a number does not index its list.
[[nodiscard]] std::vector<claim_image> unpack(claim_section const& section);

} // namespace greengagehead::state
