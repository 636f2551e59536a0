// Recovery of jobs of lost entries: asks the agents, then decides per task.

#include "entry/takeover.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "base/log_record.h"
#include "entry/entry_parts.h"

namespace greengagehead::entry {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds ask_interval {250};
/// Idempotent tasks without an outcome run again after this time, even when agents are missing.
constexpr milliseconds idempotent_wait {300};
/// A removed agent that has not answered by then is taken to be gone for good.
constexpr milliseconds removed_wait {1000};
/// Without the content, the job fails with what the agents have said by then.
constexpr milliseconds lost_content_wait {1500};

} // namespace

takeover::takeover(entry_parts& all) : parts(all) { }

void takeover::on_notice(protocol::takeover_notice const& notice, base::steady_time now)
{
    if (notice.new_owner != this->parts.settings.id)
        return;
    recovery item;
    auto claimed_at = protocol::wall_time::max();
    for (auto const& claim : notice.claims) {
        if (claim.finished || !this->take(claim, now))
            continue;
        item.jobs.push_back(claim.job);
        claimed_at = std::min(claimed_at, claim.claimed_at);
    }
    if (item.jobs.empty())
        return;
    item.query_id = this->parts.outbox.next_query_id();
    item.began = now;
    item.next_ask = now;
    item.claimed_at = claimed_at;
    auto const id = ++this->last_recovery;
    this->open.emplace(id, std::move(item));
    this->list_agents(id, now);
}

void takeover::list_agents(std::uint64_t id, base::steady_time now)
{
    auto& item = this->open.at(id);
    item.listing = true;
    this->parts.control.request(
        protocol::read_agents {item.claimed_at}, milliseconds(0),
        [this, id](protocol::control_result const& result, base::steady_time later) {
            auto const found = this->open.find(id);
            if (found == this->open.end())
                return;
            auto& waiting = found->second;
            waiting.listing = false;
            auto const* list = std::get_if<protocol::agent_list>(&result);
            if (list == nullptr) {
                waiting.next_ask = later + ask_interval;
                return;
            }
            waiting.listed = true;
            for (auto const& agent : list->agents)
                waiting.agents.push_back({agent.id, agent.removed_at.count() != 0, false, false});
            this->ask(waiting, later);
        },
        now);
}

