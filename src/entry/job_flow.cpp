// Transitions of a job: submission, claim and start.

#include "entry/job_flow.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "base/log_record.h"
#include "entry/entry_parts.h"
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
/// Time that a job may take in an entry that shuts down: its tasks may wait or run again.
constexpr int shutdown_time_percent = 150;
constexpr milliseconds shutdown_margin {100};
/// Endpoints differ in speed, and a start takes its way to the endpoint.
constexpr int speed_margin_percent = 15;
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
            "the submission exists with other content"};
}

base::error expired_error()
{
    return {base::error_code::expired,
            base::error_step::claim,
            {},
            "submission_expired: the submission is too old"};
}

} // namespace

job_flow::job_flow(entry_parts& all) : parts(all) { }

void job_flow::submit(protocol::job_request request, waiter caller, base::steady_time now)
{
    auto const id = this->id_of(request);
    // An ephemeral submission is known by its id alone: its digest would be used nowhere else.
    auto digest = request.ephemeral ? std::string() : content_digest(request);
    if (auto* known = this->parts.jobs.find(id)) {
        if (known->digest == digest || known->digest.empty())
            return this->attach(*known, std::move(caller), now);
        auto answer = answer_for(id, request.team, request.submission);
        answer.failure = conflict_error();
        return caller.on_submit({submit_reply::kind::conflict, std::move(answer)});
    }
    auto const& team = this->parts.teams.of(request.team);
    auto deadline = request.deadline;
    if (deadline.count() == 0)
        deadline
            = team.deadline.count() != 0 ? team.deadline : this->parts.settings.default_deadline;
    auto refusal = this->check_admission(request, deadline, now);
    auto const target = this->target_of(request, deadline, now);
    if (!refusal && request.ephemeral)
        refusal = policy::check_target(target, this->parts.endpoints, this->parts.urgent, now);
    if (refusal)
        return this->refuse(request, id, std::move(caller), *refusal, now);

    auto& added = this->parts.jobs.add(id);
    added.latest_start = target.latest_start;
    added.digest = std::move(digest);
    added.team = request.team;
    added.ephemeral = request.ephemeral;
    added.submission = request.submission;
    added.submitted = now;
    added.deadline = now + deadline;
    added.give_up_claim = std::min(added.deadline, now + this->parts.settings.claim_timeout);
    added.content = std::make_shared<protocol::job_request const>(std::move(request));
    added.decisions.set_limit(decisions_per_job + decisions_per_task * added.content->tasks.size());
    this->prepare_tasks(added);
    added.waiters.push_back(std::move(caller));
    this->add_timer(added, timer_kind::waiter, added.waiters.back().until);
    this->add_timer(added, timer_kind::job_deadline, added.deadline);
    ++this->parts.counters.jobs_accepted;
    added.note({now, decision_kind::admitted, -1, 0, {}, {}, 0});
    base::log_record(base::log_event::job_accepted)
        .with("job", id)
        .with("team", added.team)
        .with("submission", added.submission)
        .with("tasks", added.tasks.size());
    if (added.ephemeral) {
        added.claim_committed = true;
        added.copy_settled = true;
        return this->start_if_ready(added, now);
    }
    this->add_timer(added, timer_kind::claim_timeout, added.give_up_claim);
    added.backup = this->choose_backup();
    this->send_claim(added, now);
    this->send_copy(added, now);
}

std::optional<policy::refusal> job_flow::check_admission(protocol::job_request const& request,
                                                         milliseconds deadline,
                                                         base::steady_time now)
{
    if (this->shutdown_end) {
        auto const needed = this->longest_task(request) * shutdown_time_percent / 100;
        if (this->waits_ended || now + needed + shutdown_margin > *this->shutdown_end)
            return policy::make_refusal(base::error_code::unavailable, "the entry is shutting down",
                                        shutdown_retry_after);
    }
    policy::admission_limits limits;
    limits.team_tasks = this->parts.teams.of(request.team).queue_limit;
    return policy::check_admission(request, deadline, limits, this->parts.endpoints,
                                   this->parts.queue, this->parts.estimator);
}

microseconds job_flow::longest_task(protocol::job_request const& request)
{
    microseconds longest {0};
    for (auto const& task : request.tasks)
        longest = std::max(longest, this->expected_time(request, task));
    return longest;
}

microseconds job_flow::expected_time(protocol::job_request const& request,
                                     protocol::task_request const& task)
{
    auto declared = task.expected;
    if (declared.count() == 0)
        declared = this->parts.teams.kind(request.team, task.kind).expected;
    return this->parts.estimator.estimate(request.team, task.kind, declared).typical;
}

