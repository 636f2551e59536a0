// Checks of attempts without an outcome.

#include "entry/attempt_monitor.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

#include "base/log_record.h"
#include "entry/entry_components.h"

namespace greengagehead::entry {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Interval between queries to an agent for the same late attempt.
constexpr milliseconds query_interval {1000};
constexpr milliseconds min_query_delay {500};
/// An ephemeral task that has been retried this often is not moved to another endpoint.
constexpr std::uint16_t max_restarts = 2;
constexpr milliseconds min_stall_margin {1000};

/// A run that takes this long has stalled, even when its agent has not reported that it lags.
base::steady_time::duration stall_limit(microseconds slow)
{
    return std::max<base::steady_time::duration>(slow * 2, slow + min_stall_margin);
}

} // namespace

attempt_monitor::attempt_monitor(entry_components& shared) : components(shared) { }

void attempt_monitor::schedule_check(job const& job, std::uint32_t index, attempt const& added)
{
    auto const& request = job.content->tasks[index];
    auto const estimate
        = this->components.estimator.estimate(job.team, request.kind, job.tasks[index].expected);
    if (job.ephemeral && estimate.samples > 0)
        return this->add_check_timer(added.sent + stall_limit(estimate.slow), job, index,
                                     added.number);
    // Without samples the slow time is a guess, which does not justify a hedge.
    auto const hedges = request.idempotent && !added.hedge && estimate.samples > 0;
    auto const delay = hedges
        ? std::chrono::duration_cast<base::steady_time::duration>(estimate.slow)
        : std::max<base::steady_time::duration>(min_query_delay, 2 * estimate.slow);
    this->add_check_timer(added.sent + delay, job, index, added.number);
}

void attempt_monitor::add_check_timer(base::steady_time time, job const& job, std::uint32_t index,
                                      std::uint32_t attempt)
{
    this->components.timers.add({time, timer_kind::attempt_check, job.number, index, attempt});
}

void attempt_monitor::on_check(timer const& due, base::steady_time now)
{
    auto* job = this->components.jobs.find(due.job);
    if (job == nullptr || job->phase != job_phase::running || due.index >= job->tasks.size()
        || job->content == nullptr)
        return;
    auto& task = job->tasks[due.index];
    // An attempt of a task with a result is the cancelled attempt of a hedge.
    if (task.done())
        return;
    auto const open = std::find_if(task.attempts.begin(), task.attempts.end(),
                                   [&](auto const& a) { return a.number == due.attempt; });
    if (open == task.attempts.end())
        return;
    auto const agent = open->agent;
    auto const age = now - open->sent;
    if (job->ephemeral && this->cancel_stalled(*job, due.index, *open, now))
        return;
    auto const may_hedge = job->content->tasks[due.index].idempotent && !open->superseded
        && task.attempts.size() == 1 && !task.queued;
    if (may_hedge) {
        auto const estimate = this->components.estimator.estimate(
            job->team, job->content->tasks[due.index].kind, task.expected);
        if (estimate.samples > 0 && age >= estimate.slow)
            this->components.dispatch.hedge(*job, due.index, now);
    }
    auto next = query_interval;
    if (age >= min_query_delay)
        this->components.outbox.add_query(agent, job->id, job->epoch);
    else
        next = std::chrono::duration_cast<milliseconds>(min_query_delay - age) + milliseconds(1);
    this->add_check_timer(now + next, *job, due.index, due.attempt);
}

bool attempt_monitor::cancel_stalled(job& job, std::uint32_t index, attempt const& open,
                                     base::steady_time now)
{
    auto const& task = job.tasks[index];
    auto const& kind = job.content->tasks[index].kind;
    auto const estimate = this->components.estimator.estimate(job.team, kind, task.expected);
    if (estimate.samples == 0 || now - open.sent < stall_limit(estimate.slow)
        || !this->may_restart_elsewhere(job, index, open, now))
        return false;
    this->cancel_to_move(job, index, open, "the run takes far too long", now);
    return true;
}

