// Recovery of jobs of lost entries: queries the agents, then decides for each task.

#include "entry/takeover.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "base/log_record.h"
#include "entry/entry_components.h"

namespace greengagehead::entry {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds query_interval {250};
/// Idempotent tasks without an outcome run again after this time, even when agents have not
/// answered.
constexpr milliseconds idempotent_wait {300};
/// After this time, the records of a removed agent that has not answered are considered lost.
constexpr milliseconds removed_wait {1000};
/// A job whose content is lost fails after this time, with the outcomes reported by then.
constexpr milliseconds lost_content_wait {1500};

} // namespace

takeover::takeover(entry_components& shared) : components(shared) { }

void takeover::on_notice(protocol::takeover_notice const& notice, base::steady_time now)
{
    if (notice.new_owner != this->components.settings.id)
        return;
    // Each notice names all unfinished jobs that were taken over until then. What an older one
    // names and this entry has no record of has therefore ended, and was forgotten since.
    bool const numbered = notice.sequence != 0;
    if (numbered && notice.sequence <= this->last_sequence)
        return;
    this->last_sequence = std::max(this->last_sequence, notice.sequence);
    recovery recovering;
    auto claimed_at = protocol::wall_time::max();
    for (auto const& claim : notice.claims) {
        if (claim.finished || !this->take_over(claim, now))
            continue;
        recovering.jobs.push_back(claim.job);
        claimed_at = std::min(claimed_at, claim.claimed_at);
    }
    if (recovering.jobs.empty())
        return;
    recovering.query_id = this->components.outbox.next_query_id();
    recovering.started_at = now;
    recovering.next_query_time = now;
    recovering.claimed_at = claimed_at;
    auto const id = ++this->last_recovery;
    this->recoveries.emplace(id, std::move(recovering));
    this->list_agents(id, now);
}

void takeover::list_agents(std::uint64_t id, base::steady_time now)
{
    auto& recovering = this->recoveries.at(id);
    recovering.list_requested = true;
    this->components.control.request(
        protocol::read_agents {recovering.claimed_at}, milliseconds(0),
        [this, id](protocol::control_result const& result, base::steady_time later) {
            auto const found = this->recoveries.find(id);
            if (found == this->recoveries.end())
                return;
            auto& current = found->second;
            current.list_requested = false;
            auto const* list = std::get_if<protocol::agent_list>(&result);
            if (list == nullptr) {
                current.next_query_time = later + query_interval;
                return;
            }
            current.list_received = true;
            for (auto const& agent : list->agents)
                current.agents.push_back({agent.id, agent.removed_at.count() != 0, false, false});
            this->query_agents(current, later);
        },
        now);
}

bool takeover::take_over(protocol::job_claim const& claim, base::steady_time now)
{
    auto* job = this->components.jobs.find(claim.job);
    if (job != nullptr && job->phase == job_phase::abandoned && job->epoch < claim.epoch) {
        this->components.lifecycle.drop(*job);
        job = nullptr;
    }
    if (job == nullptr) {
        this->add_job(claim, now);
        return !this->components.jobs.find(claim.job)->is_final();
    }
    if (job->epoch >= claim.epoch)
        return false;
    // A job that this entry has only submitted, or that another entry owned in between, may have
    // attempts that this entry does not know.
    bool const unknown_attempts = job->phase == job_phase::claiming || claim.epoch > job->epoch + 1;
    job->epoch = claim.epoch;
    if (job->finish_sent) {
        this->components.claims.finish({job->id, job->epoch, job->answer.state, job->answer.ran});
        return false;
    }
    if (!unknown_attempts)
        return false;
    this->recover(*job, now);
    return true;
}

void takeover::recover(job& job, base::steady_time now)
{
    job.phase = job_phase::running;
    job.claim_committed = true;
    job.copy_settled = true;
    job.recovery_pending = true;
    job.record_decision({now, decision_kind::taken_over, -1, 0, {}, "the owner was lost", 0});
    for (std::uint32_t i = 0; i < job.tasks.size(); ++i) {
        this->components.dispatch.withdraw(job, i);
        job.tasks[i].uncertain = !job.tasks[i].done();
    }
}

