// Data folder of one member: the member record (identity, term and vote), the snapshot and the log.

#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/error.h"
#include "consensus/raft_node.h"
#include "storage/file_system.h"
#include "storage/log_file.h"
#include "storage/member_record.h"
#include "storage/snapshot_file.h"

namespace greengagehead::consensus {

class member_store {
public:
    /// Content of the folder.
    struct recovered {
        raft_initial_state raft;
        /// State of the snapshot; empty when there is none.
        std::string state;
        bool has_snapshot = false;
        /// Size of the incomplete data at the end of the log file that was cut off, in bytes.
        std::uint64_t truncated_bytes = 0;
        /// Set when the folder could be read but not written, for example because the disk is full.
        /// `rewrite` must then succeed before anything else is written.
        std::optional<base::error> write_error;
    };

    member_store(storage::file_system& files, std::string folder);

    /// Opens and locks the folder, so that no two processes vote under one identity. A new folder
    /// gets `new_identity`. Errors: `corrupt` and `malformed` for damaged data, `io` when it cannot
    /// be read, `conflict` when another process uses the folder.
    base::result<recovered> open(std::uint64_t new_identity);

    /// Renames the files of a damaged folder, so that the member can start with an empty log under
    /// another identity. The damaged files stay in the folder for inspection.
    base::result<void> set_aside();
    /// True when the folder contains files that `set_aside` renamed. Such a member must never
    /// bootstrap a group, because its files may contain acknowledged data of an existing one.
    [[nodiscard]] bool has_damaged_data() const;

    // The data is durable when one of these functions succeeds. After an error the content of the
    // files is unknown, and `rewrite` must succeed before the next call of another function.

    base::result<void> save_vote(std::uint64_t term, protocol::member_id vote);
    base::result<void> append(std::vector<protocol::log_entry> const& entries);
    /// Replaces the snapshot, and rewrites the log with the entries in `remaining`.
    base::result<void> save_snapshot(std::string const& content,
                                     std::vector<protocol::log_entry> const& remaining);

    /// Writes the vote and the log to new files, and the snapshot too if `new_snapshot` is set. The
    /// data of files that a write or sync has failed on is not used again.
    base::result<void> rewrite(std::uint64_t term, protocol::member_id vote,
                               std::optional<std::string> const& new_snapshot,
                               std::vector<protocol::log_entry> const& entries);

    /// Returns the content of the snapshot file. Errors: `corrupt` when it is missing or damaged,
    /// `io`.
    [[nodiscard]] base::result<std::string> read_snapshot() const;

private:
    base::result<void> open_record(std::uint64_t new_identity, recovered& result);
    base::result<void> open_snapshot(recovered& result);
    base::result<void> open_log(recovered& result);
    base::result<void> rewrite_log(std::vector<protocol::log_entry> const& entries);

    storage::file_system& files;
    std::string folder;
    std::unique_ptr<storage::folder_lock> lock;
    storage::snapshot_file record_file;
    storage::snapshot_file snapshot;
    storage::member_record record;
    std::unique_ptr<storage::log_file> log;
};

} // namespace greengagehead::consensus
