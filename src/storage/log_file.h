// Append-only file of checksummed records with recovery.
//
// Record: magic (4 bytes), payload length (4), synced size (8), CRC32C of these fields (4), CRC32C
// of the payload (4), payload. The synced size is the length of the file that was known to be
// durable when the record was written, so a valid record proves that everything before that size
// had been acknowledged. A record without payload (a mark) is written after each sync. Recovery
// therefore tells a torn tail that nobody was told about from damage to acknowledged data.
//
// Valid records that are not proven to be durable are kept, because the mark itself may be lost.
// They may also stem from a failed sync, after which the kernel serves them from memory although
// they are not on the disk. Recovery therefore copies such a log to a new file.

#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "storage/file_system.h"

namespace greengagehead::storage {

class log_file {
public:
    struct opened;

    /// Opens or creates `folder/name`, cuts an unacknowledged torn tail and returns all payloads,
    /// made durable, in order. Errors: `corrupt` when acknowledged data is damaged, `io` otherwise.
    static base::result<opened> open(file_system& files, std::string const& folder,
                                     std::string const& name);

    /// Replaces the content of `folder/name` atomically and durably, and opens it.
    static base::result<std::unique_ptr<log_file>>
    rewrite(file_system& files, std::string const& folder, std::string const& name,
            std::vector<std::string> const& payloads);

    /// `synced` is the length known to be durable of a file of `size` bytes.
    log_file(std::unique_ptr<file> target, std::string path, std::uint64_t size,
             std::uint64_t synced);

    /// Appends all payloads and syncs once. After an error nothing more may be written to the file,
    /// because the kernel may have dropped the pages that it failed to write: every later call
    /// fails too.
    base::result<void> append(std::vector<std::string> const& payloads);

    /// Length of the file in bytes.
    [[nodiscard]] std::uint64_t size() const { return this->written; }

private:
    base::result<void> append_and_sync(std::vector<std::string> const& payloads);

    std::unique_ptr<file> target;
    std::string path;
    std::uint64_t written;
    /// Length known to be durable; never more than `written`.
    std::uint64_t synced;
    bool failed = false;
};

struct log_file::opened {
    std::unique_ptr<log_file> log;
    std::vector<std::string> payloads;
    /// Length of the torn tail that was cut.
    std::uint64_t truncated_bytes = 0;
};

} // namespace greengagehead::storage
