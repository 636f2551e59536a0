// End of a job: completion, failure, cancellation, deadline, and replies.

#include <algorithm>
#include <chrono>
#include <memory>
#include <utility>
#include <variant>
#include <vector>

#include "base/log_record.h"
#include "entry/entry_components.h"
#include "entry/job_lifecycle.h"
#include "protocol/job_json.h"

namespace greengagehead::entry {

namespace {

using protocol::job_state;
using protocol::ran_extent;
using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Wait for the outcomes of cancelled tasks, so that the answer can say what has run.
constexpr milliseconds stop_grace {500};
constexpr milliseconds refused_retry_after {500};
/// Pause before an agent that has not confirmed the end of a run is asked for it again.
constexpr milliseconds confirmation_interval {250};
/// Longest wait for control when a claim was given up.
constexpr milliseconds claim_lookup_timeout {500};
/// A submission that is resent to the same entry within this time gets the same answer.
constexpr milliseconds ephemeral_retention {5000};

bool still_waits(waiter const& caller)
{
    return caller.has_left && !caller.has_left();
}

} // namespace

void job_lifecycle::attach(job& job, waiter caller, base::steady_time now)
{
    // It is not known yet whether another entry owns the submission.
    if (job.phase == job_phase::abandoned && !job.claim_committed)
        return deliver_unknown(caller, job.answer, *job.failure);
    if (job.is_final())
        return deliver(caller, job.answer, job.decisions.to_json(job.submitted));
    if (caller.wait_until <= now || this->waiting_disabled)
        return deliver(caller, current_answer(job), job.decisions.to_json(job.submitted));
    this->add_timer(job, timer_kind::waiter, caller.wait_until);
    job.waiters.push_back(std::move(caller));
}

void job_lifecycle::cancel(job& job, base::steady_time now)
{
    base::error failure {base::error_code::refused, base::error_step::run, {}, "cancelled"};
    if (job.phase == job_phase::claiming) {
        // Another entry may own the submission and run it; only the claim shows that.
        job.cancel_requested = true;
        if (job.claim_committed)
            this->abandon(job, job_state::cancelled, std::move(failure), now);
        return;
    }
    if (job.phase != job_phase::running)
        return;
    job.record_decision({now, decision_kind::cancelled, -1, 0, {}, {}, 0});
    this->stop(job, job_state::cancelled, std::move(failure), now);
}

void job_lifecycle::cancel_submission(job& job, base::steady_time now)
{
    if (job.abandoned()) {
        job.failure->code = base::error_code::refused;
        job.answer.failure = job.failure;
    }
    this->cancel(job, now);
}

void job_lifecycle::stop_abandoned(job& job, base::steady_time now)
{
    if (!job.ephemeral || job.phase != job_phase::running)
        return;
    if (now < job.wanted_until)
        return this->add_timer(job, timer_kind::abandoned_check, job.wanted_until);
    base::log_record(base::log_event::job_abandoned)
        .with("job", job.id)
        .with("submission", job.submission);
    job.record_decision({now, decision_kind::cancelled, -1, 0, {}, "every caller has left", 0});
    this->stop(job, job_state::cancelled,
               {base::error_code::abandoned, base::error_step::run, {}, "every caller has left"},
               now);
}

void job_lifecycle::stop_for_other_entry(job& job, std::string const& entry,
                                         std::string const& reason, base::steady_time now)
{
    if (job.phase != job_phase::running)
        return;
    base::log_record(base::log_event::job_abandoned)
        .with("job", job.id)
        .with("submission", job.submission)
        .with("entry", entry);
    job.record_decision({now, decision_kind::cancelled, -1, 0, entry, reason, 0});
    // Not cancelled: a caller that still waits sends the job again.
    this->stop(job, job_state::failed,
               {base::error_code::abandoned, base::error_step::run, entry, reason}, now);
}

void job_lifecycle::extend_deadline(job& job, base::steady_time time)
{
    if (job.phase != job_phase::running || time <= job.deadline)
        return;
    job.deadline = time;
    this->add_timer(job, timer_kind::job_deadline, time);
    this->components.resubmitted.announce(job);
}

void job_lifecycle::on_timer(timer const& due, base::steady_time now)
{
    auto* job = this->components.jobs.find(due.job);
    if (job == nullptr)
        return;
    switch (due.kind) {
    case timer_kind::abandoned_check:
        if (!std::any_of(job->waiters.begin(), job->waiters.end(), still_waits))
            this->stop_abandoned(*job, now);
        return;
    case timer_kind::job_deadline:
        if (now >= job->deadline)
            this->on_deadline(*job, now);
        return;
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
            job->record_decision({now, decision_kind::copy_missing, -1, 0, job->backup, {}, 0});
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
        return this->answer_expired_waiters(*job, now);
    case timer_kind::answer_expired:
        if (!job->unconfirmed.empty()
            && now < job->submitted + this->components.settings.answer_retention)
            return this->add_timer(*job, timer_kind::answer_expired, now + ephemeral_retention);
        return this->components.jobs.remove(*job);
    case timer_kind::unconfirmed_check:
        return this->check_unconfirmed(*job, now);
    default:
        return;
    }
}

void job_lifecycle::abandon(job& job, job_state state, base::error failure, base::steady_time now)
{
    job.record_decision({now, decision_kind::claim_given_up, -1, 0, {}, failure.message, 0});
    job.final_state = state;
    job.failure = std::move(failure);
    job.answer = make_answer(job);
    job.answer.ran = ran_extent::none;
    if (state == job_state::refused)
        job.answer.retry_after = refused_retry_after;
    job.phase = job_phase::abandoned;
    job.content.reset();
    this->components.jobs.record_finished();
    ++this->components.counters.jobs_refused;
    this->components.accounts.record_refusal(job.team, policy::refusal_cause::other);
    base::log_record(base::log_event::job_refused)
        .with("job", job.id)
        .with("team", job.team)
        .with("reason", job.failure->message);
    // The claim was committed while the job waited for the backup, and is finished at once.
    if (job.claim_committed) {
        if (!std::exchange(job.finish_sent, true))
            this->components.claims.finish({job.id, job.epoch, state, ran_extent::none});
        return this->answer_waiters(job);
    }
    this->answer_given_up(job, now);
}

void job_lifecycle::answer_given_up(job& job, base::steady_time now)
{
    auto const callers = std::make_shared<std::vector<waiter>>(std::move(job.waiters));
    job.waiters.clear();
    auto const reply = [callers, answer = job.answer](bool has_not_run) {
        for (auto const& caller : *callers) {
            if (has_not_run)
                deliver(caller, answer, "[]");
            else
                deliver_unknown(caller, answer, *answer.failure);
        }
    };
    // The caller may have sent the same submission to another entry before. "Not run" is only true
    // when that one has neither claimed it nor is about to. Entries alone can't tell: the one that
    // has run it may have been restarted, or is missing from an old view.
    auto const has_copy = this->components.copies.find(job.id) != nullptr;
    this->components.control.request(
        protocol::read_claim {job.id}, claim_lookup_timeout,
        [this, reply, id = job.id, has_copy](protocol::control_result const& result,
                                             base::steady_time later) {
            auto const* const lookup = std::get_if<protocol::claim_lookup>(&result);
            if (lookup == nullptr || has_copy || this->may_have_run(*lookup))
                return reply(false);
            this->components.remote.query_all_entries(id, reply, later);
        },
        now);
}

bool job_lifecycle::may_have_run(protocol::claim_lookup const& lookup) const
{
    if (!lookup.claim)
        return lookup.expired;
    auto const& claim = *lookup.claim;
    bool const refused = claim.finished && claim.state == job_state::refused;
    // A claim of this entry that was granted late starts nothing, unless it was taken over.
    bool const granted_late = claim.owner == this->components.settings.id && claim.epoch == 1;
    return !refused && !granted_late;
}

void job_lifecycle::on_deadline(job& job, base::steady_time now)
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

void job_lifecycle::refuse_unstarted(job& job, base::steady_time now)
{
    if (job.may_have_run_before)
        return this->stop_for_other_entry(job, {}, "no endpoint had room in time for the target",
                                          now);
    job.final_state = job_state::refused;
    job.failure = base::error {base::error_code::unavailable,
                               base::error_step::placement,
                               {},
                               "no endpoint had room in time for the target"};
    ++this->components.counters.jobs_refused;
    this->components.accounts.record_refusal(job.team, policy::refusal_cause::target_missed);
    this->finalize(job, now);
}

void job_lifecycle::answer_all_waiters(base::steady_time now)
{
    this->waiting_disabled = true;
    std::vector<std::uint64_t> jobs_with_waiters;
    for (auto const& [number, job] : this->components.jobs.all()) {
        if (!job->is_final() && !job->waiters.empty())
            jobs_with_waiters.push_back(number);
    }
    for (auto const number : jobs_with_waiters) {
        if (auto* job = this->components.jobs.find(number))
            this->answer_before_shutdown(*job, now);
    }
}

void job_lifecycle::answer_before_shutdown(job& job, base::steady_time now)
{
    if (job.ephemeral && job.phase == job_phase::running && job.nothing_started())
        return this->refuse_unstarted(job, now);
    for (auto& caller : job.waiters)
        caller.wait_until = now;
    this->answer_expired_waiters(job, now);
}

void job_lifecycle::complete(job& job, base::steady_time now)
{
    job.final_state = job_state::complete;
    this->finalize(job, now);
}

void job_lifecycle::fail(job& job, base::error failure, base::steady_time now)
{
    if (job.phase == job_phase::running)
        this->stop(job, job_state::failed, std::move(failure), now);
}

void job_lifecycle::stop(job& job, job_state state, base::error failure, base::steady_time now)
{
    job.phase = job_phase::stopping;
    job.final_state = state;
    job.failure = std::move(failure);
    for (std::uint32_t i = 0; i < job.tasks.size(); ++i) {
        this->components.dispatch.withdraw(job, i);
        this->components.attempts.cancel_attempts(job, i);
    }
    this->add_timer(job, timer_kind::cancel_grace, now + stop_grace);
    this->end_if_stopped(job, now);
}

void job_lifecycle::end_if_stopped(job& job, base::steady_time now)
{
    if (job.phase == job_phase::stopping && job.awaited == 0)
        this->finalize(job, now);
}

void job_lifecycle::finalize(job& job, base::steady_time now)
{
    job.answer = make_answer(job);
    if (job.final_state == job_state::refused)
        job.answer.retry_after = refused_retry_after;
    job.phase = job_phase::publishing;
    if (job.ephemeral)
        this->record_unconfirmed_runs(job, now);
    for (std::uint32_t i = 0; i < job.tasks.size(); ++i) {
        auto& task = job.tasks[i];
        this->components.dispatch.withdraw(job, i);
        this->components.attempts.cancel_attempts(job, i);
        task.uncertain = task.uncertain || !task.attempts.empty();
        while (!task.attempts.empty())
            this->components.attempts.close(job, task, task.attempts.front(), task.expected);
    }
    if (job.backup.empty())
        return this->publish(job, now);
    this->components.sender.send(job.backup, protocol::job_finished_copy {job.epoch, job.answer});
    this->add_timer(job, timer_kind::finished_copy_timeout,
                    now + this->components.settings.copy_timeout);
}

void job_lifecycle::record_unconfirmed_runs(job& job, base::steady_time now)
{
    for (std::uint32_t i = 0; i < job.tasks.size(); ++i) {
        for (auto const& open : job.tasks[i].attempts)
            job.unconfirmed.push_back({i, open.number, open.agent, now});
    }
    if (job.unconfirmed.empty())
        return;
    job.unconfirmed_announced = now;
    this->components.resubmitted.announce(job);
    this->add_timer(job, timer_kind::unconfirmed_check, now + confirmation_interval);
}

void job_lifecycle::check_unconfirmed(job& job, base::steady_time now)
{
    // The machine of a replaced agent has been heard again.
    std::erase_if(job.unconfirmed, [this, now](auto const& run) {
        auto const& agent = this->components.agents.at(run.agent);
        return agent.replaced && now >= agent.runs_end_by();
    });
    if (job.unconfirmed.empty())
        return;
    for (auto const& run : job.unconfirmed) {
        auto const& agent = this->components.agents.at(run.agent);
        if (agent.replaced || agent.silent)
            continue;
        // A start that arrives after the cancellation is refused, so the answer to the query is
        // final.
        this->components.outbox.add_cancel(run.agent, {{job.id, run.index}, run.attempt});
        this->components.outbox.add_query(run.agent, job.id, job.epoch);
    }
    if (now - job.unconfirmed_announced >= policy::unconfirmed_announcement / 2) {
        job.unconfirmed_announced = now;
        this->components.resubmitted.announce(job);
    }
    this->add_timer(job, timer_kind::unconfirmed_check, now + confirmation_interval);
}

void job_lifecycle::adopt_answer(job& job, protocol::job_answer const& answer,
                                 base::steady_time now)
{
    job.answer = answer;
    job.final_state = answer.state;
    job.phase = job_phase::publishing;
    this->publish(job, now);
}

void job_lifecycle::on_finished_ack(protocol::job_finished_ack const& ack, base::steady_time now)
{
    auto* job = this->components.jobs.find(ack.job);
    if (job != nullptr && job->phase == job_phase::publishing && job->epoch == ack.epoch)
        this->publish(*job, now);
}

void job_lifecycle::publish(job& job, base::steady_time now)
{
    // Another entry may own the job by now and give a different answer.
    if (!job.claim_committed)
        return;
    job.phase = job_phase::finished;
    job.record_decision({now,
                         decision_kind::finished,
                         -1,
                         0,
                         {},
                         std::string(protocol::to_string(job.answer.state)),
                         0});
    if (job.ephemeral) {
        this->add_timer(job, timer_kind::answer_expired, now + ephemeral_retention);
    } else {
        job.finish_sent = true;
        this->components.claims.finish({job.id, job.epoch, job.answer.state, job.answer.ran});
    }
    auto const complete = job.answer.state == job_state::complete;
    ++(complete ? this->components.counters.jobs_complete : this->components.counters.jobs_failed);
    this->components.jobs.record_finished();
    base::log_record(base::log_event::job_finished)
        .with("job", job.id)
        .with("team", job.team)
        .with("submission", job.submission)
        .with("state", protocol::to_string(job.answer.state))
        .with("ran", protocol::to_string(job.answer.ran))
        .with("age", duration_cast<microseconds>(now - job.submitted))
        .with("refused_starts", job.refused_starts);
    job.content.reset();
    job.tasks.clear();
    job.tasks.shrink_to_fit();
    this->answer_waiters(job);
}

void job_lifecycle::on_finish_committed(std::string const& id, base::steady_time now)
{
    auto* job = this->components.jobs.find(id);
    if (job == nullptr || !job->finish_sent || !job->is_final())
        return;
    // A refused submission may be claimed again, so its job is not retained.
    if (job->answer.state == job_state::refused)
        return this->drop(*job);
    job->finish_committed = true;
    job->phase = job_phase::finished;
    this->components.jobs.retain_finished(*job, now);
}

void job_lifecycle::answer_waiters(job& job)
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

void job_lifecycle::answer_expired_waiters(job& job, base::steady_time now)
{
    std::vector<waiter> expired;
    for (auto it = job.waiters.begin(); it != job.waiters.end();) {
        if (it->wait_until > now) {
            ++it;
            continue;
        }
        expired.push_back(std::move(*it));
        it = job.waiters.erase(it);
    }
    if (expired.empty())
        return;
    auto const answer = job.is_final() ? job.answer : current_answer(job);
    auto const explanation = job.decisions.to_json(job.submitted);
    for (auto const& caller : expired)
        deliver(caller, answer, explanation);
}

} // namespace greengagehead::entry
