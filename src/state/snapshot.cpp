// Snapshot format of control_state: sections of CBOR, each preceded by its length in four bytes.
// Claims are split over many sections, so that few of them are held in decoded form at a time.

#include <exception>
#include <stdexcept>
#include <utility>
#include <vector>

#include "protocol/json_fields.h"
#include "state/control_state.h"
#include "state/snapshot_fields.h"

namespace greengagehead::state {

namespace {

constexpr std::uint32_t snapshot_version = 2;
constexpr std::size_t claims_per_section = 1000;
constexpr std::size_t length_width = 4;

template <typename T> void append_section(std::string& bytes, T const& part)
{
    auto const section = protocol::detail::to_cbor(part);
    for (std::size_t index = 0; index < length_width; ++index)
        bytes += static_cast<char>((section.size() >> (8 * index)) & 0xFFU);
    bytes += section;
}

template <typename T> T take_section(std::string_view& bytes)
{
    if (bytes.size() < length_width)
        throw std::out_of_range("snapshot ends early");
    std::size_t size = 0;
    for (std::size_t index = 0; index < length_width; ++index)
        size |= static_cast<std::size_t>(static_cast<unsigned char>(bytes[index])) << (8 * index);
    bytes.remove_prefix(length_width);
    if (bytes.size() < size)
        throw std::out_of_range("snapshot ends early");
    auto part = protocol::detail::from_cbor<T>(bytes.substr(0, size));
    bytes.remove_prefix(size);
    return part;
}

/// Appends all claims and returns the number of sections.
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
    auto const claim_sections = append_claims(claims, this->jobs);
    auto const tombstones = this->jobs.tombstone_images();
    std::string bytes;
    append_section(bytes,
                   snapshot_header {snapshot_version, this->number, this->latest,
                                    this->jobs.takeover_count(), claim_sections,
                                    tombstones.size()});
    append_section(bytes, this->tree.image());
    append_section(bytes, this->zones.image());
    append_section(bytes, this->live.image());
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
        control_state fresh(this->limits);
        auto const header = take_section<snapshot_header>(bytes);
        if (header.version != snapshot_version)
            throw std::out_of_range("unsupported version " + std::to_string(header.version));
        fresh.number = header.view;
        fresh.latest = header.latest;
        fresh.jobs.restore_takeover_count(header.takeovers);
        fresh.tree.restore(take_section<settings_image>(bytes));
        fresh.zones.restore(take_section<zone_image>(bytes));
        fresh.live.restore(take_section<entry_image>(bytes));
        fresh.known_agents.restore(take_section<agent_image>(bytes));
        fresh.routing = take_section<protocol::document>(bytes);
        for (std::uint64_t index = 0; index < header.claim_sections; ++index)
            for (auto const& image : unpack(take_section<claim_section>(bytes)))
                fresh.jobs.restore(image);
        for (std::uint64_t index = 0; index < header.tombstone_sections; ++index)
            fresh.jobs.restore(take_section<tombstone_image>(bytes));
        if (!bytes.empty())
            throw std::out_of_range("snapshot is longer than it says");
        *this = std::move(fresh);
        return boost::outcome_v2::success();
    } catch (std::exception const& failure) {
        return base::error {base::error_code::corrupt,
                            base::error_step::recover,
                            {},
                            std::string("snapshot refused: ") + failure.what()};
    }
}

} // namespace greengagehead::state
