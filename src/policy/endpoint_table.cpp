// Records of all endpoints, and the index of those with a free slot. The index has one group per
// kind, zone and size; an endpoint belongs to one group for each of its kinds.

#include "policy/endpoint_table.h"

#include <algorithm>
#include <list>
#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>

#include "policy/capacity_shares.h"
#include "policy/entry_subset.h"

namespace greengagehead::policy {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// An endpoint that becomes usable again starts with a quarter of its slots and reaches all of them
/// after this time. A zone must be back at full throughput 3 s after its return, and reports arrive
/// every 300 ms.
constexpr milliseconds ramp_up_time {1000};
constexpr std::uint32_t initial_slots_divisor = 4;

/// Endpoints of one kind, zone and size.
struct endpoint_group {
    std::string region;
    std::string zone;
    std::uint32_t cpu = 0;
    std::uint32_t memory_mb = 0;
    std::uint32_t member_count = 0;
    std::size_t sharing = 1; ///< Entries that use each member.
    std::uint64_t usable_slots = 0;
    std::uint64_t entry_slots = 0; ///< Share of this entry in `usable_slots`.
    std::vector<endpoint_record const*> free_endpoints; ///< Exactly the members with a free slot.
    /// Points to `membership::position` of each element of `free_endpoints`.
    std::vector<std::size_t*> positions;
};

struct membership {
    endpoint_group* group = nullptr;
    std::size_t position = 0; ///< In `free_endpoints`; valid while the endpoint is indexed.
};

/// Indexes of the entries in the order in which they are chosen for the endpoints of an agent.
using entry_orders = std::unordered_map<std::string, std::vector<std::size_t>>;

/// A division of the slots among entries.
struct share_table {
    entry_shares shares;
    /// By agent; filled on demand. Tables with the same names have the same orders.
    std::shared_ptr<entry_orders> orders = std::make_shared<entry_orders>();

    std::vector<std::size_t> const& order_for(std::string const& agent)
    {
        auto const [found, added] = this->orders->try_emplace(agent);
        if (added)
            found->second = order_of_entries(agent, this->shares.names);
        return found->second;
    }
};

/// Index state of one endpoint, in addition to its public record.
struct endpoint_details {
    endpoint_record* record = nullptr;
    std::list<membership> groups; ///< A list, because groups keep pointers to elements.
    std::uint32_t counted_slots = 0; ///< Slots added to `usable_slots` of its groups.
    std::uint32_t counted_share = 0; ///< Slots added to `entry_slots` of its groups.
    bool indexed = false; ///< Is in `free_endpoints` of all its groups.
    bool usable = false;
    bool ramp_up_due = false; ///< The slots are ramped up when it becomes usable.
    base::steady_time ramp_up_start;
};

bool matches(endpoint_group const& group, requirement const& needs)
{
    return (needs.zone.empty() || needs.zone == group.zone)
        && (needs.region.empty() || needs.region == group.region)
        && (group.cpu == 0 || needs.cpu <= group.cpu)
        && (group.memory_mb == 0 || needs.memory_mb <= group.memory_mb);
}

bool has_same_groups(endpoint_record const& record, protocol::agent_report const& report,
                     protocol::endpoint_state const& state)
{
    return record.region == report.region && record.zone == report.zone
        && record.state.kinds == state.kinds && record.state.cpu == state.cpu
        && record.state.memory_mb == state.memory_mb;
}

} // namespace

std::uint64_t slots_in_use(endpoint_record const& endpoint)
{
    auto const reported = std::uint64_t {endpoint.state.used_slots} + endpoint.state.queued;
    auto const own_slots = std::min<std::uint64_t>(reported, endpoint.state.held_by_receiver);
    return reported - own_slots + endpoint.outstanding;
}

bool fits_size(protocol::endpoint_state const& endpoint, requirement const& needs)
{
    return (endpoint.cpu == 0 || needs.cpu <= endpoint.cpu)
        && (endpoint.memory_mb == 0 || needs.memory_mb <= endpoint.memory_mb);
}

