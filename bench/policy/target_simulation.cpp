// Discrete-event simulation in virtual time.

#include "policy/target_simulation.h"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <numeric>
#include <random>
#include <string>

#include "agent/endpoint_slots.h"
#include "policy/account_sums.h"
#include "policy/capacity_shares.h"
#include "policy/demand_meter.h"
#include "policy/endpoint_health.h"
#include "policy/endpoint_table.h"
#include "policy/entry_names.h"
#include "policy/entry_subset.h"
#include "policy/event_queue.h"
#include "policy/placement_policy.h"
#include "policy/run_time_estimator.h"
#include "policy/speed_learner.h"
#include "policy/target_admission.h"
#include "policy/target_queue.h"
#include "protocol/job.h"

namespace greengagehead::policy {

namespace {

using base::steady_time;
using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Same values as in the agent.
constexpr microseconds report_interval(300'000);
constexpr microseconds min_report_gap(50'000);
constexpr microseconds gap_per_entry(17'000);
constexpr std::uint32_t full_level = 8;
/// Same values as in the entry.
constexpr std::uint32_t refusals_before_backoff = 3;
constexpr microseconds initial_backoff(10'000);
constexpr std::uint32_t max_doublings = 6;
constexpr int speed_margin_percent = 15;
constexpr microseconds renewal_interval(300'000);
/// Step to which the slots of a task are rounded down for its placement class.
constexpr std::uint32_t class_step_slots = 8;

struct job_profile {
    double mean_tasks; ///< Per job.
    double mean_run_ms; ///< Per task, also the run time that the entry expects.
    double arrival_weight; ///< Arrival rate relative to the other kinds.
    std::uint32_t priority; ///< 0 is the highest.
};

constexpr std::array<job_profile, job_kind_count> job_mix {
    job_profile {8, 60, 206, 0}, job_profile {2, 200, 600, 1}, job_profile {4, 900, 37.5, 2}};
/// The target of a job is the run time of its longest task times the stretch plus the extra time.
constexpr double target_stretch = 1.6;
constexpr microseconds target_extra_time(60'000);

struct simulated_task {
    microseconds run_time {0}; ///< At the nominal speed.
    bool long_run = false;
    std::uint32_t slots = 1;
    std::uint32_t refusals = 0;
};

struct simulated_job {
    std::size_t entry = 0; ///< Index of the entry that got the job.
    std::size_t kind = 0; ///< Index in `job_mix`.
    steady_time submitted;
    steady_time target; ///< An answer after this time is late.
    microseconds declared {0}; ///< Run time of a task as the caller declares it.
    microseconds expected {0}; ///< Run time of a task as the entry expects it.
    steady_time latest_start; ///< By the expected run time; the entry does not know the real one.
    std::vector<simulated_task> tasks;
    std::size_t unfinished_tasks = 0;
    bool unsent = true; ///< No task has been sent to an agent.
    bool moved = false; ///< Has come from another entry.
    std::size_t first_entry = 0; ///< Index of the entry that the caller chose.
    bool counted = false;
};

struct simulated_entry {
    endpoint_table endpoints;
    endpoint_health health;
    std::unique_ptr<placement_policy> placement;
    target_queue waiting;
    run_time_estimator estimator;
    std::map<std::string, protocol::account_use> use; ///< Of each account, since the last renewal.
    account_fairness fairness;
    demand_meter arrivals;
    share_follower shares;
    share_member known; ///< As the control leader knows this entry.
    std::uint32_t submitted_jobs = 0; ///< That callers sent to this entry.
    std::uint32_t refused_jobs = 0;
    speed_learner learner;
};

struct simulated_agent {
    std::unique_ptr<agent::endpoint_slots> slots;
    std::vector<std::uint32_t> slots_by_entry; ///< Slots of the running and waiting tasks.
    std::vector<std::size_t> users; ///< Entries that learn of changes of the load level.
    steady_time last_report;
    steady_time last_report_to_all;
    std::uint32_t load_level = 0; ///< At the last report, from 0 to `full_level`.
};

class target_simulation {
public:
    explicit target_simulation(target_simulation_settings const& initial_settings);
    target_simulation_result run();

private:
    void schedule_arrival();
    simulated_job make_job(std::size_t kind);
    void draw_unevenness(simulated_job& job, microseconds mean_run_time);
    [[nodiscard]] steady_time target_for(microseconds run_time) const;
    void expect(simulated_job& job);
    /// Run time that the latest start follows from.
    [[nodiscard]] microseconds usual_time(simulated_job const& job) const;
    [[nodiscard]] bool uses_speeds() const
    {
        return this->settings.knowledge == run_time_knowledge::learned_with_speeds;
    }
    void record_run(std::size_t agent_index, simulated_job const& job, simulated_task const& task);
    [[nodiscard]] microseconds mean_run_time(std::size_t kind) const;
    [[nodiscard]] microseconds time_of_run(std::size_t agent_index,
                                           simulated_task const& task) const;
    [[nodiscard]] std::size_t draw_index(std::vector<double> const& weights);
    void submit(std::string const& id);
    void admit_or_refuse(std::string const& id);
    void count_refusal(simulated_job const& job);
    [[nodiscard]] bool is_refused(simulated_job const& job, std::size_t entry) const;
    /// Another entry that would admit the job, with the shortest queue; empty without one.
    [[nodiscard]] std::optional<std::size_t> choose_other_entry(simulated_job const& job) const;
    /// Renewal of an entry at the control leader, if slots are divided by demand.
    void renew(std::size_t entry);
    void enqueue(protocol::task_ref const& task);
    void place(std::size_t entry);
    std::optional<std::string> choose(simulated_entry& entry_state, std::uint32_t slots,
                                      simulated_job const* job);
    [[nodiscard]] std::string placement_class(simulated_job const& job, std::uint32_t slots) const;
    void send(protocol::task_ref const& task, std::string const& endpoint);
    void drop_overdue(std::size_t entry);
    void receive(std::size_t agent_index, protocol::task_ref const& task);
    void start_queued(std::size_t agent_index);
    void finish(std::size_t agent_index, protocol::task_ref const& task);
    void on_refused(std::size_t agent_index, protocol::task_ref const& task);
    void on_outcome(std::size_t agent_index, protocol::task_ref const& task);
    void record_use(std::size_t agent_index, std::size_t entry, protocol::endpoint_use const& use);
    [[nodiscard]] protocol::endpoint_use use_of(std::size_t agent_index, std::size_t entry) const;
    void report_level_change(std::size_t agent_index);
    void report(std::size_t agent_index, std::vector<std::size_t> const& receivers);
    void report_periodically(std::size_t agent_index);
    void renew_periodically(std::size_t entry);
    protocol::account_use& use_of_kind(std::size_t entry, std::size_t kind);
    [[nodiscard]] slot_time expected_work(protocol::task_ref const& task)
    {
        auto const kind = this->jobs.at(task.job).kind;
        return milliseconds(static_cast<int>(job_mix.at(kind).mean_run_ms))
            * this->task_at(task).slots;
    }
    simulated_task& task_at(protocol::task_ref const& task)
    {
        return this->jobs.at(task.job).tasks.at(task.index);
    }

    target_simulation_settings settings;
    std::mt19937_64 random;
    std::mt19937_64 unevenness; ///< Separate, so that the jobs are the same with and without it.
    event_queue events;
    steady_time started {this->events.now()};
    steady_time arrivals_end; ///< No job arrives from this time on.
    std::deque<simulated_entry> entries;
    std::vector<simulated_agent> agents;
    std::vector<std::size_t> all_entries; ///< Indexes of all entries.
    std::map<std::string, simulated_job> jobs;
    share_issuer leader; ///< Of the control group.
    std::uint64_t job_count = 0;
    std::uint64_t accepted_tasks = 0;
    std::uint64_t refused_starts = 0;
    account_sums sums; ///< Of the control leader.
    double busy_slot_seconds = 0; ///< Slots times run time of all started tasks.
    target_simulation_result result;
};

constexpr char const* team_name = "t";

std::string kind_name(std::size_t kind)
{
    return std::to_string(kind);
}

std::string endpoint_name(std::size_t agent_index)
{
    return "endpoint." + std::to_string(agent_index);
}

protocol::process_id agent_id(std::size_t agent_index)
{
    return {"agent." + std::to_string(agent_index), 1};
}

std::size_t agent_index_of(std::string const& endpoint)
{
    return std::stoul(endpoint.substr(endpoint.find('.') + 1));
}

target_simulation::target_simulation(target_simulation_settings const& initial_settings)
    : settings(initial_settings), random(initial_settings.seed),
      unevenness(initial_settings.seed + 1),
      arrivals_end(this->events.now() + initial_settings.length),
      entries(initial_settings.entry_weights.size()), agents(initial_settings.endpoints)
{
    auto const count = static_cast<std::uint32_t>(this->entries.size());
    this->all_entries.resize(count);
    std::iota(this->all_entries.begin(), this->all_entries.end(), 0);
    for (std::uint32_t rank = 0; rank < count; ++rank) {
        this->entries[rank].endpoints.set_entries(entry_names(count), entry_name(rank));
        this->entries[rank].placement = make_placement_policy(
            "least_loaded", initial_settings.seed * 1000 + rank,
            this->uses_speeds() ? &this->entries[rank].learner.speeds() : nullptr);
        this->entries[rank].known.name = entry_name(rank);
        if (initial_settings.share_by_demand)
            this->events.after(renewal_interval * rank / count,
                               [this, rank] { this->renew(rank); });
    }
    for (std::size_t agent_index = 0; agent_index < this->agents.size(); ++agent_index) {
        agent::announcement announced;
        announced.name = endpoint_name(agent_index);
        announced.slots = initial_settings.slots;
        auto& agent_state = this->agents[agent_index];
        agent_state.slots = std::make_unique<agent::endpoint_slots>(
            announced, agent::queue_limits(), this->events.now());
        agent_state.slots_by_entry.resize(count);
        for (auto& entry : this->entries)
            entry.endpoints.set_agent_registered(agent_id(agent_index));
        for (std::size_t entry = 0; entry < count; ++entry) {
            if (rank_of_entry(agent_id(agent_index).name, entry_name(entry), entry_names(count))
                < entries_per_endpoint)
                agent_state.users.push_back(entry);
        }
        this->report(agent_index, this->all_entries);
        // Spreads the reports of the agents over the interval.
        this->events.after(report_interval * static_cast<std::int64_t>(agent_index)
                               / static_cast<std::int64_t>(this->agents.size()),
                           [this, agent_index] { this->report_periodically(agent_index); });
    }
    for (std::size_t entry = 0; entry < count && initial_settings.fair_accounts; ++entry)
        this->events.after(renewal_interval * static_cast<std::int64_t>(entry) / count,
                           [this, entry] { this->renew_periodically(entry); });
    this->events.after(milliseconds(20), [this] { this->schedule_arrival(); });
}

std::size_t target_simulation::draw_index(std::vector<double> const& weights)
{
    return std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(this->random);
}

void target_simulation::schedule_arrival()
{
    double work = 0; // Slot-milliseconds of work per second at the relative rates.
    double rate = 0;
    std::vector<double> weights;
    for (std::size_t index = 0; index < job_mix.size(); ++index) {
        auto const& kind = job_mix.at(index);
        auto const kind_rate = kind.arrival_weight * this->settings.kind_rates.at(index);
        work += kind_rate * kind.mean_tasks * kind.mean_run_ms * this->settings.run_time_factor
            * this->settings.mean_task_slots;
        rate += kind_rate;
        weights.push_back(kind_rate);
    }
    auto const capacity = 1000.0 * this->settings.endpoints * this->settings.slots;
    std::exponential_distribution<double> gap(rate * capacity * this->settings.load / work);
    this->events.after(microseconds(static_cast<std::int64_t>(gap(this->random) * 1e6)),
                       [this, weights] {
                           if (this->events.now() >= this->arrivals_end)
                               return;
                           auto const id = std::to_string(++this->job_count);
                           this->jobs[id] = this->make_job(this->draw_index(weights));
                           this->submit(id);
                           this->schedule_arrival();
                       });
}

simulated_job target_simulation::make_job(std::size_t kind)
{
    constexpr double job_sigma = 0.4;
    constexpr double task_sigma = 0.15;
    auto const lognormal = [this](double mean, double sigma) {
        return mean * std::lognormal_distribution<double>(-sigma * sigma / 2, sigma)(this->random);
    };
    simulated_job job;
    job.entry = this->draw_index(this->settings.entry_weights);
    job.first_entry = job.entry;
    job.kind = kind;
    job.submitted = this->events.now();
    auto const task_count = std::clamp(lognormal(job_mix.at(kind).mean_tasks, job_sigma), 1.0,
                                       4 * job_mix.at(kind).mean_tasks);
    job.tasks.resize(static_cast<std::size_t>(task_count + 0.5));
    job.unfinished_tasks = job.tasks.size();
    auto const mean_run_ms = job_mix.at(kind).mean_run_ms * this->settings.run_time_factor;
    auto const job_run_ms = std::min(lognormal(mean_run_ms, job_sigma), 4 * mean_run_ms);
    microseconds longest {0};
    for (auto& task : job.tasks) {
        task.run_time
            = microseconds(static_cast<std::int64_t>(lognormal(job_run_ms, task_sigma) * 1000));
        task.slots
            = static_cast<std::uint32_t>(std::clamp(lognormal(this->settings.mean_task_slots, 0.2),
                                                    1.0, 1.5 * this->settings.mean_task_slots));
        longest = std::max(longest, task.run_time);
    }
    job.target = this->target_for(longest);
    this->draw_unevenness(job, microseconds(static_cast<std::int64_t>(job_run_ms * 1000)));
    this->expect(job);
    return job;
}

void target_simulation::draw_unevenness(simulated_job& job, microseconds mean_run_time)
{
    auto const fraction
        = [this] { return std::uniform_real_distribution<double>()(this->unevenness); };
    auto const error = (2 * fraction() - 1) * this->settings.declared_error;
    job.declared = duration_cast<microseconds>(mean_run_time * (1 + error));
    for (auto& task : job.tasks)
        task.long_run = fraction() < this->settings.long_run_share;
}

microseconds target_simulation::mean_run_time(std::size_t kind) const
{
    return microseconds(static_cast<std::int64_t>(job_mix.at(kind).mean_run_ms
                                                  * this->settings.run_time_factor * 1000));
}

steady_time target_simulation::target_for(microseconds run_time) const
{
    return this->events.now() + duration_cast<microseconds>(run_time * target_stretch)
        + target_extra_time;
}

void target_simulation::expect(simulated_job& job)
{
    job.expected = this->mean_run_time(job.kind);
    if (this->settings.knowledge == run_time_knowledge::learned)
        job.expected = this->entries[job.entry]
                           .estimator.estimate(team_name, kind_name(job.kind), job.declared)
                           .typical;
    if (this->uses_speeds())
        job.expected = this->entries[job.entry]
                           .learner.estimate(team_name, kind_name(job.kind), job.declared)
                           .typical;
    auto const usual = this->usual_time(job);
    job.latest_start = this->target_for(usual) - usual * (100 + speed_margin_percent) / 100;
}

microseconds target_simulation::usual_time(simulated_job const& job) const
{
    auto const& learner = this->entries[job.entry].learner;
    auto const usual = learner.estimate(team_name, kind_name(job.kind), microseconds(0));
    return this->uses_speeds() && usual.samples > 0 ? usual.typical : job.expected;
}

microseconds target_simulation::time_of_run(std::size_t agent_index,
                                            simulated_task const& task) const
{
    auto const speed = this->settings.speeds.at(agent_index % this->settings.speeds.size());
    auto const factor = task.long_run ? this->settings.long_run_factor : 1;
    return duration_cast<microseconds>(task.run_time * (factor / speed));
}

/// Each kind of job is an account.
std::string account_of(std::size_t kind)
{
    return "kind " + std::to_string(kind);
}

/// Work of a job as its entry expects it.
slot_time work_of(simulated_job const& job)
{
    slot_time work {0};
    for (auto const& simulated : job.tasks)
        work += job.expected * simulated.slots;
    return work;
}

void target_simulation::submit(std::string const& id)
{
    auto const& job = this->jobs.at(id);
    auto& entry_state = this->entries[job.entry];
    ++this->result.kinds.at(job.kind).submitted_jobs;
    ++entry_state.submitted_jobs;
    entry_state.arrivals.add(work_of(job), this->events.now());
    this->admit_or_refuse(id);
}

bool target_simulation::is_refused(simulated_job const& job, std::size_t entry) const
{
    protocol::job_request request;
    protocol::task_request task;
    task.kind = "k";
    request.tasks.assign(job.tasks.size(), task);
    request.priority = job_mix.at(job.kind).priority;
    auto const& entry_state = this->entries[entry];
    auto const standing = entry_state.fairness.standing(account_of(job.kind));
    return check_target({&request, work_of(job), job.latest_start, standing}, entry_state.endpoints,
                        entry_state.waiting, this->events.now())
        .has_value();
}

std::optional<std::size_t> target_simulation::choose_other_entry(simulated_job const& job) const
{
    std::optional<std::size_t> chosen;
    slot_time least {0};
    for (std::size_t entry = 0; entry < this->entries.size(); ++entry) {
        if (entry == job.entry || this->is_refused(job, entry))
            continue;
        auto const work = this->entries[entry].waiting.work_before(job.latest_start);
        if (chosen && work >= least)
            continue;
        chosen = entry;
        least = work;
    }
    return chosen;
}

void target_simulation::count_refusal(simulated_job const& job)
{
    ++this->result.kinds.at(job.kind).refused;
    ++this->entries[job.first_entry].refused_jobs;
}

void target_simulation::admit_or_refuse(std::string const& id)
{
    auto& job = this->jobs.at(id);
    if (!job.moved)
        this->use_of_kind(job.entry, job.kind).asked += work_of(job);
    if (this->is_refused(job, job.entry)) {
        auto const other = this->settings.move_refused_jobs && !job.moved
            ? this->choose_other_entry(job)
            : std::nullopt;
        if (!other) {
            this->count_refusal(job);
            this->jobs.erase(id);
            return;
        }
        ++this->result.moved_jobs;
        job.moved = true;
        job.entry = *other;
        this->events.after(this->settings.latency, [this, id] { this->admit_or_refuse(id); });
        return;
    }
    this->accepted_tasks += job.tasks.size();
    for (std::uint32_t index = 0; index < job.tasks.size(); ++index)
        this->enqueue({id, index});
    this->events.after(duration_cast<microseconds>(job.latest_start - this->events.now())
                           + microseconds(1),
                       [this, entry = job.entry] { this->drop_overdue(entry); });
    this->place(job.entry);
}

void target_simulation::renew(std::size_t entry)
{
    auto& entry_state = this->entries[entry];
    auto const arriving = entry_state.arrivals.per_second(this->events.now());
    auto const applied = entry_state.shares.applied();
    this->events.after(this->settings.latency, [this, entry, arriving, applied] {
        auto& state = this->entries[entry];
        state.known.renewed = true;
        state.known.sends_demand = true;
        state.known.demand_settled = this->events.now() - this->started >= demand_averaging_time;
        state.known.arriving = arriving;
        state.known.applied_table = applied;
        state.known.renewed_at = this->events.now();
        std::vector<share_member> members;
        for (auto const& other : this->entries)
            members.push_back(other.known);
        this->result.tables += this->leader.update(members, this->events.now()) ? 1 : 0;
        auto const answer = this->leader.current();
        this->events.after(this->settings.latency, [this, entry, answer] {
            auto& receiver = this->entries[entry];
            if (receiver.shares.on_grant(answer))
                receiver.endpoints.set_entries(
                    receiver.shares.in_use(entry_names(this->entries.size()), true),
                    entry_name(entry));
            this->place(entry);
        });
    });
    if (this->events.now() < this->arrivals_end)
        this->events.after(renewal_interval, [this, entry] { this->renew(entry); });
}

void target_simulation::enqueue(protocol::task_ref const& task)
{
    auto const& job = this->jobs.at(task.job);
    auto const slots = this->task_at(task).slots;
    this->entries[job.entry].waiting.push(
        {task, this->placement_class(job, slots), job.expected * slots, job.latest_start});
}

std::string target_simulation::placement_class(simulated_job const& job, std::uint32_t slots) const
{
    auto const size = std::to_string(slots / class_step_slots * class_step_slots);
    return this->uses_speeds() ? size + " " + kind_name(job.kind) : size;
}

std::optional<std::string> target_simulation::choose(simulated_entry& entry_state,
                                                     std::uint32_t slots, simulated_job const* job)
{
    placement_request request;
    request.kind = "k";
    request.slots = std::max(slots, 1U);
    if (job != nullptr) {
        request.expected = job->expected;
        request.target = job->latest_start + job->expected * (100 + speed_margin_percent) / 100;
    }
    auto const choice = entry_state.placement->choose(request, entry_state.endpoints,
                                                      entry_state.health, this->events.now());
    return choice ? std::optional(choice->endpoint) : std::nullopt;
}

void target_simulation::place(std::size_t entry)
{
    auto& entry_state = this->entries[entry];
    std::map<std::string, std::optional<std::string>> choices;
    auto const placeable = [&](std::string const& key) {
        auto const cached = choices.find(key);
        if (cached != choices.end() && !cached->second)
            return false;
        choices[key]
            = this->choose(entry_state, static_cast<std::uint32_t>(std::stoul(key)), nullptr);
        return choices[key].has_value();
    };
    while (auto const queued = entry_state.waiting.take(placeable)) {
        auto const& task = this->task_at(queued->task);
        auto endpoint = choices[queued->placement_class];
        if (this->uses_speeds()
            || entry_state.endpoints.free_slots(*entry_state.endpoints.find(*endpoint))
                < task.slots)
            endpoint = this->choose(entry_state, task.slots, &this->jobs.at(queued->task.job));
        if (endpoint) {
            this->send(queued->task, *endpoint);
            continue;
        }
        choices[queued->placement_class] = std::nullopt;
        this->enqueue(queued->task);
    }
}

void target_simulation::send(protocol::task_ref const& task, std::string const& endpoint)
{
    auto& job = this->jobs.at(task.job);
    job.unsent = false;
    this->use_of_kind(job.entry, job.kind).served += this->expected_work(task);
    this->entries[job.entry].endpoints.record_start(endpoint, this->task_at(task).slots);
    this->events.after(
        this->settings.latency,
        [this, agent_index = agent_index_of(endpoint), task] { this->receive(agent_index, task); });
}

void target_simulation::drop_overdue(std::size_t entry)
{
    for (auto const& task : this->entries[entry].waiting.overdue(this->events.now())) {
        auto const found = this->jobs.find(task.job);
        if (found == this->jobs.end() || !found->second.unsent)
            continue;
        this->count_refusal(found->second);
        for (std::uint32_t index = 0; index < found->second.tasks.size(); ++index)
            this->entries[entry].waiting.remove({task.job, index});
        this->jobs.erase(found);
    }
}

void target_simulation::receive(std::size_t agent_index, protocol::task_ref const& task)
{
    auto& agent_state = this->agents[agent_index];
    auto const& job = this->jobs.at(task.job);
    auto const slots = this->task_at(task).slots;
    if (!agent_state.slots->can_admit(slots, true)) {
        ++this->refused_starts;
        auto const use = this->use_of(agent_index, job.entry);
        this->events.after(this->settings.latency,
                           [this, agent_index, task, entry = job.entry, use] {
                               this->record_use(agent_index, entry, use);
                               this->on_refused(agent_index, task);
                           });
        return;
    }
    agent_state.slots_by_entry.at(job.entry) += slots;
    agent_state.slots->enqueue({task, 1, 1}, slots, job.latest_start);
    this->start_queued(agent_index);
}

void target_simulation::start_queued(std::size_t agent_index)
{
    auto& agent_state = this->agents[agent_index];
    while (auto const key = agent_state.slots->pop_startable()) {
        auto const& task = this->task_at(key->task);
        agent_state.slots->acquire(*key, task.slots);
        auto const run_time = this->time_of_run(agent_index, task);
        auto const served = task.slots * std::chrono::duration<double>(run_time).count();
        this->busy_slot_seconds += served;
        this->result.kinds.at(this->jobs.at(key->task.job).kind).served_slot_seconds += served;
        this->events.after(
            run_time, [this, agent_index, key = *key] { this->finish(agent_index, key.task); });
    }
    this->report_level_change(agent_index);
}

void target_simulation::finish(std::size_t agent_index, protocol::task_ref const& task)
{
    auto& agent_state = this->agents[agent_index];
    auto const entry = this->jobs.at(task.job).entry;
    agent_state.slots->release({task, 1, 1});
    agent_state.slots_by_entry.at(entry) -= this->task_at(task).slots;
    this->start_queued(agent_index);
    this->events.after(this->settings.latency,
                       [this, agent_index, task, entry, use = this->use_of(agent_index, entry)] {
                           this->record_use(agent_index, entry, use);
                           this->on_outcome(agent_index, task);
                       });
}

void target_simulation::on_refused(std::size_t agent_index, protocol::task_ref const& task)
{
    auto const entry = this->jobs.at(task.job).entry;
    auto& refusals = this->task_at(task).refusals;
    this->entries[entry].endpoints.record_outcome(endpoint_name(agent_index),
                                                  this->task_at(task).slots);
    this->entries[entry].endpoints.mark_full(endpoint_name(agent_index));
    this->use_of_kind(entry, this->jobs.at(task.job).kind).served -= this->expected_work(task);
    if (++refusals < refusals_before_backoff) {
        this->enqueue(task);
        return this->place(entry);
    }
    auto const doublings = std::min(refusals - refusals_before_backoff, max_doublings);
    this->events.after(initial_backoff * (1 << doublings), [this, task, entry] {
        this->enqueue(task);
        this->place(entry);
    });
}

void target_simulation::record_run(std::size_t agent_index, simulated_job const& job,
                                   simulated_task const& task)
{
    auto& entry = this->entries[job.entry];
    auto const run_time = this->time_of_run(agent_index, task);
    entry.estimator.record(team_name, kind_name(job.kind), run_time);
    if (!this->uses_speeds())
        return;
    entry.learner.record({team_name, kind_name(job.kind), endpoint_name(agent_index),
                          agent_id(agent_index), run_time, job.declared},
                         this->events.now());
}

void target_simulation::on_outcome(std::size_t agent_index, protocol::task_ref const& task)
{
    auto& job = this->jobs.at(task.job);
    auto const entry = job.entry;
    this->entries[entry].endpoints.record_outcome(endpoint_name(agent_index),
                                                  this->task_at(task).slots);
    this->record_run(agent_index, job, this->task_at(task));
    if (--job.unfinished_tasks == 0) {
        auto& counts = this->result.kinds.at(job.kind);
        auto const now = this->events.now();
        bool const expired
            = this->settings.deadline.count() > 0 && now > job.submitted + this->settings.deadline;
        ++(expired ? counts.expired : now <= job.target ? counts.in_target : counts.late);
        this->jobs.erase(task.job);
    }
    this->place(entry);
}

protocol::endpoint_use target_simulation::use_of(std::size_t agent_index, std::size_t entry) const
{
    auto const& agent_state = this->agents[agent_index];
    return {endpoint_name(agent_index), agent_state.slots->used(), agent_state.slots->queued(),
            agent_state.slots_by_entry.at(entry)};
}

void target_simulation::record_use(std::size_t agent_index, std::size_t entry,
                                   protocol::endpoint_use const& use)
{
    this->entries[entry].endpoints.update_use(agent_id(agent_index), use, this->events.now());
}

void target_simulation::report_level_change(std::size_t agent_index)
{
    auto& agent_state = this->agents[agent_index];
    auto const level = agent_state.slots->used() * full_level / agent_state.slots->capacity();
    auto const gap
        = std::max(min_report_gap, gap_per_entry * static_cast<int>(agent_state.users.size()));
    if (level != agent_state.load_level && this->events.now() - agent_state.last_report >= gap)
        this->report(agent_index, agent_state.users);
}

void target_simulation::report(std::size_t agent_index, std::vector<std::size_t> const& receivers)
{
    auto& agent_state = this->agents[agent_index];
    agent_state.last_report = this->events.now();
    agent_state.load_level = agent_state.slots->used() * full_level / agent_state.slots->capacity();
    for (auto const index : receivers) {
        auto const use = this->use_of(agent_index, index);
        protocol::endpoint_state state;
        state.name = use.endpoint;
        state.kinds = {"k"};
        state.slots = agent_state.slots->capacity();
        state.used_slots = use.used_slots;
        state.queued = use.queued;
        state.held_by_receiver = use.held_by_receiver;
        protocol::agent_report const body {
            agent_id(agent_index), "r", "z" + std::to_string(agent_index % 3), {}, 1, {state}, {}};
        this->events.after(this->settings.latency, [this, index, body] {
            this->entries[index].endpoints.update(body, this->events.now());
            this->place(index);
        });
    }
}

void target_simulation::report_periodically(std::size_t agent_index)
{
    auto& agent_state = this->agents[agent_index];
    if (this->events.now() - agent_state.last_report_to_all >= report_interval) {
        agent_state.last_report_to_all = this->events.now();
        this->report(agent_index, this->all_entries);
    }
    if (this->events.now() < this->arrivals_end + std::chrono::seconds(10))
        this->events.after(report_interval / 6,
                           [this, agent_index] { this->report_periodically(agent_index); });
}

protocol::account_use& target_simulation::use_of_kind(std::size_t entry, std::size_t kind)
{
    auto const account = account_of(kind);
    auto& use = this->entries[entry].use[account];
    use.account = account;
    return use;
}

void target_simulation::renew_periodically(std::size_t entry)
{
    std::vector<protocol::account_use> rows;
    for (auto& [account, use] : this->entries[entry].use) {
        rows.push_back(use);
        // Refused starts that exceed the new ones count in the next renewal.
        use.asked = slot_time(0);
        use.served = std::min(use.served, slot_time(0));
    }
    this->events.after(this->settings.latency, [this, entry, rows] {
        this->sums.record(rows, this->events.now());
        auto const shares = this->sums.shares(this->events.now());
        this->events.after(this->settings.latency, [this, entry, shares] {
            auto const limits_of = [this](std::string const& account) {
                return this->settings.limits.at(std::stoul(account.substr(account.find(' '))));
            };
            this->entries[entry].fairness = account_fairness(shares, limits_of);
        });
    });
    if (this->events.now() < this->arrivals_end)
        this->events.after(renewal_interval, [this, entry] { this->renew_periodically(entry); });
}

target_simulation_result target_simulation::run()
{
    while (!this->events.empty()) {
        this->events.run_next();
    }
    this->result.refused_starts = static_cast<double>(this->refused_starts)
        / static_cast<double>(std::max(this->accepted_tasks, 1UL));
    for (auto const& entry : this->entries) {
        if (entry.submitted_jobs > 0)
            this->result.worst_entry_refused
                = std::max(this->result.worst_entry_refused,
                           static_cast<double>(entry.refused_jobs) / entry.submitted_jobs);
    }
    auto const slots = static_cast<double>(this->settings.endpoints) * this->settings.slots;
    this->result.utilization = this->busy_slot_seconds / slots
        / std::chrono::duration<double>(this->settings.length).count();
    return this->result;
}

} // namespace

target_simulation_result run_target_simulation(target_simulation_settings const& settings)
{
    return target_simulation(settings).run();
}

} // namespace greengagehead::policy
