// Start-time fair queueing over teams. Every team has a virtual time: the run time charged to it,
// divided by its weight. Each placement class holds its eligible teams with waiting tasks in the
// order of their virtual times, and the classes are ordered by the virtual time of their first
// team. A decision takes the first placeable class and the first team in it, so it costs O(log
// teams) for each class in which the chosen team has waiting tasks.

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

/// Minimum charge per task. Without it, tasks without a declared run time would be free.
constexpr microseconds min_cost {1000};
/// Limits how far a team's virtual time may lag behind the queue's. A team that was not served for
/// a while, because of its quota or because none of its classes was placeable, would otherwise take
/// every slot when a zone returns. 5 s of run time equals half the slots of a small fleet for a
/// tenth of a second.
constexpr virtual_time max_lag = 5e6;
/// Unused teams are removed only when at least this many are known.
constexpr std::size_t min_teams_for_cleanup = 256;

struct task_ref_hash {
    std::size_t operator()(protocol::task_ref const& task) const
    {
        return std::hash<std::string> {}(task.job) * 31 + task.index;
    }
};

/// Waiting task in the doubly linked list of its subqueue.
struct task_node {
    queued_task task;
    index subqueue = none;
    index previous = none;
    index next = none;
};

/// Waiting tasks of one team and class, in the order in which they are taken.
struct subqueue {
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
    /// Part of the lag behind the queue's virtual time that results from charging more than the
    /// actual run time. The team may catch up on it in full, in addition to `max_lag`.
    virtual_time overcharge_credit = 0;
    std::vector<index> subqueues; ///< Subqueues with waiting tasks.

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
    std::size_t subqueue_count = 0; ///< With waiting tasks, of eligible teams or not.
    std::set<std::pair<virtual_time, index>> teams; ///< Eligible teams with waiting tasks.
};

microseconds charged_cost(microseconds cost)
{
    return std::max(cost, min_cost);
}

/// Storage with stable indices. Released positions are reused.
template <typename T> class pool {
public:
    index add(T value)
    {
        if (this->unused.empty()) {
            this->items.push_back(std::move(value));
            return static_cast<index>(this->items.size() - 1);
        }
        auto const position = this->unused.back();
        this->unused.pop_back();
        this->items[position] = std::move(value);
        return position;
    }
    void release(index position)
    {
        this->items[position] = T {};
        this->unused.push_back(position);
    }
    T& operator[](index position) { return this->items[position]; }

private:
    std::vector<T> items;
    std::vector<index> unused;
};

} // namespace

struct fair_queue::implementation {
    pool<task_node> nodes;
    pool<subqueue> subqueues;
    pool<team_state> teams;
    pool<class_state> classes;
    std::unordered_map<protocol::task_ref, index, task_ref_hash> waiting;
    std::unordered_map<std::string, index> teams_by_name;
    std::unordered_map<std::string, index> classes_by_name;
    std::unordered_map<std::uint64_t, index> subqueues_by_key; ///< Keys from subqueue_key().
    /// Classes by the virtual time of their first team.
    std::set<std::pair<virtual_time, index>> class_order;
    /// Virtual time of the queue: the highest start time served. Never decreases.
    virtual_time now = 0;
    microseconds backlog {0};
    std::size_t cleanup_threshold = min_teams_for_cleanup;

    static std::uint64_t subqueue_key(index team, index cls)
    {
        return (std::uint64_t {team} << 32U) | cls;
    }

    index find_or_add_team(std::string const& name);
    index find_or_add_class(std::string const& name);
    index find_or_add_subqueue(index team, index cls);
    team_state const* find_team(std::string const& name);
    void remove_unused_teams();
    void add(queued_task task, bool at_front);
    queued_task detach(index position);
    void remove_subqueue(index position);

    /// Adds or removes one team in one class, and updates `class_order`.
    void insert_into_class(index team, index cls);
    void remove_from_class(index team, index cls);
    /// Runs `change` while the team is removed from its classes, because the order depends on the
    /// members that `change` modifies.
    template <typename Change> void update_team(index team, Change const& change);
    [[nodiscard]] virtual_time start_time(team_state const& team) const;
};

team_state const* fair_queue::implementation::find_team(std::string const& name)
{
    auto const found = this->teams_by_name.find(name);
    return found == this->teams_by_name.end() ? nullptr : &this->teams[found->second];
}

