// Asks the entry that may run a held submission, waits for its runs to end, and starts or answers
// the submission then.

#include "entry/submission_holds.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "base/log_record.h"
#include "entry/entry_components.h"
#include "entry/entry_links.h"
#include "entry/remote_runs.h"
#include "entry/submission_announcements.h"
#include "entry/submission_answers.h"
#include "protocol/job_json.h"

namespace greengagehead::entry {

namespace {

using policy::resubmission_step;
using std::chrono::milliseconds;

/// Longest wait in one query, so that a lost entry is noticed.
constexpr milliseconds max_query_wait {1000};
constexpr milliseconds answer_timeout {500};
/// Pause after the denial of a claim.
constexpr milliseconds denial_delay {10};
/// Pause before a job that is still in progress is looked at again.
constexpr milliseconds repeat_delay {50};

} // namespace

submission_holds::submission_holds(entry_components& shared, entry_links const& others,
                                   submission_announcements const& sent,
                                   policy::remote_submissions& elsewhere, remote_runs& unasked)
    : components(shared), links(others), announcements(sent), known(elsewhere), runs(unasked)
{
}

void submission_holds::hold(unstarted_submission submission, std::string const& entry,
                            base::steady_time now)
{
    this->proceed(this->add(std::move(submission), entry, now), now);
}

void submission_holds::hold_denied(unstarted_submission submission, std::string const& entry,
                                   base::steady_time now)
{
    // Not at once: this entry itself may be the witness, and a denial is to cost some time.
    this->wait_until(this->add(std::move(submission), entry, now), now + denial_delay);
}

held_submission& submission_holds::add(unstarted_submission submission, std::string const& entry,
                                       base::steady_time now)
{
    ++this->components.counters.submissions_held;
    auto const id = this->components.remote.allocate_id();
    auto& item = this->held[id];
    item.id = id;
    item.submission = std::move(submission);
    base::log_record(base::log_event::submission_held)
        .with("submission", item.submission.request.submission)
        .with("team", item.submission.request.team)
        .with("entry", entry);
    // Another entry that holds it since earlier must not start it at the same time as this one.
    this->announcements.announce_hold(item.announcement(now));
    return item;
}

void submission_holds::proceed_all(base::steady_time now)
{
    std::vector<std::uint64_t> ids;
    for (auto const& [id, item] : this->held)
        ids.push_back(id);
    for (auto const id : ids) {
        if (auto const found = this->held.find(id); found != this->held.end())
            this->proceed(found->second, now);
    }
}

void submission_holds::on_timer(std::uint64_t id, base::steady_time now)
{
    auto const found = this->held.find(id);
    if (found != this->held.end() && now >= found->second.next_step_at)
        this->proceed(found->second, now);
}

void submission_holds::proceed(held_submission& item, base::steady_time now)
{
    if (this->closing)
        return this->give_up(item, "the entry is shutting down");
    if (auto const reason = item.end_reason(now))
        return this->give_up(item, *reason);
    if (this->awaits_abandoned(item))
        return this->wait_for_ends(item, now);
    auto const elsewhere = this->known.find(item.submission.key, now);
    if (!elsewhere && this->must_wait_for_newer(item, now))
        return this->wait_until(item, now + repeat_delay);
    if (!elsewhere)
        return this->start_here(item, now);
    if (elsewhere->out_of_contact)
        return this->search(item, *elsewhere, now);
    this->end_search(item);
    if (elsewhere->connected)
        return this->ask(item, elsewhere->entry, now);
    this->wait_until(item, elsewhere->ends_by);
}

bool submission_holds::awaits_abandoned(held_submission const& item) const
{
    auto const* const job = this->components.jobs.find(item.job_at(this->components.settings.id));
    if (job == nullptr || !job->abandoned())
        return false;
    auto const state = settled_answer(*job);
    return !job->is_final() || policy::next_step(&state) == resubmission_step::ask_again;
}

bool submission_holds::must_wait_for_newer(held_submission const& item, base::steady_time now) const
{
    return this->known.has_newer_holder(item.submission.key, item.submission.submitted,
                                        this->components.settings.id.name, now);
}

void submission_holds::search(held_submission& item, policy::remote_submission const& elsewhere,
                              base::steady_time now)
{
    auto const job = item.job_at(elsewhere.entry);
    if (item.searched_job != job) {
        this->end_search(item);
        item.searched_job = job;
    }
    this->runs.search(job, elsewhere.announced);
    if (!this->runs.ended(job))
        return this->wait_for_ends(item, now);
    this->end_search(item);
    this->record_ended(item, elsewhere.entry, "the agents run nothing of a lost entry");
    this->proceed(item, now);
}

void submission_holds::end_search(held_submission& item)
{
    if (!item.searched_job.empty())
        this->runs.forget(item.searched_job);
    item.searched_job.clear();
}

void submission_holds::record_ended(held_submission& item, protocol::process_id const& entry,
                                    std::string const& reason)
{
    if (auto const number = this->known.claim_number(entry, item.submission.key))
        item.submission.ended_claims.push_back({entry, *number});
    item.submission.ended_reason = reason;
    this->known.record_ended(entry, item.submission.key);
}

void submission_holds::ask(held_submission& item, protocol::process_id const& entry,
                           base::steady_time now)
{
    auto const left = std::chrono::ceil<milliseconds>(item.submission.deadline - now);
    auto const query_wait = std::min(left, max_query_wait);
    item.asked = entry;
    item.asked_job = item.job_at(entry);
    this->components.sender.send(entry.name,
                                 protocol::job_query {item.id, item.asked_job, false, query_wait});
    this->wait_until(item, now + query_wait + answer_timeout);
}

bool submission_holds::on_reply(std::string const& peer, protocol::job_reply const& reply,
                                base::steady_time now)
{
    auto const found = this->held.find(reply.query_id);
    if (found == this->held.end())
        return false;
    auto& item = found->second;
    // Another incarnation of the entry knows nothing of the job.
    if (item.has_asked(peer, reply) && !this->links.is_replaced(item.asked))
        this->on_state(item, reply.answer ? &*reply.answer : nullptr, now);
    return true;
}

void submission_holds::on_state(held_submission& item, protocol::job_answer const* state,
                                base::steady_time now)
{
    switch (policy::next_step(state)) {
    case resubmission_step::ask_again:
        if (state->state != protocol::job_state::running || state->failure)
            return this->wait_for_ends(item, now);
        item.ends_awaited_since.reset();
        return this->wait_until(item, now + repeat_delay);
    case resubmission_step::answer:
        return this->finish(item, *state);
    case resubmission_step::start_here:
        this->record_ended(item, item.asked, "its entry has stated the end");
        item.asked = {};
        // Somebody else may run or start it by now.
        if (this->known.find(item.submission.key, now) || this->must_wait_for_newer(item, now))
            return this->wait_until(item, now + repeat_delay);
        return this->start_here(item, now);
    }
}

void submission_holds::wait_for_ends(held_submission& item, base::steady_time now)
{
    if (!item.ends_awaited_since)
        item.ends_awaited_since = now;
    if (now >= *item.ends_awaited_since + policy::unconfirmed_end_wait)
        return this->give_up(item, "a run may go on at a machine that is not heard");
    this->wait_until(item, now + repeat_delay);
}

void submission_holds::wait_until(held_submission& item, base::steady_time time)
{
    item.next_step_at = std::min(time, item.submission.deadline);
    this->components.timers.add({item.next_step_at, timer_kind::held_submission, item.id, 0, 0});
}

void submission_holds::start_here(held_submission& item, base::steady_time now)
{
    if (auto const reason = item.end_reason(now))
        return this->give_up(item, *reason);
    auto released = this->release(item, "claimed");
    this->components.lifecycle.claim_or_refuse(
        std::move(released).to_start(this->components.settings.id, now), now);
}

void submission_holds::give_up(held_submission& item, std::string_view reason)
{
    auto const released = this->release(item, reason);
    this->announcements.announce_end(released.submission.key);
    deliver_unknown(released.submission.caller,
                    answer_for(released.submission.request, protocol::job_state::running),
                    {base::error_code::unavailable, base::error_step::admission,
                     released.asked.name, std::string(reason)});
}

void submission_holds::finish(held_submission& item, protocol::job_answer const& answer)
{
    // `answer` may belong to a job that ends with the hold.
    auto const final_answer = answer;
    auto const released = this->release(item, protocol::to_string(answer.state));
    this->announcements.announce_end(released.submission.key);
    deliver(released.submission.caller, final_answer, {});
}

held_submission submission_holds::release(held_submission& item, std::string_view outcome)
{
    this->end_search(item);
    auto released = std::move(item);
    this->held.erase(released.id);
    base::log_record(base::log_event::submission_released)
        .with("submission", released.submission.request.submission)
        .with("team", released.submission.request.team)
        .with("outcome", outcome);
    return released;
}

bool submission_holds::contains(std::string const& key) const
{
    return std::any_of(this->held.begin(), this->held.end(),
                       [&key](auto const& item) { return item.second.submission.key == key; });
}

bool submission_holds::cancel(std::string const& key)
{
    std::vector<std::uint64_t> affected;
    for (auto const& [id, item] : this->held) {
        if (item.submission.key == key)
            affected.push_back(id);
    }
    for (auto const id : affected) {
        auto& item = this->held.at(id);
        this->finish(item, cancelled_answer(item.submission.request));
    }
    return !affected.empty();
}

void submission_holds::answer_all()
{
    this->closing = true;
    while (!this->held.empty())
        this->give_up(this->held.begin()->second, "the entry is shutting down");
}

std::vector<protocol::submissions_running::submission>
submission_holds::announcements_of_all(base::steady_time now) const
{
    std::vector<protocol::submissions_running::submission> all;
    all.reserve(this->held.size());
    for (auto const& [id, item] : this->held)
        all.push_back(item.announcement(now));
    return all;
}

} // namespace greengagehead::entry
