// Queries to the agents for jobs of other entries, and what their answers prove.

#include "entry/remote_runs.h"

#include <algorithm>
#include <chrono>

#include "entry/entry_components.h"
#include "policy/remote_submissions.h"

namespace greengagehead::entry {

namespace {

using std::chrono::milliseconds;

/// Entries start ephemeral jobs with epoch 1. An agent that has been asked with a higher one
/// refuses their starts.
constexpr protocol::job_epoch fencing_epoch = 2;
/// A query without an answer is sent again after this time.
constexpr milliseconds answer_timeout {250};
/// Pause before an agent that still has a run of the job is asked again.
constexpr milliseconds repeat_delay {50};
/// An entry starts nothing at an agent that it has not heard for this long: 1.1 s, and the times of
/// two messages.
constexpr milliseconds longest_use_unheard {1500};
/// What another entry has heard for longer ago is forgotten: no submission is held for so long.
constexpr milliseconds unheard_agent_retention {600'000};

} // namespace

remote_runs::remote_runs(entry_components& shared) : components(shared) { }

void remote_runs::search(std::string const& job, base::steady_time announced)
{
    this->jobs.try_emplace(job, searched_job {announced, {}});
}

bool remote_runs::may_have_run(base::steady_time heard, searched_job const& job)
{
    return heard + longest_use_unheard >= job.announced;
}

bool remote_runs::must_answer(agent_record const& agent, searched_job const& job)
{
    return !agent.replaced && agent.last_report != base::steady_time {}
    && remote_runs::may_have_run(agent.last_report, job);
}

bool remote_runs::unheard_agent_must_answer(searched_job const& job) const
{
    return std::any_of(this->heard_elsewhere.begin(), this->heard_elsewhere.end(),
                       [this, &job](auto const& item) {
                           return this->components.agents.find(item.first) == nullptr
                               && remote_runs::may_have_run(item.second.heard, job);
                       });
}

void remote_runs::record_heard_elsewhere(protocol::process_id const& agent, base::steady_time heard)
{
    auto& known = this->heard_elsewhere[agent.name];
    if (known.heard < heard)
        known = {agent, heard};
    std::erase_if(this->heard_elsewhere, [heard](auto const& item) {
        return item.second.heard + unheard_agent_retention < heard;
    });
}

std::vector<protocol::agent_silence> remote_runs::known_agents(base::steady_time now) const
{
    std::vector<protocol::agent_silence> known;
    auto const add = [&known, now](protocol::process_id const& id, base::steady_time heard) {
        if (now - heard < unheard_agent_retention)
            known.push_back({id, std::chrono::floor<milliseconds>(now - heard)});
    };
    for (auto const& agent : this->components.agents.all()) {
        if (!agent.replaced && agent.last_report != base::steady_time {})
            add(agent.id, agent.last_report);
    }
    for (auto const& [name, agent] : this->heard_elsewhere) {
        if (this->components.agents.find(name) == nullptr)
            add(agent.id, agent.heard);
    }
    return known;
}

bool remote_runs::ended(std::string const& id) const
{
    auto const found = this->jobs.find(id);
    if (found == this->jobs.end())
        return false;
    // An entry that has started since the job does not hear a machine that has been suspended since
    // before, and could not ask it.
    if (this->unheard_agent_must_answer(found->second))
        return false;
    // Without any agent nothing is proven: an entry that has just started has not heard them yet.
    bool any_answer = false;
    for (auto const& agent : this->components.agents.all()) {
        if (!remote_runs::must_answer(agent, found->second))
            continue;
        auto const answer = found->second.answers.find(*this->components.agents.slot_of(agent.id));
        if (answer == found->second.answers.end() || !answer->second.ended)
            return false;
        any_answer = true;
    }
    return any_answer;
}

void remote_runs::forget(std::string const& job)
{
    this->jobs.erase(job);
}

void remote_runs::tick(base::steady_time now)
{
    if (this->jobs.empty())
        return;
    for (auto const& agent : this->components.agents.all()) {
        auto const slot = *this->components.agents.slot_of(agent.id);
        for (auto& [id, job] : this->jobs) {
            if (!remote_runs::must_answer(agent, job))
                continue;
            auto& answer = job.answers[slot];
            if (answer.ended || now < answer.next_query)
                continue;
            answer.next_query = now + answer_timeout;
            this->components.outbox.add_query(slot, id, fencing_epoch);
        }
    }
}

void remote_runs::on_report(protocol::outcome_report const& report, base::steady_time now)
{
    auto const* const query = this->components.outbox.find_query(report.query_id);
    auto const slot = this->components.agents.slot_of(report.agent);
    if (this->jobs.empty() || query == nullptr || !slot || query->agent != *slot)
        return;
    for (auto const& id : query->jobs) {
        if (auto const found = this->jobs.find(id); found != this->jobs.end())
            this->record_answer(id, found->second, *slot, report, query->sent, now);
    }
}

void remote_runs::record_answer(std::string const& id, searched_job& job, agent_slot slot,
                                protocol::outcome_report const& report, base::steady_time asked,
                                base::steady_time now)
{
    auto& answer = job.answers[slot];
    bool running = false;
    for (auto const& outcome : report.outcomes) {
        if (outcome.task.job != id || outcome.kind != protocol::outcome_kind::running)
            continue;
        running = true;
        this->components.outbox.add_cancel(slot, {outcome.task, outcome.attempt});
    }
    if (running) {
        answer.next_query = now + repeat_delay;
        return;
    }
    // A former incarnation of the agent may have left runs, which this one does not know.
    auto const former_ended
        = this->components.agents.at(slot).current_since + policy::longest_run_end;
    if (asked < former_ended)
        answer.next_query = std::max(answer.next_query, former_ended);
    else
        answer.ended = true;
}

} // namespace greengagehead::entry
