// Log files: encoding of records and recovery.

#include "storage/log_file.h"

#include <algorithm>
#include <optional>

#include "storage/checksum.h"

namespace greengagehead::storage {

namespace {

/// The characters GGRL when stored.
constexpr std::uint32_t record_magic = 0x4C524747;
// Offsets of the header fields, in bytes; see log_file.h for the format.
constexpr std::size_t length_offset = 4;
constexpr std::size_t synced_size_offset = 8;
constexpr std::size_t header_checksum_offset = 16;
constexpr std::size_t payload_checksum_offset = 20;
constexpr std::size_t header_bytes = 24;

struct record_header {
    std::uint32_t length = 0;
    std::uint64_t synced_size = 0;
    std::uint32_t payload_checksum = 0;
};

std::string make_record(std::string_view payload, std::uint64_t synced_size)
{
    std::string record;
    record.reserve(header_bytes + payload.size());
    put_integer(record, record_magic);
    put_integer(record, static_cast<std::uint32_t>(payload.size()));
    put_integer(record, synced_size);
    put_integer(record, crc32c(record));
    put_integer(record, crc32c(payload));
    record.append(payload);
    return record;
}

/// No value when there is no valid header at `offset`.
std::optional<record_header> read_header(std::string_view content, std::size_t offset)
{
    if (content.size() - offset < header_bytes)
        return {};
    auto const bytes = content.substr(offset, header_bytes);
    if (get_integer<std::uint32_t>(bytes, 0) != record_magic)
        return {};
    if (get_integer<std::uint32_t>(bytes, header_checksum_offset)
        != crc32c(bytes.substr(0, header_checksum_offset)))
        return {};
    return record_header {get_integer<std::uint32_t>(bytes, length_offset),
                          get_integer<std::uint64_t>(bytes, synced_size_offset),
                          get_integer<std::uint32_t>(bytes, payload_checksum_offset)};
}

/// No value when there is no valid record at `offset`.
std::optional<std::string_view> read_payload(std::string_view content, std::size_t offset)
{
    auto const header = read_header(content, offset);
    if (!header || content.size() - offset - header_bytes < header->length)
        return {};
    auto const payload = content.substr(offset + header_bytes, header->length);
    if (crc32c(payload) != header->payload_checksum)
        return {};
    return payload;
}

/// True when a later record proves that the data at `offset` had been synced and may therefore have
/// been acknowledged.
bool was_acknowledged(std::string_view content, std::size_t offset)
{
    std::string magic;
    put_integer(magic, record_magic);
    for (auto candidate = content.find(magic, offset); candidate != std::string_view::npos;
         candidate = content.find(magic, candidate + 1)) {
        auto const header = read_header(content, candidate);
        if (header && header->synced_size > offset)
            return true;
    }
    return false;
}

/// Opens a file that ends with the sync marker after `durable_size` bytes.
base::result<std::unique_ptr<log_file>> open_complete(file_system& files, std::string const& path,
                                                      std::uint64_t durable_size)
{
    BOOST_OUTCOME_TRY(target, files.open_append(path));
    return std::make_unique<log_file>(std::move(target), path, durable_size + header_bytes,
                                      durable_size);
}

base::error corruption_error(std::string const& path, std::size_t offset)
{
    return {base::error_code::corrupt,
            base::error_step::recover,
            {},
            path + ": acknowledged record at byte " + std::to_string(offset)
                + " is damaged; the file must not be used"};
}

} // namespace

base::result<log_file::open_result> log_file::open(file_system& files, std::string const& folder,
                                                   std::string const& name)
{
    auto const path = folder + "/" + name;
    auto read_result = files.read(path);
    if (!read_result && read_result.error().code != base::error_code::not_found)
        return read_result.error();
    std::string const content = read_result ? std::move(read_result.value()) : std::string();

    open_result result;
    std::size_t offset = 0;
    std::uint64_t durable_size = 0;
    while (auto const payload = read_payload(content, offset)) {
        durable_size = std::max(durable_size, read_header(content, offset)->synced_size);
        if (!payload->empty())
            result.payloads.emplace_back(*payload);
        offset += header_bytes + payload->size();
    }
    result.truncated_bytes = content.size() - offset;
    if (result.truncated_bytes > 0 && was_acknowledged(content, offset))
        return corruption_error(path, offset);

    // Everything is durable except possibly the last sync marker, so the file can be used as it is.
    bool const complete = !content.empty() && durable_size + header_bytes == content.size();
    auto opened = complete ? open_complete(files, path, durable_size)
                           : rewrite(files, folder, name, result.payloads);
    if (opened)
        result.log = std::move(opened.value());
    else
        result.write_error = opened.error();
    return result;
}

base::result<std::unique_ptr<log_file>> log_file::rewrite(file_system& files,
                                                          std::string const& folder,
                                                          std::string const& name,
                                                          std::vector<std::string> const& payloads)
{
    std::string content;
    for (auto const& payload : payloads)
        content += make_record(payload, 0);
    // The file is renamed to its final name only after the sync, so the sync marker is correct as
    // soon as it can be read.
    content += make_record({}, content.size());
    BOOST_OUTCOME_TRY(replace_file(files, folder, name, content));
    auto const path = folder + "/" + name;
    BOOST_OUTCOME_TRY(log_target, files.open_append(path));
    return std::make_unique<log_file>(std::move(log_target), path, content.size(), content.size());
}

log_file::log_file(std::unique_ptr<file> target, std::string path, std::uint64_t size,
                   std::uint64_t synced_size)
    : target(std::move(target)), path(std::move(path)), written_size(size), synced_size(synced_size)
{
}

base::result<void> log_file::append(std::vector<std::string> const& payloads)
{
    if (this->failed)
        return base::error {base::error_code::io,
                            base::error_step::sync,
                            {},
                            this->path + ": not written because an earlier write or sync failed"};
    auto result = this->append_and_sync(payloads);
    this->failed = !result;
    return result;
}

base::result<void> log_file::append_and_sync(std::vector<std::string> const& payloads)
{
    std::string bytes;
    for (auto const& payload : payloads)
        bytes += make_record(payload, this->synced_size);
    BOOST_OUTCOME_TRY(append_all(*this->target, this->path, bytes));
    this->written_size += bytes.size();
    BOOST_OUTCOME_TRY(this->target->sync());
    this->synced_size = this->written_size;
    // The sync marker becomes durable with the next sync or when the kernel writes it back.
    auto const sync_marker = make_record({}, this->synced_size);
    BOOST_OUTCOME_TRY(append_all(*this->target, this->path, sync_marker));
    this->written_size += sync_marker.size();
    return boost::outcome_v2::success();
}

} // namespace greengagehead::storage
