// Event loop over virtual time. Entries use the real endpoint table and policies; agents are a slot
// count with a bounded queue.

#include "policy/placement_simulation.h"

#include <algorithm>
#include <deque>
#include <memory>
#include <numeric>
#include <random>

#include "policy/endpoint_health.h"
#include "policy/endpoint_table.h"
#include "policy/event_queue.h"
#include "policy/placement_policy.h"

namespace greengagehead::policy {

namespace {

using base::steady_time;
using std::chrono::microseconds;

constexpr microseconds report_interval(300'000);

struct work {
    std::size_t entry = 0;
    steady_time arrived;
    microseconds run_time {0};
};

struct agent {
    std::uint32_t used = 0;
    std::vector<std::uint32_t> used_by; ///< Running and queued tasks of each entry.
    std::deque<work> queued;
};

struct entry {
    endpoint_table endpoints;
    endpoint_health health;
    std::unique_ptr<placement_policy> policy;
    std::deque<work> waiting;
};

class loop {
public:
    explicit loop(placement_simulation_settings const& wanted);
    placement_simulation_result run();

private:
    [[nodiscard]] std::uint32_t slots_for(std::size_t entry, std::size_t agent) const;
    void report(std::size_t agent);
    void arrive(std::size_t entry);
    void place(std::size_t entry);
    void start(std::size_t agent, work task);
    void run_task(std::size_t agent, work const& task);
    void finish(std::size_t agent, work const& task);

    placement_simulation_settings settings;
    std::mt19937_64 random;
    event_queue events;
    std::deque<entry> entries;
    std::vector<agent> agents;
    std::vector<double> ratios;
    std::uint32_t arrived = 0;
    std::uint32_t refused = 0;
    std::uint32_t max_queue_length = 0;
};

loop::loop(placement_simulation_settings const& wanted)
    : settings(wanted), random(wanted.seed), entries(wanted.entry_weights.size()),
      agents(wanted.endpoints)
{
    for (std::size_t number = 0; number < this->entries.size(); ++number) {
        if (wanted.sharing == slot_sharing::reports)
            this->entries[number].endpoints.set_entries(
                static_cast<std::uint32_t>(this->entries.size()),
                static_cast<std::uint32_t>(number));
        this->entries[number].policy
            = make_placement_policy(wanted.policy, wanted.seed * 1000 + number);
    }
    for (std::size_t number = 0; number < this->agents.size(); ++number) {
        this->agents[number].used_by.resize(this->entries.size());
        for (auto& each : this->entries)
            each.endpoints.set_agent_registered({"agent." + std::to_string(number), 1});
        // Agents do not report in step.
        this->events.after(report_interval * static_cast<std::int64_t>(number)
                               / static_cast<std::int64_t>(this->agents.size()),
                           [this, number] { this->report(number); });
    }
    for (std::size_t number = 0; number < this->entries.size(); ++number)
        this->arrive(number);
}

std::uint32_t loop::slots_for(std::size_t entry, std::size_t agent) const
{
    auto const entry_count = this->entries.size();
    if (this->settings.sharing == slot_sharing::reports)
        return this->settings.slots;
    if (this->settings.sharing == slot_sharing::leased)
        return agent % entry_count == entry ? this->settings.slots : 0;
    auto const extra = this->settings.slots % entry_count;
    auto const rank = (entry + agent) % entry_count;
    return static_cast<std::uint32_t>(this->settings.slots / entry_count + (rank < extra ? 1 : 0));
}

void loop::report(std::size_t number)
{
    auto const& source = this->agents[number];
    auto const name = std::to_string(number);
    for (std::size_t index = 0; index < this->entries.size(); ++index) {
        protocol::endpoint_state state;
        state.name = "endpoint." + name;
        state.kinds = {"quote"};
        state.slots = this->slots_for(index, number);
        bool const shared = this->settings.sharing == slot_sharing::reports;
        state.used_slots = shared ? source.used : source.used_by[index];
        state.queued = shared ? static_cast<std::uint32_t>(source.queued.size()) : 0;
        state.held_by_receiver = source.used_by[index];
        protocol::agent_report const body {
            {"agent." + name, 1}, "r", "z" + std::to_string(number % 3), {}, 1, {state}, {}};
        this->events.after(this->settings.latency, [this, index, body] {
            this->entries[index].endpoints.update(body, this->events.now());
            this->place(index);
        });
    }
    this->events.after(report_interval, [this, number] { this->report(number); });
}

void loop::arrive(std::size_t number)
{
    auto const& parts = this->settings.entry_weights;
    auto const sum = std::accumulate(parts.begin(), parts.end(), 0.0);
    auto const capacity = static_cast<double>(this->settings.endpoints) * this->settings.slots;
    auto const mean = static_cast<double>(this->settings.run_time.count())
        / (capacity * this->settings.load * parts[number] / sum);
    std::exponential_distribution<double> gap(1 / mean);
    this->events.after(microseconds(static_cast<std::int64_t>(gap(this->random))), [this, number] {
        if (this->arrived++ >= this->settings.tasks)
            return;
        auto const spread = this->settings.run_time_spread;
        std::uniform_real_distribution<double> length(1 - spread, 1 + spread);
        auto const time = static_cast<double>(this->settings.run_time.count());
        this->entries[number].waiting.push_back(
            {number, this->events.now(),
             microseconds(static_cast<std::int64_t>(time * length(this->random)))});
        this->place(number);
        this->arrive(number);
    });
}

void loop::place(std::size_t number)
{
    auto& self = this->entries[number];
    placement_request request;
    request.kind = "quote";
    while (!self.waiting.empty()) {
        auto const choice
            = self.policy->choose(request, self.endpoints, self.health, this->events.now());
        if (!choice)
            return;
        auto const target = std::stoul(choice->endpoint.substr(choice->endpoint.find('.') + 1));
        self.endpoints.record_start(choice->endpoint);
        this->events.after(this->settings.latency, [this, target, task = self.waiting.front()] {
            this->start(target, task);
        });
        self.waiting.pop_front();
    }
}

void loop::start(std::size_t number, work task)
{
    auto& self = this->agents[number];
    if (self.used < this->settings.slots) {
        ++self.used_by[task.entry];
        return this->run_task(number, task);
    }
    if (self.queued.size() < this->settings.agent_queue) {
        ++self.used_by[task.entry];
        self.queued.push_back(task);
        this->max_queue_length
            = std::max(this->max_queue_length, static_cast<std::uint32_t>(self.queued.size()));
        return;
    }
    ++this->refused;
    this->events.after(this->settings.latency, [this, number, task] {
        auto& source = this->entries[task.entry];
        source.endpoints.record_refusal("endpoint." + std::to_string(number));
        source.waiting.push_front(task);
        this->place(task.entry);
    });
}

void loop::run_task(std::size_t number, work const& task)
{
    ++this->agents[number].used;
    this->events.after(task.run_time, [this, number, task] { this->finish(number, task); });
}

void loop::finish(std::size_t number, work const& task)
{
    auto& self = this->agents[number];
    --self.used;
    --self.used_by[task.entry];
    if (!self.queued.empty()) {
        auto const next = self.queued.front();
        self.queued.pop_front();
        this->run_task(number, next);
    }
    this->events.after(this->settings.latency, [this, number, task] {
        this->entries[task.entry].endpoints.record_outcome("endpoint." + std::to_string(number));
        auto const ideal = task.run_time + 2 * this->settings.latency;
        this->ratios.push_back(static_cast<double>((this->events.now() - task.arrived).count())
                               / static_cast<double>(steady_time::duration(ideal).count()));
        this->place(task.entry);
    });
}

placement_simulation_result loop::run()
{
    while (this->ratios.size() < this->settings.tasks) {
        this->events.run_next();
    }
    // The first tenth fills the fleet.
    this->ratios.erase(this->ratios.begin(),
                       this->ratios.begin()
                           + static_cast<std::ptrdiff_t>(this->ratios.size() / 10));
    std::sort(this->ratios.begin(), this->ratios.end());
    auto const count = this->ratios.size();
    return {this->ratios[count / 2], this->ratios[count * 99 / 100], this->max_queue_length,
            static_cast<double>(this->refused) / this->settings.tasks};
}

} // namespace

placement_simulation_result run_placement_simulation(placement_simulation_settings const& settings)
{
    return loop(settings).run();
}

} // namespace greengagehead::policy
