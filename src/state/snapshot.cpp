// Snapshot format of control_state: a sequence of CBOR sections, each preceded by its length in
// four bytes, in little-endian order. Claims are split into many sections, so that only one group
// of them is in decoded form at a time.

#include <exception>
#include <stdexcept>
#include <utility>
#include <vector>

#include "protocol/cbor_fields.h"
#include "state/control_state.h"
#include "state/snapshot_fields.h"

namespace greengagehead::state {

namespace {

constexpr std::uint32_t snapshot_version = 2;
constexpr std::size_t claims_per_section = 1000;
constexpr std::size_t length_size_bytes = 4;

template <typename T> void append_section(std::string& bytes, T const& content)
{
    auto const section = protocol::detail::to_cbor(content);
    for (std::size_t index = 0; index < length_size_bytes; ++index)
        bytes += static_cast<char>((section.size() >> (8 * index)) & 0xFFU);
    bytes += section;
}

template <typename T> T take_section(std::string_view& bytes)
{
    if (bytes.size() < length_size_bytes)
        throw std::out_of_range("snapshot is truncated");
    std::size_t size = 0;
    for (std::size_t index = 0; index < length_size_bytes; ++index)
        size |= static_cast<std::size_t>(static_cast<unsigned char>(bytes[index])) << (8 * index);
    bytes.remove_prefix(length_size_bytes);
    if (bytes.size() < size)
        throw std::out_of_range("snapshot is truncated");
    auto content = protocol::detail::from_cbor<T>(bytes.substr(0, size));
    bytes.remove_prefix(size);
    return content;
}

/// Appends all claims and returns the number of sections they take.
std::uint64_t append_claims(std::string& bytes, claim_table const& claims)
{
    std::uint64_t sections = 0;
    std::vector<claim_image> pending;
    auto const flush = [&] {
        append_section(bytes, pack(pending));
        pending.clear();
        ++sections;
    };
    claims.visit([&](claim_image const& image) {
        pending.push_back(image);
        if (pending.size() == claims_per_section)
            flush();
    });
    if (!pending.empty())
        flush();
    return sections;
}

} // namespace

std::string control_state::snapshot() const
{
    std::string claims;
    auto const claim_sections = append_claims(claims, this->job_claims);
    auto const tombstones = this->job_claims.tombstone_images();
    std::string bytes;
    append_section(bytes,
                   snapshot_header {snapshot_version, this->current_view_number, this->latest_time,
                                    this->job_claims.takeover_count(), claim_sections,
                                    tombstones.size()});
    append_section(bytes, this->stored_settings.image());
    append_section(bytes, this->zones.image());
    append_section(bytes, this->live_entries.image());
    append_section(bytes, this->known_agents.image());
    append_section(bytes, this->routing);
    bytes += claims;
    for (auto const& image : tombstones)
        append_section(bytes, image);
    return bytes;
}

base::result<void> control_state::restore(std::string_view bytes)
{
    try {
        control_state restored(this->limits);
        auto const header = take_section<snapshot_header>(bytes);
        if (header.version != snapshot_version)
            throw std::out_of_range("unsupported snapshot version "
                                    + std::to_string(header.version));
        restored.current_view_number = header.view;
        restored.latest_time = header.latest_time;
        restored.job_claims.restore_takeover_count(header.takeovers);
        restored.stored_settings.restore(take_section<settings_image>(bytes));
        restored.zones.restore(take_section<zone_image>(bytes));
        restored.live_entries.restore(take_section<entry_image>(bytes));
        restored.known_agents.restore(take_section<agent_image>(bytes));
        restored.routing = take_section<protocol::document>(bytes);
        for (std::uint64_t index = 0; index < header.claim_sections; ++index)
            for (auto const& image : unpack(take_section<claim_section>(bytes)))
                restored.job_claims.restore(image);
        for (std::uint64_t index = 0; index < header.tombstone_sections; ++index)
            restored.job_claims.restore(take_section<tombstone_image>(bytes));
        if (!bytes.empty())
            throw std::out_of_range("unexpected bytes after the last section");
        *this = std::move(restored);
        return boost::outcome_v2::success();
    } catch (std::exception const& error) {
        return base::error {base::error_code::corrupt,
                            base::error_step::recover,
                            {},
                            std::string("cannot restore the snapshot: ") + error.what()};
    }
}

} // namespace greengagehead::state
