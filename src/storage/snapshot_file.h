// A whole-file snapshot with a checksum, replaced atomically.

#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "base/error.h"
#include "storage/file_system.h"

namespace greengagehead::storage {

class snapshot_file {
public:
    snapshot_file(file_system& files, std::string folder, std::string name);

    /// Durable once this has succeeded; on an error the previous content is still there.
    base::result<void> write(std::string_view content);

    /// Empty when no snapshot was written. Errors: `corrupt` when the checksum does not match.
    [[nodiscard]] base::result<std::optional<std::string>> read() const;

private:
    file_system& files;
    std::string folder;
    std::string name;
};

} // namespace greengagehead::storage