struct endpoint_table::implementation {
    std::map<std::string, endpoint_record> records;
    /// Invariant: same keys as `records`.
    std::unordered_map<std::string, endpoint_details> details_by_name;
    std::unordered_map<std::string, std::set<std::string>> endpoints_by_agent;
    std::unordered_map<std::string, protocol::incarnation_number> registered_incarnations;
    std::unordered_map<std::string, std::list<endpoint_group>> groups_by_kind;
    std::set<std::string> zones_out;
    std::set<std::string> draining;
    std::size_t usable_count = 0; ///< Usable endpoints.
    std::vector<std::string> entries; ///< Names of the entries that use the endpoints.
    /// Tables that limit the share of this entry; empty if the slots are divided equally among
    /// `entries`. The last one has their names.
    std::vector<share_table> tables;
    std::string self; ///< Name of this entry.
    std::unordered_map<std::string, std::size_t> rank_by_agent; ///< Of this entry.
    /// The number of entries that use an endpoint has changed for some group since the last call of
    /// `update_assignments`.
    bool sharing_changed = false;
    base::steady_time last_update;

    endpoint_details* find(std::string const& name);
    endpoint_details& add(std::string const& name);
    void erase(std::string const& name);
    void join_groups(endpoint_details& endpoint);
    void leave_groups(endpoint_details& endpoint);
    endpoint_group& group_for(std::string const& kind, endpoint_record const& record);
    void apply(endpoint_details& endpoint, protocol::agent_report const& report,
               protocol::endpoint_state const& state);
    /// Updates usability, usable slots and the index after a change of the record.
    void refresh(endpoint_details& endpoint);
    void set_indexed(endpoint_details& endpoint, bool indexed);
    /// Adds `change` to the number of members.
    void resize(endpoint_group& group, int change);
    /// Assigns or withdraws endpoints after a change of the entries or of the size of a group.
    void update_assignments();
    [[nodiscard]] std::size_t rank_for(std::string const& agent);
    /// Whether some table would divide the endpoints of a group among another number of entries.
    [[nodiscard]] bool divides_differently(std::size_t members_before, std::size_t members) const;
    /// Sets the entries that use the endpoints, and updates all shares.
    void replace_entries(std::vector<std::string> names, std::string name);
    /// Share of this entry in the slots of the endpoint.
    [[nodiscard]] std::uint32_t share_of(endpoint_details const& endpoint, std::size_t sharing);
    /// Part of this entry in the slots of the endpoint by one table.
    [[nodiscard]] std::uint32_t part_in(share_table& table, endpoint_details const& endpoint) const;
    /// Adds the slots of a start, or subtracts those of an outcome.
    void adjust_outstanding(std::string const& name, std::uint32_t slots, bool start);
};

namespace {

bool may_receive_tasks(endpoint_record const& record)
{
    return record.assigned && record.agent_registered && !record.zone_out && !record.drain_requested
        && !record.state.draining && record.state.slots > 0;
}

/// Entries that use the endpoint: as many as its group with the fewest members needs.
std::size_t sharing_entries_of(endpoint_details const& endpoint)
{
    std::size_t sharing = 1;
    for (auto const& member : endpoint.groups)
        sharing = std::max(sharing, member.group->sharing);
    return sharing;
}

std::uint32_t equal_part(std::uint32_t slots, std::size_t rank, std::size_t sharing)
{
    if (rank >= sharing)
        return 0;
    // The remaining slots go to the first entries in an order that differs between endpoints.
    auto const extra = rank < slots % sharing ? 1U : 0U;
    return static_cast<std::uint32_t>(slots / sharing) + extra;
}

/// Entries among `count` that use the endpoint.
std::size_t sharing_among(std::size_t count, endpoint_details const& endpoint)
{
    std::size_t sharing = 1;
    for (auto const& member : endpoint.groups)
        sharing = std::max(sharing, sharing_entries(count, member.group->member_count));
    return sharing;
}

std::uint32_t count_free_slots(endpoint_record const& record)
{
    if (!may_receive_tasks(record) || record.marked_full)
        return 0;
    auto const in_use = slots_in_use(record);
    auto const free_slots = static_cast<std::uint32_t>(
        record.usable_slots - std::min<std::uint64_t>(in_use, record.usable_slots));
    auto const share = std::min(record.entry_share, record.usable_slots);
    return std::max(free_slots, share - std::min(share, record.outstanding));
}

} // namespace

endpoint_details* endpoint_table::implementation::find(std::string const& name)
{
    auto const found = this->details_by_name.find(name);
    return found == this->details_by_name.end() ? nullptr : &found->second;
}