bool takeover::take(protocol::job_claim const& claim, base::steady_time now)
{
    auto* job = this->parts.jobs.find(claim.job);
    if (job != nullptr && job->phase == job_phase::abandoned && job->epoch < claim.epoch) {
        this->parts.flow.drop(*job);
        job = nullptr;
    }
    if (job == nullptr) {
        this->create(claim, now);
        return !this->parts.jobs.find(claim.job)->is_final();
    }
    if (job->epoch >= claim.epoch)
        return false;
    // A job that this entry has only submitted, or that another entry owned in between, may have
    // attempts that this entry does not know.
    bool const unknown_attempts = job->phase == job_phase::claiming || claim.epoch > job->epoch + 1;
    job->epoch = claim.epoch;
    if (job->finish_sent) {
        this->parts.claims.finish({job->id, job->epoch, job->answer.state, job->answer.ran});
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
    job.note({now, decision_kind::taken_over, -1, 0, {}, "the owner was lost", 0});
    for (std::uint32_t i = 0; i < job.tasks.size(); ++i) {
        this->parts.dispatch.withdraw(job, i);
        job.tasks[i].uncertain = !job.tasks[i].done();
    }
}

void takeover::create(protocol::job_claim const& claim, base::steady_time now)
{
    auto const* copy = this->parts.copies.find(claim.job);
    auto& job = this->parts.jobs.add(claim.job);
    job.digest = claim.digest;
    job.team = claim.team;
    job.submission = claim.submission;
    job.epoch = claim.epoch;
    job.submitted = copy != nullptr ? copy->received : now;
    job.deadline = job.submitted + claim.deadline;
    job.phase = job_phase::running;
    job.claim_committed = true;
    job.copy_settled = true;
    job.note({now, decision_kind::taken_over, -1, 0, {}, "the owner was lost", 0});
    base::log_record(base::log_event::job_taken_over)
        .with("job", job.id)
        .with("team", job.team)
        .with("epoch", job.epoch)
        .with("content", copy != nullptr);
    if (copy != nullptr && copy->answer != nullptr) {
        job.note({now, decision_kind::recovered, -1, 0, {}, "the copied answer", 0});
        return this->parts.flow.adopt(job, *copy->answer, now);
    }
    job.recovery_pending = true;
    if (copy != nullptr) {
        job.content = copy->content;
        this->parts.flow.prepare_tasks(job);
    }
    job.tasks_unknown = copy == nullptr;
    // Until the agents have answered, each task may have been started by the former owner.
    for (auto& task : job.tasks)
        task.uncertain = true;
    this->parts.timers.add(
        {std::max(job.deadline, now), timer_kind::job_deadline, job.number, 0, 0});
}

void takeover::ask(recovery& item, base::steady_time now)
{
    item.next_ask = now + ask_interval;
    protocol::outcome_query query;
    query.query_id = item.query_id;
    for (auto const& id : item.jobs) {
        if (auto const* job = this->parts.jobs.find(id); job != nullptr && !job->is_final())
            query.jobs.push_back({id, job->epoch});
    }
    for (auto const& agent : item.agents) {
        if (!agent.answered && !agent.gone)
            this->parts.sender.send(agent.id.name, query);
    }
}

bool takeover::on_report(protocol::outcome_report& report, base::steady_time now)
{
    auto const found = std::find_if(this->open.begin(), this->open.end(), [&](auto const& item) {
        return item.second.query_id == report.query_id;
    });
    if (found == this->open.end())
        return false;
    auto& item = found->second;
    for (auto& agent : item.agents) {
        if (agent.id == report.agent)
            agent.answered = true;
        else if (agent.id.name == report.agent.name && !agent.answered)
            agent.gone = true;
    }
    for (auto& outcome : report.outcomes) {
        if (auto* job = this->parts.jobs.find(outcome.task.job))
            this->adopt_outcome(*job, report.agent, outcome, now);
    }
    if (this->step(item, now))
        this->open.erase(found);
    return true;
}

bool takeover::adopt_outcome(job& job, protocol::process_id const& agent,
                             protocol::task_outcome& outcome, base::steady_time now)
{
    if (!job.recovery_pending || job.phase != job_phase::running || outcome.epoch >= job.epoch)
        return false;
    auto const index = outcome.task.index;
    if (job.tasks_unknown && index >= job.tasks.size()) {
        // Of the tasks in between, nothing is known.
        task unheard;
        unheard.uncertain = true;
        job.unfinished += index + 1 - job.tasks.size();
        job.tasks.resize(index + 1, unheard);
    }
    if (index >= job.tasks.size() || job.tasks[index].done())
        return false;
    auto& task = job.tasks[index];
    if (!this->seen[job.id].emplace(index, outcome.attempt, outcome.epoch).second)
        return outcome.kind != protocol::outcome_kind::running
            && this->parts.attempts.apply(job, outcome, now);
    job.note({now, decision_kind::recovered, static_cast<std::int32_t>(index), outcome.attempt,
              outcome.endpoint, "the agent knows an attempt of the former owner", 0});
    attempt known;
    known.number = outcome.attempt;
    known.epoch = outcome.epoch;
    known.agent = this->parts.agents.add_known(agent);
    known.endpoint = outcome.endpoint;
    known.sent = now;
    task.attempts.push_back(known);
    task.state = protocol::task_state::starting;
    this->parts.dispatch.withdraw(job, index);
    ++job.awaited;
    this->parts.endpoints.record_start(known.endpoint);
    if (outcome.kind != protocol::outcome_kind::running)
        return this->parts.attempts.apply(job, outcome, now);
    if (job.content != nullptr)
        this->parts.monitor.watch(job, index, known);
    return true;
}

void takeover::tick(base::steady_time now)
{
    for (auto it = this->open.begin(); it != this->open.end();) {
        auto& item = it->second;
        if (item.listed && now >= item.next_ask)
            this->ask(item, now);
        if (!item.listed && !item.listing && now >= item.next_ask)
            this->list_agents(it->first, now);
        it = this->step(item, now) ? this->open.erase(it) : std::next(it);
    }
}

bool takeover::step(recovery& item, base::steady_time now)
{
    for (auto& agent : item.agents) {
        auto const* present = this->parts.agents.find(agent.id.name);
        auto const replaced = present != nullptr && present->id != agent.id
            && this->parts.agents.find(agent.id) != nullptr
            && this->parts.agents.find(agent.id)->replaced;
        if (!agent.answered && (replaced || (agent.removed && now - item.began >= removed_wait)))
            agent.gone = true;
    }
    auto const heard = item.listed
        && std::all_of(item.agents.begin(), item.agents.end(),
                       [](auto const& agent) { return agent.answered || agent.gone; });
    auto const waited = now - item.began;
    bool pending = false;
    for (auto const& id : item.jobs) {
        auto* job = this->parts.jobs.find(id);
        if (job == nullptr || !job->recovery_pending)
            continue;
        if (job->phase != job_phase::running) {
            this->seen.erase(id);
            continue;
        }
        if (heard || (job->content == nullptr && waited >= lost_content_wait)) {
            this->conclude(item, *job, now);
            continue;
        }
        pending = true;
        if (waited >= idempotent_wait && !item.idempotent_started && job->claim_committed)
            this->parts.flow.enqueue_waiting(*job);
    }
    item.idempotent_started = item.idempotent_started || waited >= idempotent_wait;
    return !pending;
}

void takeover::conclude(recovery const& item, job& job, base::steady_time now)
{
    auto const complete = item.listed
        && std::all_of(item.agents.begin(), item.agents.end(),
                       [](auto const& agent) { return agent.answered; });
    this->seen.erase(job.id);
    job.recovery_pending = false;
    if (job.content == nullptr) {
        // No record at any agent, and each of them refuses the former owner's starts from now on.
        if (complete && job.tasks.empty())
            job.tasks_unknown = false;
        return this->parts.flow.fail(job,
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
        return this->parts.flow.fail(
            job,
            {base::error_code::unavailable,
             base::error_step::recover,
             {},
             "task " + std::to_string(i) + " may have run on an agent that was lost"},
            now);
    }
    if (job.claim_committed)
        this->parts.flow.enqueue_waiting(job);
}

} // namespace greengagehead::entry
