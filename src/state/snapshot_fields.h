// Field lists of the snapshot structs; their order is part of the snapshot format. Included by the
// snapshot code only.

#pragma once

#include "protocol/fields.h"
#include "state/claim_section.h"
#include "state/control_state.h"

namespace greengagehead::state {

/// First section of a snapshot; the counts say how many sections of each kind follow.
struct snapshot_header {
    std::uint32_t version = 0;
    protocol::view_number view = 0;
    protocol::wall_time latest {0};
    std::uint64_t takeovers = 0;
    std::uint64_t claim_sections = 0;
    std::uint64_t tombstone_sections = 0;
};

} // namespace greengagehead::state

namespace greengagehead::protocol {

template <> struct field_list<state::snapshot_header> {
    static auto of(auto& m)
    {
        return std::tie(m.version, m.view, m.latest, m.takeovers, m.claim_sections,
                        m.tombstone_sections);
    }
};
template <> struct field_list<state::remembered_change> {
    static auto of(auto& m) { return std::tie(m.key, m.content, m.result); }
};
template <> struct field_list<state::setting_image> {
    static auto of(auto& m) { return std::tie(m.current, m.history); }
};
template <> struct field_list<state::settings_image> {
    static auto of(auto& m) { return std::tie(m.settings, m.remembered); }
};
template <> struct field_list<state::zone_image> {
    static auto of(auto& m) { return std::tie(m.zones_out, m.draining, m.remembered); }
};
template <> struct field_list<state::past_entry> {
    static auto of(auto& m) { return std::tie(m.id, m.replaced, m.retired_in_view); }
};
template <> struct field_list<state::entry_image> {
    static auto of(auto& m) { return std::tie(m.live, m.past); }
};
template <> struct field_list<state::past_agent> {
    static auto of(auto& m) { return std::tie(m.agent, m.replaced); }
};
template <> struct field_list<state::agent_image> {
    static auto of(auto& m) { return std::tie(m.registered, m.past); }
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
