// Ends of a job: completion, failure, cancellation, deadline, and the replies.

#include <algorithm>
#include <chrono>
#include <utility>

#include "base/log_record.h"
#include "entry/entry_parts.h"
#include "entry/job_flow.h"
#include "protocol/job_json.h"

namespace greengagehead::entry {

namespace {

using protocol::job_state;
using protocol::ran_extent;
using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Time for the outcomes of stopped tasks, so that the answer can say what has run.
constexpr milliseconds stop_grace {500};
constexpr milliseconds refused_retry_after {500};
/// A submission that is resent to the same entry within this time gets the same answer.
constexpr milliseconds ephemeral_retention {5000};

} // namespace

void job_flow::attach(job& job, waiter caller, base::steady_time now)
{
    // Whether another entry owns the submission is not known yet.
    if (job.phase == job_phase::abandoned && !job.claim_committed)
        return deliver_unknown(caller, job.answer, *job.failure);
    if (job.is_final())
        return deliver(caller, job.answer, job.decisions.to_json(job.submitted));
    if (caller.until <= now || this->waits_ended)
        return deliver(caller, present_answer(job), job.decisions.to_json(job.submitted));
    this->add_timer(job, timer_kind::waiter, caller.until);
    job.waiters.push_back(std::move(caller));
}

void job_flow::cancel(job& job, base::steady_time now)
{
    base::error failure {base::error_code::refused, base::error_step::run, {}, "cancelled"};
    if (job.phase == job_phase::claiming) {
        // Another entry may own the submission and run it; only the claim can tell.
        job.cancel_requested = true;
        if (job.claim_committed)
            this->abandon(job, job_state::cancelled, std::move(failure), now);
        return;
    }
    if (job.phase != job_phase::running)
        return;
    job.note({now, decision_kind::cancelled, -1, 0, {}, {}, 0});
    this->stop(job, job_state::cancelled, std::move(failure), now);
}

void job_flow::on_timer(timer const& due, base::steady_time now)
{
    auto* job = this->parts.jobs.find(due.job);
    if (job == nullptr)
        return;
    switch (due.kind) {
    case timer_kind::job_deadline:
        return this->on_deadline(*job, now);
    case timer_kind::claim_retry:
        if (!job->claim_committed)
            this->send_claim(*job, now);
        return;
    case timer_kind::claim_timeout:
        if (job->phase == job_phase::claiming && !job->claim_committed)
            this->abandon(*job, job_state::refused,
                          {base::error_code::unavailable,
                           base::error_step::claim,
                           {},
                           "control did not confirm the job in time"},
                          now);
        return;
    case timer_kind::copy_timeout:
        if (!std::exchange(job->copy_settled, true))
            job->note({now, decision_kind::copy_missing, -1, 0, job->backup, {}, 0});
        return this->start_if_ready(*job, now);
    case timer_kind::finished_copy_timeout:
        if (job->phase == job_phase::publishing)
            this->publish(*job, now);
        return;
    case timer_kind::cancel_grace:
        if (job->phase == job_phase::stopping)
            this->finalize(*job, now);
        return;
    case timer_kind::waiter:
        return this->answer_late_waiters(*job, now);
    case timer_kind::forget:
        return this->parts.jobs.remove(*job);
    default:
        return;
    }
}

void job_flow::abandon(job& job, job_state state, base::error failure, base::steady_time now)
{
    job.note({now, decision_kind::claim_given_up, -1, 0, {}, failure.message, 0});
    job.final_state = state;
    job.failure = std::move(failure);
    job.answer = make_answer(job);
    job.answer.ran = ran_extent::none;
    if (state == job_state::refused)
        job.answer.retry_after = refused_retry_after;
    job.phase = job_phase::abandoned;
    job.content.reset();
    this->parts.jobs.note_finished();
    ++this->parts.counters.jobs_refused;
    base::log_record(base::log_event::job_refused)
        .with("job", job.id)
        .with("team", job.team)
        .with("reason", job.failure->message);
    // Granted while it waited for the backup: the claim exists and is finished at once.
    if (job.claim_committed) {
        if (!std::exchange(job.finish_sent, true))
            this->parts.claims.finish({job.id, job.epoch, state, ran_extent::none});
        return this->answer_waiters(job);
    }
    // The caller may have sent the same submission to another entry before. "Not run" is only
    // true when no other entry knows it, and without control those must be asked themselves.
    auto const held = this->parts.copies.find(job.id) != nullptr;
    this->parts.remote.ask_everyone(
        job.id,
        [this, answer = job.answer, held, waiters = std::move(job.waiters)](bool nobody_knows) {
            for (auto const& caller : waiters) {
                if (nobody_knows && !held)
                    deliver(caller, answer, "[]");
                else
                    deliver_unknown(caller, answer, *answer.failure);
            }
        },
        now);
    job.waiters.clear();
}

void job_flow::on_deadline(job& job, base::steady_time now)
{
    base::error failure {
        base::error_code::timeout, base::error_step::run, {}, "the job's deadline has passed"};
    if (job.phase == job_phase::claiming) {
        failure.step = base::error_step::claim;
        return this->abandon(job, job_state::refused, std::move(failure), now);
    }
    if (job.phase == job_phase::running) {
        job.final_state = job_state::failed;
        job.failure = std::move(failure);
    }
    if (job.phase == job_phase::running || job.phase == job_phase::stopping)
        this->finalize(job, now);
}

void job_flow::refuse_waiting(job& job, base::steady_time now)
{
    job.final_state = job_state::refused;
    job.failure = base::error {base::error_code::unavailable,
                               base::error_step::placement,
                               {},
                               "no endpoint had room in time for the target"};
    ++this->parts.counters.jobs_refused;
    this->finalize(job, now);
}

void job_flow::answer_all_waiters(base::steady_time now)
{
    this->waits_ended = true;
    std::vector<std::uint64_t> open;
    for (auto const& [number, job] : this->parts.jobs.all()) {
        if (!job->is_final() && !job->waiters.empty())
            open.push_back(number);
    }
    for (auto const number : open) {
        if (auto* job = this->parts.jobs.find(number))
            this->answer_before_end(*job, now);
    }
}

void job_flow::answer_before_end(job& job, base::steady_time now)
{
    if (job.ephemeral && job.phase == job_phase::running && job.untouched())
        return this->refuse_waiting(job, now);
    for (auto& caller : job.waiters)
        caller.until = now;
    this->answer_late_waiters(job, now);
}

void job_flow::complete(job& job, base::steady_time now)
{
    job.final_state = job_state::complete;
    this->finalize(job, now);
}

void job_flow::fail(job& job, base::error failure, base::steady_time now)
{
    if (job.phase == job_phase::running)
        this->stop(job, job_state::failed, std::move(failure), now);
}

void job_flow::stop(job& job, job_state state, base::error failure, base::steady_time now)
{
    job.phase = job_phase::stopping;
    job.final_state = state;
    job.failure = std::move(failure);
    for (std::uint32_t i = 0; i < job.tasks.size(); ++i) {
        this->parts.dispatch.withdraw(job, i);
        this->parts.attempts.cancel_attempts(job, i);
    }
    this->add_timer(job, timer_kind::cancel_grace, now + stop_grace);
    this->end_if_stopped(job, now);
}

void job_flow::end_if_stopped(job& job, base::steady_time now)
{
    if (job.phase == job_phase::stopping && job.awaited == 0)
        this->finalize(job, now);
}

void job_flow::finalize(job& job, base::steady_time now)
{
    job.answer = make_answer(job);
    if (job.final_state == job_state::refused)
        job.answer.retry_after = refused_retry_after;
    job.phase = job_phase::publishing;
    for (std::uint32_t i = 0; i < job.tasks.size(); ++i) {
        auto& task = job.tasks[i];
        this->parts.dispatch.withdraw(job, i);
        this->parts.attempts.cancel_attempts(job, i);
        task.uncertain = task.uncertain || !task.attempts.empty();
        while (!task.attempts.empty())
            this->parts.attempts.close(job, task, task.attempts.front(), task.expected);
    }
    if (job.backup.empty())
        return this->publish(job, now);
    this->parts.sender.send(job.backup, protocol::job_finished_copy {job.epoch, job.answer});
    this->add_timer(job, timer_kind::finished_copy_timeout,
                    now + this->parts.settings.copy_timeout);
}

void job_flow::adopt(job& job, protocol::job_answer const& answer, base::steady_time now)
{
    job.answer = answer;
    job.final_state = answer.state;
    job.phase = job_phase::publishing;
    this->publish(job, now);
}

void job_flow::on_finished_ack(protocol::job_finished_ack const& ack, base::steady_time now)
{
    auto* job = this->parts.jobs.find(ack.job);
    if (job != nullptr && job->phase == job_phase::publishing && job->epoch == ack.epoch)
        this->publish(*job, now);
}

void job_flow::publish(job& job, base::steady_time now)
{
    // Another entry may own the job by now and may answer otherwise.
    if (!job.claim_committed)
        return;
    job.phase = job_phase::finished;
    job.note({now,
              decision_kind::finished,
              -1,
              0,
              {},
              std::string(protocol::to_string(job.answer.state)),
              0});
    if (job.ephemeral) {
        this->add_timer(job, timer_kind::forget, now + ephemeral_retention);
    } else {
        job.finish_sent = true;
        this->parts.claims.finish({job.id, job.epoch, job.answer.state, job.answer.ran});
    }
    auto const complete = job.answer.state == job_state::complete;
    ++(complete ? this->parts.counters.jobs_complete : this->parts.counters.jobs_failed);
    this->parts.jobs.note_finished();
    base::log_record(base::log_event::job_finished)
        .with("job", job.id)
        .with("team", job.team)
        .with("state", protocol::to_string(job.answer.state))
        .with("ran", protocol::to_string(job.answer.ran))
        .with("age", duration_cast<microseconds>(now - job.submitted))
        .with("refused_starts", job.refused_starts);
    job.content.reset();
    job.tasks.clear();
    job.tasks.shrink_to_fit();
    this->answer_waiters(job);
}

void job_flow::on_finish_committed(std::string const& id, base::steady_time now)
{
    auto* job = this->parts.jobs.find(id);
    if (job == nullptr || !job->finish_sent || !job->is_final())
        return;
    // A refused claim may be claimed again, so nothing is kept of it here.
    if (job->answer.state == job_state::refused)
        return this->drop(*job);
    job->finish_committed = true;
    job->phase = job_phase::finished;
    this->parts.jobs.keep_finished(*job, now);
}

void job_flow::answer_waiters(job& job)
{
    if (job.waiters.empty())
        return;
    auto const waiters = std::move(job.waiters);
    job.waiters.clear();
    auto const explained = std::any_of(waiters.begin(), waiters.end(),
                                       [](auto const& caller) { return caller.explain; });
    auto const explanation = explained ? job.decisions.to_json(job.submitted) : std::string();
    for (auto const& caller : waiters)
        deliver(caller, job.answer, explanation);
}

void job_flow::answer_late_waiters(job& job, base::steady_time now)
{
    std::vector<waiter> late;
    for (auto it = job.waiters.begin(); it != job.waiters.end();) {
        if (it->until > now) {
            ++it;
            continue;
        }
        late.push_back(std::move(*it));
        it = job.waiters.erase(it);
    }
    if (late.empty())
        return;
    auto const answer = job.is_final() ? job.answer : present_answer(job);
    auto const explanation = job.decisions.to_json(job.submitted);
    for (auto const& caller : late)
        deliver(caller, answer, explanation);
}

} // namespace greengagehead::entry
