// Use of outcomes and of silence.

#include "entry/attempt_tracker.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

#include "base/log_record.h"
#include "entry/entry_parts.h"

namespace greengagehead::entry {

namespace {

using protocol::outcome_kind;
using protocol::task_state;
using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Pace at which an agent is asked for a late attempt.
constexpr milliseconds ask_interval {1000};
constexpr milliseconds least_ask_delay {500};
/// Refusals after which a task pauses before it is placed again, and after which the job fails.
constexpr std::uint16_t refusals_before_pause = 3;
constexpr std::uint16_t most_refusals = 60;
constexpr milliseconds first_pause {10};
constexpr milliseconds longest_pause {500};
constexpr std::uint16_t most_retries = 5;
/// An ephemeral task that has been tried this often stays where it runs.
constexpr std::uint16_t most_moves = 2;
constexpr milliseconds least_stall {150};
/// From an agent's silence until every ephemeral run that it had from this entry has ended: it
/// stops them itself when it has not heard from the entry for 900 ms, and where it is frozen or
/// gone, the endpoint ends them when their lease of one second, by a clock that may be 2% slow,
/// lapses.
constexpr milliseconds ephemeral_run_limit {2000};

/// A run that takes this long stands still, or its endpoint is many times slower than others.
base::steady_time::duration stall_limit(microseconds slow)
{
    return std::max<base::steady_time::duration>(slow * 3 / 2, slow + least_stall);
}

milliseconds pause_after(std::uint16_t refusals)
{
    auto const doublings = std::min<unsigned>(refusals - refusals_before_pause, 6U);
    return std::min(first_pause * (1U << doublings), longest_pause);
}

std::string_view name_of(outcome_kind kind)
{
    constexpr std::array names {std::string_view {"running"}, std::string_view {"succeeded"},
                                std::string_view {"failed"},  std::string_view {"not_run"},
                                std::string_view {"unknown"}, std::string_view {"cancelled"}};
    return names.at(static_cast<std::size_t>(kind));
}

/// A refusal by the agent's admission has no run time and says nothing about the endpoint.
bool refused_by_agent(protocol::task_outcome const& outcome)
{
    return outcome.kind == outcome_kind::not_run && outcome.run_time == microseconds(0);
}

} // namespace

attempt_tracker::attempt_tracker(entry_parts& all) : parts(all) { }

void attempt_tracker::watch(job const& job, std::uint32_t index, attempt const& added)
{
    auto const& request = job.content->tasks[index];
    auto const estimate
        = this->parts.estimator.estimate(job.team, request.kind, job.tasks[index].expected);
    if (job.ephemeral && estimate.samples > 0) {
        this->parts.timers.add({added.sent + stall_limit(estimate.slow), timer_kind::attempt_check,
                                job.number, index, added.number});
        return;
    }
    // Without samples the slow time is a guess, on which no hedge is spent.
    auto const hedges = request.idempotent && !added.hedge && estimate.samples > 0;
    auto const delay = hedges
        ? std::chrono::duration_cast<base::steady_time::duration>(estimate.slow)
        : std::max<base::steady_time::duration>(least_ask_delay, 2 * estimate.slow);
    this->parts.timers.add(
        {added.sent + delay, timer_kind::attempt_check, job.number, index, added.number});
}

void attempt_tracker::on_check(timer const& due, base::steady_time now)
{
    auto* job = this->parts.jobs.find(due.job);
    if (job == nullptr || job->phase != job_phase::running || due.index >= job->tasks.size()
        || job->content == nullptr)
        return;
    auto& task = job->tasks[due.index];
    // What is left of a task with a result is the stopped loser of a hedge.
    if (task.done())
        return;
    auto const open = std::find_if(task.attempts.begin(), task.attempts.end(),
                                   [&](auto const& a) { return a.number == due.attempt; });
    if (open == task.attempts.end())
        return;
    auto const agent = open->agent;
    auto const age = now - open->sent;
    if (job->ephemeral && this->move_stalled(*job, due.index, *open, now))
        return;
    auto const may_hedge = job->content->tasks[due.index].idempotent && !open->given_up
        && task.attempts.size() == 1 && !task.queued;
    if (may_hedge) {
        auto const estimate = this->parts.estimator.estimate(
            job->team, job->content->tasks[due.index].kind, task.expected);
        if (estimate.samples > 0 && age >= estimate.slow)
            this->parts.dispatch.hedge(*job, due.index, now);
    }
    auto next = ask_interval;
    if (age >= least_ask_delay)
        this->parts.outbox.add_query(agent, job->id, job->epoch);
    else
        next = std::chrono::duration_cast<milliseconds>(least_ask_delay - age) + milliseconds(1);
    this->parts.timers.add(
        {now + next, timer_kind::attempt_check, job->number, due.index, due.attempt});
}

bool attempt_tracker::move_stalled(job& job, std::uint32_t index, attempt const& open,
                                   base::steady_time now)
{
    auto& task = job.tasks[index];
    auto const& kind = job.content->tasks[index].kind;
    auto const estimate = this->parts.estimator.estimate(job.team, kind, task.expected);
    auto const age = now - open.sent;
    if (estimate.samples == 0 || age < stall_limit(estimate.slow) || open.given_up
        || task.retries >= most_moves || now + estimate.typical >= job.deadline)
        return false;
    this->parts.health.record(open.endpoint, false, std::chrono::duration_cast<microseconds>(age),
                              task.expected, now);
    job.note({now, decision_kind::endpoint_lost, static_cast<std::int32_t>(index), open.number,
              open.endpoint, "the run has stalled and is stopped", 0});
    base::log_record(base::log_event::task_stalled)
        .with("job", job.id)
        .with("task", index)
        .with("attempt", open.number)
        .with("endpoint", open.endpoint)
        .with("age", std::chrono::duration_cast<microseconds>(age))
        .with("slow", estimate.slow);
    // The task goes elsewhere when the agent has confirmed the end of this run.
    this->parts.outbox.add_cancel(open.agent, {{job.id, index}, open.number});
    this->parts.timers.add(
        {now + ask_interval, timer_kind::attempt_check, job.number, index, open.number});
    return true;
}

void attempt_tracker::on_requeue(timer const& due)
{
    auto* job = this->parts.jobs.find(due.job);
    if (job == nullptr || job->phase != job_phase::running || !job->claim_committed)
        return;
    if (job->tasks[due.index].awaited() == 0)
        this->parts.dispatch.enqueue(*job, due.index, true);
}

void attempt_tracker::on_batch(std::string const& peer, protocol::outcome_batch& batch,
                               base::steady_time now)
{
    this->parts.sender.send(peer, protocol::outcome_ack {batch.agent.incarnation, batch.batch_id});
    for (auto const& use : batch.uses)
        this->parts.endpoints.update_use(batch.agent, use);
    for (auto& outcome : batch.outcomes) {
        auto* job = this->parts.jobs.find(outcome.task.job);
        auto const used = job != nullptr
            && (this->apply(*job, outcome, now)
                || this->parts.takeovers.adopt_outcome(*job, batch.agent, outcome, now));
        if (!used)
            ++this->parts.counters.wasted_outcomes;
    }
}

void attempt_tracker::on_report(protocol::outcome_report& report, base::steady_time now)
{
    auto const* query = this->parts.outbox.find_query(report.query_id);
    auto const slot = this->parts.agents.slot_of(report.agent);
    if (query == nullptr || !slot || query->agent != *slot)
        return;
    auto const asked = *query;
    std::set<std::tuple<std::string, std::uint32_t, std::uint32_t>> listed;
    for (auto& outcome : report.outcomes) {
        listed.emplace(outcome.task.job, outcome.task.index, outcome.attempt);
        auto* job = this->parts.jobs.find(outcome.task.job);
        if (job != nullptr && outcome.kind != outcome_kind::running)
            this->apply(*job, outcome, now);
    }
    for (auto const& id : asked.jobs) {
        auto* job = this->parts.jobs.find(id);
        if (job == nullptr || job->phase != job_phase::running || job->content == nullptr)
            continue;
        for (std::uint32_t i = 0; i < job->tasks.size(); ++i) {
            for (auto const& open : job->tasks[i].attempts) {
                if (open.agent == *slot && open.epoch == job->epoch && open.sent < asked.sent
                    && !open.given_up && !listed.contains({id, i, open.number}))
                    this->parts.dispatch.resend(*job, i, open, now);
            }
        }
    }
}

bool attempt_tracker::apply(job& job, protocol::task_outcome& outcome, base::steady_time now)
{
    auto const index = outcome.task.index;
    if ((job.phase != job_phase::running && job.phase != job_phase::stopping)
        || index >= job.tasks.size() || outcome.kind == outcome_kind::running)
        return false;
    auto& task = job.tasks[index];
    auto const* open = task.find(outcome.attempt, outcome.epoch);
    if (open == nullptr)
        return false;
    auto const endpoint = open->endpoint;
    this->record_run(job, index, outcome, now);
    this->close(job, task, *open, outcome.run_time);
    if (refused_by_agent(outcome))
        this->parts.endpoints.mark_full(endpoint);
    job.note({now, decision_kind::outcome, static_cast<std::int32_t>(index), outcome.attempt,
              endpoint,
              outcome.message.empty() ? std::string(name_of(outcome.kind))
                                      : std::string(name_of(outcome.kind)) + ": " + outcome.message,
              0});
    base::log_record(base::log_event::task_finished)
        .with("job", job.id)
        .with("task", index)
        .with("attempt", outcome.attempt)
        .with("endpoint", endpoint)
        .with("outcome", name_of(outcome.kind));
    auto const useful = !task.done();
    switch (outcome.kind) {
    case outcome_kind::succeeded:
        this->on_succeeded(job, index, outcome, now);
        break;
    case outcome_kind::failed:
        this->on_failed(job, index, outcome, now);
        break;
    case outcome_kind::not_run:
        this->on_not_run(job, index, outcome, now);
        break;
    case outcome_kind::cancelled:
        task.ran = true;
        if (job.phase == job_phase::stopping && useful)
            task.state = task_state::cancelled;
        else
            this->on_unknown(job, index, endpoint, "stopped at the endpoint", now);
        break;
    case outcome_kind::unknown:
    case outcome_kind::running:
        this->on_unknown(job, index, endpoint, outcome.message, now);
        break;
    }
    this->parts.flow.end_if_stopped(job, now);
    return useful && outcome.kind != outcome_kind::cancelled;
}

void attempt_tracker::close(job& job, task& task, attempt const& open, microseconds run_time)
{
    this->parts.endpoints.note_outcome(open.endpoint, open.slots);
    if (open.counted)
        this->parts.queue.finished(job.team, task.expected * open.slots, run_time * open.slots);
    if (!open.given_up)
        --job.awaited;
    task.attempts.erase(task.attempts.begin() + (&open - task.attempts.data()));
    this->parts.dispatch.capacity_changed();
}

void attempt_tracker::record_run(job const& job, std::uint32_t index,
                                 protocol::task_outcome const& outcome, base::steady_time now)
{
    if (refused_by_agent(outcome) || outcome.kind == outcome_kind::cancelled
        || job.content == nullptr)
        return;
    auto const& kind = job.content->tasks[index].kind;
    auto const succeeded = outcome.kind == outcome_kind::succeeded;
    this->parts.health.record(outcome.endpoint, succeeded, outcome.run_time,
                              job.tasks[index].expected, now);
    if (succeeded)
        this->parts.estimator.record(job.team, kind, outcome.run_time);
}

void attempt_tracker::on_succeeded(job& job, std::uint32_t index, protocol::task_outcome& outcome,
                                   base::steady_time now)
{
    auto& task = job.tasks[index];
    task.ran = true;
    if (task.done())
        return;
    task.state = task_state::succeeded;
    task.result = std::move(outcome.result);
    --job.unfinished;
    this->parts.dispatch.withdraw(job, index);
    this->cancel_attempts(job, index);
    // Without the content there may be more tasks than the agents have named.
    if (job.phase == job_phase::running && job.unfinished == 0 && job.content != nullptr)
        this->parts.flow.complete(job, now);
}

void attempt_tracker::on_failed(job& job, std::uint32_t index,
                                protocol::task_outcome const& outcome, base::steady_time now)
{
    auto& task = job.tasks[index];
    task.ran = true;
    if (task.done())
        return;
    if (job.ephemeral && job.phase == job_phase::running
        && ++task.failures < job.content->tasks[index].max_attempts
        && this->retry(job, index, outcome.endpoint, outcome.message, now))
        return;
    task.state = task_state::failed;
    --job.unfinished;
    this->parts.dispatch.withdraw(job, index);
    this->cancel_attempts(job, index);
    if (job.phase == job_phase::running)
        this->parts.flow.fail(job,
                              {base::error_code::internal, base::error_step::run, outcome.endpoint,
                               "task " + std::to_string(index) + " failed: " + outcome.message},
                              now);
}

void attempt_tracker::on_not_run(job& job, std::uint32_t index,
                                 protocol::task_outcome const& outcome, base::steady_time now)
{
    auto& task = job.tasks[index];
    if (task.done() || job.phase != job_phase::running || task.awaited() > 0 || task.queued)
        return;
    task.state = task_state::waiting;
    task.tried.push_back(outcome.endpoint);
    if (++task.refusals >= most_refusals) {
        this->parts.flow.fail(job,
                              {base::error_code::unavailable, base::error_step::start,
                               outcome.endpoint,
                               "task " + std::to_string(index) + " was refused "
                                   + std::to_string(task.refusals) + " times: " + outcome.message},
                              now);
        return;
    }
    if (task.refusals < refusals_before_pause) {
        this->parts.dispatch.enqueue(job, index, true);
        return;
    }
    // All endpoints may refuse for a while. They are tried again, the least recent first.
    if (task.tried.size() > refusals_before_pause)
        task.tried.erase(task.tried.begin());
    this->parts.timers.add(
        {now + pause_after(task.refusals), timer_kind::requeue, job.number, index, 0});
}

void attempt_tracker::on_unknown(job& job, std::uint32_t index, std::string const& endpoint,
                                 std::string const& cause, base::steady_time now)
{
    auto& task = job.tasks[index];
    task.uncertain = true;
    if (task.done())
        return;
    if (job.phase == job_phase::stopping) {
        if (task.awaited() == 0)
            task.state = task_state::may_have_run;
        return;
    }
    // Another attempt is still on its way, or will be.
    if (task.awaited() > 0 || task.queued)
        return;
    if (this->retry(job, index, endpoint, cause, now))
        return;
    task.state = task_state::may_have_run;
    --job.unfinished;
    this->parts.flow.fail(
        job,
        {base::error_code::unavailable, base::error_step::run, endpoint,
         "task " + std::to_string(index) + " may have run, its outcome is lost: " + cause},
        now);
}

bool attempt_tracker::retry(job& job, std::uint32_t index, std::string const& endpoint,
                            std::string const& cause, base::steady_time now)
{
    auto& task = job.tasks[index];
    if (job.content == nullptr || task.retries >= most_retries)
        return false;
    // Runs of an ephemeral task are bounded one by one, and each follows the end of the last.
    auto const allowed = job.ephemeral
        || (job.content->tasks[index].idempotent && this->parts.teams.retries(job.team).try_take());
    if (!allowed)
        return false;
    ++task.retries;
    ++this->parts.counters.retries;
    task.tried.push_back(endpoint);
    task.state = task_state::waiting;
    job.note({now, decision_kind::retried, static_cast<std::int32_t>(index), task.last_attempt,
              endpoint, cause, 0});
    // Without a committed claim the task waits until control has confirmed the owner.
    if (job.claim_committed)
        this->parts.dispatch.enqueue(job, index, true);
    return true;
}

void attempt_tracker::cancel_attempts(job& job, std::uint32_t index)
{
    for (auto const& open : job.tasks[index].attempts) {
        if (!open.given_up)
            this->parts.outbox.add_cancel(open.agent, {{job.id, index}, open.number});
    }
}

void attempt_tracker::for_each_attempt(
    agent_slot agent, std::function<void(job&, std::uint32_t, attempt&)> const& use)
{
    struct found {
        std::uint64_t job;
        std::uint32_t index;
        std::uint32_t attempt;
        protocol::job_epoch epoch;
    };
    std::vector<found> all;
    for (auto const& [number, job] : this->parts.jobs.all()) {
        for (std::uint32_t i = 0; i < job->tasks.size(); ++i) {
            for (auto const& open : job->tasks[i].attempts) {
                if (open.agent == agent)
                    all.push_back({number, i, open.number, open.epoch});
            }
        }
    }
    // `use` may end jobs and remove attempts.
    for (auto const& item : all) {
        auto* job = this->parts.jobs.find(item.job);
        if (job == nullptr || item.index >= job->tasks.size())
            continue;
        if (auto* open = job->tasks[item.index].find(item.attempt, item.epoch))
            use(*job, item.index, *open);
    }
}

void attempt_tracker::ask(agent_slot agent)
{
    this->for_each_attempt(agent, [&](job& job, std::uint32_t, attempt&) {
        this->parts.outbox.add_query(agent, job.id, job.epoch);
    });
}

void attempt_tracker::on_agent_lost(agent_slot agent, base::steady_time now)
{
    this->for_each_attempt(agent, [&](job& job, std::uint32_t index, attempt& open) {
        if (open.given_up || job.content == nullptr)
            return;
        if (job.ephemeral)
            return this->parts.timers.add({now + ephemeral_run_limit, timer_kind::attempt_over,
                                           job.number, index, open.number});
        // Only the agent itself can say what became of a task that must not run twice.
        if (!job.content->tasks[index].idempotent)
            return;
        auto const endpoint = open.endpoint;
        auto& task = job.tasks[index];
        if (std::exchange(open.counted, false))
            this->parts.queue.finished(job.team, task.expected * open.slots,
                                       task.expected * open.slots);
        open.given_up = true;
        --job.awaited;
        job.note({now, decision_kind::endpoint_lost, static_cast<std::int32_t>(index),
                  task.last_attempt, endpoint, "the agent is silent", 0});
        if (!task.done() && job.phase == job_phase::running && task.awaited() == 0 && !task.queued
            && !this->retry(job, index, endpoint, "the agent is silent", now))
            this->parts.flow.fail(job,
                                  {base::error_code::unavailable, base::error_step::run, endpoint,
                                   "the agent of task " + std::to_string(index)
                                       + " is silent and the retry budget is used up"},
                                  now);
        this->parts.flow.end_if_stopped(job, now);
    });
}

void attempt_tracker::on_attempt_over(timer const& due, base::steady_time now)
{
    auto* job = this->parts.jobs.find(due.job);
    if (job == nullptr || due.index >= job->tasks.size())
        return;
    auto& task = job->tasks[due.index];
    auto* open = task.find(due.attempt, job->epoch);
    // An agent that has returned is asked for the outcome.
    if (open == nullptr || !this->parts.agents.at(open->agent).lost)
        return;
    auto const endpoint = open->endpoint;
    this->close(*job, task, *open, task.expected);
    job->note({now, decision_kind::endpoint_lost, static_cast<std::int32_t>(due.index), due.attempt,
               endpoint, "the agent was lost", 0});
    this->on_unknown(*job, due.index, endpoint, "the agent was lost", now);
    this->parts.flow.end_if_stopped(*job, now);
}

void attempt_tracker::stop_unknown(protocol::agent_report const& report, agent_slot slot)
{
    for (auto const& held : report.ephemeral_runs) {
        auto const* job = this->parts.jobs.find(held.task.job);
        auto const known = job != nullptr && held.task.index < job->tasks.size()
            && std::any_of(job->tasks[held.task.index].attempts.begin(),
                           job->tasks[held.task.index].attempts.end(),
                           [&held](auto const& open) { return open.number == held.attempt; });
        if (!known)
            this->parts.outbox.add_cancel(slot, held);
    }
}

void attempt_tracker::on_agent_replaced(agent_slot agent, base::steady_time now)
{
    this->for_each_attempt(agent, [&](job& job, std::uint32_t index, attempt& open) {
        auto const endpoint = open.endpoint;
        auto& task = job.tasks[index];
        this->close(job, task, open, task.expected);
        job.note({now, decision_kind::endpoint_lost, static_cast<std::int32_t>(index),
                  task.last_attempt, endpoint, "the agent was restarted", 0});
        this->on_unknown(job, index, endpoint, "the agent was restarted", now);
        this->parts.flow.end_if_stopped(job, now);
    });
}

} // namespace greengagehead::entry
