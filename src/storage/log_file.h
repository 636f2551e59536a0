// Append-only file of checksummed records with recovery.
//
// Record: magic (4 bytes), payload length (4), synced size (8), CRC32C of these fields (4), CRC32C
// of the payload (4), payload. The synced size is the length of the file that was known to be
// durable when the record was written, so a valid record proves that all data before that offset
// had been synced and may have been acknowledged. A record without payload, the sync marker, is
// written after each sync. Recovery can therefore distinguish a torn write that was never
// acknowledged, which it truncates, from damage to acknowledged data, which is an error.
//
// Recovery keeps valid records that are not proven to be durable, because the last sync marker may
// have been lost in the crash. Such records can also be left by a failed sync: the kernel still
// returns them from the page cache although they are not on the disk. Recovery therefore copies
// such a log to a new file.

#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "storage/file_system.h"

namespace greengagehead::storage {

/// A log open for appending.
class log_file {
public:
    struct open_result;

    /// Opens or creates `folder/name`, truncates an unacknowledged torn write at its end and
    /// returns all payloads in order; they are durable unless the result has a write error. Errors:
    /// `corrupt` when acknowledged data is damaged, `io` when the file cannot be read.
    static base::result<open_result> open(file_system& files, std::string const& folder,
                                          std::string const& name);

    /// Atomically and durably replaces the content of `folder/name` by `payloads`, and opens it.
    static base::result<std::unique_ptr<log_file>>
    rewrite(file_system& files, std::string const& folder, std::string const& name,
            std::vector<std::string> const& payloads);

    /// For a file of `size` bytes, of which the first `synced_size` are known to be durable.
    log_file(std::unique_ptr<file> target, std::string path, std::uint64_t size,
             std::uint64_t synced_size);

    /// Appends all payloads and syncs once. After an error every later call fails too: the kernel
    /// may have dropped the pages that it failed to write, so a later sync could succeed without
    /// the data being on the disk.
    base::result<void> append(std::vector<std::string> const& payloads);

    /// Length of the file in bytes.
    [[nodiscard]] std::uint64_t size() const { return this->written_size; }

private:
    base::result<void> append_and_sync(std::vector<std::string> const& payloads);

    std::unique_ptr<file> target;
    std::string path;
    /// Length of the file in bytes.
    std::uint64_t written_size;
    /// Length known to be durable, in bytes. Invariant: at most `written_size`.
    std::uint64_t synced_size;
    /// Set by the first failed write or sync; nothing is written afterwards.
    bool failed = false;
};

struct log_file::open_result {
    /// Null if and only if `write_error` is set.
    std::unique_ptr<log_file> log;
    /// Why the file could not be opened for writing, or could not be rewritten. The payloads are
    /// then not known to be durable; the caller has to write them with `rewrite`.
    std::optional<base::error> write_error;
    /// Recovered payloads in the order in which they were appended.
    std::vector<std::string> payloads;
    /// Length of the torn write that was removed from the end of the file.
    std::uint64_t truncated_bytes = 0;
};

} // namespace greengagehead::storage
