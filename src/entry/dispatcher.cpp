// Placement of waiting tasks.

#include "entry/dispatcher.h"

#include <algorithm>
#include <bit>
#include <chrono>
#include <utility>

#include "base/log_record.h"
#include "entry/entry_parts.h"

namespace greengagehead::entry {

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;

/// Attempts of one owner of a job. Owners of different epochs use different ranges, since agents
/// cancel attempts by number alone.
constexpr std::uint32_t attempts_per_epoch = 1000;

/// Largest size of the form 4..7 * 2^n that does not exceed `size`: four steps to each doubling.
/// Sizes that differ from task to task thereby share a few classes.
std::uint32_t size_step(std::uint32_t size)
{
    constexpr int kept_bits = 3;
    auto const dropped = std::max(static_cast<int>(std::bit_width(size)) - kept_bits, 0);
    return size >> dropped << dropped;
}

policy::placement_request request_of(std::string const& team, protocol::task_request const& task)
{
    return {team, task.kind, task.region, task.zone, task.cpu, task.memory_mb, task.slots, {}};
}

policy::placement_request class_request(protocol::task_request const& task)
{
    auto request = request_of({}, task);
    request.cpu = size_step(task.cpu);
    request.memory_mb = size_step(task.memory_mb);
    request.slots = size_step(task.slots);
    return request;
}

std::string class_of(protocol::task_request const& task, bool ephemeral)
{
    std::string key(1, ephemeral ? 'e' : 's');
    for (auto const* part : {&task.kind, &task.region, &task.zone}) {
        key += '\n';
        key += *part;
    }
    for (auto const size : {task.cpu, task.memory_mb, task.slots}) {
        key += '\n';
        key += std::to_string(size_step(size));
    }
    return key;
}

} // namespace

dispatcher::dispatcher(entry_parts& all) : parts(all) { }

void dispatcher::enqueue(job& job, std::uint32_t index, bool front)
{
    auto& task = job.tasks[index];
    if (task.queued || task.done() || job.content == nullptr)
        return;
    auto const& request = job.content->tasks[index];
    auto key = class_of(request, job.ephemeral);
    auto const work = task.expected * request.slots;
    this->class_for(job, index, key);
    task.queued = true;
    task.state = protocol::task_state::waiting;
    if (job.ephemeral)
        return this->parts.urgent.push({{job.id, index}, std::move(key), work, job.latest_start});
    policy::queued_task waiting;
    waiting.task = {job.id, index};
    waiting.team = job.team;
    waiting.placement_class = std::move(key);
    waiting.cost = work;
    waiting.deadline = job.deadline;
    if (front)
        this->parts.queue.push_front(std::move(waiting));
    else
        this->parts.queue.push(std::move(waiting));
}

dispatcher::placement_class& dispatcher::class_for(job const& job, std::uint32_t index,
                                                   std::string const& key)
{
    auto& group = this->classes[key];
    if (group.request.kind.empty()) {
        group.request = class_request(job.content->tasks[index]);
        group.ephemeral = job.ephemeral;
    }
    return group;
}

void dispatcher::withdraw(job& job, std::uint32_t index)
{
    auto& task = job.tasks[index];
    if (!std::exchange(task.queued, false))
        return;
    if (job.ephemeral)
        this->parts.urgent.remove({job.id, index});
    else
        this->parts.queue.remove({job.id, index});
}

bool dispatcher::placeable(std::string const& key, base::steady_time now)
{
    auto& group = this->classes[key];
    if (!group.ephemeral && !this->parts.leases.valid(now))
        return false;
    if (group.blocked_at >= this->free_since)
        return false;
    // A choice stands until the next placement changes the load of the endpoints.
    if (group.choice && group.chosen_at == this->generation)
        return true;
    group.choice = this->parts.placement->choose(group.request, this->parts.endpoints,
                                                 this->parts.health, now);
    group.chosen_at = this->generation;
    if (!group.choice)
        group.blocked_at = this->generation;
    return group.choice.has_value();
}