policy::target_request job_flow::target_of(protocol::job_request const& request,
                                           milliseconds deadline, base::steady_time now)
{
    policy::target_request target {&request, {}, now + deadline};
    auto const longest = this->longest_task(request);
    for (auto const& task : request.tasks)
        target.work += this->expected_time(request, task) * task.slots;
    auto wanted = std::chrono::duration_cast<microseconds>(deadline);
    if (request.target_stretch_percent > 0)
        wanted = std::min(wanted,
                          longest * request.target_stretch_percent / 100 + request.target_extra);
    auto const needed = longest * (100 + speed_margin_percent) / 100;
    target.latest_start = now + std::max(wanted - needed, microseconds(0));
    return target;
}

std::string job_flow::id_of(protocol::job_request const& request) const
{
    if (request.ephemeral)
        return ephemeral_job_id(request.team, request.submission, this->parts.settings.id);
    return job_id_of(request.team, request.submission);
}

void job_flow::prepare_tasks(job& job)
{
    job.tasks.resize(job.content->tasks.size());
    job.unfinished = job.tasks.size();
    for (std::size_t i = 0; i < job.tasks.size(); ++i) {
        job.tasks[i].expected = this->expected_time(*job.content, job.content->tasks[i]);
    }
}

void job_flow::add_timer(job const& job, timer_kind kind, base::steady_time at)
{
    this->parts.timers.add({at, kind, job.number, 0, 0});
}

void job_flow::refuse(protocol::job_request const& request, std::string const& id, waiter caller,
                      policy::refusal const& refusal, base::steady_time now)
{
    auto answer = answer_for(id, request.team, request.submission);
    answer.state = job_state::refused;
    answer.ran = ran_extent::none;
    answer.failure = refusal.reason;
    answer.retry_after = refusal.retry_after;
    if (request.ephemeral) {
        ++this->parts.counters.jobs_refused;
        base::log_record(base::log_event::job_refused)
            .with("job", answer.job)
            .with("team", answer.team)
            .with("submission", answer.submission)
            .with("reason", answer.failure->message);
        return deliver(caller, answer, "[]");
    }
    // "Not run" is only true when no entry has accepted the same submission before.
    auto shared = std::make_shared<waiter>(std::move(caller));
    this->parts.control.request(
        protocol::read_claim {id}, refusal_lookup_timeout,
        [this, shared, answer](protocol::control_result const& result, base::steady_time later) {
            auto const* lookup = std::get_if<protocol::claim_lookup>(&result);
            if (lookup == nullptr)
                return deliver_unknown(*shared, answer,
                                       {base::error_code::unavailable,
                                        base::error_step::admission,
                                        {},
                                        "no contact to control"});
            auto const& claim = lookup->claim;
            if (claim && !(claim->finished && claim->state == job_state::refused))
                return this->parts.remote.attach(answer.job, claim, std::move(*shared), false,
                                                 later);
            ++this->parts.counters.jobs_refused;
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
            deliver(*shared, refused, "[]");
        },
        now);
}

std::string job_flow::choose_backup() const
{
    auto const& settings = this->parts.settings;
    std::vector<protocol::live_entry const*> near;
    std::vector<protocol::live_entry const*> far;
    for (auto const& entry : this->parts.leases.applied().entries) {
        if (entry.id.name != settings.id.name)
            (entry.zone == settings.zone ? near : far).push_back(&entry);
    }
    auto const& choices = far.empty() ? near : far;
    if (choices.empty())
        return {};
    return choices[this->parts.counters.jobs_accepted % choices.size()]->id.name;
}

void job_flow::send_claim(job& job, base::steady_time now)
{
    protocol::job_claim claim;
    claim.job = job.id;
    claim.digest = job.digest;
    claim.team = job.team;
    claim.submission = job.submission;
    claim.owner = this->parts.settings.id;
    claim.backup = job.backup;
    claim.epoch = job.epoch;
    claim.deadline = std::chrono::duration_cast<milliseconds>(job.deadline - job.submitted);
    job.note({now, decision_kind::claim_asked, -1, 0, job.backup, {}, 0});
    this->parts.claims.claim(std::move(claim));
}

void job_flow::send_copy(job& job, base::steady_time now)
{
    if (job.backup.empty()) {
        job.copy_settled = true;
        return;
    }
    this->parts.sender.send(
        job.backup, protocol::job_copy {job.id, this->parts.settings.id, job.epoch, *job.content});
    this->add_timer(job, timer_kind::copy_timeout, now + this->parts.settings.copy_timeout);
}

