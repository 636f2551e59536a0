// Packed form of many claims in a snapshot. A field list per claim would build some twenty JSON
// values for each, and a member cannot answer while it takes a snapshot.

#pragma once

#include <string>
#include <vector>

#include "protocol/identity.h"
#include "state/claim_table.h"

namespace greengagehead::state {

struct claim_section {
    std::vector<std::string> names; ///< Teams and backups, in order of first use.
    std::vector<protocol::process_id> owners; ///< In order of first use.
    std::string jobs; ///< 16 bytes each.
    std::string digests; ///< 32 bytes each.
    std::string submissions; ///< One after the other; the lengths are among the numbers.
    std::string numbers; ///< Per claim a fixed count of 64-bit numbers, lowest byte first.
};

[[nodiscard]] claim_section pack(std::vector<claim_image> const& claims);

/// Throws std::out_of_range when the parts do not fit together.
[[nodiscard]] std::vector<claim_image> unpack(claim_section const& section);

} // namespace greengagehead::state
