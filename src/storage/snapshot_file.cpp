// File format: CRC32C of everything after it (4 bytes), length of the content (8), content.

#include "storage/snapshot_file.h"

#include <utility>

#include "storage/checksum.h"

namespace greengagehead::storage {

namespace {

constexpr std::size_t checksum_bytes = 4;
constexpr std::size_t header_bytes = 12;

} // namespace

snapshot_file::snapshot_file(file_system& files, std::string folder, std::string name)
    : files(files), folder(std::move(folder)), name(std::move(name))
{
}

base::result<void> snapshot_file::write(std::string_view content)
{
    std::string body;
    body.reserve(content.size() + header_bytes);
    put_integer(body, std::uint64_t {content.size()});
    body.append(content);
    std::string bytes;
    bytes.reserve(body.size() + checksum_bytes);
    put_integer(bytes, crc32c(body));
    bytes.append(body);
    return replace_file(this->files, this->folder, this->name, bytes);
}

base::result<std::optional<std::string>> snapshot_file::read() const
{
    auto const path = this->folder + "/" + this->name;
    auto bytes = this->files.read(path);
    if (!bytes && bytes.error().code == base::error_code::not_found)
        return std::optional<std::string> {};
    if (!bytes)
        return bytes.error();
    std::string_view const view = bytes.value();
    bool const intact = view.size() >= header_bytes
        && get_integer<std::uint32_t>(view, 0) == crc32c(view.substr(checksum_bytes))
        && get_integer<std::uint64_t>(view, checksum_bytes) == view.size() - header_bytes;
    if (!intact)
        return base::error {
            base::error_code::corrupt,
            base::error_step::recover,
            {},
            path + ": the length or the checksum does not match; the file must not be used"};
    return std::optional(std::string(view.substr(header_bytes)));
}

} // namespace greengagehead::storage
