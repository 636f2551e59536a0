// Records of all endpoints, and the index of those with a free slot. The index has one group per
// kind, zone and size; an endpoint is a member of one group for each of its kinds.

#include "policy/endpoint_table.h"

#include <algorithm>
#include <list>
#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>

namespace greengagehead::policy {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// A returning endpoint gets a quarter of its slots at once and all of them after this time. Full
/// throughput is due 3 s after a zone's return, and reports arrive every 300 ms.
constexpr milliseconds ramp_time {1000};
constexpr std::uint32_t first_part = 4;

/// Endpoints of one kind, zone and size.
struct group {
    std::string region;
    std::string zone;
    std::uint32_t cpu = 0;
    std::uint32_t memory_mb = 0;
    std::uint32_t known = 0;
    std::uint64_t usable_slots = 0;
    std::vector<endpoint_record const*> free; ///< Exactly the members with a free slot.
    std::vector<std::size_t*> positions; ///< Where each member of `free` keeps its position.
};

struct membership {
    group* where = nullptr;
    std::size_t position = 0; ///< In `group::free`, while `tracked::listed`.
};

/// What the table keeps beside a record.
struct tracked {
    endpoint_record* record = nullptr;
    std::list<membership> groups; ///< A list, because groups point to the positions.
    std::uint32_t counted_slots = 0; ///< Slots added to `group::usable_slots`.
    bool listed = false; ///< In `group::free` of all its groups.
    bool usable = false;
    bool seen_unusable = false; ///< A return is due to be ramped up.
    base::steady_time returned_at;
};

bool matches(group const& members, requirement const& needs)
{
    return (needs.zone.empty() || needs.zone == members.zone)
        && (needs.region.empty() || needs.region == members.region)
        && (members.cpu == 0 || needs.cpu <= members.cpu)
        && (members.memory_mb == 0 || needs.memory_mb <= members.memory_mb);
}

bool same_place(endpoint_record const& known, protocol::agent_report const& report,
                protocol::endpoint_state const& state)
{
    return known.region == report.region && known.zone == report.zone
        && known.state.kinds == state.kinds && known.state.cpu == state.cpu
        && known.state.memory_mb == state.memory_mb;
}

} // namespace

std::uint64_t slots_in_use(endpoint_record const& endpoint)
{
    auto const reported = std::uint64_t {endpoint.state.used_slots} + endpoint.state.queued;
    auto const own = std::min<std::uint64_t>(reported, endpoint.state.held_by_receiver);
    return reported - own + endpoint.outstanding;
}

bool fits_size(protocol::endpoint_state const& endpoint, requirement const& needs)
{
    return (endpoint.cpu == 0 || needs.cpu <= endpoint.cpu)
        && (endpoint.memory_mb == 0 || needs.memory_mb <= endpoint.memory_mb);
}

struct endpoint_table::parts {
    std::map<std::string, endpoint_record> records;
    std::unordered_map<std::string, tracked> details; ///< Same keys as `records`.
    std::unordered_map<std::string, std::set<std::string>> by_agent;
    std::unordered_map<std::string, protocol::incarnation_number> registered;
    std::unordered_map<std::string, std::list<group>> kinds;
    std::set<std::string> zones_out;
    std::set<std::string> draining;
    std::size_t usable = 0;
    std::uint32_t entry_count = 1;
    std::uint32_t entry_rank = 0;
    base::steady_time latest; ///< Time of the last update.

    tracked* find(std::string const& name);
    tracked& add(std::string const& name);
    void erase(std::string const& name);
    void join_groups(tracked& endpoint);
    void leave_groups(tracked& endpoint);
    group& group_for(std::string const& kind, endpoint_record const& record);
    void apply(tracked& endpoint, protocol::agent_report const& report,
               protocol::endpoint_state const& state);
    /// Brings usability, usable slots and the index in step with the record.
    void refresh(tracked& endpoint);
    void list(tracked& endpoint, bool wanted);
    [[nodiscard]] std::uint32_t part_of(endpoint_record const& record) const;
    /// Adds the slots of a start, or takes back those of an outcome.
    void note(std::string const& name, std::uint32_t slots, bool start);
};

