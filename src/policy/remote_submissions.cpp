// Expiry of what other entries have announced, and the decision on a resubmission.

#include "policy/remote_submissions.h"

#include <algorithm>
#include <utility>

namespace greengagehead::policy {

namespace {

using std::chrono::milliseconds;

/// A longer time in an announcement counts as this.
constexpr milliseconds max_stated_time {std::chrono::hours(24)};
/// A round of a search that some agents leave unanswered is repeated, without the agents that have
/// become silent meanwhile.
constexpr milliseconds max_round {250};
/// Pause between two rounds while runs are ending.
constexpr milliseconds round_pause {50};

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

bool is_later(base::steady_time first, std::string const& first_entry, base::steady_time second,
              std::string const& second_entry)
{
    if (std::chrono::abs(first - second) < submission_time_error)
        return first_entry > second_entry;
    return first > second;
}

void remote_submissions::record(protocol::process_id const& entry,
                                protocol::submissions_running::submission const& announced,
                                steady_time now)
{
    auto const age = std::clamp(announced.age, milliseconds(0), max_stated_time);
    auto const remaining = std::clamp(announced.remaining, milliseconds(0), max_stated_time);
    // An entry may hold a submission whose earlier runs there have not ended yet.
    this->remove(entry, announced.key, true);
    if (!announced.held)
        this->remove(entry, announced.key, false);
    if (remaining > milliseconds(0))
        this->running[announced.key].push_back(
            {entry, true, announced.held, now - age, now + remaining + longest_run_end});
}

void remote_submissions::record_ended(protocol::process_id const& entry, std::string const& key)
{
    this->remove(entry, key, false);
}

void remote_submissions::remove(protocol::process_id const& entry, std::string const& key,
                                bool held)
{
    auto const found = this->running.find(key);
    if (found == this->running.end())
        return;
    std::erase_if(found->second, [&entry, held](auto const& item) {
        return item.entry == entry && item.held == held;
    });
    if (found->second.empty())
        this->running.erase(found);
}

void remote_submissions::record_disconnected(std::string const& entry_name)
{
    for (auto& [key, entries] : this->running) {
        for (auto& item : entries)
            item.connected = item.connected && item.entry.name != entry_name;
    }
}

void remote_submissions::record_view(std::vector<protocol::process_id> const& view_entries,
                                     steady_time now)
{
    auto const has_ended = [&view_entries](remote_submission const& item) {
        return !item.connected
            && std::find(view_entries.begin(), view_entries.end(), item.entry)
            == view_entries.end();
    };
    for (auto& [key, entries] : this->running) {
        for (auto& item : entries) {
            if (has_ended(item))
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
    auto const current
        = std::find_if(found->second.begin(), found->second.end(),
                       [now](auto const& item) { return !item.held && item.ends_by > now; });
    return current == found->second.end() ? std::nullopt : std::optional(*current);
}

bool remote_submissions::has_newer_holder(std::string const& key, steady_time submitted,
                                          std::string const& self, steady_time now) const
{
    auto const found = this->running.find(key);
    if (found == this->running.end())
        return false;
    return std::any_of(found->second.begin(), found->second.end(), [&](auto const& item) {
        return item.held && item.connected && item.ends_by > now
            && is_later(item.submitted, item.entry.name, submitted, self);
    });
}

std::vector<protocol::process_id> remote_submissions::holders(std::string const& key,
                                                              steady_time now) const
{
    std::vector<protocol::process_id> entries;
    auto const found = this->running.find(key);
    if (found == this->running.end())
        return entries;
    for (auto const& item : found->second) {
        if (item.held && item.ends_by > now)
            entries.push_back(item.entry);
    }
    return entries;
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

void entry_contacts::update(std::vector<protocol::process_id> const& view_entries,
                            std::set<std::string> const& linked, steady_time now)
{
    for (auto const& entry : view_entries)
        this->add(entry);
    for (auto const& name : linked) {
        if (this->latest(name) == nullptr)
            this->contacts.push_back({{name, 0}, {}, {}});
    }
    for (auto& item : this->contacts) {
        auto const in_view
            = std::find(view_entries.begin(), view_entries.end(), item.entry) != view_entries.end();
        if (in_view || (linked.contains(item.entry.name) && this->latest(item.entry.name) == &item))
            item.gone_since.reset();
        else if (!item.gone_since)
            item.gone_since = now;
    }
    std::erase_if(this->contacts, [now](auto const& item) {
        return item.gone_since && now >= *item.gone_since + longest_run_end;
    });
}

void entry_contacts::record_incarnation(protocol::process_id const& entry)
{
    this->add(entry);
}

void entry_contacts::add(protocol::process_id const& entry)
{
    auto const known = std::any_of(this->contacts.begin(), this->contacts.end(),
                                   [&entry](auto const& item) { return item.entry == entry; });
    if (known)
        return;
    auto* const last = this->latest(entry.name);
    if (last != nullptr && last->entry.incarnation == 0)
        last->entry = entry;
    else
        this->contacts.push_back({entry, {}, {}});
}

entry_contacts::contact* entry_contacts::latest(std::string const& name)
{
    auto const found = std::find_if(this->contacts.rbegin(), this->contacts.rend(),
                                    [&name](auto const& item) { return item.entry.name == name; });
    return found == this->contacts.rend() ? nullptr : &*found;
}

void entry_contacts::record_query(std::uint64_t id, steady_time now)
{
    std::erase_if(this->queries,
                  [now](auto const& item) { return item.sent + contact_limit < now; });
    this->queries.push_back({id, now});
}

bool entry_contacts::record_answer(std::string const& entry_name, std::uint64_t id)
{
    auto const found = std::find_if(this->queries.begin(), this->queries.end(),
                                    [id](auto const& item) { return item.id == id; });
    if (found == this->queries.end())
        return false;
    if (auto* const answering = this->latest(entry_name))
        answering->heard = std::max(answering->heard, found->sent);
    return true;
}

std::vector<protocol::process_id> entry_contacts::unheard(steady_time now) const
{
    std::vector<protocol::process_id> found;
    for (auto const& item : this->contacts) {
        if (item.heard + contact_limit < now)
            found.push_back(item.entry);
    }
    return found;
}

void run_search::begin_round(std::uint64_t query_id,
                             std::vector<protocol::process_id> const& agents, steady_time now)
{
    this->id = query_id;
    this->round_started = now;
    this->round_fences = this->found;
    this->awaited = {agents.begin(), agents.end()};
    // A new incarnation of an agent reports only when its worker has nothing of the former one.
    std::erase_if(this->running, [&agents](auto const& former) {
        return std::any_of(agents.begin(), agents.end(), [&former](auto const& agent) {
            return agent.name == former.name && agent != former;
        });
    });
}

void run_search::record_answer(protocol::process_id const& agent,
                               std::vector<protocol::task_outcome> const& outcomes, steady_time now)
{
    if (this->awaited.erase(agent) == 0)
        return;
    this->found = this->found || !outcomes.empty();
    auto const has = [&outcomes](protocol::outcome_kind kind) {
        return std::any_of(outcomes.begin(), outcomes.end(),
                           [kind](auto const& outcome) { return outcome.kind == kind; });
    };
    if (has(protocol::outcome_kind::running))
        this->running.insert(agent);
    else
        this->running.erase(agent);
    if (has(protocol::outcome_kind::unknown) && this->uncertain_until == steady_time {})
        this->uncertain_until = now + unconfirmed_run_limit;
}

run_search::step run_search::next(steady_time now) const
{
    if (this->id == 0)
        return step::ask;
    if (!this->awaited.empty())
        return now < this->round_started + max_round ? step::wait : step::ask;
    if (this->found && !this->round_fences)
        return step::ask;
    if (this->running.empty() && now >= this->uncertain_until)
        return step::ruled_out;
    return now < this->round_started + round_pause ? step::wait : step::ask;
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
