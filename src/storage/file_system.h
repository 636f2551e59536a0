// The file operations that durable storage needs. Tests replace them with a faulty in-memory
// version.

#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "base/error.h"

namespace greengagehead::storage {

/// A file open for appending. Written bytes are durable only after a successful `sync`.
class file {
public:
    file() = default;
    virtual ~file() = default;
    file(file const&) = delete;
    file& operator=(file const&) = delete;
    file(file&&) = delete;
    file& operator=(file&&) = delete;

    /// Returns the number of bytes written, which may be less than given.
    virtual base::result<std::size_t> append(std::string_view bytes) = 0;
    virtual base::result<void> sync() = 0;
};

/// Exclusive use of a folder, until destroyed.
class folder_lock {
public:
    folder_lock() = default;
    virtual ~folder_lock() = default;
    folder_lock(folder_lock const&) = delete;
    folder_lock& operator=(folder_lock const&) = delete;
    folder_lock(folder_lock&&) = delete;
    folder_lock& operator=(folder_lock&&) = delete;
};

/// All errors have the code `io`, or `not_found` for a missing file.
class file_system {
public:
    file_system() = default;
    virtual ~file_system() = default;
    file_system(file_system const&) = delete;
    file_system& operator=(file_system const&) = delete;
    file_system(file_system&&) = delete;
    file_system& operator=(file_system&&) = delete;

    /// Creates the file when it is missing. Its name is durable only after `sync_folder`.
    virtual base::result<std::unique_ptr<file>> open_append(std::string const& path) = 0;
    virtual base::result<std::string> read(std::string const& path) = 0;
    /// Replaces `to` atomically. Durable only after `sync_folder`.
    virtual base::result<void> rename(std::string const& from, std::string const& to) = 0;
    /// Succeeds when the file is missing.
    virtual base::result<void> remove(std::string const& path) = 0;
    /// Creates the folder and its parents when they are missing.
    virtual base::result<void> create_folder(std::string const& path) = 0;
    /// Errors: `conflict` when another process holds the lock.
    virtual base::result<std::unique_ptr<folder_lock>> lock_folder(std::string const& path) = 0;
    virtual base::result<void> sync_folder(std::string const& path) = 0;
};

/// Writes `bytes` to `path` so that after a crash either the old or the new content is there:
/// temporary file, sync, rename, sync of the folder.
base::result<void> replace_file(file_system& files, std::string const& folder,
                                std::string const& name, std::string_view bytes);

/// Appends all of `bytes`; a short write is an error.
base::result<void> append_all(file& target, std::string const& path, std::string_view bytes);

} // namespace greengagehead::storage