endpoint_details& endpoint_table::implementation::add(std::string const& name)
{
    auto& endpoint = this->details_by_name[name];
    endpoint.record = &this->records[name];
    return endpoint;
}

void endpoint_table::implementation::erase(std::string const& name)
{
    auto* const endpoint = this->find(name);
    if (endpoint == nullptr)
        return;
    this->leave_groups(*endpoint);
    this->usable_count -= endpoint->usable ? 1 : 0;
    this->details_by_name.erase(name);
    this->records.erase(name);
}

endpoint_group& endpoint_table::implementation::group_for(std::string const& kind,
                                                          endpoint_record const& record)
{
    auto& groups = this->groups_by_kind[kind];
    auto const key = std::tie(record.region, record.zone, record.state.cpu, record.state.memory_mb);
    auto const found
        = std::find_if(groups.begin(), groups.end(), [&key](endpoint_group const& group) {
              return std::tie(group.region, group.zone, group.cpu, group.memory_mb) == key;
          });
    if (found != groups.end())
        return *found;
    groups.push_back(
        {record.region, record.zone, record.state.cpu, record.state.memory_mb, 0, 1, 0, 0, {}, {}});
    return groups.back();
}

void endpoint_table::implementation::join_groups(endpoint_details& endpoint)
{
    for (auto const& kind : endpoint.record->state.kinds) {
        auto& group = this->group_for(kind, *endpoint.record);
        bool const already_member
            = std::any_of(endpoint.groups.begin(), endpoint.groups.end(),
                          [&](membership const& member) { return member.group == &group; });
        if (already_member)
            continue;
        this->resize(group, 1);
        endpoint.groups.push_back({&group, 0});
    }
}

void endpoint_table::implementation::leave_groups(endpoint_details& endpoint)
{
    this->set_indexed(endpoint, false);
    for (auto const& member : endpoint.groups) {
        this->resize(*member.group, -1);
        member.group->usable_slots -= endpoint.counted_slots;
        member.group->entry_slots -= endpoint.counted_share;
    }
    endpoint.counted_slots = 0;
    endpoint.counted_share = 0;
    endpoint.groups.clear();
    for (auto const& kind : endpoint.record->state.kinds) {
        auto const found = this->groups_by_kind.find(kind);
        if (found == this->groups_by_kind.end())
            continue;
        found->second.remove_if(
            [](endpoint_group const& group) { return group.member_count == 0; });
        if (found->second.empty())
            this->groups_by_kind.erase(found);
    }
}

void endpoint_table::implementation::set_indexed(endpoint_details& endpoint, bool indexed)
{
    if (endpoint.indexed == indexed)
        return;
    endpoint.indexed = indexed;
    for (auto& member : endpoint.groups) {
        auto& free_endpoints = member.group->free_endpoints;
        auto& positions = member.group->positions;
        if (indexed) {
            member.position = free_endpoints.size();
            free_endpoints.push_back(endpoint.record);
            positions.push_back(&member.position);
            continue;
        }
        free_endpoints[member.position] = free_endpoints.back();
        positions[member.position] = positions.back();
        *positions[member.position] = member.position;
        free_endpoints.pop_back();
        positions.pop_back();
    }
}

void endpoint_table::implementation::refresh(endpoint_details& endpoint)
{
    auto& record = *endpoint.record;
    auto const sharing = sharing_entries_of(endpoint);
    record.assigned = record.entry_rank < sharing;
    record.entry_share = this->share_of(endpoint, sharing);
    bool const usable = may_receive_tasks(record);
    if (usable && !endpoint.usable)
        endpoint.ramp_up_start
            = endpoint.ramp_up_due ? this->last_update : this->last_update - ramp_up_time;
    // An endpoint that was never usable, for example because its agent is not registered yet, is
    // new and gets all its slots at once.
    endpoint.ramp_up_due = !usable && (endpoint.usable || endpoint.ramp_up_due);
    this->usable_count += usable ? 1 : 0;
    this->usable_count -= endpoint.usable ? 1 : 0;
    endpoint.usable = usable;
    auto const elapsed = std::min<base::steady_time::duration>(
        this->last_update - endpoint.ramp_up_start, ramp_up_time);
    auto const ramped_slots
        = record.state.slots * elapsed / base::steady_time::duration(ramp_up_time);
    auto const initial_slots
        = (record.state.slots + initial_slots_divisor - 1) / initial_slots_divisor;
    record.usable_slots = std::max(static_cast<std::uint32_t>(ramped_slots), initial_slots);
    auto const counted = usable ? record.state.slots : 0;
    auto const counted_share
        = sharing == 1 && this->tables.size() < 2 ? counted : std::min(counted, record.entry_share);
    for (auto const& member : endpoint.groups) {
        member.group->usable_slots += std::uint64_t {counted} - endpoint.counted_slots;
        member.group->entry_slots += std::uint64_t {counted_share} - endpoint.counted_share;
    }
    endpoint.counted_slots = counted;
    endpoint.counted_share = counted_share;
    this->set_indexed(endpoint, count_free_slots(record) > 0);
}

