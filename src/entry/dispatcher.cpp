// Selection of endpoints for waiting tasks, and starts.

#include "entry/dispatcher.h"

#include <algorithm>
#include <bit>
#include <chrono>
#include <utility>

#include "base/log_record.h"
#include "entry/entry_components.h"

namespace greengagehead::entry {

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;

/// Attempt numbers available to one owner of a stored job. Owners of different epochs use different
/// ranges, because agents identify attempts to cancel by number alone.
constexpr std::uint32_t attempts_per_epoch = 1000;

/// Rounds down to the largest size of the form 4..7 * 2^n: four steps per doubling. Tasks of
/// similar sizes thereby share a placement class.
std::uint32_t size_class(std::uint32_t size)
{
    constexpr int significant_bits = 3;
    auto const dropped_bits
        = std::max(static_cast<int>(std::bit_width(size)) - significant_bits, 0);
    return size >> dropped_bits << dropped_bits;
}

policy::placement_request make_request(std::string const& team, protocol::task_request const& task)
{
    return {team,           task.kind,  task.region, task.zone, task.cpu,
            task.memory_mb, task.slots, {},          {},        {}};
}

policy::placement_request make_class_request(protocol::task_request const& task)
{
    auto request = make_request({}, task);
    request.cpu = size_class(task.cpu);
    request.memory_mb = size_class(task.memory_mb);
    request.slots = size_class(task.slots);
    return request;
}

/// @param expected run time; only given where tasks of different lengths are placed differently.
std::string placement_class_key(protocol::task_request const& task, bool ephemeral,
                                std::optional<microseconds> expected)
{
    std::string key(1, ephemeral ? 'e' : 's');
    if (expected) {
        auto const milliseconds = duration_cast<std::chrono::milliseconds>(*expected).count();
        key += std::to_string(size_class(static_cast<std::uint32_t>(milliseconds)));
    }
    for (auto const* field : {&task.kind, &task.region, &task.zone}) {
        key += '\n';
        key += *field;
    }
    for (auto const size : {task.cpu, task.memory_mb, task.slots}) {
        key += '\n';
        key += std::to_string(size_class(size));
    }
    return key;
}

} // namespace

dispatcher::dispatcher(entry_components& shared) : components(shared) { }

policy::placement_request dispatcher::request_for(job const& job, std::uint32_t index)
{
    auto request = make_request(job.team, job.content->tasks[index]);
    request.expected = job.tasks[index].expected;
    // The job ends with its last task, so each task has the target of the job.
    request.target = job.ephemeral
        ? job.latest_start + job.longest * (100 + speed_margin_percent) / 100
        : job.deadline;
    return request;
}

void dispatcher::enqueue(job& job, std::uint32_t index, bool front)
{
    auto& task = job.tasks[index];
    if (task.queued || task.done() || job.content == nullptr)
        return;
    auto const& request = job.content->tasks[index];
    std::optional<microseconds> length;
    if (this->components.uses_speeds())
        length = task.expected;
    auto key = placement_class_key(request, job.ephemeral, length);
    auto const work = task.expected * request.slots;
    this->find_or_add_class(job, index, key);
    task.queued = true;
    task.state = protocol::task_state::waiting;
    if (job.ephemeral)
        return this->components.ephemeral_queue.push(
            {{job.id, index}, std::move(key), work, job.latest_start});
    policy::queued_task waiting;
    waiting.task = {job.id, index};
    waiting.team = job.team;
    waiting.placement_class = std::move(key);
    waiting.cost = work;
    waiting.deadline = job.deadline;
    if (front)
        this->components.queue.push_front(std::move(waiting));
    else
        this->components.queue.push(std::move(waiting));
}