void attempt_monitor::on_lagging(protocol::lagging_run const& notice, base::steady_time now)
{
    auto* const job = this->components.jobs.find(notice.run.task.job);
    auto const index = notice.run.task.index;
    if (job == nullptr || !job->ephemeral || job->phase != job_phase::running
        || index >= job->tasks.size())
        return;
    auto const* const open = job->tasks[index].find(notice.run.attempt, job->epoch);
    if (open == nullptr || this->components.agents.at(open->agent).id != notice.agent
        || !this->may_restart_elsewhere(*job, index, *open, now))
        return;
    // A slow run is kept rather than queued again, unless it cannot end before the deadline.
    bool const in_time = now + notice.remaining < job->deadline;
    if (in_time && !this->components.dispatch.has_room_elsewhere(*job, index, open->endpoint, now))
        return;
    this->cancel_to_move(*job, index, *open, "the run lags", now);
}

bool attempt_monitor::may_restart_elsewhere(job const& job, std::uint32_t index,
                                            attempt const& open, base::steady_time now) const
{
    auto const& task = job.tasks[index];
    return !open.superseded && task.retries < max_restarts && now + task.expected < job.deadline;
}

void attempt_monitor::cancel_to_move(job& job, std::uint32_t index, attempt const& open,
                                     std::string const& reason, base::steady_time now)
{
    auto const age = std::chrono::duration_cast<microseconds>(now - open.sent);
    auto const expected = job.tasks[index].expected;
    this->components.health.record(open.endpoint, false, age, expected, now);
    job.record_decision({now, decision_kind::endpoint_lost, static_cast<std::int32_t>(index),
                         open.number, open.endpoint, reason, 0});
    base::log_record(base::log_event::task_stalled)
        .with("job", job.id)
        .with("submission", job.submission)
        .with("task", index)
        .with("attempt", open.number)
        .with("endpoint", open.endpoint)
        .with("age", age)
        .with("expected", expected)
        .with("reason", reason);
    // The task is queued again when the agent has confirmed the end of this run.
    this->components.outbox.add_cancel(open.agent, {{job.id, index}, open.number});
    this->add_check_timer(now + query_interval, job, index, open.number);
}

void attempt_monitor::on_requeue(timer const& due)
{
    auto* job = this->components.jobs.find(due.job);
    if (job == nullptr || job->phase != job_phase::running || !job->claim_committed)
        return;
    if (job->tasks[due.index].awaited() == 0)
        this->components.dispatch.enqueue(*job, due.index, true);
}

void attempt_monitor::for_each_attempt(
    agent_slot agent, std::function<void(job&, std::uint32_t, attempt&)> const& callback)
{
    struct attempt_key {
        std::uint64_t job;
        std::uint32_t index;
        std::uint32_t attempt;
        protocol::job_epoch epoch;
    };
    std::vector<attempt_key> open_attempts;
    for (auto const& [number, job] : this->components.jobs.all()) {
        for (std::uint32_t i = 0; i < job->tasks.size(); ++i) {
            for (auto const& open : job->tasks[i].attempts) {
                if (open.agent == agent)
                    open_attempts.push_back({number, i, open.number, open.epoch});
            }
        }
    }
    // `callback` may end jobs and remove attempts.
    for (auto const& key : open_attempts) {
        auto* job = this->components.jobs.find(key.job);
        if (job == nullptr || key.index >= job->tasks.size())
            continue;
        if (auto* open = job->tasks[key.index].find(key.attempt, key.epoch))
            callback(*job, key.index, *open);
    }
}

void attempt_monitor::query_attempts(agent_slot agent)
{
    this->for_each_attempt(agent, [&](job& job, std::uint32_t, attempt&) {
        this->components.outbox.add_query(agent, job.id, job.epoch);
    });
}

