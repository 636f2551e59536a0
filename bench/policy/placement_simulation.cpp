// Discrete-event simulation in virtual time. Entries use the real endpoint table and policies; an
// agent is a slot count with a bounded queue.

#include "policy/placement_simulation.h"

#include <algorithm>
#include <deque>
#include <memory>
#include <numeric>
#include <random>

#include "policy/endpoint_health.h"
#include "policy/endpoint_table.h"
#include "policy/entry_names.h"
#include "policy/event_queue.h"
#include "policy/placement_policy.h"

namespace greengagehead::policy {

namespace {

using base::steady_time;
using std::chrono::microseconds;

constexpr microseconds report_interval(300'000);

struct simulated_task {
    std::size_t entry = 0; ///< Index of the entry that got the task.
    steady_time arrived;
    microseconds run_time {0};
};

struct simulated_agent {
    std::uint32_t used = 0;
    std::vector<std::uint32_t> tasks_by_entry; ///< Running and queued tasks, by entry.
    std::deque<simulated_task> queued;
};

struct simulated_entry {
    endpoint_table endpoints;
    endpoint_health health;
    std::unique_ptr<placement_policy> policy;
    std::deque<simulated_task> waiting;
};

class placement_simulation {
public:
    explicit placement_simulation(placement_simulation_settings const& initial_settings);
    placement_simulation_result run();

private:
    [[nodiscard]] std::uint32_t slots_for(std::size_t entry_index, std::size_t agent_index) const;
    void report(std::size_t agent_index);
    void schedule_arrival(std::size_t entry_index);
    void place(std::size_t entry_index);
    void start(std::size_t agent_index, simulated_task task);
    void run_task(std::size_t agent_index, simulated_task const& task);
    void finish(std::size_t agent_index, simulated_task const& task);

    placement_simulation_settings settings;
    std::mt19937_64 random;
    event_queue events;
    std::deque<simulated_entry> entries;
    std::vector<simulated_agent> agents;
    std::vector<double> stretches; ///< Response times relative to the ideal ones.
    std::uint32_t arrived_tasks = 0;
    std::uint32_t refused_starts = 0;
    std::uint32_t max_queue_length = 0;
};

placement_simulation::placement_simulation(placement_simulation_settings const& initial_settings)
    : settings(initial_settings), random(initial_settings.seed),
      entries(initial_settings.entry_weights.size()), agents(initial_settings.endpoints)
{
    for (std::size_t entry_index = 0; entry_index < this->entries.size(); ++entry_index) {
        if (initial_settings.sharing == slot_sharing::reports)
            this->entries[entry_index].endpoints.set_entries(entry_names(this->entries.size()),
                                                             entry_name(entry_index));
        this->entries[entry_index].policy = make_placement_policy(
            initial_settings.policy, initial_settings.seed * 1000 + entry_index);
    }
    for (std::size_t agent_index = 0; agent_index < this->agents.size(); ++agent_index) {
        this->agents[agent_index].tasks_by_entry.resize(this->entries.size());
        for (auto& entry : this->entries)
            entry.endpoints.set_agent_registered({"agent." + std::to_string(agent_index), 1});
        // Spreads the reports of the agents over the interval.
        this->events.after(report_interval * static_cast<std::int64_t>(agent_index)
                               / static_cast<std::int64_t>(this->agents.size()),
                           [this, agent_index] { this->report(agent_index); });
    }
    for (std::size_t entry_index = 0; entry_index < this->entries.size(); ++entry_index)
        this->schedule_arrival(entry_index);
}

std::uint32_t placement_simulation::slots_for(std::size_t entry_index,
                                              std::size_t agent_index) const
{
    auto const entry_count = this->entries.size();
    if (this->settings.sharing == slot_sharing::reports)
        return this->settings.slots;
    if (this->settings.sharing == slot_sharing::leased)
        return agent_index % entry_count == entry_index ? this->settings.slots : 0;
    auto const extra = this->settings.slots % entry_count;
    auto const rank = (entry_index + agent_index) % entry_count;
    return static_cast<std::uint32_t>(this->settings.slots / entry_count + (rank < extra ? 1 : 0));
}

void placement_simulation::report(std::size_t agent_index)
{
    auto const& agent = this->agents[agent_index];
    auto const name = std::to_string(agent_index);
    for (std::size_t entry_index = 0; entry_index < this->entries.size(); ++entry_index) {
        protocol::endpoint_state state;
        state.name = "endpoint." + name;
        state.kinds = {"quote"};
        state.slots = this->slots_for(entry_index, agent_index);
        bool const shared = this->settings.sharing == slot_sharing::reports;
        state.used_slots = shared ? agent.used : agent.tasks_by_entry[entry_index];
        state.queued = shared ? static_cast<std::uint32_t>(agent.queued.size()) : 0;
        state.held_by_receiver = agent.tasks_by_entry[entry_index];
        protocol::agent_report const body {
            {"agent." + name, 1}, "r", "z" + std::to_string(agent_index % 3), {}, 1, {state}, {}};
        this->events.after(this->settings.latency, [this, entry_index, body] {
            this->entries[entry_index].endpoints.update(body, this->events.now());
            this->place(entry_index);
        });
    }
    this->events.after(report_interval, [this, agent_index] { this->report(agent_index); });
}

void placement_simulation::schedule_arrival(std::size_t entry_index)
{
    auto const& weights = this->settings.entry_weights;
    auto const sum = std::accumulate(weights.begin(), weights.end(), 0.0);
    auto const capacity = static_cast<double>(this->settings.endpoints) * this->settings.slots;
    auto const mean_gap = static_cast<double>(this->settings.run_time.count())
        / (capacity * this->settings.load * weights[entry_index] / sum);
    std::exponential_distribution<double> gap(1 / mean_gap);
    this->events.after(
        microseconds(static_cast<std::int64_t>(gap(this->random))), [this, entry_index] {
            if (this->arrived_tasks++ >= this->settings.tasks)
                return;
            auto const spread = this->settings.run_time_spread;
            std::uniform_real_distribution<double> run_time_factor(1 - spread, 1 + spread);
            auto const mean_run_time = static_cast<double>(this->settings.run_time.count());
            this->entries[entry_index].waiting.push_back(
                {entry_index, this->events.now(),
                 microseconds(
                     static_cast<std::int64_t>(mean_run_time * run_time_factor(this->random)))});
            this->place(entry_index);
            this->schedule_arrival(entry_index);
        });
}

void placement_simulation::place(std::size_t entry_index)
{
    auto& entry = this->entries[entry_index];
    placement_request request;
    request.kind = "quote";
    while (!entry.waiting.empty()) {
        auto const choice
            = entry.policy->choose(request, entry.endpoints, entry.health, this->events.now());
        if (!choice)
            return;
        auto const agent_index
            = std::stoul(choice->endpoint.substr(choice->endpoint.find('.') + 1));
        entry.endpoints.record_start(choice->endpoint);
        this->events.after(
            this->settings.latency,
            [this, agent_index, task = entry.waiting.front()] { this->start(agent_index, task); });
        entry.waiting.pop_front();
    }
}

void placement_simulation::start(std::size_t agent_index, simulated_task task)
{
    auto& agent = this->agents[agent_index];
    if (agent.used < this->settings.slots) {
        ++agent.tasks_by_entry[task.entry];
        return this->run_task(agent_index, task);
    }
    if (agent.queued.size() < this->settings.agent_queue) {
        ++agent.tasks_by_entry[task.entry];
        agent.queued.push_back(task);
        this->max_queue_length
            = std::max(this->max_queue_length, static_cast<std::uint32_t>(agent.queued.size()));
        return;
    }
    ++this->refused_starts;
    this->events.after(this->settings.latency, [this, agent_index, task] {
        auto& entry = this->entries[task.entry];
        entry.endpoints.record_refusal("endpoint." + std::to_string(agent_index));
        entry.waiting.push_front(task);
        this->place(task.entry);
    });
}

void placement_simulation::run_task(std::size_t agent_index, simulated_task const& task)
{
    ++this->agents[agent_index].used;
    this->events.after(task.run_time,
                       [this, agent_index, task] { this->finish(agent_index, task); });
}

void placement_simulation::finish(std::size_t agent_index, simulated_task const& task)
{
    auto& agent = this->agents[agent_index];
    --agent.used;
    --agent.tasks_by_entry[task.entry];
    if (!agent.queued.empty()) {
        auto const next = agent.queued.front();
        agent.queued.pop_front();
        this->run_task(agent_index, next);
    }
    this->events.after(this->settings.latency, [this, agent_index, task] {
        this->entries[task.entry].endpoints.record_outcome("endpoint."
                                                           + std::to_string(agent_index));
        auto const ideal = task.run_time + 2 * this->settings.latency;
        this->stretches.push_back(static_cast<double>((this->events.now() - task.arrived).count())
                                  / static_cast<double>(steady_time::duration(ideal).count()));
        this->place(task.entry);
    });
}

placement_simulation_result placement_simulation::run()
{
    while (this->stretches.size() < this->settings.tasks) {
        this->events.run_next();
    }
    // Leaves out the first tenth of the tasks, during which the load builds up.
    this->stretches.erase(this->stretches.begin(),
                          this->stretches.begin()
                              + static_cast<std::ptrdiff_t>(this->stretches.size() / 10));
    std::sort(this->stretches.begin(), this->stretches.end());
    auto const count = this->stretches.size();
    return {this->stretches[count / 2], this->stretches[count * 99 / 100], this->max_queue_length,
            static_cast<double>(this->refused_starts) / this->settings.tasks};
}

} // namespace

placement_simulation_result run_placement_simulation(placement_simulation_settings const& settings)
{
    return placement_simulation(settings).run();
}

} // namespace greengagehead::policy