namespace {

bool allowed(endpoint_record const& record)
{
    return record.agent_registered && !record.zone_out && !record.drain_requested
        && !record.state.draining && record.state.slots > 0;
}

std::uint32_t free_places(endpoint_record const& record)
{
    if (!allowed(record) || record.refused)
        return 0;
    auto const in_use = slots_in_use(record);
    auto const seen = static_cast<std::uint32_t>(
        record.usable_slots - std::min<std::uint64_t>(in_use, record.usable_slots));
    auto const part = std::min(record.own_part, record.usable_slots);
    return std::max(seen, part - std::min(part, record.outstanding));
}

} // namespace

tracked* endpoint_table::parts::find(std::string const& name)
{
    auto const found = this->details.find(name);
    return found == this->details.end() ? nullptr : &found->second;
}

tracked& endpoint_table::parts::add(std::string const& name)
{
    auto& endpoint = this->details[name];
    endpoint.record = &this->records[name];
    return endpoint;
}

void endpoint_table::parts::erase(std::string const& name)
{
    auto* const endpoint = this->find(name);
    if (endpoint == nullptr)
        return;
    this->leave_groups(*endpoint);
    this->usable -= endpoint->usable ? 1 : 0;
    this->details.erase(name);
    this->records.erase(name);
}

group& endpoint_table::parts::group_for(std::string const& kind, endpoint_record const& record)
{
    auto& groups = this->kinds[kind];
    auto const key = std::tie(record.region, record.zone, record.state.cpu, record.state.memory_mb);
    auto const found = std::find_if(groups.begin(), groups.end(), [&key](group const& item) {
        return std::tie(item.region, item.zone, item.cpu, item.memory_mb) == key;
    });
    if (found != groups.end())
        return *found;
    groups.push_back(
        {record.region, record.zone, record.state.cpu, record.state.memory_mb, 0, 0, {}, {}});
    return groups.back();
}

void endpoint_table::parts::join_groups(tracked& endpoint)
{
    for (auto const& kind : endpoint.record->state.kinds) {
        auto& members = this->group_for(kind, *endpoint.record);
        bool const repeated
            = std::any_of(endpoint.groups.begin(), endpoint.groups.end(),
                          [&](membership const& item) { return item.where == &members; });
        if (repeated)
            continue;
        ++members.known;
        endpoint.groups.push_back({&members, 0});
    }
}

void endpoint_table::parts::leave_groups(tracked& endpoint)
{
    this->list(endpoint, false);
    for (auto const& item : endpoint.groups) {
        --item.where->known;
        item.where->usable_slots -= endpoint.counted_slots;
    }
    endpoint.counted_slots = 0;
    endpoint.groups.clear();
    for (auto const& kind : endpoint.record->state.kinds) {
        auto const found = this->kinds.find(kind);
        if (found == this->kinds.end())
            continue;
        found->second.remove_if([](group const& item) { return item.known == 0; });
        if (found->second.empty())
            this->kinds.erase(found);
    }
}

void endpoint_table::parts::list(tracked& endpoint, bool wanted)
{
    if (endpoint.listed == wanted)
        return;
    endpoint.listed = wanted;
    for (auto& item : endpoint.groups) {
        auto& free = item.where->free;
        auto& positions = item.where->positions;
        if (wanted) {
            item.position = free.size();
            free.push_back(endpoint.record);
            positions.push_back(&item.position);
            continue;
        }
        free[item.position] = free.back();
        positions[item.position] = positions.back();
        *positions[item.position] = item.position;
        free.pop_back();
        positions.pop_back();
    }
}

