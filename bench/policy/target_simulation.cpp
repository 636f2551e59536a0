// Event loop over virtual time.

#include "policy/target_simulation.h"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <numeric>
#include <random>
#include <string>

#include "agent/endpoint_slots.h"
#include "policy/endpoint_health.h"
#include "policy/endpoint_table.h"
#include "policy/event_queue.h"
#include "policy/placement_policy.h"
#include "policy/target_admission.h"
#include "policy/target_queue.h"
#include "protocol/job.h"

namespace greengagehead::policy {

namespace {

using base::steady_time;
using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

/// As in the agent.
constexpr microseconds report_interval(300'000);
constexpr microseconds shortest_report_gap(50'000);
constexpr microseconds report_gap_per_entry(17'000);
constexpr std::uint32_t use_levels = 8;
/// As in the entry.
constexpr std::uint32_t refusals_before_pause = 3;
constexpr microseconds first_pause(10'000);
constexpr std::uint32_t most_doublings = 6;
constexpr int speed_margin_percent = 15;
constexpr std::uint32_t class_width = 8;

struct kind_of_job {
    double tasks;
    double run_ms;
    double arrivals; ///< Relative to the other kinds.
    std::uint32_t priority; ///< 0 comes first.
};

constexpr std::array<kind_of_job, job_kind_count> mix {
    kind_of_job {8, 60, 206, 0}, kind_of_job {2, 200, 600, 1}, kind_of_job {4, 900, 37.5, 2}};
constexpr double mean_slots = 57;
constexpr double target_stretch = 1.6;
constexpr microseconds target_extra(60'000);

struct simulated_task {
    microseconds run_time {0};
    std::uint32_t slots = 1;
    std::uint32_t refusals = 0;
};

struct simulated_job {
    std::size_t entry = 0;
    std::size_t kind = 0;
    steady_time submitted;
    steady_time target;
    steady_time latest_start;
    std::vector<simulated_task> tasks;
    std::size_t left = 0;
    bool untouched = true;
    bool counted = false;
};

struct simulated_entry {
    endpoint_table endpoints;
    endpoint_health health;
    std::unique_ptr<placement_policy> placement;
    target_queue waiting;
};

struct simulated_agent {
    std::unique_ptr<agent::endpoint_slots> slots;
    std::vector<std::uint32_t> held_by; ///< Slots that run or wait, by entry.
    steady_time reported;
    std::uint32_t level = 0;
};

class target_simulation {
public:
    explicit target_simulation(target_simulation_settings const& wanted);
    target_simulation_result run();

private:
    void arrive();
    simulated_job make_job(std::size_t kind);
    [[nodiscard]] std::size_t draw(std::vector<double> const& parts);
    void submit(std::string const& id);
    void enqueue(protocol::task_ref const& task);
    void place(std::size_t entry);
    std::optional<std::string> choose(simulated_entry& self, std::uint32_t slots);
    void send(protocol::task_ref const& task, std::string const& endpoint);
    void drop_overdue(std::size_t entry);
    void receive(std::size_t agent, protocol::task_ref const& task);
    void start_waiting(std::size_t agent);
    void finish(std::size_t agent, protocol::task_ref const& task);
    void on_refused(std::size_t agent, protocol::task_ref const& task);
    void on_done(std::size_t agent, protocol::task_ref const& task);
    void note_use(std::size_t agent, std::size_t entry, protocol::endpoint_use const& use);
    [[nodiscard]] protocol::endpoint_use use_of(std::size_t agent, std::size_t entry) const;
    void report_changes(std::size_t agent);
    void report(std::size_t agent);
    void report_regularly(std::size_t agent);
    simulated_task& at(protocol::task_ref const& task)
    {
        return this->jobs.at(task.job).tasks.at(task.index);
    }

    target_simulation_settings settings;
    std::mt19937_64 random;
    event_queue events;
    steady_time end;
    std::deque<simulated_entry> entries;
    std::vector<simulated_agent> agents;
    std::map<std::string, simulated_job> jobs;
    std::uint64_t job_count = 0;
    std::uint64_t tasks = 0;
    std::uint64_t refused = 0;
    double slot_seconds = 0;
    target_simulation_result result;
};

std::string endpoint_name(std::size_t agent)
{
    return "endpoint." + std::to_string(agent);
}

protocol::process_id agent_id(std::size_t agent)
{
    return {"agent." + std::to_string(agent), 1};
}

std::size_t agent_of(std::string const& endpoint)
{
    return std::stoul(endpoint.substr(endpoint.find('.') + 1));
}

target_simulation::target_simulation(target_simulation_settings const& wanted)
    : settings(wanted), random(wanted.seed), end(this->events.now() + wanted.length),
      entries(wanted.entry_weights.size()), agents(wanted.endpoints)
{
    auto const count = static_cast<std::uint32_t>(this->entries.size());
    for (std::uint32_t rank = 0; rank < count; ++rank) {
        this->entries[rank].endpoints.set_entries(count, rank);
        this->entries[rank].placement
            = make_placement_policy("least_loaded", wanted.seed * 1000 + rank);
    }
    for (std::size_t number = 0; number < this->agents.size(); ++number) {
        agent::announcement described;
        described.name = endpoint_name(number);
        described.slots = wanted.slots;
        auto& self = this->agents[number];
        self.slots = std::make_unique<agent::endpoint_slots>(described, agent::queue_limits(),
                                                             this->events.now());
        self.held_by.resize(count);
        for (auto& each : this->entries)
            each.endpoints.set_agent_registered(agent_id(number));
        this->report(number);
        // Agents do not report in step.
        this->events.after(report_interval * static_cast<std::int64_t>(number)
                               / static_cast<std::int64_t>(this->agents.size()),
                           [this, number] { this->report_regularly(number); });
    }
    this->events.after(milliseconds(20), [this] { this->arrive(); });
}

std::size_t target_simulation::draw(std::vector<double> const& parts)
{
    return std::discrete_distribution<std::size_t>(parts.begin(), parts.end())(this->random);
}

void target_simulation::arrive()
{
    double work = 0; // Slot milliseconds of all kinds in a second at their relative rates.
    double rate = 0;
    std::vector<double> parts;
    for (auto const& kind : mix) {
        work += kind.arrivals * kind.tasks * kind.run_ms * mean_slots;
        rate += kind.arrivals;
        parts.push_back(kind.arrivals);
    }
    auto const capacity = 1000.0 * this->settings.endpoints * this->settings.slots;
    std::exponential_distribution<double> gap(rate * capacity * this->settings.load / work);
    this->events.after(microseconds(static_cast<std::int64_t>(gap(this->random) * 1e6)),
                       [this, parts] {
                           if (this->events.now() >= this->end)
                               return;
                           auto const id = std::to_string(++this->job_count);
                           this->jobs[id] = this->make_job(this->draw(parts));
                           this->submit(id);
                           this->arrive();
                       });
}

simulated_job target_simulation::make_job(std::size_t kind)
{
    constexpr double spread = 0.4;
    constexpr double uneven = 0.15;
    auto const scaled = [this](double mean, double sigma) {
        return mean * std::lognormal_distribution<double>(-sigma * sigma / 2, sigma)(this->random);
    };
    simulated_job made;
    made.entry = this->draw(this->settings.entry_weights);
    made.kind = kind;
    made.submitted = this->events.now();
    auto const width = std::clamp(scaled(mix.at(kind).tasks, spread), 1.0, 4 * mix.at(kind).tasks);
    made.tasks.resize(static_cast<std::size_t>(width + 0.5));
    made.left = made.tasks.size();
    auto const length = std::min(scaled(mix.at(kind).run_ms, spread), 4 * mix.at(kind).run_ms);
    microseconds longest {0};
    for (auto& task : made.tasks) {
        task.run_time = microseconds(static_cast<std::int64_t>(scaled(length, uneven) * 1000));
        task.slots = static_cast<std::uint32_t>(
            std::clamp(scaled(mean_slots, 0.2), 1.0, 1.5 * mean_slots));
        longest = std::max(longest, task.run_time);
    }
    auto const expected = microseconds(static_cast<std::int64_t>(mix.at(kind).run_ms * 1000));
    auto const target_for = [this](microseconds run_time) {
        return this->events.now() + duration_cast<microseconds>(run_time * target_stretch)
            + target_extra;
    };
    made.target = target_for(longest);
    made.latest_start = target_for(expected) - expected * (100 + speed_margin_percent) / 100;
    return made;
}

void target_simulation::submit(std::string const& id)
{
    auto& added = this->jobs.at(id);
    auto& self = this->entries[added.entry];
    ++this->result.kinds.at(added.kind).submitted_jobs;
    protocol::job_request request;
    protocol::task_request task;
    task.kind = "k";
    request.tasks.assign(added.tasks.size(), task);
    request.priority = mix.at(added.kind).priority;
    slot_time work {0};
    for (auto const& each : added.tasks)
        work += milliseconds(static_cast<int>(mix.at(added.kind).run_ms)) * each.slots;
    if (check_target({&request, work, added.latest_start}, self.endpoints, self.waiting,
                     this->events.now())) {
        ++this->result.kinds.at(added.kind).refused;
        this->jobs.erase(id);
        return;
    }
    this->tasks += added.tasks.size();
    for (std::uint32_t index = 0; index < added.tasks.size(); ++index)
        this->enqueue({id, index});
    this->events.after(duration_cast<microseconds>(added.latest_start - this->events.now())
                           + microseconds(1),
                       [this, entry = added.entry] { this->drop_overdue(entry); });
    this->place(added.entry);
}

void target_simulation::enqueue(protocol::task_ref const& task)
{
    auto const& owner = this->jobs.at(task.job);
    auto const slots = this->at(task).slots;
    auto const run_time = milliseconds(static_cast<int>(mix.at(owner.kind).run_ms));
    this->entries[owner.entry].waiting.push({task,
                                             std::to_string(slots / class_width * class_width),
                                             run_time * slots, owner.latest_start});
}

std::optional<std::string> target_simulation::choose(simulated_entry& self, std::uint32_t slots)
{
    placement_request request;
    request.kind = "k";
    request.slots = std::max(slots, 1U);
    auto const found
        = self.placement->choose(request, self.endpoints, self.health, this->events.now());
    return found ? std::optional(found->endpoint) : std::nullopt;
}

void target_simulation::place(std::size_t entry)
{
    auto& self = this->entries[entry];
    std::map<std::string, std::optional<std::string>> choices;
    auto const accepts = [&](std::string const& key) {
        auto const known = choices.find(key);
        if (known != choices.end() && !known->second)
            return false;
        choices[key] = this->choose(self, static_cast<std::uint32_t>(std::stoul(key)));
        return choices[key].has_value();
    };
    while (auto const taken = self.waiting.take(accepts)) {
        auto const& task = this->at(taken->task);
        auto target = choices[taken->placement_class];
        if (self.endpoints.free_slots(*self.endpoints.find(*target)) < task.slots)
            target = this->choose(self, task.slots);
        if (target) {
            this->send(taken->task, *target);
            continue;
        }
        choices[taken->placement_class] = std::nullopt;
        this->enqueue(taken->task);
    }
}

void target_simulation::send(protocol::task_ref const& task, std::string const& endpoint)
{
    auto& owner = this->jobs.at(task.job);
    owner.untouched = false;
    this->entries[owner.entry].endpoints.record_start(endpoint, this->at(task).slots);
    this->events.after(this->settings.latency,
                       [this, agent = agent_of(endpoint), task] { this->receive(agent, task); });
}

void target_simulation::drop_overdue(std::size_t entry)
{
    for (auto const& task : this->entries[entry].waiting.overdue(this->events.now())) {
        auto const found = this->jobs.find(task.job);
        if (found == this->jobs.end() || !found->second.untouched)
            continue;
        ++this->result.kinds.at(found->second.kind).refused;
        for (std::uint32_t index = 0; index < found->second.tasks.size(); ++index)
            this->entries[entry].waiting.remove({task.job, index});
        this->jobs.erase(found);
    }
}

void target_simulation::receive(std::size_t number, protocol::task_ref const& task)
{
    auto& self = this->agents[number];
    auto const& owner = this->jobs.at(task.job);
    auto const slots = this->at(task).slots;
    if (!self.slots->can_admit(slots, true)) {
        ++this->refused;
        auto const use = this->use_of(number, owner.entry);
        this->events.after(this->settings.latency, [this, number, task, entry = owner.entry, use] {
            this->note_use(number, entry, use);
            this->on_refused(number, task);
        });
        return;
    }
    self.held_by.at(owner.entry) += slots;
    self.slots->enqueue({task, 1, 1}, slots, owner.latest_start);
    this->start_waiting(number);
}

void target_simulation::start_waiting(std::size_t number)
{
    auto& self = this->agents[number];
    while (auto const key = self.slots->pop_startable()) {
        auto const& task = this->at(key->task);
        self.slots->acquire(*key, task.slots);
        this->slot_seconds += task.slots * std::chrono::duration<double>(task.run_time).count();
        this->events.after(task.run_time,
                           [this, number, key = *key] { this->finish(number, key.task); });
    }
    this->report_changes(number);
}

void target_simulation::finish(std::size_t number, protocol::task_ref const& task)
{
    auto& self = this->agents[number];
    auto const entry = this->jobs.at(task.job).entry;
    self.slots->release({task, 1, 1});
    self.held_by.at(entry) -= this->at(task).slots;
    this->start_waiting(number);
    this->events.after(this->settings.latency,
                       [this, number, task, entry, use = this->use_of(number, entry)] {
                           this->note_use(number, entry, use);
                           this->on_done(number, task);
                       });
}

void target_simulation::on_refused(std::size_t number, protocol::task_ref const& task)
{
    auto const entry = this->jobs.at(task.job).entry;
    auto& refusals = this->at(task).refusals;
    this->entries[entry].endpoints.record_outcome(endpoint_name(number), this->at(task).slots);
    this->entries[entry].endpoints.mark_full(endpoint_name(number));
    if (++refusals < refusals_before_pause) {
        this->enqueue(task);
        return this->place(entry);
    }
    auto const doublings = std::min(refusals - refusals_before_pause, most_doublings);
    this->events.after(first_pause * (1 << doublings), [this, task, entry] {
        this->enqueue(task);
        this->place(entry);
    });
}

void target_simulation::on_done(std::size_t number, protocol::task_ref const& task)
{
    auto& owner = this->jobs.at(task.job);
    auto const entry = owner.entry;
    this->entries[entry].endpoints.record_outcome(endpoint_name(number), this->at(task).slots);
    if (--owner.left == 0) {
        auto& counts = this->result.kinds.at(owner.kind);
        ++(this->events.now() <= owner.target ? counts.in_target : counts.late);
        this->jobs.erase(task.job);
    }
    this->place(entry);
}

protocol::endpoint_use target_simulation::use_of(std::size_t number, std::size_t entry) const
{
    auto const& self = this->agents[number];
    return {endpoint_name(number), self.slots->used(), self.slots->queued(),
            self.held_by.at(entry)};
}

void target_simulation::note_use(std::size_t number, std::size_t entry,
                                 protocol::endpoint_use const& use)
{
    this->entries[entry].endpoints.update_use(agent_id(number), use, this->events.now());
}

void target_simulation::report_changes(std::size_t number)
{
    auto& self = this->agents[number];
    auto const level = self.slots->used() * use_levels / self.slots->capacity();
    auto const gap = std::max(shortest_report_gap,
                              report_gap_per_entry * static_cast<int>(this->entries.size()));
    if (level != self.level && this->events.now() - self.reported >= gap)
        this->report(number);
}

void target_simulation::report(std::size_t number)
{
    auto& self = this->agents[number];
    self.reported = this->events.now();
    self.level = self.slots->used() * use_levels / self.slots->capacity();
    for (std::size_t index = 0; index < this->entries.size(); ++index) {
        auto const use = this->use_of(number, index);
        protocol::endpoint_state state;
        state.name = use.endpoint;
        state.kinds = {"k"};
        state.slots = self.slots->capacity();
        state.used_slots = use.used_slots;
        state.queued = use.queued;
        state.held_by_receiver = use.held_by_receiver;
        protocol::agent_report const body {
            agent_id(number), "r", "z" + std::to_string(number % 3), {}, 1, {state}, {}};
        this->events.after(this->settings.latency, [this, index, body] {
            this->entries[index].endpoints.update(body, this->events.now());
            this->place(index);
        });
    }
}

void target_simulation::report_regularly(std::size_t number)
{
    if (this->events.now() - this->agents[number].reported >= report_interval)
        this->report(number);
    if (this->events.now() < this->end + std::chrono::seconds(10))
        this->events.after(report_interval / 6, [this, number] { this->report_regularly(number); });
}

target_simulation_result target_simulation::run()
{
    while (!this->events.empty()) {
        this->events.run_next();
    }
    this->result.refused_starts
        = static_cast<double>(this->refused) / static_cast<double>(std::max(this->tasks, 1UL));
    auto const slots = static_cast<double>(this->settings.endpoints) * this->settings.slots;
    this->result.used
        = this->slot_seconds / slots / std::chrono::duration<double>(this->settings.length).count();
    return this->result;
}

} // namespace

target_simulation_result run_target_simulation(target_simulation_settings const& settings)
{
    return target_simulation(settings).run();
}

} // namespace greengagehead::policy
