// Start-time fair queueing over teams. Every team has a virtual time, the run time that it was
// charged divided by its weight. Each placement class keeps the eligible teams that wait in it in
// the order of their virtual times, and the classes are ordered by their first team. A decision
// takes the first class that is placeable and its first team, so it costs O(log teams) for each
// class in which the chosen team waits.

#include "policy/fair_queue.h"

#include <algorithm>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace greengagehead::policy {

namespace {

using std::chrono::microseconds;

using index = std::uint32_t;
constexpr index none = ~index {0};

/// Microseconds of run time per unit of weight.
using virtual_time = double;

/// Tasks that declare nothing would be free otherwise.
constexpr microseconds least_cost {1000};
/// A team that could not be served for a while, because of its quota or because none of its classes
/// was placeable, catches up at most this much; otherwise it would take every slot after a zone's
/// return. 5 s is half the slots of a small fleet for a tenth of a second.
constexpr virtual_time most_lag = 5e6;
/// Unused teams are dropped when more than this many are known.
constexpr std::size_t least_teams_for_sweep = 256;

struct task_ref_hash {
    std::size_t operator()(protocol::task_ref const& task) const
    {
        return std::hash<std::string> {}(task.job) * 31 + task.index;
    }
};

/// Waiting task in the doubly linked list of its lane.
struct slot {
    queued_task task;
    index lane = none;
    index before = none;
    index after = none;
};

/// Waiting tasks of one team and class, in the order in which they are taken.
struct lane {
    index team = none;
    index cls = none;
    index first = none;
    index last = none;
};

struct team_state {
    std::string name;
    team_share share;
    bool configured = false;
    std::uint32_t in_progress = 0;
    std::size_t waiting = 0;
    microseconds backlog {0};
    virtual_time time = 0;
    /// Part of the distance to the queue's virtual time that comes from charges above the true run
    /// time. It is due to the team and not subject to `most_lag`.
    virtual_time owed = 0;
    std::vector<index> lanes; ///< Lanes with waiting tasks.

    [[nodiscard]] bool eligible() const
    {
        return this->share.quota_slots == 0 || this->in_progress < this->share.quota_slots;
    }
    [[nodiscard]] virtual_time scaled(microseconds cost) const
    {
        return static_cast<virtual_time>(cost.count()) / std::max(this->share.weight, 1U);
    }
};

struct class_state {
    std::string name;
    std::size_t lanes = 0; ///< Lanes with waiting tasks, of eligible teams or not.
    std::set<std::pair<virtual_time, index>> teams; ///< Eligible teams with waiting tasks.
};

microseconds charged(microseconds cost)
{
    return std::max(cost, least_cost);
}

/// Storage with stable indices that reuses released places.
template <typename T> class pool {
public:
    index add(T value)
    {
        if (this->unused.empty()) {
            this->items.push_back(std::move(value));
            return static_cast<index>(this->items.size() - 1);
        }
        auto const place = this->unused.back();
        this->unused.pop_back();
        this->items[place] = std::move(value);
        return place;
    }
    void release(index place)
    {
        this->items[place] = T {};
        this->unused.push_back(place);
    }
    T& operator[](index place) { return this->items[place]; }

private:
    std::vector<T> items;
    std::vector<index> unused;
};

} // namespace

struct fair_queue::parts {
    pool<slot> slots;
    pool<lane> lanes;
    pool<team_state> teams;
    pool<class_state> classes;
    std::unordered_map<protocol::task_ref, index, task_ref_hash> waiting;
    std::unordered_map<std::string, index> team_names;
    std::unordered_map<std::string, index> class_names;
    std::unordered_map<std::uint64_t, index> lane_of; ///< By team and class.
    std::set<std::pair<virtual_time, index>> order; ///< Classes by their first team.
    virtual_time now = 0; ///< Highest start time served; never decreases.
    microseconds backlog {0};
    std::size_t sweep_above = least_teams_for_sweep;

    static std::uint64_t lane_key(index team, index cls)
    {
        return (std::uint64_t {team} << 32U) | cls;
    }

    index team_for(std::string const& name);
    index class_for(std::string const& name);
    index lane_for(index team, index cls);
    team_state const* find_team(std::string const& name);
    void sweep_teams();
    void add(queued_task task, bool at_front);
    queued_task detach(index place);
    void close_lane(index place);

