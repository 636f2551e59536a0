// One entry's view of the endpoints: the agents' reports combined with the starts that this entry
// has in flight.

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
    /// Slots of this entry's starts without an outcome yet. Counted locally and therefore always
    /// current; the report is only used for the slots of other entries.
    std::uint32_t outstanding = 0;
    /// Slots that this entry may use whatever the last report says; 0 with a single entry.
    std::uint32_t entry_share = 0;
    /// Slots that this entry may use; fewer than `state.slots` for a short time after the endpoint
    /// or its zone has returned.
    std::uint32_t usable_slots = 0;
    base::steady_time reported_at; ///< Time of the last report of its slot use.
    /// The agent refused a start; the endpoint counts as full until its next report or outcome.
    bool marked_full = false;
    bool drain_requested = false; ///< Drain requested by an operator.
    bool zone_out = false; ///< Its zone is out of service.
    bool agent_registered = false; ///< `join_agent` of this incarnation is committed.
    /// Position of this entry in the order in which entries are chosen for the endpoint.
    std::size_t entry_rank = 0;
    bool assigned = true; ///< This entry is one of those that use the endpoint.
};

/// Slots in use at the endpoint: those of other entries as last reported, plus this entry's own.
[[nodiscard]] std::uint64_t slots_in_use(endpoint_record const& endpoint);

/// Names of entries and their weights.
struct entry_shares {
    std::vector<std::string> names;
    /// In the order of `names`; empty for equal parts that differ by at most one slot.
    std::vector<std::uint32_t> weights;
};

/// What a task requires of an endpoint. Empty and zero fields mean no requirement.
struct requirement {
    std::string_view kind;
    std::string_view region;
    std::string_view zone;
    std::uint32_t cpu = 0;
    std::uint32_t memory_mb = 0;
    std::uint32_t slots = 1; ///< Slots that must be free.
};

/// Endpoints and slots that match a requirement.
struct capacity {
    std::uint32_t matching_endpoints = 0; ///< Including those that get no tasks now.
    std::uint64_t usable_slots = 0; ///< Free and used slots of those that may get tasks.
    std::uint64_t entry_slots = 0; ///< The share of one entry in `usable_slots`.
};

/// Endpoints of one zone and size that have a free slot.
using candidate_group = std::span<endpoint_record const* const>;

/// Owned by the entry; not thread-safe. An index by kind, zone and size holds exactly the endpoints
/// with a free slot, so that a placement decision examines only a few of them. For a task that
/// needs several slots, callers also check `free_slots`.
class endpoint_table {
public:
    endpoint_table();
    ~endpoint_table();
    endpoint_table(endpoint_table const&) = delete;
    endpoint_table& operator=(endpoint_table const&) = delete;

    /// Replaces the records of the agent's endpoints. Endpoints missing from the report are
    /// removed.
    void update(protocol::agent_report const& report, base::steady_time now);
    /// Updates the slot use of a known endpoint. Ignored when it comes from another incarnation of
    /// the agent than the last report.
    void update_use(protocol::process_id const& agent, protocol::endpoint_use const& use,
                    base::steady_time now);
    void remove_agent(std::string const& agent);
    void set_agent_registered(protocol::process_id const& agent);
    void set_zones_out(std::vector<std::string> const& zones);
    void set_draining(std::vector<std::string> const& endpoints);

    /// Adds the slots of a start to the outstanding ones. Unknown endpoints are ignored.
    void record_start(std::string const& endpoint, std::uint32_t slots = 1);
    /// Releases the slots of a start. Unknown endpoints are ignored.
    void record_outcome(std::string const& endpoint, std::uint32_t slots = 1);
    /// Records that the agent refused a start because its slots and its queue are full: releases
    /// the slot, like record_outcome, and counts the endpoint as full until the next report or
    /// outcome.
    void record_refusal(std::string const& endpoint);
    /// Counts the endpoint as full until the next report or outcome.
    void mark_full(std::string const& endpoint);
    /// Sets the names of the live entries and of this one. Each endpoint is used by some of the
    /// entries (see entry_subset.h), and its slots are divided among these; the shares differ by at
    /// most one and add up to the slots. Placement prefers endpoints where the entry is below its
    /// share, because reports lag and other entries use the same endpoints. Initially there is one
    /// entry.
    void set_entries(std::vector<std::string> names, std::string self);
    /// Divides the slots by weights instead of equally. While a table of weights is being replaced,
    /// `tables` has several: the share of this entry is its smallest part in them. A table that
    /// does not list this entry gives it no part. The last one decides which endpoints it uses,
    /// also when it is not listed. The parts of one table in an endpoint add up to its slots.
    /// @param tables not empty.
    void set_entries(std::vector<entry_shares> tables, std::string self);

    [[nodiscard]] endpoint_record const* find(std::string const& endpoint) const;
    [[nodiscard]] std::map<std::string, endpoint_record> const& all() const;
    /// Usable slots minus those of other entries and of this entry's outstanding starts; 0 when the
    /// endpoint must not get tasks (draining, zone out of service, agent not registered, used by
    /// other entries) or is marked full. With several entries it is at least the unused rest of
    /// this entry's share.
    [[nodiscard]] std::uint32_t free_slots(endpoint_record const& endpoint) const;

    /// Appends the groups of matching endpoints that have a free slot. The groups are valid until
    /// the table changes.
    void candidates(requirement const& needs, std::vector<candidate_group>& groups) const;
    /// Whether a matching endpoint has enough free slots. Meant for `fair_queue::take`.
    [[nodiscard]] bool has_candidate(requirement const& needs) const;
    [[nodiscard]] capacity capacity_for(requirement const& needs) const;
    /// Endpoints that may get tasks, with or without free slots.
    [[nodiscard]] std::size_t usable_endpoints() const;

private:
    struct implementation;
    std::unique_ptr<implementation> impl;
};

/// Whether the endpoint has the required processors and memory. A size that the endpoint did not
/// announce counts as sufficient.
[[nodiscard]] bool fits_size(protocol::endpoint_state const& endpoint, requirement const& needs);

} // namespace greengagehead::policy
