// Durable record of a group member: its random identity, term and vote. Membership is kept in the
// log and the snapshot, where it belongs to a log index.

#pragma once

#include <cstdint>
#include <optional>

#include "base/error.h"
#include "storage/snapshot_file.h"

namespace greengagehead::storage {

struct member_record {
    /// Created with the data folder; a wiped folder gets a new one.
    std::uint64_t identity = 0;
    std::uint64_t term = 0;
    /// Identity that got the vote of this member in `term`; 0 for none.
    std::uint64_t vote = 0;

    bool operator==(member_record const&) const = default;
};

base::result<void> write_record(snapshot_file& target, member_record const& record);

/// Empty when the data folder is new. Errors: `corrupt`, `io`.
base::result<std::optional<member_record>> read_record(snapshot_file const& source);

} // namespace greengagehead::storage
