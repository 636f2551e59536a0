// Entries and snapshots start with a binary header of fixed size; memberships are CBOR.

#include "consensus/encoding.h"

#include <exception>

#include "protocol/cbor_fields.h"
#include "storage/checksum.h"

namespace greengagehead::consensus {

namespace {

constexpr std::size_t integer_bytes = sizeof(std::uint64_t);
constexpr std::size_t entry_header_bytes = 2 * integer_bytes + 1;
constexpr std::size_t snapshot_header_bytes = 3 * integer_bytes;

base::error malformed(std::string text)
{
    return {base::error_code::malformed, base::error_step::decode, {}, std::move(text)};
}

} // namespace

std::string encode(protocol::log_entry const& entry)
{
    std::string bytes;
    bytes.reserve(entry_header_bytes + entry.data.size());
    storage::put_integer(bytes, entry.index);
    storage::put_integer(bytes, entry.term);
    bytes.push_back(static_cast<char>(entry.kind));
    bytes.append(entry.data);
    return bytes;
}

std::string encode(protocol::membership const& members)
{
    return protocol::detail::to_cbor(members);
}

std::string encode(snapshot_content const& content)
{
    auto const members = encode(content.members);
    std::string bytes;
    bytes.reserve(snapshot_header_bytes + members.size() + content.state.size());
    storage::put_integer(bytes, content.last.index);
    storage::put_integer(bytes, content.last.term);
    storage::put_integer(bytes, std::uint64_t {members.size()});
    bytes.append(members);
    bytes.append(content.state);
    return bytes;
}

base::result<protocol::log_entry> decode_entry(std::string_view bytes)
{
    if (bytes.size() < entry_header_bytes)
        return malformed("log entry is shorter than its header");
    auto const kind = static_cast<unsigned char>(bytes[2 * integer_bytes]);
    if (kind > static_cast<unsigned char>(protocol::log_entry_kind::membership))
        return malformed("log entry has unknown kind " + std::to_string(kind));
    return protocol::log_entry {storage::get_integer<std::uint64_t>(bytes, 0),
                                storage::get_integer<std::uint64_t>(bytes, integer_bytes),
                                static_cast<protocol::log_entry_kind>(kind),
                                std::string(bytes.substr(entry_header_bytes))};
}

base::result<protocol::membership> decode_membership(std::string_view bytes)
{
    try {
        return protocol::detail::from_cbor<protocol::membership>(bytes);
    } catch (std::exception const& failure) {
        return malformed(std::string("membership cannot be decoded: ") + failure.what());
    }
}

base::result<snapshot_content> decode_snapshot(std::string_view bytes)
{
    if (bytes.size() < snapshot_header_bytes)
        return malformed("snapshot is shorter than its header");
    auto const members_size = storage::get_integer<std::uint64_t>(bytes, 2 * integer_bytes);
    if (members_size > bytes.size() - snapshot_header_bytes)
        return malformed("membership size in the snapshot header exceeds the snapshot");
    snapshot_content content;
    content.last.index = storage::get_integer<std::uint64_t>(bytes, 0);
    content.last.term = storage::get_integer<std::uint64_t>(bytes, integer_bytes);
    BOOST_OUTCOME_TRY(members,
                      decode_membership(bytes.substr(snapshot_header_bytes, members_size)));
    content.members = std::move(members);
    content.state = bytes.substr(snapshot_header_bytes + members_size);
    return content;
}

} // namespace greengagehead::consensus
