// Start of a job: submission, admission, claim, copy and queueing.

#include "entry/job_lifecycle.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "base/log_record.h"
#include "entry/entry_components.h"
#include "entry/job_id.h"

namespace greengagehead::entry {

namespace {

using protocol::job_state;
using protocol::ran_extent;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr milliseconds claim_retry_pause {50};
constexpr milliseconds refusal_lookup_timeout {1000};
constexpr milliseconds shutdown_retry_after {1000};
/// The other entries have mostly agreed on who has left by then.
constexpr milliseconds unclaimed_retry_after {1000};
/// Assumed run time of a job during a shutdown, relative to the estimate: its tasks may have to
/// wait or run again.
constexpr int shutdown_time_percent = 150;
constexpr milliseconds shutdown_margin {100};
constexpr std::size_t decisions_per_job = 200;
constexpr std::size_t decisions_per_task = 6;

protocol::job_answer answer_for(std::string const& id, std::string const& team,
                                std::string const& submission)
{
    protocol::job_answer answer;
    answer.job = id;
    answer.team = team;
    answer.submission = submission;
    return answer;
}

base::error conflict_error()
{
    return {base::error_code::conflict,
            base::error_step::claim,
            {},
            "the submission already exists with different content"};
}

/// Time from the arrival of a job to its target; empty if it has only its deadline.
std::optional<microseconds> target_of(protocol::job_request const& request, microseconds longest)
{
    if (request.target_stretch_percent == 0)
        return std::nullopt;
    return longest * request.target_stretch_percent / 100 + request.target_extra;
}

base::error expired_error()
{
    return {base::error_code::expired,
            base::error_step::claim,
            {},
            "submission_expired: the submission is too old"};
}

} // namespace

job_lifecycle::job_lifecycle(entry_components& shared) : components(shared) { }

void job_lifecycle::submit(protocol::job_request request, waiter caller, base::steady_time now)
{
    auto const id = this->job_id_for(request);
    // The id of an ephemeral submission identifies it; a digest would not be used.
    auto digest = request.ephemeral ? std::string() : content_digest(request);
    auto* const resubmitted = this->components.jobs.find(id);
    bool const abandoned = resubmitted != nullptr && resubmitted->abandoned();
    if (resubmitted != nullptr && !abandoned) {
        if (resubmitted->digest == digest || resubmitted->digest.empty())
            return this->attach(*resubmitted, std::move(caller), now);
        auto answer = answer_for(id, request.team, request.submission);
        answer.failure = conflict_error();
        return caller.on_submit({submit_reply::kind::conflict, std::move(answer)});
    }
    auto const& team = this->components.teams.settings_for(request.team);
    auto deadline = request.deadline;
    if (deadline.count() == 0)
        deadline = team.deadline.count() != 0 ? team.deadline
                                              : this->components.settings.default_deadline;
    if (request.ephemeral) {
        request.deadline = deadline;
        auto const key = job_id_of(request.team, request.submission);
        if (this->components.resubmitted.take(request, caller, key, abandoned, now))
            return;
        auto const arrived = caller.arrived.value_or(now);
        auto const sent = std::min(this->components.resubmitted.earliest_sent(now), arrived);
        return this->claim_or_refuse({key,
                                      id,
                                      std::move(request),
                                      std::move(caller),
                                      arrived,
                                      sent,
                                      now + deadline,
                                      {},
                                      {},
                                      {},
                                      false},
                                     now);
    }
    this->count_arrival(request, now);
    if (auto const refusal = this->check_admission(request, deadline, now))
        return this->refuse(request, id, std::move(caller), *refusal, now);
    auto& added = this->add_job(id, std::move(request), std::move(caller), now + deadline, now);
    added.digest = std::move(digest);
    added.earliest_sent = now;
    added.claim_deadline = std::min(added.deadline, now + this->components.settings.claim_timeout);
    this->add_timer(added, timer_kind::claim_timeout, added.claim_deadline);
    added.backup = this->choose_backup();
    this->send_claim(added, now);
    this->send_copy(added, now);
}

void job_lifecycle::claim_or_refuse(unstarted_submission submission, base::steady_time now)
{
    if (!std::exchange(submission.caller.counted, true))
        this->count_arrival(submission.request, now);
    auto const refusal = this->check_submission(submission, submission.latest_start, now);
    if (refusal && this->hold_for_recovery(submission, now))
        return;
    if (refusal)
        return this->refuse_ephemeral(std::move(submission), *refusal, now);
    this->components.submission_consent.begin(std::move(submission), now);
}

std::optional<policy::refusal>
job_lifecycle::check_submission(unstarted_submission const& submission,
                                base::steady_time& latest_start, base::steady_time now)
{
    auto const& request = submission.request;
    auto const remaining = std::chrono::ceil<milliseconds>(submission.deadline - now);
    auto refusal = this->check_admission(request, remaining, now);
    auto const arrived = submission.caller.arrived.value_or(now);
    auto target = this->make_target_request(request, remaining, arrived, now);
    if (this->components.settings.fair_accounts)
        target.standing = this->components.accounts.standing(request.team, now);
    if (!refusal)
        refusal = this->check_loop_delay(request, now);
    if (!refusal)
        refusal = policy::check_target(target, this->components.endpoints,
                                       this->components.ephemeral_queue, now);
    if (!refusal)
        latest_start = target.latest_start;
    return refusal;
}

std::optional<policy::refusal> job_lifecycle::check_loop_delay(protocol::job_request const& request,
                                                               base::steady_time now)
{
    if (!this->components.overload.behind())
        return std::nullopt;
    auto const run_time = this->longest_usual_time(request);
    auto const target_length = target_of(request, run_time);
    if (!target_length
        || !this->components.overload.misses(*target_length * policy::useful_target_multiple,
                                             run_time, now))
        return std::nullopt;
    return policy::make_refusal(base::error_code::unavailable,
                                "the target cannot be met: the entry runs behind its requests",
                                this->components.overload.next_retry_after(),
                                policy::refusal_cause::target_missed);
}

void job_lifecycle::admit(unstarted_submission submission, base::steady_time now)
{
    // The answer of an abandoned job serves nobody, and the submission gets a job of its own.
    if (auto* const abandoned = this->components.jobs.find(submission.job))
        this->drop(*abandoned);
    auto& added = this->add_job(submission.job, std::move(submission.request),
                                std::move(submission.caller), submission.deadline, now);
    added.key = std::move(submission.key);
    added.latest_start = submission.latest_start;
    added.submitted = submission.was_held ? now : submission.submitted;
    added.earliest_sent = submission.earliest_sent;
    added.claim_committed = true;
    added.copy_settled = true;
    added.consent_pending = true;
    added.may_have_run_before = submission.was_held;
    this->start_if_ready(added, now);
}

void job_lifecycle::start_claimed(job& job, base::steady_time now)
{
    job.consent_pending = false;
    this->components.resubmitted.record_admitted(job);
    this->add_timer(job, timer_kind::announcement, now + policy::announcement_age);
    this->enqueue_waiting(job);
    this->components.dispatch.run(now);
}

void job_lifecycle::refuse_unclaimed(unstarted_submission submission, std::string const& reason,
                                     base::steady_time now)
{
    this->refuse_ephemeral(
        std::move(submission),
        policy::make_refusal(base::error_code::unavailable, reason, unclaimed_retry_after), now);
}

void job_lifecycle::refuse_ephemeral(unstarted_submission submission,
                                     policy::refusal const& refusal, base::steady_time now)
{
    auto const& request = submission.request;
    auto const& id = submission.job;
    if (!submission.was_held)
        return this->refuse(request, id, std::move(submission.caller), refusal, now);
    this->components.resubmitted.announce_end(submission.key);
    // An earlier start of the submission may have run.
    deliver_unknown(submission.caller, answer_for(id, request.team, request.submission),
                    refusal.reason);
}

job& job_lifecycle::add_job(std::string const& id, protocol::job_request request, waiter caller,
                            base::steady_time deadline, base::steady_time now)
{
    auto& added = this->components.jobs.add(id);
    added.team = request.team;
    added.ephemeral = request.ephemeral;
    added.submission = request.submission;
    added.submitted = now;
    added.callers_seen_at = now;
    added.deadline = deadline;
    added.content = std::make_shared<protocol::job_request const>(std::move(request));
    added.decisions.set_limit(decisions_per_job + decisions_per_task * added.content->tasks.size());
    this->prepare_tasks(added);
    added.waiters.push_back(std::move(caller));
    this->add_timer(added, timer_kind::waiter, added.waiters.back().wait_until);
    this->add_timer(added, timer_kind::job_deadline, added.deadline);
    ++this->components.counters.jobs_accepted;
    added.record_decision({now, decision_kind::admitted, -1, 0, {}, {}, 0});
    base::log_record(base::log_event::job_accepted)
        .with("job", added.id)
        .with("team", added.team)
        .with("submission", added.submission)
        .with("tasks", added.tasks.size());
    return added;
}

std::optional<policy::refusal> job_lifecycle::check_admission(protocol::job_request const& request,
                                                              milliseconds deadline,
                                                              base::steady_time now)
{
    if (this->shutdown_end) {
        auto const needed = this->longest_task(request) * shutdown_time_percent / 100;
        if (this->waiting_disabled || now + needed + shutdown_margin > *this->shutdown_end)
            return policy::make_refusal(base::error_code::unavailable, "the entry is shutting down",
                                        shutdown_retry_after, policy::refusal_cause::shutting_down);
    }
    policy::admission_limits limits;
    limits.team_tasks = this->components.teams.settings_for(request.team).queue_limit;
    return policy::check_admission(request, deadline, limits, this->components.endpoints,
                                   this->components.queue, this->components.estimator);
}

policy::slot_time job_lifecycle::expected_work(protocol::job_request const& request)
{
    policy::slot_time work {0};
    for (auto const& task : request.tasks)
        work += this->expected_time(request, task) * task.slots;
    return work;
}

microseconds job_lifecycle::longest_task(protocol::job_request const& request)
{
    microseconds longest {0};
    for (auto const& task : request.tasks)
        longest = std::max(longest, this->expected_time(request, task));
    return longest;
}

void job_lifecycle::count_arrival(protocol::job_request const& request, base::steady_time now)
{
    auto const work = this->expected_work(request);
    this->components.accounts.record_asked(request.team, work, now);
    this->components.shares.record_arrival(work, now);
}

microseconds job_lifecycle::expected_time(protocol::job_request const& request,
                                          protocol::task_request const& task)
{
    auto const declared = this->components.teams.declared_time(request.team, task);
    if (this->components.uses_speeds())
        return this->components.learner.estimate(request.team, task.kind, declared).typical;
    return this->components.estimator.estimate(request.team, task.kind, declared).typical;
}

microseconds job_lifecycle::usual_time(protocol::job_request const& request,
                                       protocol::task_request const& task)
{
    // With learned speeds, jobs of a kind have the same time to start. If it grew with the declared
    // time, long jobs would be admitted in place of several short ones above capacity.
    if (this->components.uses_speeds()) {
        auto const usual
            = this->components.learner.estimate(request.team, task.kind, microseconds(0));
        if (usual.samples > 0)
            return usual.typical;
    }
    return this->expected_time(request, task);
}

microseconds job_lifecycle::longest_usual_time(protocol::job_request const& request)
{
    microseconds longest {0};
    for (auto const& task : request.tasks)
        longest = std::max(longest, this->usual_time(request, task));
    return longest;
}

policy::target_request job_lifecycle::make_target_request(protocol::job_request const& request,
                                                          milliseconds deadline,
                                                          base::steady_time arrived,
                                                          base::steady_time now)
{
    policy::target_request target;
    target.job = &request;
    target.work = this->expected_work(request);
    auto const longest = this->longest_usual_time(request);
    auto const needed = longest * (100 + speed_margin_percent) / 100;
    auto target_time = std::chrono::duration_cast<microseconds>(deadline);
    if (auto const target_length = target_of(request, longest)) {
        auto const waited = std::chrono::duration_cast<microseconds>(now - arrived);
        bool const target_missed = waited.count() > 0 && *target_length - waited < needed;
        // A held request that misses its target has until its answer is of no use. It must not
        // delay those that arrive now, whose answers are worth more.
        auto const usable_length
            = target_missed ? *target_length * policy::useful_target_multiple : *target_length;
        target_time = std::min(target_time, usable_length - waited);
        target.too_late = target_missed && target_time < needed;
    }
    target.latest_start = now + std::max(target_time - needed, microseconds(0));
    return target;
}

base::steady_time job_lifecycle::useful_until(unstarted_submission const& submission)
{
    auto const& request = submission.request;
    auto const target_length = target_of(request, this->longest_usual_time(request));
    if (!target_length)
        return submission.deadline;
    return std::min(submission.deadline,
                    submission.submitted + *target_length * policy::useful_target_multiple);
}

std::string job_lifecycle::job_id_for(protocol::job_request const& request) const
{
    if (request.ephemeral)
        return ephemeral_job_id(request.team, request.submission, this->components.settings.id);
    return job_id_of(request.team, request.submission);
}

void job_lifecycle::prepare_tasks(job& job)
{
    job.tasks.resize(job.content->tasks.size());
    job.unfinished = job.tasks.size();
    for (std::size_t i = 0; i < job.tasks.size(); ++i) {
        job.tasks[i].expected = this->expected_time(*job.content, job.content->tasks[i]);
        job.longest = std::max(job.longest, job.tasks[i].expected);
    }
}

void job_lifecycle::add_timer(job const& job, timer_kind kind, base::steady_time due_at)
{
    this->components.timers.add({due_at, kind, job.number, 0, 0});
}

void job_lifecycle::refuse(protocol::job_request const& request, std::string const& id,
                           waiter caller, policy::refusal const& refusal, base::steady_time now)
{
    auto answer = answer_for(id, request.team, request.submission);
    answer.state = job_state::refused;
    answer.ran = ran_extent::none;
    answer.failure = refusal.reason;
    answer.retry_after = refusal.retry_after;
    if (request.ephemeral) {
        ++this->components.counters.jobs_refused;
        this->components.accounts.record_refusal(answer.team, refusal.cause);
        base::log_record(base::log_event::job_refused)
            .with("job", answer.job)
            .with("team", answer.team)
            .with("submission", answer.submission)
            .with("reason", answer.failure->message);
        return deliver(caller, answer, "[]");
    }
    // "Not run" is only true when no entry has accepted the same submission before.
    auto shared_caller = std::make_shared<waiter>(std::move(caller));
    this->components.control.request(
        protocol::read_claim {id}, refusal_lookup_timeout,
        [this, shared_caller, answer, cause = refusal.cause](protocol::control_result const& result,
                                                             base::steady_time later) {
            auto const* lookup = std::get_if<protocol::claim_lookup>(&result);
            if (lookup == nullptr)
                return deliver_unknown(
                    *shared_caller, answer,
                    {base::error_code::unavailable,
                     base::error_step::admission,
                     {},
                     "control did not answer whether the submission is claimed"});
            auto const& claim = lookup->claim;
            if (claim && !(claim->finished && claim->state == job_state::refused))
                return this->components.remote.attach(answer.job, claim, std::move(*shared_caller),
                                                      false, later);
            ++this->components.counters.jobs_refused;
            this->components.accounts.record_refusal(answer.team, cause);
            auto refused = answer;
            if (lookup->expired) {
                // Its tasks may have run, so "not run" would be false.
                refused.failure = expired_error();
                refused.ran = ran_extent::unknown;
                refused.retry_after = milliseconds(0);
            }
            base::log_record(base::log_event::job_refused)
                .with("job", refused.job)
                .with("team", refused.team)
                .with("reason", refused.failure->message);
            deliver(*shared_caller, refused, "[]");
        },
        now);
}

std::string job_lifecycle::choose_backup() const
{
    auto const& settings = this->components.settings;
    std::vector<protocol::live_entry const*> same_zone;
    std::vector<protocol::live_entry const*> other_zones;
    for (auto const& entry : this->components.leases.applied().entries) {
        if (entry.id.name != settings.id.name)
            (entry.zone == settings.zone ? same_zone : other_zones).push_back(&entry);
    }
    auto const& choices = other_zones.empty() ? same_zone : other_zones;
    if (choices.empty())
        return {};
    return choices[this->components.counters.jobs_accepted % choices.size()]->id.name;
}

void job_lifecycle::send_claim(job& job, base::steady_time now)
{
    protocol::job_claim claim;
    claim.job = job.id;
    claim.digest = job.digest;
    claim.team = job.team;
    claim.submission = job.submission;
    claim.owner = this->components.settings.id;
    claim.backup = job.backup;
    claim.epoch = job.epoch;
    claim.deadline = std::chrono::duration_cast<milliseconds>(job.deadline - job.submitted);
    job.record_decision({now, decision_kind::claim_asked, -1, 0, job.backup, {}, 0});
    this->components.claims.claim(std::move(claim));
}

void job_lifecycle::send_copy(job& job, base::steady_time now)
{
    if (job.backup.empty()) {
        job.copy_settled = true;
        return;
    }
    this->components.sender.send(
        job.backup,
        protocol::job_copy {job.id, this->components.settings.id, job.epoch, *job.content});
    this->add_timer(job, timer_kind::copy_timeout, now + this->components.settings.copy_timeout);
}

void job_lifecycle::on_claim_decided(std::string const& id, protocol::claim_result const& result,
                                     base::steady_time now)
{
    auto* job = this->components.jobs.find(id);
    if (job == nullptr || job->claim_committed)
        return;
    auto const& claim = result.claim;
    switch (result.status) {
    case protocol::claim_status::granted:
        return this->on_owned(*job, claim, now);
    case protocol::claim_status::existing:
        if (claim.owner == this->components.settings.id && !claim.finished) {
            // The job came here by a takeover whose notice has not arrived yet.
            this->components.takeovers.on_notice({this->components.settings.id, {claim}, 0}, now);
            job = this->components.jobs.find(id);
            // A recovery that has just started confirms the ownership. One that had started before
            // does not, when the ownership has come into doubt since.
            if (job == nullptr || job->claim_committed)
                return;
            return this->on_owned(*job, claim, now);
        }
        return this->on_owned_elsewhere(*job, claim, now);
    case protocol::claim_status::digest_conflict:
        return this->end_without_claim(*job, submit_reply::kind::conflict, conflict_error(),
                                       ran_extent::unknown);
    case protocol::claim_status::expired:
        return this->end_without_claim(*job, submit_reply::kind::refused, expired_error(),
                                       ran_extent::unknown);
    case protocol::claim_status::not_live:
        this->components.leases.renew_soon();
        if (job->phase == job_phase::abandoned)
            return this->drop(*job);
        return this->add_timer(*job, timer_kind::claim_retry, now + claim_retry_pause);
    }
}

void job_lifecycle::on_claim_failed(std::string const& id, base::error const& /*failure*/,
                                    base::steady_time now)
{
    auto* job = this->components.jobs.find(id);
    if (job != nullptr && !job->claim_committed)
        this->add_timer(*job, timer_kind::claim_retry, now + claim_retry_pause);
}

void job_lifecycle::on_owned(job& job, protocol::job_claim const& claim, base::steady_time now)
{
    job.claim_committed = true;
    job.epoch = claim.epoch;
    job.record_decision({now, decision_kind::claimed, -1, 0, {}, {}, 0});
    if (job.phase == job_phase::abandoned) {
        job.finish_sent = true;
        return this->components.claims.finish(
            {job.id, job.epoch, job.final_state, ran_extent::none});
    }
    if (job.phase == job_phase::claiming && job.cancel_requested)
        return this->cancel(job, now);
    if (job.phase == job_phase::claiming)
        return this->start_if_ready(job, now);
    // Ownership was in doubt and is confirmed.
    job.record_decision({now, decision_kind::ownership_checked, -1, 0, {}, {}, 0});
    if (job.phase == job_phase::running)
        this->enqueue_waiting(job);
    else if (job.phase == job_phase::publishing)
        this->publish(job, now);
}

void job_lifecycle::on_owned_elsewhere(job& job, protocol::job_claim const& claim,
                                       base::steady_time now)
{
    auto waiters = std::move(job.waiters);
    auto const id = job.id;
    auto const cancel = job.cancel_requested;
    this->drop(job);
    for (auto& caller : waiters)
        this->components.remote.attach(id, claim, std::move(caller), cancel, now);
}

void job_lifecycle::end_without_claim(job& job, submit_reply::kind kind, base::error failure,
                                      ran_extent ran)
{
    auto answer = answer_for(job.id, job.team, job.submission);
    answer.state = job_state::refused;
    answer.ran = ran;
    answer.failure = std::move(failure);
    auto const waiters = std::move(job.waiters);
    this->drop(job);
    for (auto const& caller : waiters) {
        if (caller.on_submit)
            caller.on_submit({kind, answer});
        else
            caller.on_query({0, std::nullopt, {}});
    }
}

void job_lifecycle::drop(job& job)
{
    for (std::uint32_t i = 0; i < job.tasks.size(); ++i) {
        this->components.dispatch.withdraw(job, i);
        while (!job.tasks[i].attempts.empty())
            this->components.attempts.close(job, job.tasks[i], job.tasks[i].attempts.front(),
                                            job.tasks[i].expected);
    }
    if (job.phase != job_phase::finished && job.phase != job_phase::abandoned)
        this->components.jobs.record_finished();
    this->components.jobs.remove(job);
}

void job_lifecycle::on_copy_ack(protocol::job_copy_ack const& ack, base::steady_time now)
{
    auto* job = this->components.jobs.find(ack.job);
    if (job == nullptr || job->copy_settled)
        return;
    job->copy_settled = true;
    job->record_decision({now, decision_kind::copied, -1, 0, job->backup, {}, 0});
    this->start_if_ready(*job, now);
}

void job_lifecycle::start_if_ready(job& job, base::steady_time now)
{
    if (job.phase != job_phase::claiming || !job.claim_committed || !job.copy_settled)
        return;
    job.phase = job_phase::running;
    for (std::size_t i = 0; i < job.tasks.size(); ++i) {
        this->components.teams.retries(job.team).record_first_attempt();
        this->components.teams.hedges(job.team).record_first_attempt();
    }
    // With an empty queue its tasks would be taken at once, and put back.
    if (job.consent_pending && this->components.ephemeral_queue.size() == 0)
        return;
    this->enqueue_waiting(job);
    this->components.dispatch.run(now);
}

void job_lifecycle::enqueue_waiting(job& job)
{
    for (std::uint32_t i = 0; i < job.tasks.size(); ++i) {
        auto const must_wait
            = job.recovery_pending && !(job.content && job.content->tasks[i].idempotent);
        if (!job.tasks[i].done() && job.tasks[i].awaited() == 0 && !must_wait)
            this->components.dispatch.enqueue(job, i, false);
    }
}

void job_lifecycle::check_ownership(base::steady_time now)
{
    for (auto const& [number, owned] : this->components.jobs.all()) {
        if (!owned->claim_committed || owned->is_final() || owned->ephemeral)
            continue;
        owned->claim_committed = false;
        for (std::uint32_t i = 0; i < owned->tasks.size(); ++i)
            this->components.dispatch.withdraw(*owned, i);
        this->send_claim(*owned, now);
    }
}

} // namespace greengagehead::entry