    /// Adds or removes one team in one class, and keeps `order` in step.
    void enter(index team, index cls);
    void leave(index team, index cls);
    /// Runs `change` while the team is in no class, because its place depends on what changes.
    template <typename Change> void reorder(index team, Change const& change);
    [[nodiscard]] virtual_time start_time(team_state const& team) const;
};

team_state const* fair_queue::parts::find_team(std::string const& name)
{
    auto const found = this->team_names.find(name);
    return found == this->team_names.end() ? nullptr : &this->teams[found->second];
}

index fair_queue::parts::team_for(std::string const& name)
{
    auto const found = this->team_names.find(name);
    if (found != this->team_names.end())
        return found->second;
    if (this->team_names.size() >= this->sweep_above)
        this->sweep_teams();
    team_state state;
    state.name = name;
    state.time = this->now;
    auto const place = this->teams.add(std::move(state));
    this->team_names.emplace(name, place);
    return place;
}

void fair_queue::parts::sweep_teams()
{
    std::erase_if(this->team_names, [this](auto const& item) {
        auto const& team = this->teams[item.second];
        if (team.configured || team.waiting > 0 || team.in_progress > 0 || team.time > this->now)
            return false;
        this->teams.release(item.second);
        return true;
    });
    this->sweep_above = std::max(least_teams_for_sweep, this->team_names.size() * 2);
}

index fair_queue::parts::class_for(std::string const& name)
{
    auto const found = this->class_names.find(name);
    if (found != this->class_names.end())
        return found->second;
    class_state state;
    state.name = name;
    auto const place = this->classes.add(std::move(state));
    this->class_names.emplace(name, place);
    return place;
}

index fair_queue::parts::lane_for(index team, index cls)
{
    auto const [found, added] = this->lane_of.try_emplace(lane_key(team, cls), none);
    if (!added)
        return found->second;
    found->second = this->lanes.add({team, cls, none, none});
    ++this->classes[cls].lanes;
    this->teams[team].lanes.push_back(found->second);
    if (this->teams[team].eligible())
        this->enter(team, cls);
    return found->second;
}

void fair_queue::parts::close_lane(index place)
{
    auto const [team, cls, first, last] = this->lanes[place];
    if (this->teams[team].eligible())
        this->leave(team, cls);
    std::erase(this->teams[team].lanes, place);
    this->lane_of.erase(lane_key(team, cls));
    this->lanes.release(place);
    if (--this->classes[cls].lanes > 0)
        return;
    this->class_names.erase(this->classes[cls].name);
    this->classes.release(cls);
}

void fair_queue::parts::enter(index team, index cls)
{
    auto& state = this->classes[cls];
    auto const first = state.teams.empty() ? std::pair {0.0, none} : *state.teams.begin();
    state.teams.emplace(this->teams[team].time, team);
    if (state.teams.begin()->second != team)
        return;
    if (first.second != none)
        this->order.erase({first.first, cls});
    this->order.emplace(this->teams[team].time, cls);
}

void fair_queue::parts::leave(index team, index cls)
{
    auto& state = this->classes[cls];
    bool const was_first = state.teams.begin()->second == team;
    state.teams.erase({this->teams[team].time, team});
    if (!was_first)
        return;
    this->order.erase({this->teams[team].time, cls});
    if (!state.teams.empty())
        this->order.emplace(state.teams.begin()->first, cls);
}

template <typename Change> void fair_queue::parts::reorder(index team, Change const& change)
{
    auto& state = this->teams[team];
    if (state.eligible())
        for (auto const place : state.lanes)
            this->leave(team, this->lanes[place].cls);
    change(state);
    if (state.eligible())
        for (auto const place : state.lanes)
            this->enter(team, this->lanes[place].cls);
}

virtual_time fair_queue::parts::start_time(team_state const& team) const
{
    return std::max(team.time, this->now - most_lag - team.owed);
}

void fair_queue::parts::add(queued_task task, bool at_front)
{
    if (this->waiting.contains(task.task))
        return;
    auto const team = this->team_for(task.team);
    auto& state = this->teams[team];
    if (state.waiting == 0) {
        // No credit for the time in which the team had nothing to run.
        state.time = std::max(state.time, this->now);
        state.owed = 0;
    }
    auto const place = this->lane_for(team, this->class_for(task.placement_class));
    ++state.waiting;
    state.backlog += task.cost;
    this->backlog += task.cost;
    auto& list = this->lanes[place];
    auto const ref = task.task;
    auto const added = this->slots.add({std::move(task), place, none, none});
    this->waiting.emplace(ref, added);
    auto& self = this->slots[added];
    auto& end = at_front ? list.first : list.last;
    (at_front ? self.after : self.before) = end;
    if (end != none)
        (at_front ? this->slots[end].before : this->slots[end].after) = added;
    else
        (at_front ? list.last : list.first) = added;
    end = added;
}