void endpoint_table::parts::refresh(tracked& endpoint)
{
    auto& record = *endpoint.record;
    bool const usable = allowed(record);
    if (usable && !endpoint.usable)
        endpoint.returned_at = endpoint.seen_unusable ? this->latest : this->latest - ramp_time;
    // An endpoint that waits for the registration of its agent is new, not returning.
    endpoint.seen_unusable = !usable && (endpoint.usable || endpoint.seen_unusable);
    this->usable += usable ? 1 : 0;
    this->usable -= endpoint.usable ? 1 : 0;
    endpoint.usable = usable;
    auto const elapsed
        = std::min<base::steady_time::duration>(this->latest - endpoint.returned_at, ramp_time);
    auto const ramped = record.state.slots * elapsed / base::steady_time::duration(ramp_time);
    auto const least = (record.state.slots + first_part - 1) / first_part;
    record.usable_slots = std::max(static_cast<std::uint32_t>(ramped), least);
    auto const counted = usable ? record.state.slots : 0;
    for (auto const& item : endpoint.groups)
        item.where->usable_slots += std::uint64_t {counted} - endpoint.counted_slots;
    endpoint.counted_slots = counted;
    this->list(endpoint, free_places(record) > 0);
}

void endpoint_table::parts::apply(tracked& endpoint, protocol::agent_report const& report,
                                  protocol::endpoint_state const& state)
{
    auto& record = *endpoint.record;
    bool const moved = endpoint.groups.empty() || !same_place(record, report, state);
    if (moved)
        this->leave_groups(endpoint);
    if (record.agent != report.agent)
        record.outstanding = 0;
    record.state = state;
    record.reported_at = this->latest;
    record.refused = false;
    record.own_part = this->part_of(record);
    record.agent = report.agent;
    record.region = report.region;
    record.zone = report.zone;
    record.zone_out = this->zones_out.contains(report.zone);
    record.drain_requested = this->draining.contains(state.name);
    auto const found = this->registered.find(report.agent.name);
    record.agent_registered
        = found != this->registered.end() && found->second == report.agent.incarnation;
    if (moved)
        this->join_groups(endpoint);
    this->refresh(endpoint);
}

std::uint32_t endpoint_table::parts::part_of(endpoint_record const& record) const
{
    if (this->entry_count == 1)
        return 0;
    // The first entries in an order that differs between endpoints get the remaining slots.
    auto const place
        = (std::hash<std::string> {}(record.state.name) + this->entry_rank) % this->entry_count;
    auto const extra = place < record.state.slots % this->entry_count ? 1U : 0U;
    return record.state.slots / this->entry_count + extra;
}

void endpoint_table::parts::note(std::string const& name, std::uint32_t slots, bool start)
{
    auto* const endpoint = this->find(name);
    if (endpoint == nullptr)
        return;
    auto& record = *endpoint->record;
    if (start) {
        record.outstanding += slots;
    } else {
        record.refused = false;
        record.outstanding -= std::min(record.outstanding, slots);
    }
    this->list(*endpoint, free_places(record) > 0);
}

endpoint_table::endpoint_table() : own(std::make_unique<parts>()) { }

endpoint_table::~endpoint_table() = default;

void endpoint_table::update(protocol::agent_report const& report, base::steady_time now)
{
    auto& all = *this->own;
    all.latest = std::max(all.latest, now);
    auto& names = all.by_agent[report.agent.name];
    auto const gone = std::exchange(names, {});
    for (auto const& state : report.endpoints) {
        auto const* const known = this->find(state.name);
        // An endpoint that moved to another agent belongs to the one that reported it last.
        if (known != nullptr && known->agent.name != report.agent.name)
            all.by_agent[known->agent.name].erase(state.name);
        names.insert(state.name);
        all.apply(all.add(state.name), report, state);
    }
    for (auto const& name : gone)
        if (!names.contains(name))
            all.erase(name);
}

void endpoint_table::update_use(protocol::process_id const& agent,
                                protocol::endpoint_use const& use, base::steady_time now)
{
    auto* const found = this->own->find(use.endpoint);
    if (found == nullptr || found->record->agent != agent)
        return;
    auto& record = *found->record;
    record.state.used_slots = use.used_slots;
    record.state.queued = use.queued;
    record.state.held_by_receiver = use.held_by_receiver;
    record.reported_at = now;
    record.refused = false;
    this->own->list(*found, free_places(record) > 0);
}

void endpoint_table::remove_agent(std::string const& agent)
{
    this->own->registered.erase(agent);
    auto const found = this->own->by_agent.find(agent);
    if (found == this->own->by_agent.end())
        return;
    for (auto const& name : std::exchange(found->second, {}))
        this->own->erase(name);
    this->own->by_agent.erase(found);
}