void endpoint_table::implementation::apply(endpoint_details& endpoint,
                                           protocol::agent_report const& report,
                                           protocol::endpoint_state const& state)
{
    auto& record = *endpoint.record;
    bool const groups_changed = endpoint.groups.empty() || !has_same_groups(record, report, state);
    if (groups_changed)
        this->leave_groups(endpoint);
    if (record.agent != report.agent)
        record.outstanding = 0;
    record.state = state;
    record.reported_at = this->last_update;
    record.marked_full = false;
    record.agent = report.agent;
    record.entry_rank = this->rank_for(report.agent.name);
    record.region = report.region;
    record.zone = report.zone;
    record.zone_out = this->zones_out.contains(report.zone);
    record.drain_requested = this->draining.contains(state.name);
    auto const found = this->registered_incarnations.find(report.agent.name);
    record.agent_registered
        = found != this->registered_incarnations.end() && found->second == report.agent.incarnation;
    if (groups_changed)
        this->join_groups(endpoint);
    this->refresh(endpoint);
}

void endpoint_table::implementation::resize(endpoint_group& group, int change)
{
    auto const before = group.member_count;
    group.member_count += static_cast<std::uint32_t>(change);
    auto const sharing = sharing_entries(this->entries.size(), group.member_count);
    this->sharing_changed = this->sharing_changed || sharing != group.sharing
        || this->divides_differently(before, group.member_count);
    group.sharing = sharing;
}

void endpoint_table::implementation::update_assignments()
{
    if (!std::exchange(this->sharing_changed, false))
        return;
    for (auto& [name, endpoint] : this->details_by_name)
        this->refresh(endpoint);
}

std::size_t endpoint_table::implementation::rank_for(std::string const& agent)
{
    auto const [found, added] = this->rank_by_agent.try_emplace(agent, 0);
    if (added)
        found->second = rank_of_entry(agent, this->self, this->entries);
    return found->second;
}

bool endpoint_table::implementation::divides_differently(std::size_t members_before,
                                                         std::size_t members) const
{
    return std::any_of(this->tables.begin(), this->tables.end(), [&](share_table const& table) {
        auto const count = table.shares.names.size();
        return sharing_entries(count, members_before) != sharing_entries(count, members);
    });
}

std::uint32_t endpoint_table::implementation::share_of(endpoint_details const& endpoint,
                                                       std::size_t sharing)
{
    auto const& record = *endpoint.record;
    if (this->tables.empty())
        return sharing == 1 ? 0 : equal_part(record.state.slots, record.entry_rank, sharing);
    // As without weights, a single entry goes by the reports alone.
    if (sharing == 1 && this->tables.size() == 1)
        return 0;
    auto smallest = record.state.slots;
    for (auto& table : this->tables)
        smallest = std::min(smallest, this->part_in(table, endpoint));
    return smallest;
}

std::uint32_t endpoint_table::implementation::part_in(share_table& table,
                                                      endpoint_details const& endpoint) const
{
    auto const& names = table.shares.names;
    auto const& weights = table.shares.weights;
    auto const& order = table.order_for(endpoint.record->agent.name);
    auto const sharing = std::min(sharing_among(names.size(), endpoint), order.size());
    auto const users_end = order.begin() + static_cast<std::ptrdiff_t>(sharing);
    auto const found = std::find_if(order.begin(), users_end, [&, this](std::size_t index) {
        return names[index] == this->self;
    });
    if (found == users_end)
        return 0;
    auto const position = static_cast<std::size_t>(found - order.begin());
    if (weights.empty())
        return equal_part(endpoint.record->state.slots, position, sharing);
    std::vector<weighted_user> users;
    users.reserve(sharing);
    for (auto index = order.begin(); index != users_end; ++index)
        users.push_back({&names[*index], weights[*index]});
    return part_of(users, position, endpoint.record->state.slots);
}

