// Announcements between entries, and the holding of submissions that another entry may run.

#include "entry/resubmissions.h"

#include <algorithm>
#include <utility>

#include "base/log_record.h"
#include "entry/entry_components.h"
#include "entry/job_id.h"
#include "protocol/job_json.h"

namespace greengagehead::entry {

namespace {

using policy::resubmission_step;
using std::chrono::milliseconds;

/// Announcements of jobs that reach the age in this interval share one message.
constexpr milliseconds announcement_interval {100};
constexpr milliseconds expiry_interval {1000};
/// Longest wait in one query, so that a lost entry is noticed.
constexpr milliseconds max_query_wait {1000};
constexpr milliseconds answer_timeout {500};
/// Pause before a job that is still in progress is looked at again.
constexpr milliseconds repeat_delay {50};
/// A longer remaining time in an announcement counts as this.
constexpr milliseconds max_remaining {std::chrono::hours(24)};

std::string key_of(protocol::job_request const& request)
{
    return job_id_of(request.team, request.submission);
}

protocol::job_answer answer_for(protocol::job_request const& request, protocol::job_state state)
{
    protocol::job_answer answer;
    answer.job = key_of(request);
    answer.team = request.team;
    answer.submission = request.submission;
    answer.state = state;
    answer.ran = protocol::ran_extent::unknown;
    return answer;
}

protocol::job_answer cancelled_answer(protocol::job_request const& request)
{
    auto answer = answer_for(request, protocol::job_state::cancelled);
    answer.failure
        = base::error {base::error_code::refused, base::error_step::admission, {}, "cancelled"};
    return answer;
}

} // namespace

resubmissions::resubmissions(entry_components& shared) : components(shared) { }

void resubmissions::announce(job const& job)
{
    this->unannounced.push_back(job.number);
}

void resubmissions::tick(base::steady_time now)
{
    if (now >= this->next_expiry) {
        this->next_expiry = now + expiry_interval;
        this->known.expire(now);
    }
    if (this->unannounced.empty() || now < this->next_announcement)
        return;
    this->next_announcement = now + announcement_interval;
    auto const message = this->describe(std::exchange(this->unannounced, {}), now);
    if (message.submissions.empty())
        return;
    for (auto const& entry : this->components.leases.applied().entries) {
        if (entry.id != this->components.settings.id)
            this->components.sender.send(entry.id.name, message);
    }
}

protocol::submissions_running resubmissions::describe(std::vector<std::uint64_t> const& numbers,
                                                      base::steady_time now) const
{
    protocol::submissions_running message {this->components.settings.id, {}};
    for (auto const number : numbers) {
        auto const* const job = this->components.jobs.find(number);
        if (job == nullptr)
            continue;
        auto const end = job->is_final() ? job->runs_end_by : job->deadline;
        auto const remaining = std::chrono::ceil<milliseconds>(end - now);
        if (remaining <= milliseconds(0))
            continue;
        message.submissions.push_back({job_id_of(job->team, job->submission), remaining});
    }
    return message;
}

void resubmissions::peer_up(std::string const& peer, base::steady_time now)
{
    auto const& entries = this->components.leases.applied().entries;
    bool const is_entry = std::any_of(entries.begin(), entries.end(),
                                      [&peer](auto const& entry) { return entry.id.name == peer; });
    if (!is_entry)
        return;
    std::vector<std::uint64_t> numbers;
    for (auto const& [number, job] : this->components.jobs.all()) {
        if (job->ephemeral && now - job->submitted >= policy::announcement_age)
            numbers.push_back(number);
    }
    auto const message = this->describe(numbers, now);
    if (!message.submissions.empty())
        this->components.sender.send(peer, message);
}

void resubmissions::peer_down(std::string const& peer, base::steady_time now)
{
    this->known.record_disconnected(peer, now);
    std::vector<std::uint64_t> affected;
    for (auto const& [id, item] : this->held) {
        if (item.asked.name == peer)
            affected.push_back(id);
    }
    for (auto const id : affected) {
        if (auto const found = this->held.find(id); found != this->held.end())
            this->proceed(found->second, now);
    }
}

void resubmissions::on_announcement(std::string const& peer,
                                    protocol::submissions_running const& message,
                                    base::steady_time now)
{
    if (message.entry.name != peer)
        return;
    for (auto const& item : message.submissions) {
        this->known.record(message.entry, item.key,
                           std::clamp(item.remaining, milliseconds(0), max_remaining), now);
        if (auto const* const cancelled = this->known.cancelled(item.key, now))
            this->send_cancel(*cancelled, message.entry);
    }
}

bool resubmissions::take(protocol::job_request& request, waiter& caller, bool abandoned_here,
                         base::steady_time now)
{
    if (this->known.empty() && !abandoned_here)
        return false;
    auto const key = key_of(request);
    if (this->known.cancelled(key, now) != nullptr) {
        deliver(caller, cancelled_answer(request), {});
        return true;
    }
    auto const elsewhere = this->known.find(key, now);
    if (!elsewhere && !abandoned_here)
        return false;
    ++this->components.counters.submissions_held;
    auto const id = this->components.remote.allocate_id();
    auto& item = this->held[id];
    item.id = id;
    item.key = key;
    item.deadline = now + request.deadline;
    item.request = std::move(request);
    item.caller = std::move(caller);
    base::log_record(base::log_event::submission_held)
        .with("submission", item.request.submission)
        .with("team", item.request.team)
        .with("entry", elsewhere ? elsewhere->entry.name : this->components.settings.id.name);
    this->proceed(item, now);
    return true;
}

void resubmissions::proceed(held_submission& item, base::steady_time now)
{
    if (item.caller.has_left && item.caller.has_left())
        return this->give_up(item, "the caller has left");
    if (now >= item.deadline)
        return this->give_up(item, "the deadline has passed");
    if (auto const* const abandoned = this->find_abandoned(item.request)) {
        if (!abandoned->is_final())
            return this->wait_until(item, now + repeat_delay);
        return this->on_state(item, &abandoned->answer, now);
    }
    auto const elsewhere = this->known.find(item.key, now);
    if (!elsewhere)
        return this->start_here(item, now);
    if (elsewhere->connected)
        return this->ask(item, elsewhere->entry, now);
    if (elsewhere->ends_by >= item.deadline)
        return this->give_up(item, "the job may run at an entry that has been lost");
    this->wait_until(item, elsewhere->ends_by);
}

void resubmissions::ask(held_submission& item, protocol::process_id const& entry,
                        base::steady_time now)
{
    auto const left = std::chrono::ceil<milliseconds>(item.deadline - now);
    auto const query_wait = std::min(left, max_query_wait);
    item.asked = entry;
    item.asked_job = ephemeral_job_id(item.request.team, item.request.submission, entry);
    this->components.sender.send(entry.name,
                                 protocol::job_query {item.id, item.asked_job, false, query_wait});
    this->wait_until(item, now + query_wait + answer_timeout);
}

bool resubmissions::on_reply(std::string const& peer, protocol::job_reply const& reply,
                             base::steady_time now)
{
    auto const found = this->held.find(reply.query_id);
    if (found == this->held.end())
        return false;
    auto& item = found->second;
    if (peer != item.asked.name || (reply.answer && reply.answer->job != item.asked_job))
        return true;
    this->on_state(item, reply.answer ? &*reply.answer : nullptr, now);
    return true;
}

void resubmissions::on_state(held_submission& item, protocol::job_answer const* state,
                             base::steady_time now)
{
    switch (policy::next_step(state)) {
    case resubmission_step::ask_again:
        return this->wait_until(item, now + repeat_delay);
    case resubmission_step::answer:
        return this->finish(item, *state);
    case resubmission_step::start_here:
        this->known.record_ended(item.asked, item.key);
        return this->start_here(item, now);
    }
}

void resubmissions::start_here(held_submission& item, base::steady_time now)
{
    auto released = this->release(item, "admitted");
    // Its answer serves nobody, and the submission gets a job of its own.
    if (auto* const abandoned = this->find_abandoned(released.request))
        this->components.lifecycle.drop(*abandoned);
    released.request.deadline = std::chrono::ceil<milliseconds>(released.deadline - now);
    this->components.lifecycle.submit(std::move(released.request), std::move(released.caller), now);
}

void resubmissions::give_up(held_submission& item, std::string const& reason)
{
    auto const released = this->release(item, reason);
    deliver_unknown(
        released.caller, answer_for(released.request, protocol::job_state::running),
        {base::error_code::unavailable, base::error_step::admission, released.asked.name, reason});
}

void resubmissions::finish(held_submission& item, protocol::job_answer const& answer)
{
    // `answer` may belong to a job that ends with the hold.
    auto const final_answer = answer;
    auto const released = this->release(item, protocol::to_string(answer.state));
    deliver(released.caller, final_answer, {});
}

resubmissions::held_submission resubmissions::release(held_submission& item,
                                                      std::string_view outcome)
{
    auto released = std::move(item);
    this->held.erase(released.id);
    base::log_record(base::log_event::submission_released)
        .with("submission", released.request.submission)
        .with("team", released.request.team)
        .with("outcome", outcome);
    return released;
}

void resubmissions::wait_until(held_submission& item, base::steady_time time)
{
    item.next_step_at = std::min(time, item.deadline);
    this->components.timers.add({item.next_step_at, timer_kind::held_submission, item.id, 0, 0});
}

void resubmissions::on_timer(std::uint64_t id, base::steady_time now)
{
    auto const found = this->held.find(id);
    if (found != this->held.end() && now >= found->second.next_step_at)
        this->proceed(found->second, now);
}

bool resubmissions::cancel(std::string const& team, std::string const& submission,
                           base::steady_time now)
{
    auto const key = job_id_of(team, submission);
    this->known.record_cancelled(key, {team, submission}, now);
    auto const elsewhere = this->known.find(key, now);
    if (elsewhere)
        this->send_cancel({team, submission}, elsewhere->entry);
    std::vector<std::uint64_t> affected;
    for (auto const& [id, item] : this->held) {
        if (item.key == key)
            affected.push_back(id);
    }
    for (auto const id : affected) {
        auto& item = this->held.at(id);
        this->finish(item, cancelled_answer(item.request));
    }
    return elsewhere.has_value() || !affected.empty();
}

void resubmissions::send_cancel(policy::submission_name const& name,
                                protocol::process_id const& entry)
{
    this->components.sender.send(
        entry.name, protocol::job_cancel {ephemeral_job_id(name.team, name.submission, entry)});
}

job* resubmissions::find_abandoned(protocol::job_request const& request) const
{
    auto* const job = this->components.jobs.find(
        ephemeral_job_id(request.team, request.submission, this->components.settings.id));
    bool const abandoned
        = job != nullptr && job->failure && job->failure->code == base::error_code::abandoned;
    return abandoned ? job : nullptr;
}

void resubmissions::answer_all(base::steady_time /*now*/)
{
    while (!this->held.empty())
        this->give_up(this->held.begin()->second, "the entry is shutting down");
}

} // namespace greengagehead::entry