index fair_queue::implementation::find_or_add_team(std::string const& name)
{
    auto const found = this->teams_by_name.find(name);
    if (found != this->teams_by_name.end())
        return found->second;
    if (this->teams_by_name.size() >= this->cleanup_threshold)
        this->remove_unused_teams();
    team_state state;
    state.name = name;
    state.time = this->now;
    auto const position = this->teams.add(std::move(state));
    this->teams_by_name.emplace(name, position);
    return position;
}

void fair_queue::implementation::remove_unused_teams()
{
    std::erase_if(this->teams_by_name, [this](auto const& item) {
        auto const& team = this->teams[item.second];
        if (team.configured || team.waiting > 0 || team.in_progress > 0 || team.time > this->now)
            return false;
        this->teams.release(item.second);
        return true;
    });
    this->cleanup_threshold = std::max(min_teams_for_cleanup, this->teams_by_name.size() * 2);
}

index fair_queue::implementation::find_or_add_class(std::string const& name)
{
    auto const found = this->classes_by_name.find(name);
    if (found != this->classes_by_name.end())
        return found->second;
    class_state state;
    state.name = name;
    auto const position = this->classes.add(std::move(state));
    this->classes_by_name.emplace(name, position);
    return position;
}

index fair_queue::implementation::find_or_add_subqueue(index team, index cls)
{
    auto const [found, added] = this->subqueues_by_key.try_emplace(subqueue_key(team, cls), none);
    if (!added)
        return found->second;
    found->second = this->subqueues.add({team, cls, none, none});
    ++this->classes[cls].subqueue_count;
    this->teams[team].subqueues.push_back(found->second);
    if (this->teams[team].eligible())
        this->insert_into_class(team, cls);
    return found->second;
}

void fair_queue::implementation::remove_subqueue(index position)
{
    auto const [team, cls, first, last] = this->subqueues[position];
    if (this->teams[team].eligible())
        this->remove_from_class(team, cls);
    std::erase(this->teams[team].subqueues, position);
    this->subqueues_by_key.erase(subqueue_key(team, cls));
    this->subqueues.release(position);
    if (--this->classes[cls].subqueue_count > 0)
        return;
    this->classes_by_name.erase(this->classes[cls].name);
    this->classes.release(cls);
}

void fair_queue::implementation::insert_into_class(index team, index cls)
{
    auto& state = this->classes[cls];
    auto const first = state.teams.empty() ? std::pair {0.0, none} : *state.teams.begin();
    state.teams.emplace(this->teams[team].time, team);
    if (state.teams.begin()->second != team)
        return;
    if (first.second != none)
        this->class_order.erase({first.first, cls});
    this->class_order.emplace(this->teams[team].time, cls);
}

void fair_queue::implementation::remove_from_class(index team, index cls)
{
    auto& state = this->classes[cls];
    bool const was_first = state.teams.begin()->second == team;
    state.teams.erase({this->teams[team].time, team});
    if (!was_first)
        return;
    this->class_order.erase({this->teams[team].time, cls});
    if (!state.teams.empty())
        this->class_order.emplace(state.teams.begin()->first, cls);
}

template <typename Change>
void fair_queue::implementation::update_team(index team, Change const& change)
{
    auto& state = this->teams[team];
    if (state.eligible())
        for (auto const position : state.subqueues)
            this->remove_from_class(team, this->subqueues[position].cls);
    change(state);
    if (state.eligible())
        for (auto const position : state.subqueues)
            this->insert_into_class(team, this->subqueues[position].cls);
}

virtual_time fair_queue::implementation::start_time(team_state const& team) const
{
    return std::max(team.time, this->now - max_lag - team.overcharge_credit);
}

void fair_queue::implementation::add(queued_task task, bool at_front)
{
    if (this->waiting.contains(task.task))
        return;
    auto const team = this->find_or_add_team(task.team);
    auto& state = this->teams[team];
    if (state.waiting == 0) {
        // A team gets no credit for the time in which it had no waiting tasks.
        state.time = std::max(state.time, this->now);
        state.overcharge_credit = 0;
    }
    auto const position
        = this->find_or_add_subqueue(team, this->find_or_add_class(task.placement_class));
    ++state.waiting;
    state.backlog += task.cost;
    this->backlog += task.cost;
    auto& list = this->subqueues[position];
    auto const ref = task.task;
    auto const node_position = this->nodes.add({std::move(task), position, none, none});
    this->waiting.emplace(ref, node_position);
    auto& node = this->nodes[node_position];
    auto& end = at_front ? list.first : list.last;
    (at_front ? node.next : node.previous) = end;
    if (end != none)
        (at_front ? this->nodes[end].previous : this->nodes[end].next) = node_position;
    else
        (at_front ? list.last : list.first) = node_position;
    end = node_position;
}