dispatcher::placement_class& dispatcher::find_or_add_class(job const& job, std::uint32_t index,
                                                           std::string const& key)
{
    auto& group = this->classes[key];
    if (group.request.kind.empty()) {
        group.request = make_class_request(job.content->tasks[index]);
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
        this->components.ephemeral_queue.remove({job.id, index});
    else
        this->components.queue.remove({job.id, index});
}

bool dispatcher::placeable(std::string const& key, base::steady_time now)
{
    auto& group = this->classes[key];
    if (!group.ephemeral && !this->components.leases.valid(now))
        return false;
    if (group.blocked_generation >= this->capacity_generation)
        return false;
    // A choice remains valid until the next placement changes the load of the endpoints.
    if (group.choice && group.chosen_generation == this->generation)
        return true;
    group.choice = this->components.placement->choose(group.request, this->components.endpoints,
                                                      this->components.health, now);
    group.chosen_generation = this->generation;
    if (!group.choice)
        group.blocked_generation = this->generation;
    return group.choice.has_value();
}

void dispatcher::place_ephemeral(base::steady_time now)
{
    auto const accepts = [this, now](std::string const& key) { return this->placeable(key, now); };
    while (auto const taken = this->components.ephemeral_queue.take(accepts)) {
        auto* job = this->components.jobs.find(taken->task.job);
        if (job != nullptr && job->phase == job_phase::running) {
            job->tasks[taken->task.index].queued = false;
            if (this->callers_left(*job, now))
                this->components.lifecycle.stop_abandoned(*job, now);
            else if (job->consent_pending) // Queued again with the consent.
                continue;
            else if (!this->components.resubmitted.may_start(*job, now))
                this->put_aside(*job, now);
            else if (!this->try_start(*job, taken->task.index, taken->placement_class, now)) {
                this->enqueue(*job, taken->task.index, true);
                this->classes[taken->placement_class].blocked_generation = this->generation + 1;
            }
        }
        ++this->generation;
    }
}

void dispatcher::put_aside(job& job, base::steady_time now)
{
    // Overdue jobs are looked for in the queue only.
    if (job.nothing_started() && now > job.latest_start)
        this->components.lifecycle.refuse_unstarted(job, now);
}

bool dispatcher::callers_left(job& job, base::steady_time now)
{
    if (now < job.wanted_until)
        return false;
    // One look covers all tasks of the job that start in the same step.
    if (std::exchange(job.callers_seen_at, now) == now)
        return false;
    auto const has_left = [](waiter const& caller) { return caller.has_left && caller.has_left(); };
    return !job.waiters.empty() && std::all_of(job.waiters.begin(), job.waiters.end(), has_left);
}

void dispatcher::refuse_overdue(base::steady_time now)
{
    for (auto const& task : this->components.ephemeral_queue.overdue(now)) {
        auto* job = this->components.jobs.find(task.job);
        // A job that has started is finished even when it is late, so that no work is wasted.
        if (job != nullptr && job->phase == job_phase::running && job->nothing_started())
            this->components.lifecycle.refuse_unstarted(*job, now);
    }
}

void dispatcher::run(base::steady_time now)
{
    this->place_ephemeral(now);
    this->refuse_overdue(now);
    auto const accepts = [this, now](std::string const& key) { return this->placeable(key, now); };
    while (auto const taken = this->components.queue.take(accepts)) {
        this->place(*taken, now);
        ++this->generation;
    }
}

void dispatcher::place(policy::queued_task const& taken, base::steady_time now)
{
    auto* job = this->components.jobs.find(taken.task.job);
    if (job == nullptr || job->phase != job_phase::running || !job->claim_committed) {
        this->components.queue.finished(taken.team, taken.cost, taken.cost);
        return;
    }
    job->tasks[taken.task.index].queued = false;
    if (this->try_start(*job, taken.task.index, taken.placement_class, now))
        return;
    // The endpoint has left since it was chosen, or has too little room. The next report or tick
    // tries again.
    this->components.queue.finished(taken.team, taken.cost, std::chrono::microseconds(0));
    this->enqueue(*job, taken.task.index, true);
    this->classes[taken.placement_class].blocked_generation = this->generation + 1;
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
    auto request = request_for(job, index);
    auto const* endpoint = this->components.endpoints.find(choice.endpoint);
    auto const fits = endpoint != nullptr
        && this->components.endpoints.free_slots(*endpoint) >= request.slots
        && policy::fits_size(endpoint->state,
                             {request.kind, {}, {}, request.cpu, request.memory_mb});
    request.avoid = job.tasks[index].tried_endpoints;
    auto const already_tried
        = std::find(request.avoid.begin(), request.avoid.end(), choice.endpoint)
        != request.avoid.end();
    // With learned speeds, an endpoint that suits the class may be too slow for the task.
    if (fits && !already_tried && !this->components.uses_speeds())
        return choice;
    auto other = this->components.placement->choose(request, this->components.endpoints,
                                                    this->components.health, now);
    // With learned speeds the task may wait for an endpoint on which it ends in time.
    if (!other && fits && !this->components.uses_speeds())
        return choice;
    return other;
}

bool dispatcher::start(job& job, std::uint32_t index, policy::placement_choice const& choice,
                       bool hedge, base::steady_time now)
{
    auto const* endpoint = this->components.endpoints.find(choice.endpoint);
    if (endpoint == nullptr)
        return false;
    auto const slot = this->components.agents.slot_of(endpoint->agent);
    if (!slot || this->components.agents.at(*slot).replaced
        || this->components.agents.at(*slot).silent)
        return false;

    auto& task = job.tasks[index];
    if (task.last_attempt == 0)
        ++this->components.counters.first_attempts;
    task.last_attempt
        = job.ephemeral ? ++this->components.last_ephemeral_attempt : task.last_attempt + 1;
    attempt added;
    added.number
        = static_cast<std::uint32_t>(job.epoch - 1) * attempts_per_epoch + task.last_attempt;
    added.epoch = job.epoch;
    added.agent = *slot;
    added.endpoint = choice.endpoint;
    added.slots = job.content->tasks[index].slots;
    added.sent = now;
    added.hedge = hedge;
    added.charged_to_team = !hedge && !job.ephemeral;
    task.attempts.push_back(added);
    task.state = protocol::task_state::starting;
    ++job.awaited;
    this->components.endpoints.record_start(choice.endpoint, added.slots);
    this->components.accounts.record_served(job.team, task.expected * added.slots, now);
    job.record_decision({now, hedge ? decision_kind::hedged : decision_kind::placed,
                         static_cast<std::int32_t>(index), added.number, choice.endpoint,
                         choice.reason, choice.candidates});
    this->log_placement(job, index, added, choice, *endpoint, now);
    this->send(job, index, task.attempts.back(), now);
    this->components.monitor.schedule_check(job, index, added);
    return true;
}

void dispatcher::log_placement(job const& job, std::uint32_t index, attempt const& added,
                               policy::placement_choice const& choice,
                               policy::endpoint_record const& endpoint, base::steady_time now) const
{
    base::log_record record(base::log_event::task_placed);
    record.with("job", job.id)
        .with("submission", job.submission)
        .with("task", index)
        .with("attempt", added.number)
        .with("endpoint", choice.endpoint)
        .with("policy", this->components.placement->name())
        .with("reason", choice.reason)
        .with("candidates", choice.candidates)
        .with("waited", duration_cast<microseconds>(now - job.submitted))
        .with("report_age", duration_cast<microseconds>(now - endpoint.reported_at));
    if (this->components.uses_speeds())
        record.with("speed", std::to_string(choice.speed));
}

bool dispatcher::has_room_elsewhere(job const& job, std::uint32_t index,
                                    std::string const& endpoint, base::steady_time now)
{
    auto request = request_for(job, index);
    request.avoid = {endpoint};
    auto const other = this->components.placement->choose(request, this->components.endpoints,
                                                          this->components.health, now);
    return other && other->endpoint != endpoint;
}

bool dispatcher::hedge(job& job, std::uint32_t index, base::steady_time now)
{
    if (!this->components.leases.valid(now) || !job.claim_committed)
        return false;
    auto request = request_for(job, index);
    request.avoid = job.tasks[index].tried_endpoints;
    for (auto const& open : job.tasks[index].attempts)
        request.avoid.push_back(open.endpoint);
    auto const choice = this->components.placement->choose(request, this->components.endpoints,
                                                           this->components.health, now);
    if (!choice
        || std::find(request.avoid.begin(), request.avoid.end(), choice->endpoint)
            != request.avoid.end())
        return false;
    if (!this->components.teams.hedges(job.team).try_take())
        return false;
    if (!this->start(job, index, *choice, true, now))
        return false;
    ++this->components.counters.hedges;
    return true;
}

void dispatcher::resend(job& job, std::uint32_t index, attempt const& open, base::steady_time now)
{
    if ((!job.ephemeral && !this->components.leases.valid(now)) || !job.claim_committed
        || !this->components.resubmitted.may_start(job, now))
        return;
    job.record_decision({now, decision_kind::resent, static_cast<std::int32_t>(index), open.number,
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
    start.timeout = this->components.teams.kind(job.team, request.kind).timeout;
    start.ephemeral = job.ephemeral;
    start.name = request.name;
    start.slots = request.slots;
    start.cpu = request.cpu;
    start.memory_mb = request.memory_mb;
    start.expected = job.tasks[index].expected;
    if (job.ephemeral)
        start.start_within
            = std::chrono::duration_cast<std::chrono::milliseconds>(job.latest_start - now);
    this->components.outbox.add_start(open.agent, std::move(start));
}

} // namespace greengagehead::entry
