// Watch over attempts without an outcome.

#include "entry/attempt_monitor.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

#include "base/log_record.h"
#include "entry/entry_parts.h"

namespace greengagehead::entry {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Pace at which an agent is asked for a late attempt.
constexpr milliseconds ask_interval {1000};
constexpr milliseconds least_ask_delay {500};
/// An ephemeral task that has been tried this often stays where it runs.
constexpr std::uint16_t most_moves = 2;
constexpr milliseconds least_stall {1000};
/// From an agent's silence until every ephemeral run that it had from this entry has ended: it
/// stops them itself when it has not heard from the entry for 900 ms, and where it is frozen or
/// gone, the endpoint ends them when their lease of one second, by a clock that may be 2% slow,
/// lapses.
constexpr milliseconds ephemeral_run_limit {2000};

/// A run that takes this long has stalled, although its agent has not said that it lags.
base::steady_time::duration stall_limit(microseconds slow)
{
    return std::max<base::steady_time::duration>(slow * 2, slow + least_stall);
}

} // namespace

attempt_monitor::attempt_monitor(entry_parts& all) : parts(all) { }

void attempt_monitor::watch(job const& job, std::uint32_t index, attempt const& added)
{
    auto const& request = job.content->tasks[index];
    auto const estimate
        = this->parts.estimator.estimate(job.team, request.kind, job.tasks[index].expected);
    if (job.ephemeral && estimate.samples > 0)
        return this->check_at(added.sent + stall_limit(estimate.slow), job, index, added.number);
    // Without samples the slow time is a guess, on which no hedge is spent.
    auto const hedges = request.idempotent && !added.hedge && estimate.samples > 0;
    auto const delay = hedges
        ? std::chrono::duration_cast<base::steady_time::duration>(estimate.slow)
        : std::max<base::steady_time::duration>(least_ask_delay, 2 * estimate.slow);
    this->check_at(added.sent + delay, job, index, added.number);
}

void attempt_monitor::check_at(base::steady_time time, job const& job, std::uint32_t index,
                               std::uint32_t attempt)
{
    this->parts.timers.add({time, timer_kind::attempt_check, job.number, index, attempt});
}

void attempt_monitor::on_check(timer const& due, base::steady_time now)
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
    this->check_at(now + next, *job, due.index, due.attempt);
}

bool attempt_monitor::move_stalled(job& job, std::uint32_t index, attempt const& open,
                                   base::steady_time now)
{
    auto const& task = job.tasks[index];
    auto const& kind = job.content->tasks[index].kind;
    auto const estimate = this->parts.estimator.estimate(job.team, kind, task.expected);
    if (estimate.samples == 0 || now - open.sent < stall_limit(estimate.slow)
        || !this->may_move(job, index, open, now))
        return false;
    this->move(job, index, open, "the run takes far too long", now);
    return true;
}

void attempt_monitor::on_lagging(protocol::lagging_run const& notice, base::steady_time now)
{
    auto* const job = this->parts.jobs.find(notice.run.task.job);
    auto const index = notice.run.task.index;
    if (job == nullptr || !job->ephemeral || job->phase != job_phase::running
        || index >= job->tasks.size())
        return;
    auto const* const open = job->tasks[index].find(notice.run.attempt, job->epoch);
    if (open == nullptr || !this->may_move(*job, index, *open, now))
        return;
    // A slow run is worth more than a place in the queue; one that cannot end in time is not.
    bool const in_time = now + notice.remaining < job->deadline;
    if (in_time && !this->parts.dispatch.has_room_beside(*job, index, open->endpoint, now))
        return;
    this->move(*job, index, *open, "the run lags", now);
}

bool attempt_monitor::may_move(job const& job, std::uint32_t index, attempt const& open,
                               base::steady_time now) const
{
    auto const& task = job.tasks[index];
    return !open.given_up && task.retries < most_moves && now + task.expected < job.deadline;
}

void attempt_monitor::move(job& job, std::uint32_t index, attempt const& open,
                           std::string const& reason, base::steady_time now)
{
    auto const age = std::chrono::duration_cast<microseconds>(now - open.sent);
    auto const expected = job.tasks[index].expected;
    this->parts.health.record(open.endpoint, false, age, expected, now);
    job.note({now, decision_kind::endpoint_lost, static_cast<std::int32_t>(index), open.number,
              open.endpoint, reason, 0});
    base::log_record(base::log_event::task_stalled)
        .with("job", job.id)
        .with("task", index)
        .with("attempt", open.number)
        .with("endpoint", open.endpoint)
        .with("age", age)
        .with("expected", expected)
        .with("reason", reason);
    // The task goes elsewhere when the agent has confirmed the end of this run.
    this->parts.outbox.add_cancel(open.agent, {{job.id, index}, open.number});
    this->check_at(now + ask_interval, job, index, open.number);
}

void attempt_monitor::on_requeue(timer const& due)
{
    auto* job = this->parts.jobs.find(due.job);
    if (job == nullptr || job->phase != job_phase::running || !job->claim_committed)
        return;
    if (job->tasks[due.index].awaited() == 0)
        this->parts.dispatch.enqueue(*job, due.index, true);
}

void attempt_monitor::for_each_attempt(
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

void attempt_monitor::ask(agent_slot agent)
{
    this->for_each_attempt(agent, [&](job& job, std::uint32_t, attempt&) {
        this->parts.outbox.add_query(agent, job.id, job.epoch);
    });
}

void attempt_monitor::on_agent_lost(agent_slot agent, base::steady_time now)
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
            && !this->parts.attempts.retry(job, index, endpoint, "the agent is silent", now))
            this->parts.flow.fail(job,
                                  {base::error_code::unavailable, base::error_step::run, endpoint,
                                   "the agent of task " + std::to_string(index)
                                       + " is silent and the retry budget is used up"},
                                  now);
        this->parts.flow.end_if_stopped(job, now);
    });
}

void attempt_monitor::on_attempt_over(timer const& due, base::steady_time now)
{
    auto* job = this->parts.jobs.find(due.job);
    if (job == nullptr || due.index >= job->tasks.size())
        return;
    auto& task = job->tasks[due.index];
    auto* open = task.find(due.attempt, job->epoch);
    // An agent that has returned is asked for the outcome.
    if (open == nullptr || !this->parts.agents.at(open->agent).lost)
        return;
    this->end_unknown(*job, due.index, *open, due.attempt, "the agent was lost", now);
}

void attempt_monitor::end_unknown(job& job, std::uint32_t index, attempt const& open,
                                  std::uint32_t noted, std::string const& cause,
                                  base::steady_time now)
{
    auto& task = job.tasks[index];
    // Closing drops the attempt.
    auto const endpoint = open.endpoint;
    this->parts.attempts.close(job, task, open, task.expected);
    job.note({now, decision_kind::endpoint_lost, static_cast<std::int32_t>(index), noted, endpoint,
              cause, 0});
    this->parts.attempts.on_unknown(job, index, endpoint, cause, now);
    this->parts.flow.end_if_stopped(job, now);
}

void attempt_monitor::stop_unknown(protocol::agent_report const& report, agent_slot slot)
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

void attempt_monitor::on_agent_replaced(agent_slot agent, base::steady_time now)
{
    this->for_each_attempt(agent, [&](job& job, std::uint32_t index, attempt& open) {
        this->end_unknown(job, index, open, job.tasks[index].last_attempt,
                          "the agent was restarted", now);
    });
}

} // namespace greengagehead::entry