void job_flow::on_claim_decided(std::string const& id, protocol::claim_result const& result,
                                base::steady_time now)
{
    auto* job = this->parts.jobs.find(id);
    if (job == nullptr || job->claim_committed)
        return;
    auto const& claim = result.claim;
    switch (result.status) {
    case protocol::claim_status::granted:
        return this->on_owned(*job, claim, now);
    case protocol::claim_status::existing:
        if (claim.owner == this->parts.settings.id && !claim.finished) {
            // The job came here by a takeover whose notice has not arrived yet.
            this->parts.takeovers.on_notice({this->parts.settings.id, {claim}, 0}, now);
            job = this->parts.jobs.find(id);
            if (job == nullptr || job->recovery_pending)
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
        this->parts.leases.renew_soon();
        if (job->phase == job_phase::abandoned)
            return this->drop(*job);
        return this->add_timer(*job, timer_kind::claim_retry, now + claim_retry_pause);
    }
}

void job_flow::on_claim_failed(std::string const& id, base::error const& /*failure*/,
                               base::steady_time now)
{
    auto* job = this->parts.jobs.find(id);
    if (job != nullptr && !job->claim_committed)
        this->add_timer(*job, timer_kind::claim_retry, now + claim_retry_pause);
}

void job_flow::on_owned(job& job, protocol::job_claim const& claim, base::steady_time now)
{
    job.claim_committed = true;
    job.epoch = claim.epoch;
    job.note({now, decision_kind::claimed, -1, 0, {}, {}, 0});
    if (job.phase == job_phase::abandoned) {
        job.finish_sent = true;
        return this->parts.claims.finish({job.id, job.epoch, job.final_state, ran_extent::none});
    }
    if (job.phase == job_phase::claiming && job.cancel_requested)
        return this->cancel(job, now);
    if (job.phase == job_phase::claiming)
        return this->start_if_ready(job, now);
    // Ownership was in doubt and is confirmed.
    job.note({now, decision_kind::ownership_checked, -1, 0, {}, {}, 0});
    if (job.phase == job_phase::running)
        this->enqueue_waiting(job);
    else if (job.phase == job_phase::publishing)
        this->publish(job, now);
}

void job_flow::on_owned_elsewhere(job& job, protocol::job_claim const& claim, base::steady_time now)
{
    auto waiters = std::move(job.waiters);
    auto const id = job.id;
    auto const cancel = job.cancel_requested;
    this->drop(job);
    for (auto& caller : waiters)
        this->parts.remote.attach(id, claim, std::move(caller), cancel, now);
}

void job_flow::end_without_claim(job& job, submit_reply::kind kind, base::error failure,
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

void job_flow::drop(job& job)
{
    for (std::uint32_t i = 0; i < job.tasks.size(); ++i) {
        this->parts.dispatch.withdraw(job, i);
        while (!job.tasks[i].attempts.empty())
            this->parts.attempts.close(job, job.tasks[i], job.tasks[i].attempts.front(),
                                       job.tasks[i].expected);
    }
    if (job.phase != job_phase::finished && job.phase != job_phase::abandoned)
        this->parts.jobs.note_finished();
    this->parts.jobs.remove(job);
}

void job_flow::on_copy_ack(protocol::job_copy_ack const& ack, base::steady_time now)
{
    auto* job = this->parts.jobs.find(ack.job);
    if (job == nullptr || job->copy_settled)
        return;
    job->copy_settled = true;
    job->note({now, decision_kind::copied, -1, 0, job->backup, {}, 0});
    this->start_if_ready(*job, now);
}

void job_flow::start_if_ready(job& job, base::steady_time now)
{
    if (job.phase != job_phase::claiming || !job.claim_committed || !job.copy_settled)
        return;
    job.phase = job_phase::running;
    for (std::size_t i = 0; i < job.tasks.size(); ++i) {
        this->parts.teams.retries(job.team).record_first_attempt();
        this->parts.teams.hedges(job.team).record_first_attempt();
    }
    this->enqueue_waiting(job);
    this->parts.dispatch.run(now);
}

void job_flow::enqueue_waiting(job& job)
{
    for (std::uint32_t i = 0; i < job.tasks.size(); ++i) {
        auto const held_back
            = job.recovery_pending && !(job.content && job.content->tasks[i].idempotent);
        if (!job.tasks[i].done() && job.tasks[i].awaited() == 0 && !held_back)
            this->parts.dispatch.enqueue(job, i, false);
    }
}

void job_flow::check_ownership(base::steady_time now)
{
    for (auto const& [number, owned] : this->parts.jobs.all()) {
        if (!owned->claim_committed || owned->is_final() || owned->ephemeral)
            continue;
        owned->claim_committed = false;
        for (std::uint32_t i = 0; i < owned->tasks.size(); ++i)
            this->parts.dispatch.withdraw(*owned, i);
        this->send_claim(*owned, now);
    }
}

} // namespace greengagehead::entry
