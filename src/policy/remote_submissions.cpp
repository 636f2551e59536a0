// Expiry of what other entries have announced, and the decision on a resubmission.

#include "policy/remote_submissions.h"

#include <algorithm>
#include <utility>

namespace greengagehead::policy {

namespace {

bool may_still_run(protocol::task_answer const& task)
{
    return task.state == protocol::task_state::starting
        || task.state == protocol::task_state::may_have_run;
}

bool has_failed(protocol::task_answer const& task)
{
    return task.state == protocol::task_state::failed;
}

bool cancelled_by_caller(protocol::job_answer const& state)
{
    return state.state == protocol::job_state::cancelled
        && !(state.failure && state.failure->code == base::error_code::abandoned);
}

} // namespace

void remote_submissions::record(protocol::process_id const& entry, std::string const& key,
                                std::chrono::milliseconds remaining, steady_time now)
{
    remote_submission const announced {entry, true, now + remaining + longest_run_end};
    auto& entries = this->running[key];
    auto const known = std::find_if(entries.begin(), entries.end(),
                                    [&entry](auto const& item) { return item.entry == entry; });
    if (known == entries.end())
        entries.push_back(announced);
    else
        *known = announced;
}

void remote_submissions::record_ended(protocol::process_id const& entry, std::string const& key)
{
    auto const found = this->running.find(key);
    if (found == this->running.end())
        return;
    std::erase_if(found->second, [&entry](auto const& item) { return item.entry == entry; });
    if (found->second.empty())
        this->running.erase(found);
}

void remote_submissions::record_disconnected(std::string const& entry_name, steady_time now)
{
    for (auto& [key, entries] : this->running) {
        for (auto& item : entries) {
            if (item.entry.name != entry_name)
                continue;
            item.connected = false;
            item.ends_by = std::min(item.ends_by, now + longest_run_end);
        }
    }
}

void remote_submissions::record_cancelled(std::string const& key, submission_name name,
                                          steady_time now)
{
    this->cancellations[key] = {std::move(name), now + cancellation_memory};
}

std::optional<remote_submission> remote_submissions::find(std::string const& key,
                                                          steady_time now) const
{
    auto const found = this->running.find(key);
    if (found == this->running.end())
        return std::nullopt;
    auto const current = std::find_if(found->second.begin(), found->second.end(),
                                      [now](auto const& item) { return item.ends_by > now; });
    return current == found->second.end() ? std::nullopt : std::optional(*current);
}

submission_name const* remote_submissions::cancelled(std::string const& key, steady_time now) const
{
    auto const found = this->cancellations.find(key);
    if (found == this->cancellations.end() || found->second.kept_until <= now)
        return nullptr;
    return &found->second.name;
}

void remote_submissions::expire(steady_time now)
{
    for (auto& [key, entries] : this->running)
        std::erase_if(entries, [now](auto const& entry) { return entry.ends_by <= now; });
    std::erase_if(this->running, [](auto const& item) { return item.second.empty(); });
    std::erase_if(this->cancellations,
                  [now](auto const& item) { return item.second.kept_until <= now; });
}

resubmission_step next_step(protocol::job_answer const* state)
{
    if (state == nullptr)
        return resubmission_step::start_here;
    if (state->state == protocol::job_state::running)
        return resubmission_step::ask_again;
    if (state->state == protocol::job_state::complete || cancelled_by_caller(*state))
        return resubmission_step::answer;
    if (std::any_of(state->tasks.begin(), state->tasks.end(), may_still_run))
        return resubmission_step::ask_again;
    if (state->state == protocol::job_state::failed
        && std::any_of(state->tasks.begin(), state->tasks.end(), has_failed))
        return resubmission_step::answer;
    return resubmission_step::start_here;
}

} // namespace greengagehead::policy