void takeover::add_job(protocol::job_claim const& claim, base::steady_time now)
{
    auto const* copy = this->components.copies.find(claim.job);
    auto& job = this->components.jobs.add(claim.job);
    job.digest = claim.digest;
    job.team = claim.team;
    job.submission = claim.submission;
    job.epoch = claim.epoch;
    job.submitted = copy != nullptr ? copy->received : now;
    job.deadline = job.submitted + claim.deadline;
    job.phase = job_phase::running;
    job.claim_committed = true;
    job.copy_settled = true;
    job.record_decision({now, decision_kind::taken_over, -1, 0, {}, "the owner was lost", 0});
    base::log_record(base::log_event::job_taken_over)
        .with("job", job.id)
        .with("team", job.team)
        .with("epoch", job.epoch)
        .with("content", copy != nullptr);
    if (copy != nullptr && copy->answer != nullptr) {
        job.record_decision({now, decision_kind::recovered, -1, 0, {}, "the copied answer", 0});
        return this->components.lifecycle.adopt_answer(job, *copy->answer, now);
    }
    job.recovery_pending = true;
    if (copy != nullptr) {
        job.content = copy->content;
        this->components.lifecycle.prepare_tasks(job);
    }
    job.tasks_unknown = copy == nullptr;
    // Until the agents have answered, the former owner may have started any task.
    for (auto& task : job.tasks)
        task.uncertain = true;
    this->components.timers.add(
        {std::max(job.deadline, now), timer_kind::job_deadline, job.number, 0, 0});
}

void takeover::query_agents(recovery& recovering, base::steady_time now)
{
    recovering.next_query_time = now + query_interval;
    protocol::outcome_query query;
    query.query_id = recovering.query_id;
    for (auto const& id : recovering.jobs) {
        if (auto const* job = this->components.jobs.find(id); job != nullptr && !job->is_final())
            query.jobs.push_back({id, job->epoch});
    }
    for (auto const& agent : recovering.agents) {
        if (!agent.answered && !agent.records_lost)
            this->components.sender.send(agent.id.name, query);
    }
}

bool takeover::on_report(protocol::outcome_report& report, base::steady_time now)
{
    auto const found = std::find_if(
        this->recoveries.begin(), this->recoveries.end(),
        [&](auto const& recovering) { return recovering.second.query_id == report.query_id; });
    if (found == this->recoveries.end())
        return false;
    auto& recovering = found->second;
    for (auto& agent : recovering.agents) {
        if (agent.id == report.agent)
            agent.answered = true;
        else if (agent.id.name == report.agent.name && !agent.answered)
            agent.records_lost = true;
    }
    for (auto& outcome : report.outcomes) {
        if (auto* job = this->components.jobs.find(outcome.task.job))
            this->adopt_outcome(*job, report.agent, outcome, now);
    }
    if (this->advance(recovering, now))
        this->recoveries.erase(found);
    return true;
}

bool takeover::adopt_outcome(job& job, protocol::process_id const& agent,
                             protocol::task_outcome& outcome, base::steady_time now)
{
    if (!job.recovery_pending || job.phase != job_phase::running || outcome.epoch >= job.epoch)
        return false;
    auto const index = outcome.task.index;
    if (job.tasks_unknown && index >= job.tasks.size()) {
        // Nothing is known about the tasks in between.
        task unknown_task;
        unknown_task.uncertain = true;
        job.unfinished += index + 1 - job.tasks.size();
        job.tasks.resize(index + 1, unknown_task);
    }
    if (index >= job.tasks.size() || job.tasks[index].done())
        return false;
    auto& task = job.tasks[index];
    if (!this->adopted_attempts[job.id].emplace(index, outcome.attempt, outcome.epoch).second)
        return outcome.kind != protocol::outcome_kind::running
            && this->components.attempts.apply(job, agent, outcome, now);
    job.record_decision({now, decision_kind::recovered, static_cast<std::int32_t>(index),
                         outcome.attempt, outcome.endpoint,
                         "the agent knows an attempt of the former owner", 0});
    attempt adopted;
    adopted.number = outcome.attempt;
    adopted.epoch = outcome.epoch;
    adopted.agent = this->components.agents.find_or_add(agent);
    adopted.endpoint = outcome.endpoint;
    adopted.sent = now;
    task.attempts.push_back(adopted);
    task.state = protocol::task_state::starting;
    this->components.dispatch.withdraw(job, index);
    ++job.awaited;
    this->components.endpoints.record_start(adopted.endpoint);
    if (outcome.kind != protocol::outcome_kind::running)
        return this->components.attempts.apply(job, agent, outcome, now);
    if (job.content != nullptr)
        this->components.monitor.schedule_check(job, index, adopted);
    return true;
}