queued_task fair_queue::implementation::detach(index position)
{
    auto& node = this->nodes[position];
    auto const subqueue_position = node.subqueue;
    auto& list = this->subqueues[subqueue_position];
    (node.previous == none ? list.first : this->nodes[node.previous].next) = node.next;
    (node.next == none ? list.last : this->nodes[node.next].previous) = node.previous;
    auto task = std::move(node.task);
    this->nodes.release(position);
    this->waiting.erase(task.task);
    auto& team = this->teams[list.team];
    --team.waiting;
    team.backlog -= task.cost;
    this->backlog -= task.cost;
    if (list.first == none)
        this->remove_subqueue(subqueue_position);
    return task;
}

fair_queue::fair_queue() : impl(std::make_unique<implementation>()) { }

fair_queue::~fair_queue() = default;

void fair_queue::set_share(std::string const& team, team_share share)
{
    this->impl->update_team(this->impl->find_or_add_team(team), [&share](team_state& state) {
        state.share = share;
        state.configured = true;
    });
}

void fair_queue::push(queued_task task)
{
    this->impl->add(std::move(task), false);
}

void fair_queue::push_front(queued_task task)
{
    this->impl->add(std::move(task), true);
}

std::optional<queued_task>
fair_queue::take(std::function<bool(std::string const& placement_class)> const& placeable)
{
    auto& self = *this->impl;
    auto const chosen
        = std::find_if(self.class_order.begin(), self.class_order.end(),
                       [&](auto const& item) { return placeable(self.classes[item.second].name); });
    if (chosen == self.class_order.end())
        return std::nullopt;
    auto const cls = chosen->second;
    auto const team = self.classes[cls].teams.begin()->second;
    auto task = self.detach(
        self.subqueues[self.subqueues_by_key.at(implementation::subqueue_key(team, cls))].first);
    self.update_team(team, [&](team_state& state) {
        auto const start = self.start_time(state);
        self.now = std::max(self.now, start);
        state.time = start + state.scaled(charged_cost(task.cost));
        state.overcharge_credit
            = std::min(state.overcharge_credit, std::max(0.0, self.now - state.time));
        ++state.in_progress;
    });
    return task;
}

void fair_queue::finished(std::string const& team, microseconds estimated, microseconds actual)
{
    auto& self = *this->impl;
    self.update_team(self.find_or_add_team(team), [&](team_state& state) {
        auto const correction = state.scaled(actual) - state.scaled(charged_cost(estimated));
        state.time += correction;
        state.in_progress -= state.in_progress > 0 ? 1 : 0;
        if (correction < 0)
            state.overcharge_credit = std::min(state.overcharge_credit - correction,
                                               std::max(0.0, self.now - state.time));
    });
}

bool fair_queue::remove(protocol::task_ref const& task)
{
    auto const found = this->impl->waiting.find(task);
    if (found == this->impl->waiting.end())
        return false;
    this->impl->detach(found->second);
    return true;
}

std::size_t fair_queue::size() const
{
    return this->impl->waiting.size();
}

std::size_t fair_queue::size(std::string const& team) const
{
    auto const* state = this->impl->find_team(team);
    return state == nullptr ? 0 : state->waiting;
}

std::uint32_t fair_queue::in_progress(std::string const& team) const
{
    auto const* state = this->impl->find_team(team);
    return state == nullptr ? 0 : state->in_progress;
}

microseconds fair_queue::backlog() const
{
    return this->impl->backlog;
}

microseconds fair_queue::backlog(std::string const& team) const
{
    auto const* state = this->impl->find_team(team);
    return state == nullptr ? microseconds(0) : state->backlog;
}

microseconds fair_queue::competing_backlog(std::string const& team, microseconds work) const
{
    auto const per_weight = static_cast<double>(work.count()) / this->share(team).weight;
    microseconds sum {0};
    for (auto const& [name, position] : this->impl->teams_by_name) {
        if (name == team)
            continue;
        auto const& other = this->impl->teams[position];
        auto const max_served
            = microseconds(static_cast<std::int64_t>(per_weight * other.share.weight));
        sum += std::min(other.backlog, max_served);
    }
    return sum;
}

team_share fair_queue::share(std::string const& team) const
{
    auto const* state = this->impl->find_team(team);
    auto share = state == nullptr ? team_share {} : state->share;
    share.weight = std::max(share.weight, 1U);
    return share;
}

} // namespace greengagehead::policy
