// Use of outcomes.

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

/// Refusals after which a task pauses before it is placed again, and after which the job fails.
constexpr std::uint16_t refusals_before_pause = 3;
constexpr std::uint16_t most_refusals = 60;
constexpr milliseconds first_pause {10};
constexpr milliseconds longest_pause {500};
constexpr std::uint16_t most_retries = 5;

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

void attempt_tracker::on_batch(std::string const& peer, protocol::outcome_batch& batch,
                               base::steady_time now)
{
    this->parts.sender.send(peer, protocol::outcome_ack {batch.agent.incarnation, batch.batch_id});
    for (auto const& use : batch.uses)
        this->parts.endpoints.update_use(batch.agent, use, now);
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
    if (refused_by_agent(outcome)) {
        ++this->parts.counters.refused_starts;
        ++job.refused_starts;
        this->parts.endpoints.mark_full(endpoint);
    }
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
    this->parts.endpoints.record_outcome(open.endpoint, open.slots);
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

} // namespace greengagehead::entry
