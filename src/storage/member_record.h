// Durable state of one group member: its random identity, its term and its vote. The list of group
// members is not stored here but in the log and the snapshot, because it depends on the log index.

#pragma once

#include <cstdint>
#include <optional>

#include "base/error.h"
#include "storage/snapshot_file.h"

namespace greengagehead::storage {

struct member_record {
    /// Random, created together with the data folder. A folder whose content was lost gets a new
    /// identity.
    std::uint64_t identity = 0;
    /// Current consensus term.
    std::uint64_t term = 0;
    /// Identity of the member that this member voted for in `term`; 0 if it has not voted.
    std::uint64_t vote = 0;

    bool operator==(member_record const&) const = default;
};

/// Durable once this has succeeded. Errors: `io`.
base::result<void> write_record(snapshot_file& target, member_record const& record);

/// No value when the data folder is new. Errors: `corrupt`, `io`.
base::result<std::optional<member_record>> read_record(snapshot_file const& source);

} // namespace greengagehead::storage