void endpoint_table::implementation::replace_entries(std::vector<std::string> names,
                                                     std::string name)
{
    if (names != this->entries || name != this->self)
        this->rank_by_agent.clear();
    this->entries = std::move(names);
    this->self = std::move(name);
    for (auto& [kind, groups] : this->groups_by_kind) {
        for (auto& group : groups)
            this->resize(group, 0);
    }
    for (auto& [endpoint_name, endpoint] : this->details_by_name)
        endpoint.record->entry_rank = this->rank_for(endpoint.record->agent.name);
    this->sharing_changed = true;
    this->update_assignments();
}

void endpoint_table::implementation::adjust_outstanding(std::string const& name,
                                                        std::uint32_t slots, bool start)
{
    auto* const endpoint = this->find(name);
    if (endpoint == nullptr)
        return;
    auto& record = *endpoint->record;
    if (start) {
        record.outstanding += slots;
    } else {
        record.marked_full = false;
        record.outstanding -= std::min(record.outstanding, slots);
    }
    this->set_indexed(*endpoint, count_free_slots(record) > 0);
}

endpoint_table::endpoint_table() : impl(std::make_unique<implementation>()) { }

endpoint_table::~endpoint_table() = default;

void endpoint_table::update(protocol::agent_report const& report, base::steady_time now)
{
    auto& self = *this->impl;
    self.last_update = std::max(self.last_update, now);
    auto& names = self.endpoints_by_agent[report.agent.name];
    auto const previous_names = std::exchange(names, {});
    for (auto const& state : report.endpoints) {
        auto const* const known = this->find(state.name);
        // An endpoint reported by two agents belongs to the one that reported it last.
        if (known != nullptr && known->agent.name != report.agent.name)
            self.endpoints_by_agent[known->agent.name].erase(state.name);
        names.insert(state.name);
        self.apply(self.add(state.name), report, state);
    }
    for (auto const& name : previous_names)
        if (!names.contains(name))
            self.erase(name);
    self.update_assignments();
}

void endpoint_table::update_use(protocol::process_id const& agent,
                                protocol::endpoint_use const& use, base::steady_time now)
{
    auto* const found = this->impl->find(use.endpoint);
    if (found == nullptr || found->record->agent != agent)
        return;
    auto& record = *found->record;
    record.state.used_slots = use.used_slots;
    record.state.queued = use.queued;
    record.state.held_by_receiver = use.held_by_receiver;
    record.reported_at = now;
    record.marked_full = false;
    this->impl->set_indexed(*found, count_free_slots(record) > 0);
}

void endpoint_table::remove_agent(std::string const& agent)
{
    this->impl->registered_incarnations.erase(agent);
    auto const found = this->impl->endpoints_by_agent.find(agent);
    if (found == this->impl->endpoints_by_agent.end())
        return;
    for (auto const& name : std::exchange(found->second, {}))
        this->impl->erase(name);
    this->impl->endpoints_by_agent.erase(found);
    this->impl->rank_by_agent.erase(agent);
    for (auto const& table : this->impl->tables)
        table.orders->erase(agent);
    this->impl->update_assignments();
}

void endpoint_table::set_agent_registered(protocol::process_id const& agent)
{
    this->impl->registered_incarnations[agent.name] = agent.incarnation;
    auto const found = this->impl->endpoints_by_agent.find(agent.name);
    if (found == this->impl->endpoints_by_agent.end())
        return;
    for (auto const& name : found->second) {
        auto& endpoint = *this->impl->find(name);
        endpoint.record->agent_registered = endpoint.record->agent == agent;
        this->impl->refresh(endpoint);
    }
}

void endpoint_table::set_zones_out(std::vector<std::string> const& zones)
{
    this->impl->zones_out = {zones.begin(), zones.end()};
    for (auto& [name, endpoint] : this->impl->details_by_name) {
        endpoint.record->zone_out = this->impl->zones_out.contains(endpoint.record->zone);
        this->impl->refresh(endpoint);
    }
}

