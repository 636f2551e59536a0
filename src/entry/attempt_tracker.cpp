// Application of outcomes, and retries.

#include "entry/attempt_tracker.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

#include "base/log_record.h"
#include "entry/entry_components.h"

namespace greengagehead::entry {

namespace {

using protocol::outcome_kind;
using protocol::task_state;
using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Refusals after which a task waits before it is placed again, and after which the job fails.
constexpr std::uint16_t refusals_before_backoff = 3;
constexpr std::uint16_t max_refusals = 60;
constexpr milliseconds initial_backoff {10};
constexpr milliseconds max_backoff {500};
constexpr std::uint16_t max_retries = 5;

milliseconds backoff_after(std::uint16_t refusals)
{
    auto const doublings = std::min<unsigned>(refusals - refusals_before_backoff, 6U);
    return std::min(initial_backoff * (1U << doublings), max_backoff);
}

std::string_view name_of(outcome_kind kind)
{
    constexpr std::array names {std::string_view {"running"}, std::string_view {"succeeded"},
                                std::string_view {"failed"},  std::string_view {"not_run"},
                                std::string_view {"unknown"}, std::string_view {"cancelled"}};
    return names.at(static_cast<std::size_t>(kind));
}

/// A start that the agent did not admit has no run time and says nothing about the endpoint.
bool refused_by_agent(protocol::task_outcome const& outcome)
{
    return outcome.kind == outcome_kind::not_run && outcome.run_time == microseconds(0);
}

} // namespace

attempt_tracker::attempt_tracker(entry_components& shared) : components(shared) { }

void attempt_tracker::on_batch(std::string const& peer, protocol::outcome_batch& batch,
                               base::steady_time now)
{
    this->components.sender.send(peer,
                                 protocol::outcome_ack {batch.agent.incarnation, batch.batch_id});
    for (auto const& use : batch.uses)
        this->components.endpoints.update_use(batch.agent, use, now);
    for (auto& outcome : batch.outcomes) {
        auto* job = this->components.jobs.find(outcome.task.job);
        auto const used = job != nullptr
            && (this->apply(*job, batch.agent, outcome, now)
                || this->components.takeovers.adopt_outcome(*job, batch.agent, outcome, now));
        if (!used)
            ++this->components.counters.wasted_outcomes;
    }
}

void attempt_tracker::on_report(protocol::outcome_report& report, base::steady_time now)
{
    auto const* query = this->components.outbox.find_query(report.query_id);
    auto const slot = this->components.agents.slot_of(report.agent);
    if (query == nullptr || !slot || query->agent != *slot)
        return;
    auto const original_query = *query;
    std::set<std::tuple<std::string, std::uint32_t, std::uint32_t>> reported;
    for (auto& outcome : report.outcomes) {
        reported.emplace(outcome.task.job, outcome.task.index, outcome.attempt);
        auto* job = this->components.jobs.find(outcome.task.job);
        if (job != nullptr && outcome.kind != outcome_kind::running)
            this->apply(*job, report.agent, outcome, now);
    }
    for (auto const& id : original_query.jobs) {
        auto* job = this->components.jobs.find(id);
        if (job != nullptr && job->is_final())
            attempt_tracker::confirm_ends(*job, *slot, report, original_query.sent);
        if (job == nullptr || job->phase != job_phase::running || job->content == nullptr)
            continue;
        for (std::uint32_t i = 0; i < job->tasks.size(); ++i) {
            for (auto const& open : job->tasks[i].attempts) {
                if (open.agent == *slot && open.epoch == job->epoch
                    && open.sent < original_query.sent && !open.superseded
                    && !reported.contains({id, i, open.number}))
                    this->components.dispatch.resend(*job, i, open, now);
            }
        }
    }
}

void attempt_tracker::confirm_ends(job& job, agent_slot agent,
                                   protocol::outcome_report const& report, base::steady_time asked)
{
    std::erase_if(job.unconfirmed, [&](auto const& run) {
        bool const goes_on
            = std::any_of(report.outcomes.begin(), report.outcomes.end(), [&](auto const& outcome) {
                  return outcome.task.job == job.id && outcome.task.index == run.index
                      && outcome.attempt == run.attempt && outcome.kind == outcome_kind::running;
              });
        return run.agent == agent && asked >= run.since && !goes_on;
    });
}

void attempt_tracker::confirm_end(job& job, protocol::process_id const& agent,
                                  protocol::task_outcome const& outcome)
{
    if (outcome.kind == outcome_kind::running)
        return;
    std::erase_if(job.unconfirmed, [&](auto const& run) {
        return run.index == outcome.task.index && run.attempt == outcome.attempt
            && this->components.agents.at(run.agent).id == agent;
    });
}

bool attempt_tracker::apply(job& job, protocol::process_id const& agent,
                            protocol::task_outcome& outcome, base::steady_time now)
{
    auto const index = outcome.task.index;
    if (job.is_final())
        this->confirm_end(job, agent, outcome);
    if ((job.phase != job_phase::running && job.phase != job_phase::stopping)
        || index >= job.tasks.size() || outcome.kind == outcome_kind::running)
        return false;
    auto& task = job.tasks[index];
    auto const* open = task.find(outcome.attempt, outcome.epoch);
    if (open == nullptr || this->components.agents.at(open->agent).id != agent)
        return false;
    auto const endpoint = open->endpoint;
    auto const work = task.expected * open->slots;
    this->record_run(job, index, agent, outcome, now);
    this->close(job, task, *open, outcome.run_time);
    if (refused_by_agent(outcome)) {
        ++this->components.counters.refused_starts;
        ++job.refused_starts;
        this->components.accounts.record_refused_start(job.team, work);
        this->components.endpoints.mark_full(endpoint);
    }
    job.record_decision(
        {now, decision_kind::outcome, static_cast<std::int32_t>(index), outcome.attempt, endpoint,
         outcome.message.empty() ? std::string(name_of(outcome.kind))
                                 : std::string(name_of(outcome.kind)) + ": " + outcome.message,
         0});
    base::log_record(base::log_event::task_finished)
        .with("job", job.id)
        .with("submission", job.submission)
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
    this->components.lifecycle.end_if_stopped(job, now);
    return useful && outcome.kind != outcome_kind::cancelled;
}

void attempt_tracker::close(job& job, task& task, attempt const& open, microseconds run_time)
{
    this->components.endpoints.record_outcome(open.endpoint, open.slots);
    if (open.charged_to_team)
        this->components.queue.finished(job.team, task.expected * open.slots,
                                        run_time * open.slots);
    if (!open.superseded)
        --job.awaited;
    task.attempts.erase(task.attempts.begin() + (&open - task.attempts.data()));
    this->components.dispatch.capacity_changed();
}

void attempt_tracker::record_run(job const& job, std::uint32_t index,
                                 protocol::process_id const& agent,
                                 protocol::task_outcome const& outcome, base::steady_time now)
{
    if (refused_by_agent(outcome) || outcome.kind == outcome_kind::cancelled
        || job.content == nullptr)
        return;
    auto const& kind = job.content->tasks[index].kind;
    auto const succeeded = outcome.kind == outcome_kind::succeeded;
    this->components.health.record(outcome.endpoint, succeeded, outcome.run_time,
                                   job.tasks[index].expected, now);
    if (!succeeded)
        return;
    this->components.estimator.record(job.team, kind, outcome.run_time);
    if (this->components.settings.learn_speed) {
        auto const declared
            = this->components.teams.declared_time(job.team, job.content->tasks[index]);
        this->components.learner.record(
            {job.team, kind, outcome.endpoint, agent, outcome.run_time, declared}, now);
    }
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
    this->components.dispatch.withdraw(job, index);
    this->cancel_attempts(job, index);
    // Without the content there may be more tasks than the agents have reported.
    if (job.phase == job_phase::running && job.unfinished == 0 && job.content != nullptr)
        this->components.lifecycle.complete(job, now);
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
    this->components.dispatch.withdraw(job, index);
    this->cancel_attempts(job, index);
    if (job.phase == job_phase::running)
        this->components.lifecycle.fail(
            job,
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
    task.tried_endpoints.push_back(outcome.endpoint);
    if (++task.refusals >= max_refusals) {
        this->components.lifecycle.fail(
            job,
            {base::error_code::unavailable, base::error_step::start, outcome.endpoint,
             "task " + std::to_string(index) + " was refused " + std::to_string(task.refusals)
                 + " times: " + outcome.message},
            now);
        return;
    }
    if (task.refusals < refusals_before_backoff) {
        this->components.dispatch.enqueue(job, index, true);
        return;
    }
    // All endpoints may refuse for a while. The one refused longest ago is tried again first.
    if (task.tried_endpoints.size() > refusals_before_backoff)
        task.tried_endpoints.erase(task.tried_endpoints.begin());
    this->components.timers.add(
        {now + backoff_after(task.refusals), timer_kind::requeue, job.number, index, 0});
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
    // Another attempt is still open or will follow.
    if (task.awaited() > 0 || task.queued)
        return;
    if (this->retry(job, index, endpoint, cause, now))
        return;
    task.state = task_state::may_have_run;
    --job.unfinished;
    this->components.lifecycle.fail(
        job,
        {base::error_code::unavailable, base::error_step::run, endpoint,
         "task " + std::to_string(index) + " may have run, its outcome is lost: " + cause},
        now);
}

bool attempt_tracker::retry(job& job, std::uint32_t index, std::string const& endpoint,
                            std::string const& cause, base::steady_time now)
{
    auto& task = job.tasks[index];
    if (job.content == nullptr || task.retries >= max_retries)
        return false;
    // Ephemeral tasks need no retry budget: they have a limit of their own, and each run starts
    // after the last one has ended.
    auto const allowed = job.ephemeral
        || (job.content->tasks[index].idempotent
            && this->components.teams.retries(job.team).try_take());
    if (!allowed)
        return false;
    ++task.retries;
    ++this->components.counters.retries;
    this->components.restarts.record(cause);
    task.tried_endpoints.push_back(endpoint);
    task.state = task_state::waiting;
    job.record_decision({now, decision_kind::retried, static_cast<std::int32_t>(index),
                         task.last_attempt, endpoint, cause, 0});
    // Without a committed claim the task waits until control has confirmed the owner.
    if (job.claim_committed)
        this->components.dispatch.enqueue(job, index, true);
    return true;
}

void attempt_tracker::cancel_attempts(job& job, std::uint32_t index)
{
    for (auto const& open : job.tasks[index].attempts) {
        if (!open.superseded)
            this->components.outbox.add_cancel(open.agent, {{job.id, index}, open.number});
    }
}

} // namespace greengagehead::entry
