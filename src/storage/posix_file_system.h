// Implementation of the file_system interface with POSIX system calls.

#pragma once

#include "storage/file_system.h"

namespace greengagehead::storage {

class posix_file_system : public file_system {
public:
    base::result<std::unique_ptr<file>> open_append(std::string const& path) override;
    base::result<std::string> read(std::string const& path) override;
    base::result<void> rename(std::string const& from, std::string const& to) override;
    base::result<void> remove(std::string const& path) override;
    base::result<void> create_folder(std::string const& path) override;
    base::result<std::unique_ptr<folder_lock>> lock_folder(std::string const& path) override;
    base::result<void> sync_folder(std::string const& path) override;
};

} // namespace greengagehead::storage