void takeover::tick(base::steady_time now)
{
    for (auto it = this->recoveries.begin(); it != this->recoveries.end();) {
        auto& recovering = it->second;
        if (recovering.list_received && now >= recovering.next_query_time)
            this->query_agents(recovering, now);
        if (!recovering.list_received && !recovering.list_requested
            && now >= recovering.next_query_time)
            this->list_agents(it->first, now);
        it = this->advance(recovering, now) ? this->recoveries.erase(it) : std::next(it);
    }
}

bool takeover::advance(recovery& recovering, base::steady_time now)
{
    for (auto& agent : recovering.agents) {
        auto const* current = this->components.agents.find(agent.id.name);
        auto const replaced = current != nullptr && current->id != agent.id
            && this->components.agents.find(agent.id) != nullptr
            && this->components.agents.find(agent.id)->replaced;
        if (!agent.answered
            && (replaced || (agent.removed && now - recovering.started_at >= removed_wait)))
            agent.records_lost = true;
    }
    auto const all_resolved = recovering.list_received
        && std::all_of(recovering.agents.begin(), recovering.agents.end(),
                       [](auto const& agent) { return agent.answered || agent.records_lost; });
    auto const waited = now - recovering.started_at;
    bool pending = false;
    for (auto const& id : recovering.jobs) {
        auto* job = this->components.jobs.find(id);
        if (job == nullptr || !job->recovery_pending)
            continue;
        if (job->phase != job_phase::running) {
            this->adopted_attempts.erase(id);
            continue;
        }
        if (all_resolved || (job->content == nullptr && waited >= lost_content_wait)) {
            this->finish_recovery(recovering, *job, now);
            continue;
        }
        pending = true;
        if (waited >= idempotent_wait && !recovering.idempotent_started && job->claim_committed)
            this->components.lifecycle.enqueue_waiting(*job);
    }
    recovering.idempotent_started = recovering.idempotent_started || waited >= idempotent_wait;
    return !pending;
}

void takeover::finish_recovery(recovery const& recovering, job& job, base::steady_time now)
{
    auto const complete = recovering.list_received
        && std::all_of(recovering.agents.begin(), recovering.agents.end(),
                       [](auto const& agent) { return agent.answered; });
    this->adopted_attempts.erase(job.id);
    job.recovery_pending = false;
    if (job.content == nullptr) {
        // No agent has a record, and all of them refuse the former owner's starts from now on.
        if (complete && job.tasks.empty())
            job.tasks_unknown = false;
        return this->components.lifecycle.fail(
            job,
            {base::error_code::unavailable,
             base::error_step::recover,
             {},
             "the entry that held the job was lost with its content"},
            now);
    }
    for (std::uint32_t i = 0; i < job.tasks.size(); ++i) {
        auto& task = job.tasks[i];
        if (task.done() || !task.attempts.empty())
            continue;
        if (complete) {
            task.uncertain = false;
            continue;
        }
        if (job.content->tasks[i].idempotent)
            continue;
        task.state = protocol::task_state::may_have_run;
        --job.unfinished;
        return this->components.lifecycle.fail(
            job,
            {base::error_code::unavailable,
             base::error_step::recover,
             {},
             "task " + std::to_string(i) + " may have run on an agent that was lost"},
            now);
    }
    if (job.claim_committed)
        this->components.lifecycle.enqueue_waiting(job);
}

} // namespace greengagehead::entry
