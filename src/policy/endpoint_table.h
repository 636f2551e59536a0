// Endpoints as one entry sees them: the agents' reports plus the entry's own outstanding starts.

#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "protocol/message.h"

namespace greengagehead::policy {

struct endpoint_record {
    protocol::endpoint_state state; ///< As last reported by the agent.
    protocol::process_id agent;
    std::string region;
    std::string zone;
    /// Slots of this entry's starts without an outcome yet. Counted here, so it never lags; the
    /// report only contributes what other entries hold.
    std::uint32_t outstanding = 0;
    /// Part of the slots that this entry may use whatever the last report says; 0 with one entry.
    std::uint32_t own_part = 0;
    /// Slots in use here; below `state.slots` for a short time after the endpoint or its zone came
    /// back.
    std::uint32_t usable_slots = 0;
    base::steady_time reported_at; ///< When the use of the slots was last reported.
    bool refused = false; ///< The agent refused a start after its last report or outcome.
    bool drain_requested = false; ///< Drained by operators.
    bool zone_out = false;
    bool agent_registered = false; ///< join_agent of this incarnation is committed.
};

/// Slots in use at the endpoint: those of other entries as last reported, and own ones.
[[nodiscard]] std::uint64_t slots_in_use(endpoint_record const& endpoint);

/// What a task needs of an endpoint. Empty and zero fields stand for no requirement.
struct requirement {
    std::string_view kind;
    std::string_view region;
    std::string_view zone;
    std::uint32_t cpu = 0;
    std::uint32_t memory_mb = 0;
    std::uint32_t slots = 1; ///< Slots that must be free.
};

/// What the known endpoints offer to a requirement.
struct capacity {
    std::uint32_t known = 0; ///< Endpoints that fit, including those that get no work now.
    std::uint64_t usable_slots = 0; ///< Slots, free or not, of those that may get work.
};

/// Endpoints of one zone and size that have a free slot.
using candidate_group = std::span<endpoint_record const* const>;

/// Owned by the entry; not thread-safe. An index by kind, zone and size holds exactly the endpoints
/// with a free slot, so that a placement decision looks at a few endpoints only. Whether enough
/// slots are free for a task that needs several is up to `free_slots`.
class endpoint_table {
public:
    endpoint_table();
    ~endpoint_table();
    endpoint_table(endpoint_table const&) = delete;
    endpoint_table& operator=(endpoint_table const&) = delete;

    /// Replaces what is known of the agent's endpoints. Endpoints missing from the report are gone.
    void update(protocol::agent_report const& report, base::steady_time now);
    /// Takes over how much of a known endpoint is in use. Ignored when it comes from another
    /// incarnation of the agent than the last report.
    void update_use(protocol::process_id const& agent, protocol::endpoint_use const& use,
                    base::steady_time now);
    void remove_agent(std::string const& agent);
    void set_agent_registered(protocol::process_id const& agent);
    void set_zones_out(std::vector<std::string> const& zones);
    void set_draining(std::vector<std::string> const& endpoints);

    /// Unknown endpoints are ignored.
    void record_start(std::string const& endpoint, std::uint32_t slots = 1);
    void record_outcome(std::string const& endpoint, std::uint32_t slots = 1);
    /// The agent refused a start because its slots and its queue are full. Takes the start back,
    /// like record_outcome, and counts the endpoint as full until the next report or outcome.
    void record_refusal(std::string const& endpoint);
    /// Counts the endpoint as full until the next report or outcome.
    void mark_full(std::string const& endpoint);
    /// Number of live entries and the rank of this one among them, from 0. Each endpoint's slots
    /// are divided among the entries; the parts differ by at most one and add up to the slots.
    /// Placement prefers endpoints where the entry is below its part, because reports lag and other
    /// entries use the same endpoints. Initially one entry.
    void set_entries(std::uint32_t count, std::uint32_t rank);

    [[nodiscard]] endpoint_record const* find(std::string const& endpoint) const;
    [[nodiscard]] std::map<std::string, endpoint_record> const& all() const;
    /// Free places of an endpoint: slots less what other entries hold and own outstanding starts; 0
    /// when it must not get work (draining, zone out, agent not registered). With several entries
    /// it is at least the unused rest of the own part, unless the agent refused a start since its
    /// last report.
    [[nodiscard]] std::uint32_t free_slots(endpoint_record const& endpoint) const;

    /// Appends the groups of endpoints that fit and have a free slot. The groups are valid until
    /// the table changes.
    void candidates(requirement const& needs, std::vector<candidate_group>& groups) const;
    /// Whether some endpoint that fits has a free slot. Meant for `fair_queue::take`.
    [[nodiscard]] bool has_candidate(requirement const& needs) const;
    [[nodiscard]] capacity capacity_for(requirement const& needs) const;
    /// Endpoints that may get work, with free slots or without.
    [[nodiscard]] std::size_t usable_endpoints() const;
    /// Live entries that use the same endpoints; at least 1.
    [[nodiscard]] std::uint32_t entry_count() const;

private:
    struct parts;
    std::unique_ptr<parts> own;
};

/// Whether the endpoint's size suffices. A size that the endpoint did not announce counts as
/// sufficient.
[[nodiscard]] bool fits_size(protocol::endpoint_state const& endpoint, requirement const& needs);

} // namespace greengagehead::policy