void endpoint_table::set_draining(std::vector<std::string> const& endpoints)
{
    this->impl->draining = {endpoints.begin(), endpoints.end()};
    for (auto& [name, endpoint] : this->impl->details_by_name) {
        endpoint.record->drain_requested = this->impl->draining.contains(name);
        this->impl->refresh(endpoint);
    }
}

void endpoint_table::record_start(std::string const& endpoint, std::uint32_t slots)
{
    this->impl->adjust_outstanding(endpoint, slots, true);
}

void endpoint_table::record_outcome(std::string const& endpoint, std::uint32_t slots)
{
    this->impl->adjust_outstanding(endpoint, slots, false);
}

void endpoint_table::record_refusal(std::string const& endpoint)
{
    this->impl->adjust_outstanding(endpoint, 1, false);
    this->mark_full(endpoint);
}

void endpoint_table::mark_full(std::string const& endpoint)
{
    auto* const found = this->impl->find(endpoint);
    if (found == nullptr)
        return;
    found->record->marked_full = true;
    this->impl->set_indexed(*found, false);
}

void endpoint_table::set_entries(std::vector<std::string> names, std::string self)
{
    auto& state = *this->impl;
    if (names == state.entries && self == state.self && state.tables.empty())
        return;
    state.tables.clear();
    state.replace_entries(std::move(names), std::move(self));
}

void endpoint_table::set_entries(std::vector<entry_shares> tables, std::string self)
{
    auto& state = *this->impl;
    auto const previous = std::exchange(state.tables, {});
    for (auto& shares : tables) {
        auto const same_names
            = std::find_if(previous.begin(), previous.end(), [&shares](share_table const& table) {
                  return table.shares.names == shares.names;
              });
        state.tables.push_back({std::move(shares)});
        if (same_names != previous.end())
            state.tables.back().orders = same_names->orders;
    }
    auto names = state.tables.back().shares.names;
    // An entry that has no part yet may still use slots that are reported as free.
    if (std::find(names.begin(), names.end(), self) == names.end())
        names.push_back(self);
    state.replace_entries(std::move(names), std::move(self));
}

endpoint_record const* endpoint_table::find(std::string const& endpoint) const
{
    auto const* const found = this->impl->find(endpoint);
    return found == nullptr ? nullptr : found->record;
}

std::map<std::string, endpoint_record> const& endpoint_table::all() const
{
    return this->impl->records;
}

std::uint32_t endpoint_table::free_slots(endpoint_record const& endpoint) const
{
    return count_free_slots(endpoint);
}

void endpoint_table::candidates(requirement const& needs,
                                std::vector<candidate_group>& groups) const
{
    auto const found = this->impl->groups_by_kind.find(std::string(needs.kind));
    if (found == this->impl->groups_by_kind.end())
        return;
    for (auto const& group : found->second)
        if (!group.free_endpoints.empty() && matches(group, needs))
            groups.emplace_back(group.free_endpoints);
}

bool endpoint_table::has_candidate(requirement const& needs) const
{
    auto const found = this->impl->groups_by_kind.find(std::string(needs.kind));
    return found != this->impl->groups_by_kind.end()
        && std::any_of(
               found->second.begin(), found->second.end(), [&needs](endpoint_group const& group) {
                   return matches(group, needs)
                       && std::any_of(group.free_endpoints.begin(), group.free_endpoints.end(),
                                      [&needs](auto const* record) {
                                          return count_free_slots(*record) >= needs.slots;
                                      });
               });
}

capacity endpoint_table::capacity_for(requirement const& needs) const
{
    capacity sum;
    auto const found = this->impl->groups_by_kind.find(std::string(needs.kind));
    if (found == this->impl->groups_by_kind.end())
        return sum;
    for (auto const& group : found->second) {
        if (!matches(group, needs))
            continue;
        sum.matching_endpoints += group.member_count;
        sum.usable_slots += group.usable_slots;
        sum.entry_slots
            += this->impl->tables.empty() ? group.usable_slots / group.sharing : group.entry_slots;
    }
    return sum;
}

std::size_t endpoint_table::usable_endpoints() const
{
    return this->impl->usable_count;
}

} // namespace greengagehead::policy
