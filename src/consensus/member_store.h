// Data folder of one member: record, snapshot and log.

#pragma once

#include <cstdint>
#include <memory>
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
    /// What was found in the folder.
    struct recovered {
        raft_initial_state start;
        /// State of the snapshot; empty when there is none.
        std::string state;
        bool has_snapshot = false;
        std::uint64_t cut_bytes = 0;
    };

    member_store(storage::file_system& files, std::string folder);

    /// Opens and locks the folder, so that no two processes vote under one identity; a new folder
    /// gets `new_identity`. Errors: `corrupt`, `io`, `conflict` when another process uses it.
    base::result<recovered> open(std::uint64_t new_identity);

    /// Renames the files of a damaged folder, so that the member can start anew under another
    /// identity. The damaged data stays for inspection.
    base::result<void> set_aside();
    /// True when damaged data was set aside here. Such a member must never found a group: its group
    /// may have lost acknowledged data.
    [[nodiscard]] bool was_damaged() const;

    // All of these are durable once they have succeeded. After an error the store must not be used.
    base::result<void> save_vote(std::uint64_t term, protocol::member_id vote);
    base::result<void> append(std::vector<protocol::log_entry> const& entries);
    /// Replaces the snapshot, and the log by `remaining`.
    base::result<void> save_snapshot(std::string const& content,
                                     std::vector<protocol::log_entry> const& remaining);

    /// Content of the snapshot file.
    [[nodiscard]] base::result<std::string> read_snapshot() const;

private:
    base::result<void> open_record(std::uint64_t new_identity);
    base::result<void> open_snapshot(recovered& result);
    base::result<void> open_log(recovered& result);

    storage::file_system& files;
    std::string folder;
    std::unique_ptr<storage::folder_lock> lock;
    storage::snapshot_file record_file;
    storage::snapshot_file snapshot;
    storage::member_record record;
    std::unique_ptr<storage::log_file> log;
};

} // namespace greengagehead::consensus