void attempt_monitor::on_agent_lost(agent_slot agent, base::steady_time now)
{
    this->for_each_attempt(agent, [&](job& job, std::uint32_t index, attempt& open) {
        if (open.superseded || job.content == nullptr)
            return;
        // Only the agent knows the outcome of a task that must not run twice. A run of an ephemeral
        // task must have ended before the next one: its machine may be suspended, and goes on with
        // the run when it wakes.
        if (job.ephemeral || !job.content->tasks[index].idempotent)
            return;
        auto const endpoint = open.endpoint;
        auto& task = job.tasks[index];
        if (std::exchange(open.charged_to_team, false))
            this->components.queue.finished(job.team, task.expected * open.slots,
                                            task.expected * open.slots);
        open.superseded = true;
        --job.awaited;
        job.record_decision({now, decision_kind::endpoint_lost, static_cast<std::int32_t>(index),
                             task.last_attempt, endpoint, "the agent is silent", 0});
        if (!task.done() && job.phase == job_phase::running && task.awaited() == 0 && !task.queued
            && !this->components.attempts.retry(job, index, endpoint, "the agent is silent", now))
            this->components.lifecycle.fail(job,
                                            {base::error_code::unavailable, base::error_step::run,
                                             endpoint,
                                             "the agent of task " + std::to_string(index)
                                                 + " is silent and the retry budget is used up"},
                                            now);
        this->components.lifecycle.end_if_stopped(job, now);
    });
}

bool attempt_monitor::waits_for_lost_agent(job const& job) const
{
    return std::any_of(job.tasks.begin(), job.tasks.end(), [this](auto const& task) {
        return !task.done()
            && std::any_of(task.attempts.begin(), task.attempts.end(), [this](auto const& open) {
                   return this->components.agents.at(open.agent).lost;
               });
    });
}

void attempt_monitor::on_replaced_attempt_expired(timer const& due, base::steady_time now)
{
    auto* job = this->components.jobs.find(due.job);
    if (job == nullptr || due.index >= job->tasks.size())
        return;
    auto& task = job->tasks[due.index];
    auto* open = task.find(due.attempt, job->epoch);
    if (open == nullptr)
        return;
    auto const& agent = this->components.agents.at(open->agent);
    if (agent.replaced && now >= agent.runs_end_by())
        this->close_as_unknown(*job, due.index, *open, due.attempt, "the agent was restarted", now);
}

void attempt_monitor::close_as_unknown(job& job, std::uint32_t index, attempt const& open,
                                       std::uint32_t logged_attempt, std::string const& cause,
                                       base::steady_time now)
{
    auto& task = job.tasks[index];
    // `close` invalidates `open`.
    auto const endpoint = open.endpoint;
    this->components.attempts.close(job, task, open, task.expected);
    job.record_decision({now, decision_kind::endpoint_lost, static_cast<std::int32_t>(index),
                         logged_attempt, endpoint, cause, 0});
    base::log_record(base::log_event::run_given_up)
        .with("job", job.id)
        .with("submission", job.submission)
        .with("task", index)
        .with("attempt", logged_attempt)
        .with("endpoint", endpoint)
        .with("reason", cause);
    this->components.attempts.on_unknown(job, index, endpoint, cause, now);
    this->components.lifecycle.end_if_stopped(job, now);
}

void attempt_monitor::cancel_unknown_runs(protocol::agent_report const& report, agent_slot slot)
{
    for (auto const& reported : report.ephemeral_runs) {
        auto* const job = this->components.jobs.find(reported.task.job);
        auto const known = job != nullptr && reported.task.index < job->tasks.size()
            && std::any_of(job->tasks[reported.task.index].attempts.begin(),
                           job->tasks[reported.task.index].attempts.end(),
                           [&reported, slot](auto const& open) {
                               return open.number == reported.attempt && open.agent == slot;
                           });
        if (known)
            continue;
        this->components.outbox.add_cancel(slot, reported);
    }
}

void attempt_monitor::on_agent_replaced(agent_slot agent, base::steady_time now)
{
    // Another machine may report under the name of the agent, while the former one and its worker
    // go on for as long as they are permitted to.
    auto const ended = this->components.agents.at(agent).runs_end_by();
    this->for_each_attempt(agent, [&](job& job, std::uint32_t index, attempt& open) {
        if (job.ephemeral && now < ended)
            return this->components.timers.add(
                {ended, timer_kind::replaced_attempt_expired, job.number, index, open.number});
        this->close_as_unknown(job, index, open, job.tasks[index].last_attempt,
                               "the agent was restarted", now);
    });
}

} // namespace greengagehead::entry