void dispatcher::run_urgent(base::steady_time now)
{
    auto const accepts = [this, now](std::string const& key) { return this->placeable(key, now); };
    while (auto const taken = this->parts.urgent.take(accepts)) {
        auto* job = this->parts.jobs.find(taken->task.job);
        if (job != nullptr && job->phase == job_phase::running) {
            job->tasks[taken->task.index].queued = false;
            if (!this->try_start(*job, taken->task.index, taken->placement_class, now)) {
                this->enqueue(*job, taken->task.index, true);
                this->classes[taken->placement_class].blocked_at = this->generation + 1;
            }
        }
        ++this->generation;
    }
}

void dispatcher::refuse_overdue(base::steady_time now)
{
    for (auto const& task : this->parts.urgent.overdue(now)) {
        auto* job = this->parts.jobs.find(task.job);
        // What has started is finished: the late answer is worth more than the lost work.
        if (job != nullptr && job->phase == job_phase::running && job->untouched())
            this->parts.flow.refuse_waiting(*job, now);
    }
}

void dispatcher::run(base::steady_time now)
{
    this->run_urgent(now);
    this->refuse_overdue(now);
    auto const accepts = [this, now](std::string const& key) { return this->placeable(key, now); };
    while (auto const taken = this->parts.queue.take(accepts)) {
        this->place(*taken, now);
        ++this->generation;
    }
}

void dispatcher::place(policy::queued_task const& taken, base::steady_time now)
{
    auto* job = this->parts.jobs.find(taken.task.job);
    if (job == nullptr || job->phase != job_phase::running || !job->claim_committed) {
        this->parts.queue.finished(taken.team, taken.cost, taken.cost);
        return;
    }
    job->tasks[taken.task.index].queued = false;
    if (this->try_start(*job, taken.task.index, taken.placement_class, now))
        return;
    // The endpoint left between choice and start, or has too little room. The next report or tick
    // tries again.
    this->parts.queue.finished(taken.team, taken.cost, std::chrono::microseconds(0));
    this->enqueue(*job, taken.task.index, true);
    this->classes[taken.placement_class].blocked_at = this->generation + 1;
}

bool dispatcher::try_start(job& job, std::uint32_t index, std::string const& key,
                           base::steady_time now)
{
    auto const choice = this->choose(job, index, this->classes[key], now);
    return choice && this->start(job, index, *choice, false, now);
}

std::optional<policy::placement_choice> dispatcher::choose(job const& job, std::uint32_t index,
                                                           placement_class& group,
                                                           base::steady_time now)
{
    auto choice = std::move(*group.choice);
    group.choice.reset();
    auto request = request_of(job.team, job.content->tasks[index]);
    auto const* endpoint = this->parts.endpoints.find(choice.endpoint);
    auto const fits = endpoint != nullptr
        && this->parts.endpoints.free_slots(*endpoint) >= request.slots
        && policy::fits_size(endpoint->state,
                             {request.kind, {}, {}, request.cpu, request.memory_mb});
    request.avoid = job.tasks[index].tried;
    auto const tried = std::find(request.avoid.begin(), request.avoid.end(), choice.endpoint)
        != request.avoid.end();
    if (fits && !tried)
        return choice;
    auto other
        = this->parts.placement->choose(request, this->parts.endpoints, this->parts.health, now);
    if (!other && fits)
        return choice;
    return other;
}

