// Field lists of the snapshot structs. The order of the fields is part of the snapshot format.
// Included by the snapshot code only.

#pragma once

#include "protocol/fields.h"
#include "state/claim_section.h"
#include "state/control_state.h"

namespace greengagehead::state {

/// First section of a snapshot. The section counts say how many sections of each kind follow.
struct snapshot_header {
    std::uint32_t version = 0; ///< Version of the snapshot format.
    protocol::view_number view = 0;
    protocol::wall_time latest_time {0};
    std::uint64_t takeovers = 0; ///< Sequence number of the latest takeover.
    std::uint64_t claim_sections = 0;
    std::uint64_t tombstone_sections = 0;
};

} // namespace greengagehead::state

namespace greengagehead::protocol {

template <> struct field_list<state::snapshot_header> {
    static auto of(auto& m)
    {
        return std::tie(m.version, m.view, m.latest_time, m.takeovers, m.claim_sections,
                        m.tombstone_sections);
    }
};
template <> struct field_list<state::recorded_change> {
    static auto of(auto& m) { return std::tie(m.key, m.content, m.result); }
};
template <> struct field_list<state::setting_image> {
    static auto of(auto& m) { return std::tie(m.current, m.history); }
};
template <> struct field_list<state::settings_image> {
    static auto of(auto& m) { return std::tie(m.settings, m.recorded_changes); }
};
template <> struct field_list<state::zone_image> {
    static auto of(auto& m) { return std::tie(m.zones_out, m.draining, m.recorded_changes); }
};
template <> struct field_list<state::retired_entry> {
    static auto of(auto& m) { return std::tie(m.id, m.replaced, m.retired_in_view); }
};
template <> struct field_list<state::entry_image> {
    static auto of(auto& m) { return std::tie(m.live, m.retired); }
};
template <> struct field_list<state::retired_agent> {
    static auto of(auto& m) { return std::tie(m.agent, m.replaced); }
};
template <> struct field_list<state::agent_image> {
    static auto of(auto& m) { return std::tie(m.registered, m.retired); }
};
template <> struct field_list<state::claim_section> {
    static auto of(auto& m)
    {
        return std::tie(m.names, m.owners, m.jobs, m.digests, m.submissions, m.numbers);
    }
};
template <> struct field_list<state::tombstone_image> {
    static auto of(auto& m) { return std::tie(m.hour, m.keys); }
};

} // namespace greengagehead::protocol