void endpoint_table::set_agent_registered(protocol::process_id const& agent)
{
    this->own->registered[agent.name] = agent.incarnation;
    auto const found = this->own->by_agent.find(agent.name);
    if (found == this->own->by_agent.end())
        return;
    for (auto const& name : found->second) {
        auto& endpoint = *this->own->find(name);
        endpoint.record->agent_registered = endpoint.record->agent == agent;
        this->own->refresh(endpoint);
    }
}

void endpoint_table::set_zones_out(std::vector<std::string> const& zones)
{
    this->own->zones_out = {zones.begin(), zones.end()};
    for (auto& [name, endpoint] : this->own->details) {
        endpoint.record->zone_out = this->own->zones_out.contains(endpoint.record->zone);
        this->own->refresh(endpoint);
    }
}

void endpoint_table::set_draining(std::vector<std::string> const& endpoints)
{
    this->own->draining = {endpoints.begin(), endpoints.end()};
    for (auto& [name, endpoint] : this->own->details) {
        endpoint.record->drain_requested = this->own->draining.contains(name);
        this->own->refresh(endpoint);
    }
}

void endpoint_table::record_start(std::string const& endpoint, std::uint32_t slots)
{
    this->own->note(endpoint, slots, true);
}

void endpoint_table::record_outcome(std::string const& endpoint, std::uint32_t slots)
{
    this->own->note(endpoint, slots, false);
}

void endpoint_table::record_refusal(std::string const& endpoint)
{
    this->own->note(endpoint, 1, false);
    this->mark_full(endpoint);
}

void endpoint_table::mark_full(std::string const& endpoint)
{
    auto* const found = this->own->find(endpoint);
    if (found == nullptr)
        return;
    found->record->refused = true;
    this->own->list(*found, false);
}

void endpoint_table::set_entries(std::uint32_t count, std::uint32_t rank)
{
    this->own->entry_count = std::max(count, 1U);
    this->own->entry_rank = rank;
    for (auto& [name, endpoint] : this->own->details) {
        endpoint.record->own_part = this->own->part_of(*endpoint.record);
        this->own->refresh(endpoint);
    }
}

endpoint_record const* endpoint_table::find(std::string const& endpoint) const
{
    auto const* const found = this->own->find(endpoint);
    return found == nullptr ? nullptr : found->record;
}

std::map<std::string, endpoint_record> const& endpoint_table::all() const
{
    return this->own->records;
}

std::uint32_t endpoint_table::free_slots(endpoint_record const& endpoint) const
{
    return free_places(endpoint);
}

void endpoint_table::candidates(requirement const& needs,
                                std::vector<candidate_group>& groups) const
{
    auto const found = this->own->kinds.find(std::string(needs.kind));
    if (found == this->own->kinds.end())
        return;
    for (auto const& item : found->second)
        if (!item.free.empty() && matches(item, needs))
            groups.emplace_back(item.free);
}

bool endpoint_table::has_candidate(requirement const& needs) const
{
    auto const found = this->own->kinds.find(std::string(needs.kind));
    return found != this->own->kinds.end()
        && std::any_of(found->second.begin(), found->second.end(), [&needs](group const& item) {
               return matches(item, needs)
                   && std::any_of(item.free.begin(), item.free.end(), [&needs](auto const* record) {
                          return free_places(*record) >= needs.slots;
                      });
           });
}

capacity endpoint_table::capacity_for(requirement const& needs) const
{
    capacity sum;
    auto const found = this->own->kinds.find(std::string(needs.kind));
    if (found == this->own->kinds.end())
        return sum;
    for (auto const& item : found->second) {
        if (!matches(item, needs))
            continue;
        sum.known += item.known;
        sum.usable_slots += item.usable_slots;
    }
    return sum;
}

std::uint32_t endpoint_table::entry_count() const
{
    return this->own->entry_count;
}

std::size_t endpoint_table::usable_endpoints() const
{
    return this->own->usable;
}

} // namespace greengagehead::policy
