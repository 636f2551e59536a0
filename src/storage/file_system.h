// The file operations that durable storage needs. Tests implement them in memory and inject disk
// faults.

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

    /// Returns the number of bytes written, which may be less than the size of `bytes`.
    virtual base::result<std::size_t> append(std::string_view bytes) = 0;
    /// Makes all bytes written so far durable.
    virtual base::result<void> sync() = 0;
};

/// Exclusive lock on a folder, released by the destructor.
class folder_lock {
public:
    folder_lock() = default;
    virtual ~folder_lock() = default;
    folder_lock(folder_lock const&) = delete;
    folder_lock& operator=(folder_lock const&) = delete;
    folder_lock(folder_lock&&) = delete;
    folder_lock& operator=(folder_lock&&) = delete;
};

/// Operations on files and folders. Unless stated otherwise, errors have the code `io`, or
/// `not_found` when the file or folder does not exist.
class file_system {
public:
    file_system() = default;
    virtual ~file_system() = default;
    file_system(file_system const&) = delete;
    file_system& operator=(file_system const&) = delete;
    file_system(file_system&&) = delete;
    file_system& operator=(file_system&&) = delete;

    /// Opens the file for appending and creates it if it does not exist. The directory entry of a
    /// new file is durable only after `sync_folder`.
    virtual base::result<std::unique_ptr<file>> open_append(std::string const& path) = 0;
    /// Returns the whole content of the file.
    virtual base::result<std::string> read(std::string const& path) = 0;
    /// Renames `from` to `to` and atomically replaces an existing `to`. Durable only after
    /// `sync_folder`.
    virtual base::result<void> rename(std::string const& from, std::string const& to) = 0;
    /// Removes the file. Succeeds if it does not exist.
    virtual base::result<void> remove(std::string const& path) = 0;
    /// Creates the folder and its parents if they do not exist.
    virtual base::result<void> create_folder(std::string const& path) = 0;
    /// Acquires the exclusive lock without waiting. Errors: `conflict` when it is held elsewhere,
    /// for example by another process.
    virtual base::result<std::unique_ptr<folder_lock>> lock_folder(std::string const& path) = 0;
    /// Makes created, renamed and removed directory entries of the folder durable.
    virtual base::result<void> sync_folder(std::string const& path) = 0;
};

/// Replaces the content of `folder/name` atomically and durably: after a crash the file has either
/// the old or the new content. Writes and syncs a temporary file, renames it and syncs the folder.
base::result<void> replace_file(file_system& files, std::string const& folder,
                                std::string const& name, std::string_view bytes);

/// Appends all of `bytes` to `target`. A short write is an error (`io`); `path` is only used in its
/// message.
base::result<void> append_all(file& target, std::string const& path, std::string_view bytes);

} // namespace greengagehead::storage