bool dispatcher::start(job& job, std::uint32_t index, policy::placement_choice const& choice,
                       bool hedge, base::steady_time now)
{
    auto const* endpoint = this->parts.endpoints.find(choice.endpoint);
    if (endpoint == nullptr)
        return false;
    auto const slot = this->parts.agents.slot_of(endpoint->agent);
    if (!slot || this->parts.agents.at(*slot).replaced || this->parts.agents.at(*slot).silent)
        return false;

    auto& task = job.tasks[index];
    if (task.last_attempt == 0)
        ++this->parts.counters.first_attempts;
    attempt added;
    added.number
        = static_cast<std::uint32_t>(job.epoch - 1) * attempts_per_epoch + ++task.last_attempt;
    added.epoch = job.epoch;
    added.agent = *slot;
    added.endpoint = choice.endpoint;
    added.slots = job.content->tasks[index].slots;
    added.sent = now;
    added.hedge = hedge;
    added.counted = !hedge && !job.ephemeral;
    task.attempts.push_back(added);
    task.state = protocol::task_state::starting;
    ++job.awaited;
    this->parts.endpoints.record_start(choice.endpoint, added.slots);
    job.note({now, hedge ? decision_kind::hedged : decision_kind::placed,
              static_cast<std::int32_t>(index), added.number, choice.endpoint, choice.reason,
              choice.candidates});
    base::log_record(base::log_event::task_placed)
        .with("job", job.id)
        .with("task", index)
        .with("attempt", added.number)
        .with("endpoint", choice.endpoint)
        .with("policy", this->parts.placement->name())
        .with("reason", choice.reason)
        .with("candidates", choice.candidates)
        .with("waited", duration_cast<microseconds>(now - job.submitted))
        .with("report_age", duration_cast<microseconds>(now - endpoint->reported_at));
    this->send(job, index, task.attempts.back(), now);
    this->parts.monitor.watch(job, index, added);
    return true;
}

bool dispatcher::has_room_beside(job const& job, std::uint32_t index, std::string const& endpoint,
                                 base::steady_time now)
{
    auto request = request_of(job.team, job.content->tasks[index]);
    request.avoid = {endpoint};
    auto const other
        = this->parts.placement->choose(request, this->parts.endpoints, this->parts.health, now);
    return other && other->endpoint != endpoint;
}

bool dispatcher::hedge(job& job, std::uint32_t index, base::steady_time now)
{
    if (!this->parts.leases.valid(now) || !job.claim_committed)
        return false;
    auto request = request_of(job.team, job.content->tasks[index]);
    request.avoid = job.tasks[index].tried;
    for (auto const& open : job.tasks[index].attempts)
        request.avoid.push_back(open.endpoint);
    auto const choice
        = this->parts.placement->choose(request, this->parts.endpoints, this->parts.health, now);
    if (!choice
        || std::find(request.avoid.begin(), request.avoid.end(), choice->endpoint)
            != request.avoid.end())
        return false;
    if (!this->parts.teams.hedges(job.team).try_take())
        return false;
    if (!this->start(job, index, *choice, true, now))
        return false;
    ++this->parts.counters.hedges;
    return true;
}

void dispatcher::resend(job& job, std::uint32_t index, attempt const& open, base::steady_time now)
{
    if ((!job.ephemeral && !this->parts.leases.valid(now)) || !job.claim_committed)
        return;
    job.note({now, decision_kind::resent, static_cast<std::int32_t>(index), open.number,
              open.endpoint, "the agent has no record of the start", 0});
    this->send(job, index, open, now);
}

void dispatcher::send(job& job, std::uint32_t index, attempt const& open, base::steady_time now)
{
    auto const& request = job.content->tasks[index];
    protocol::task_start start;
    start.task = {job.id, index};
    start.attempt = open.number;
    start.epoch = open.epoch;
    start.endpoint = open.endpoint;
    start.team = job.team;
    start.kind = request.kind;
    start.idempotent = request.idempotent;
    start.payload = request.payload;
    start.remaining = std::chrono::duration_cast<std::chrono::milliseconds>(job.deadline - now);
    start.timeout = this->parts.teams.kind(job.team, request.kind).timeout;
    start.ephemeral = job.ephemeral;
    start.name = request.name;
    start.slots = request.slots;
    start.cpu = request.cpu;
    start.memory_mb = request.memory_mb;
    start.expected = job.tasks[index].expected;
    if (job.ephemeral)
        start.start_within
            = std::chrono::duration_cast<std::chrono::milliseconds>(job.latest_start - now);
    this->parts.outbox.add_start(open.agent, std::move(start));
}

} // namespace greengagehead::entry
