// A checksummed file that is always read and replaced as a whole.

#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "base/error.h"
#include "storage/file_system.h"

namespace greengagehead::storage {

/// Holds one value in `folder/name`, for example a snapshot of the state.
class snapshot_file {
public:
    snapshot_file(file_system& files, std::string folder, std::string name);

    /// Atomically replaces the content. The new content is durable once this has succeeded.
    /// Errors: `io`; the file then has the previous content, or the new one if only the sync of the
    /// folder failed.
    base::result<void> write(std::string_view content);

    /// No value when nothing was written yet. Errors: `corrupt` when the length or the checksum
    /// does not match, `io` otherwise.
    [[nodiscard]] base::result<std::optional<std::string>> read() const;

private:
    file_system& files;
    std::string folder;
    std::string name;
};

} // namespace greengagehead::storage
