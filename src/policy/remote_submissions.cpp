// Expiry of what other entries have announced, and the decision on a resubmission.

#include "policy/remote_submissions.h"

#include <algorithm>
#include <utility>

namespace greengagehead::policy {

namespace {

using std::chrono::milliseconds;

/// A longer time in an announcement counts as this.
constexpr milliseconds max_stated_time {std::chrono::hours(24)};

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
    auto const claim = this->claim_number(entry, announced.key).value_or(0);
    // An entry may hold a submission whose earlier runs there have not ended yet.
    this->remove(entry, announced.key, true);
    if (!announced.held)
        this->remove(entry, announced.key, false);
    if (remaining > milliseconds(0))
        this->add(announced.key,
                  {entry, true, false, announced.held, now, now - age,
                   now + remaining + longest_run_end, announced.held ? 0 : claim, false});
}

void remote_submissions::add(std::string const& key, remote_submission submission)
{
    auto const heard = this->heard_incarnations.find(submission.entry.name);
    if (heard != this->heard_incarnations.end() && heard->second != submission.entry.incarnation)
        this->unchecked.insert(submission.entry.name);
    this->running[key].push_back(std::move(submission));
}

void remote_submissions::record_claim(std::string const& key, protocol::claim_ref const& holder,
                                      bool connected, steady_time granted, steady_time now)
{
    auto& items = this->running[key];
    auto const found = std::find_if(items.begin(), items.end(), [&holder](auto const& item) {
        return item.entry == holder.entry && !item.held;
    });
    if (found != items.end()) {
        found->claim = std::max(found->claim, holder.number);
        found->ends_by = std::max(found->ends_by, now + claimed_run_limit);
        return;
    }
    this->add(key,
              {holder.entry, connected, false, false, granted, granted, now + claimed_run_limit,
               holder.number, false});
}

std::optional<std::uint64_t> remote_submissions::claim_number(protocol::process_id const& entry,
                                                              std::string const& key) const
{
    auto const found = this->running.find(key);
    if (found == this->running.end())
        return std::nullopt;
    for (auto const& item : found->second) {
        if (item.entry == entry && !item.held && item.claim != 0)
            return item.claim;
    }
    return std::nullopt;
}

void remote_submissions::record_incarnation(protocol::process_id const& entry)
{
    auto const [heard, added] = this->heard_incarnations.try_emplace(entry.name, entry.incarnation);
    bool const changed
        = std::exchange(heard->second, entry.incarnation) != entry.incarnation || added;
    bool const has_unchecked = this->unchecked.erase(entry.name) > 0;
    // Each announcement of each entry gets here, and the submissions of all entries are looked at.
    if (!changed && !has_unchecked)
        return;
    for (auto& [key, items] : this->running) {
        for (auto& item : items)
            item.replaced = item.replaced
                || (item.entry.name == entry.name && item.entry.incarnation != entry.incarnation);
    }
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

void remote_submissions::record_view(std::vector<protocol::process_id> const& view_entries)
{
    for (auto& [key, entries] : this->running) {
        for (auto& item : entries)
            item.out_of_contact = item.replaced
                || (!item.connected
                    && std::find(view_entries.begin(), view_entries.end(), item.entry)
                        == view_entries.end());
    }
}

void remote_submissions::record_cancelled(std::string const& key, submission_name name,
                                          steady_time now)
{
    auto const found = this->cancellations.find(key);
    if (found != this->cancellations.end()) {
        if (!name.submission.empty())
            found->second.name = std::move(name);
        return this->set_cancelled_at(key, found->second, now);
    }
    if (this->cancellations.size() >= max_cancellations) {
        auto const oldest = this->cancellation_order.begin();
        this->cancellations.erase(oldest->second);
        this->cancellation_order.erase(oldest);
    }
    auto& added = this->cancellations[key];
    added.name = std::move(name);
    this->set_cancelled_at(key, added, now);
}

void remote_submissions::set_cancelled_at(std::string const& key, cancellation& item,
                                          steady_time now)
{
    this->cancellation_order.erase({item.since, key});
    item.since = now;
    this->cancellation_order.emplace(now, key);
}

std::vector<std::string> remote_submissions::cancelled_here(steady_time now) const
{
    std::vector<std::string> keys;
    for (auto const& [key, item] : this->cancellations) {
        if (!item.name.submission.empty() && item.since + cancellation_repeat > now)
            keys.push_back(key);
    }
    return keys;
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

submission_name const* remote_submissions::cancelled(std::string const& key, steady_time now) const
{
    auto const found = this->cancellations.find(key);
    if (found == this->cancellations.end() || found->second.since + cancellation_memory <= now)
        return nullptr;
    return &found->second.name;
}

void remote_submissions::expire(steady_time now)
{
    for (auto& [key, entries] : this->running)
        std::erase_if(entries, [now](auto const& entry) { return entry.ends_by <= now; });
    std::erase_if(this->running, [](auto const& item) { return item.second.empty(); });
    while (!this->cancellation_order.empty()
           && this->cancellation_order.begin()->first + cancellation_memory <= now) {
        this->cancellations.erase(this->cancellation_order.begin()->second);
        this->cancellation_order.erase(this->cancellation_order.begin());
    }
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