queued_task fair_queue::parts::detach(index place)
{
    auto& self = this->slots[place];
    auto const lane_index = self.lane;
    auto& list = this->lanes[lane_index];
    (self.before == none ? list.first : this->slots[self.before].after) = self.after;
    (self.after == none ? list.last : this->slots[self.after].before) = self.before;
    auto task = std::move(self.task);
    this->slots.release(place);
    this->waiting.erase(task.task);
    auto& team = this->teams[list.team];
    --team.waiting;
    team.backlog -= task.cost;
    this->backlog -= task.cost;
    if (list.first == none)
        this->close_lane(lane_index);
    return task;
}

fair_queue::fair_queue() : own(std::make_unique<parts>()) { }

fair_queue::~fair_queue() = default;

void fair_queue::set_share(std::string const& team, team_share share)
{
    this->own->reorder(this->own->team_for(team), [&share](team_state& state) {
        state.share = share;
        state.configured = true;
    });
}

void fair_queue::push(queued_task task)
{
    this->own->add(std::move(task), false);
}

void fair_queue::push_front(queued_task task)
{
    this->own->add(std::move(task), true);
}

std::optional<queued_task>
fair_queue::take(std::function<bool(std::string const& placement_class)> const& placeable)
{
    auto& all = *this->own;
    auto const chosen = std::find_if(all.order.begin(), all.order.end(), [&](auto const& item) {
        return placeable(all.classes[item.second].name);
    });
    if (chosen == all.order.end())
        return std::nullopt;
    auto const cls = chosen->second;
    auto const team = all.classes[cls].teams.begin()->second;
    auto task = all.detach(all.lanes[all.lane_of.at(parts::lane_key(team, cls))].first);
    all.reorder(team, [&](team_state& state) {
        auto const start = all.start_time(state);
        all.now = std::max(all.now, start);
        state.time = start + state.scaled(charged(task.cost));
        state.owed = std::min(state.owed, std::max(0.0, all.now - state.time));
        ++state.in_progress;
    });
    return task;
}

void fair_queue::finished(std::string const& team, microseconds estimated, microseconds actual)
{
    auto& all = *this->own;
    all.reorder(all.team_for(team), [&](team_state& state) {
        auto const correction = state.scaled(actual) - state.scaled(charged(estimated));
        state.time += correction;
        state.in_progress -= state.in_progress > 0 ? 1 : 0;
        if (correction < 0)
            state.owed = std::min(state.owed - correction, std::max(0.0, all.now - state.time));
    });
}

bool fair_queue::remove(protocol::task_ref const& task)
{
    auto const found = this->own->waiting.find(task);
    if (found == this->own->waiting.end())
        return false;
    this->own->detach(found->second);
    return true;
}

std::size_t fair_queue::size() const
{
    return this->own->waiting.size();
}

std::size_t fair_queue::size(std::string const& team) const
{
    auto const* state = this->own->find_team(team);
    return state == nullptr ? 0 : state->waiting;
}

std::uint32_t fair_queue::in_progress(std::string const& team) const
{
    auto const* state = this->own->find_team(team);
    return state == nullptr ? 0 : state->in_progress;
}

microseconds fair_queue::backlog() const
{
    return this->own->backlog;
}

microseconds fair_queue::backlog(std::string const& team) const
{
    auto const* state = this->own->find_team(team);
    return state == nullptr ? microseconds(0) : state->backlog;
}

microseconds fair_queue::competing_backlog(std::string const& team, microseconds work) const
{
    auto const per_weight = static_cast<double>(work.count()) / this->share(team).weight;
    microseconds sum {0};
    for (auto const& [name, place] : this->own->team_names) {
        if (name == team)
            continue;
        auto const& other = this->own->teams[place];
        auto const most = microseconds(static_cast<std::int64_t>(per_weight * other.share.weight));
        sum += std::min(other.backlog, most);
    }
    return sum;
}

team_share fair_queue::share(std::string const& team) const
{
    auto const* state = this->own->find_team(team);
    auto share = state == nullptr ? team_share {} : state->share;
    share.weight = std::max(share.weight, 1U);
    return share;
}

} // namespace greengagehead::policy
