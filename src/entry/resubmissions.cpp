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

constexpr milliseconds expiry_interval {1000};
/// A longer time between two ticks counts as a pause of this entry.
constexpr milliseconds min_pause {300};
/// What is read this soon after a pause may have been sent before it.
constexpr milliseconds backlog_time {100};
/// Longest wait in one query, so that a lost entry is noticed.
constexpr milliseconds max_query_wait {1000};
constexpr milliseconds answer_timeout {500};
/// A longer silence in a statement counts as this.
constexpr milliseconds max_stated_silence {std::chrono::hours(24)};
/// Pause after the denial of a claim.
constexpr milliseconds denial_delay {10};
/// Pause before a job that is still in progress is looked at again.
constexpr milliseconds repeat_delay {50};
/// Names of entries as peers begin so.
constexpr std::string_view entry_peer_prefix = "entry.";
/// Entries name a submission to each other by this and its key, because the id of an ephemeral job
/// differs between entries. Ids of jobs are hexadecimal.
constexpr std::string_view submission_prefix = "submission:";

std::string submission_id(std::string const& key)
{
    return std::string(submission_prefix) + key;
}

std::string submission_id(job const& job)
{
    return submission_id(job.key);
}

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

resubmissions::resubmissions(entry_components& shared) : components(shared), runs(shared) { }

void resubmissions::record_admitted(job const& job)
{
    this->jobs_by_key[job.key] = job.number;
}

job* resubmissions::find_job(std::string const& key) const
{
    auto const found = this->jobs_by_key.find(key);
    return found == this->jobs_by_key.end() ? nullptr : this->components.jobs.find(found->second);
}

void resubmissions::announce(job const& job)
{
    this->unannounced.push_back(job.number);
}

void resubmissions::record_tick(base::steady_time now)
{
    if (this->last_tick != base::steady_time {} && now - this->last_tick > min_pause) {
        this->pause_began = this->last_tick;
        this->pause_ended = now;
    }
    this->last_tick = now;
}

base::steady_time resubmissions::earliest_sent(base::steady_time now) const
{
    if (this->last_tick == base::steady_time {})
        return now;
    if (now - this->last_tick > min_pause)
        return this->last_tick;
    return now < this->pause_ended + backlog_time ? this->pause_began : now;
}

void resubmissions::tick(base::steady_time now)
{
    this->record_tick(now);
    this->runs.tick(now);
    if (now >= this->next_expiry) {
        this->next_expiry = now + expiry_interval;
        this->known.expire(now);
        this->confirmations.expire(now);
        std::erase_if(this->jobs_by_key, [this](auto const& item) {
            return this->components.jobs.find(item.second) == nullptr;
        });
    }
    if (this->unannounced.empty() || now < this->next_announcement)
        return;
    this->next_announcement = now + policy::announcement_interval;
    auto const numbers = std::exchange(this->unannounced, {});
    this->send_to_all(this->describe_jobs(numbers, now));
}

void resubmissions::send_to_all(protocol::submissions_running const& message)
{
    if (message.submissions.empty())
        return;
    for (auto const& receiver : this->other_entries())
        this->components.sender.send(receiver, message);
}

std::set<std::string> resubmissions::other_entries() const
{
    auto others = this->linked;
    for (auto const& entry : this->components.leases.applied().entries)
        others.insert(entry.id.name);
    others.erase(this->components.settings.id.name);
    return others;
}

protocol::submissions_running
resubmissions::describe_jobs(std::vector<std::uint64_t> const& numbers, base::steady_time now)
{
    protocol::submissions_running message {this->components.settings.id, {}, false};
    for (auto const number : numbers) {
        auto const* const job = this->components.jobs.find(number);
        if (job == nullptr)
            continue;
        if (job->is_final() && job->unconfirmed.empty())
            continue;
        auto const end = job->is_final() ? now + policy::unconfirmed_announcement : job->deadline;
        if (end <= now)
            continue;
        message.submissions.push_back({job->key,
                                       std::chrono::floor<milliseconds>(now - job->submitted),
                                       std::chrono::ceil<milliseconds>(end - now), false});
    }
    return message;
}

protocol::submissions_running::submission resubmissions::describe_hold(held_submission const& item,
                                                                       base::steady_time now)
{
    return {item.key, std::chrono::floor<milliseconds>(now - item.submitted),
            std::max(std::chrono::ceil<milliseconds>(item.deadline - now), milliseconds(1)), true};
}

protocol::submissions_running resubmissions::describe_all(base::steady_time now)
{
    std::vector<std::uint64_t> numbers;
    for (auto const& [number, job] : this->components.jobs.all()) {
        if (job->ephemeral && now - job->submitted >= policy::announcement_age)
            numbers.push_back(number);
    }
    auto message = this->describe_jobs(numbers, now);
    for (auto const& [id, item] : this->held)
        message.submissions.push_back(resubmissions::describe_hold(item, now));
    return message;
}

void resubmissions::peer_up(std::string const& peer, base::steady_time now)
{
    if (!peer.starts_with(entry_peer_prefix))
        return;
    this->linked.insert(peer);
    auto message = this->describe_all(now);
    message.asks_for_all = true;
    this->components.sender.send(peer, message);
    for (auto const& key : this->known.cancelled_here(now))
        this->components.sender.send(peer, protocol::job_cancel {submission_id(key)});
}

void resubmissions::peer_down(std::string const& peer, base::steady_time now)
{
    if (!peer.starts_with(entry_peer_prefix))
        return;
    this->linked.erase(peer);
    this->incarnations.erase(peer);
    this->known.record_disconnected(peer);
    this->on_view(now);
}

void resubmissions::record_present_entries()
{
    std::vector<protocol::process_id> present;
    for (auto const& entry : this->components.leases.applied().entries)
        present.push_back(entry.id);
    this->known.record_view(present);
}

void resubmissions::on_view(base::steady_time now)
{
    this->record_present_entries();
    this->proceed_all(now);
}

void resubmissions::proceed_all(base::steady_time now)
{
    std::vector<std::uint64_t> ids;
    for (auto const& [id, item] : this->held)
        ids.push_back(id);
    for (auto const id : ids) {
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
    this->incarnations[peer] = message.entry.incarnation;
    this->known.record_incarnation(message.entry);
    for (auto const& item : message.submissions) {
        this->known.record(message.entry, item, now);
        if (auto const* const cancelled = this->known.cancelled(item.key, now))
            this->send_cancel(item.key, *cancelled, message.entry);
        else
            this->stop_superseded(item, peer, now);
    }
    if (!message.asks_for_all)
        return;
    auto const answer = this->describe_all(now);
    if (!answer.submissions.empty())
        this->components.sender.send(peer, answer);
}

void resubmissions::stop_superseded(protocol::submissions_running::submission const& announced,
                                    std::string const& peer, base::steady_time now)
{
    auto* const job = this->find_job(announced.key);
    auto const& self = this->components.settings.id.name;
    if (job == nullptr || announced.held || announced.remaining <= milliseconds(0)
        || !policy::is_later(now - announced.age, peer, job->submitted, self))
        return;
    this->components.lifecycle.stop_for_other_entry(
        *job, peer, "the entry has a later submission of the job", now);
}

bool resubmissions::may_start(job const& job, base::steady_time now)
{
    bool const alone = this->linked.empty() && this->components.leases.applied().entries.size() < 2;
    return !job.ephemeral || alone
        || this->confirmations.may_start(job.number, job.earliest_sent, now);
}

void resubmissions::ask_before_starts(base::steady_time now)
{
    for (auto const number : this->confirmations.take_expired(now))
        this->give_up_unconfirmed(number, now);
    std::vector<std::uint64_t> due;
    for (auto const number : this->confirmations.take_due(now)) {
        auto const* const job = this->components.jobs.find(number);
        if (job != nullptr && job->phase == job_phase::running)
            due.push_back(number);
        else
            this->confirmations.forget(number);
    }
    if (due.empty())
        return;
    // The others hold the jobs from now on, so that their answers stay true for a while.
    this->send_to_all(this->describe_jobs(due, now));
    auto const others = this->other_entries();
    for (auto const number : due) {
        auto const* const job = this->components.jobs.find(number);
        auto const id = this->components.remote.allocate_id();
        this->confirmations.begin_query(number, id, others, now);
        for (auto const& entry : others)
            this->components.sender.send(entry,
                                         protocol::job_query {id, submission_id(*job), false, {}});
    }
}

bool resubmissions::on_query(std::string const& peer, protocol::job_query const& query,
                             base::steady_time now)
{
    if (!query.job.starts_with(submission_prefix))
        return false;
    protocol::job_reply reply;
    reply.query_id = query.query_id;
    auto const* const job = this->find_job(query.job.substr(submission_prefix.size()));
    bool const claimed
        = this->components.submission_consent.contains(query.job.substr(submission_prefix.size()));
    if (claimed || (job != nullptr && (!job->is_final() || !job->unconfirmed.empty()))) {
        // The entry that asks stops its job when this one is the later one.
        auto const running = job != nullptr ? this->describe_jobs({job->number}, now)
                                            : protocol::submissions_running {};
        if (!running.submissions.empty())
            this->components.sender.send(peer, running);
        reply.answer.emplace();
        reply.answer->job = query.job;
        reply.answer->ran = protocol::ran_extent::unknown;
    }
    this->components.sender.send(peer, reply);
    return true;
}

bool resubmissions::on_start_reply(std::string const& peer, protocol::job_reply const& reply)
{
    if (!this->confirmations.contains(reply.query_id))
        return false;
    auto const confirmed
        = this->confirmations.record_reply(peer, reply.query_id, reply.answer.has_value());
    auto* const job = confirmed ? this->components.jobs.find(*confirmed) : nullptr;
    if (job != nullptr && job->phase == job_phase::running)
        this->components.lifecycle.enqueue_waiting(*job);
    return true;
}

void resubmissions::give_up_unconfirmed(std::uint64_t number, base::steady_time now)
{
    auto* const job = this->components.jobs.find(number);
    if (job == nullptr || job->phase != job_phase::running)
        return;
    if (job->nothing_started())
        return this->components.lifecycle.refuse_unstarted(*job, now);
    this->components.lifecycle.fail(*job,
                                    {base::error_code::unavailable,
                                     base::error_step::placement,
                                     {},
                                     "not all entries have answered whether they run the job"},
                                    now);
}

bool resubmissions::take(protocol::job_request& request, waiter& caller, std::string const& key,
                         bool abandoned_here, base::steady_time now)
{
    if (this->known.empty() && !abandoned_here)
        return false;
    if (this->known.cancelled(key, now) != nullptr) {
        deliver(caller, cancelled_answer(request), {});
        return true;
    }
    auto const elsewhere = this->known.find(key, now);
    if (!elsewhere && !abandoned_here)
        return false;
    auto const entry = elsewhere ? elsewhere->entry.name : this->components.settings.id.name;
    auto const deadline = now + request.deadline;
    auto const arrived = caller.arrived.value_or(now);
    unstarted_submission submission {key,
                                     {},
                                     std::move(request),
                                     std::move(caller),
                                     arrived,
                                     std::min(this->earliest_sent(now), arrived),
                                     deadline,
                                     {},
                                     {},
                                     {},
                                     true};
    this->proceed(this->add_hold(std::move(submission), entry, now), now);
    return true;
}

bool resubmissions::is_known(std::string const& key, base::steady_time now) const
{
    return this->find_job(key) != nullptr || this->known.cancelled(key, now) != nullptr
        || this->known.find(key, now)
        || std::any_of(this->held.begin(), this->held.end(),
                       [&key](auto const& item) { return item.second.key == key; });
}

resubmissions::held_submission& resubmissions::add_hold(unstarted_submission submission,
                                                        std::string const& entry,
                                                        base::steady_time now)
{
    ++this->components.counters.submissions_held;
    auto const id = this->components.remote.allocate_id();
    auto& item = this->held[id];
    item.id = id;
    item.key = submission.key;
    item.submitted = submission.submitted;
    item.earliest_sent = submission.earliest_sent;
    item.deadline = submission.deadline;
    item.request = std::move(submission.request);
    item.caller = std::move(submission.caller);
    item.ended_claims = std::move(submission.ended_claims);
    item.ended_reason = std::move(submission.ended_reason);
    base::log_record(base::log_event::submission_held)
        .with("submission", item.request.submission)
        .with("team", item.request.team)
        .with("entry", entry);
    // Another entry that holds it since earlier must not start it at the same time as this one.
    this->send_to_all(
        {this->components.settings.id, {resubmissions::describe_hold(item, now)}, false});
    return item;
}

void resubmissions::hold(unstarted_submission submission, protocol::claim_ref const& holder,
                         base::steady_time granted, base::steady_time now)
{
    auto const& key = submission.key;
    auto const found = this->incarnations.find(holder.entry.name);
    bool const replaced
        = found != this->incarnations.end() && found->second != holder.entry.incarnation;
    bool const connected = this->linked.contains(holder.entry.name) && !replaced;
    this->known.record_claim(key, holder, connected, granted, now);
    // A former process of this entry, which is certainly gone.
    if (holder.entry.name == this->components.settings.id.name)
        this->known.record_incarnation(this->components.settings.id);
    this->record_present_entries();
    // Not at once: this entry itself may be the witness, and a denial is to cost some time.
    this->wait_until(this->add_hold(std::move(submission), holder.entry.name, now),
                     now + denial_delay);
}

void resubmissions::record_ended(held_submission& item, protocol::process_id const& entry,
                                 std::string const& reason)
{
    if (auto const number = this->known.claim_number(entry, item.key))
        item.ended_claims.push_back({entry, *number});
    item.ended_reason = reason;
    this->known.record_ended(entry, item.key);
}

void resubmissions::proceed(held_submission& item, base::steady_time now)
{
    if (this->closing)
        return this->give_up(item, "the entry is shutting down");
    if (item.caller.has_left && item.caller.has_left())
        return this->give_up(item, "the caller has left");
    if (now >= item.deadline)
        return this->give_up(item, "the deadline has passed");
    if (auto* const abandoned = this->find_abandoned(item.request)) {
        auto const state = settled_answer(*abandoned);
        if (!abandoned->is_final() || policy::next_step(&state) == resubmission_step::ask_again)
            return this->wait_for_ends(item, now);
    }
    auto const elsewhere = this->known.find(item.key, now);
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

void resubmissions::search(held_submission& item, policy::remote_submission const& elsewhere,
                           base::steady_time now)
{
    auto const job = ephemeral_job_id(item.request.team, item.request.submission, elsewhere.entry);
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

void resubmissions::end_search(held_submission& item)
{
    if (!item.searched_job.empty())
        this->runs.forget(item.searched_job);
    item.searched_job.clear();
}

void resubmissions::on_report(protocol::outcome_report const& report, base::steady_time now)
{
    this->runs.on_report(report, now);
}

void resubmissions::record_agents(std::vector<protocol::agent_silence> const& agents,
                                  base::steady_time now)
{
    for (auto const& [agent, silence] : agents) {
        auto const stated = std::clamp(silence, milliseconds(0), max_stated_silence);
        this->runs.record_heard_elsewhere(agent, now - stated);
    }
}

bool resubmissions::must_wait_for_newer(held_submission const& item, base::steady_time now) const
{
    return this->known.has_newer_holder(item.key, item.submitted, this->components.settings.id.name,
                                        now);
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
        return this->on_start_reply(peer, reply);
    auto& item = found->second;
    if (peer != item.asked.name || (reply.answer && reply.answer->job != item.asked_job))
        return true;
    // Another incarnation of the entry knows nothing of the job.
    if (auto const now_there = this->incarnations.find(peer);
        now_there != this->incarnations.end() && now_there->second != item.asked.incarnation)
        return true;
    this->on_state(item, reply.answer ? &*reply.answer : nullptr, now);
    return true;
}

void resubmissions::on_state(held_submission& item, protocol::job_answer const* state,
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
        if (this->known.find(item.key, now) || this->must_wait_for_newer(item, now))
            return this->wait_until(item, now + repeat_delay);
        return this->start_here(item, now);
    }
}

void resubmissions::start_here(held_submission& item, base::steady_time now)
{
    if (item.caller.has_left && item.caller.has_left())
        return this->give_up(item, "the caller has left");
    if (now >= item.deadline)
        return this->give_up(item, "the deadline has passed");
    auto released = this->release(item, "claimed");
    released.request.deadline = std::chrono::ceil<milliseconds>(released.deadline - now);
    auto const id = ephemeral_job_id(released.request.team, released.request.submission,
                                     this->components.settings.id);
    this->components.lifecycle.claim_or_refuse(
        {released.key,
         id,
         std::move(released.request),
         std::move(released.caller),
         released.submitted,
         std::min(released.earliest_sent, released.submitted),
         released.deadline,
         {},
         std::move(released.ended_claims),
         std::move(released.ended_reason),
         true},
        now);
}

void resubmissions::announce_start(std::string const& key, std::string const& job,
                                   base::steady_time now)
{
    // A third entry may get the submission before the job has reached the age of announcements.
    auto const* const started = this->components.jobs.find(job);
    if (started != nullptr && !started->is_final())
        return this->send_to_all(this->describe_jobs({started->number}, now));
    this->announce_end(key);
}

void resubmissions::announce_end(std::string const& key)
{
    protocol::submissions_running::submission ended;
    ended.key = key;
    ended.held = true;
    this->send_to_all({this->components.settings.id, {ended}, false});
}

void resubmissions::give_up(held_submission& item, std::string const& reason)
{
    auto const released = this->release(item, reason);
    this->announce_end(released.key);
    deliver_unknown(
        released.caller, answer_for(released.request, protocol::job_state::running),
        {base::error_code::unavailable, base::error_step::admission, released.asked.name, reason});
}

void resubmissions::finish(held_submission& item, protocol::job_answer const& answer)
{
    // `answer` may belong to a job that ends with the hold.
    auto const final_answer = answer;
    auto const released = this->release(item, protocol::to_string(answer.state));
    this->announce_end(released.key);
    deliver(released.caller, final_answer, {});
}

resubmissions::held_submission resubmissions::release(held_submission& item,
                                                      std::string_view outcome)
{
    this->end_search(item);
    auto released = std::move(item);
    this->held.erase(released.id);
    base::log_record(base::log_event::submission_released)
        .with("submission", released.request.submission)
        .with("team", released.request.team)
        .with("outcome", outcome);
    return released;
}

void resubmissions::wait_for_ends(held_submission& item, base::steady_time now)
{
    if (!item.ends_awaited_since)
        item.ends_awaited_since = now;
    if (now >= *item.ends_awaited_since + policy::unconfirmed_end_wait)
        return this->give_up(item, "a run may go on at a machine that is not heard");
    this->wait_until(item, now + repeat_delay);
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
        this->send_cancel(key, {team, submission}, elsewhere->entry);
    // Its caller may have sent it to an entry that has not announced it yet, or may do so.
    for (auto const& entry : this->other_entries())
        this->components.sender.send(entry, protocol::job_cancel {submission_id(key)});
    bool const claimed = this->components.submission_consent.cancel(key, now);
    return this->end_holds(key) || claimed || elsewhere.has_value();
}

void resubmissions::on_cancelled_elsewhere(std::string const& peer, std::string const& id,
                                           base::steady_time now)
{
    if (!peer.starts_with(entry_peer_prefix) || !id.starts_with(submission_prefix))
        return;
    this->record_cancelled(id.substr(submission_prefix.size()), now);
}

bool resubmissions::is_linked(protocol::process_id const& entry) const
{
    auto const found = this->incarnations.find(entry.name);
    return entry == this->components.settings.id
        || (this->linked.contains(entry.name) && found != this->incarnations.end()
            && found->second == entry.incarnation);
}

bool resubmissions::is_cancelled(std::string const& key, base::steady_time now) const
{
    return this->known.cancelled(key, now) != nullptr;
}

void resubmissions::record_cancelled(std::string const& key, base::steady_time now)
{
    this->known.record_cancelled(key, {}, now);
    if (auto* const job = this->find_job(key))
        this->components.lifecycle.cancel_submission(*job, now);
    this->components.submission_consent.cancel(key, now);
    this->end_holds(key);
}

bool resubmissions::end_holds(std::string const& key)
{
    std::vector<std::uint64_t> affected;
    for (auto const& [id, item] : this->held) {
        if (item.key == key)
            affected.push_back(id);
    }
    for (auto const id : affected) {
        auto& item = this->held.at(id);
        this->finish(item, cancelled_answer(item.request));
    }
    return !affected.empty();
}

void resubmissions::send_cancel(std::string const& key, policy::submission_name const& name,
                                protocol::process_id const& entry)
{
    if (name.submission.empty())
        return this->components.sender.send(entry.name, protocol::job_cancel {submission_id(key)});
    this->components.sender.send(
        entry.name, protocol::job_cancel {ephemeral_job_id(name.team, name.submission, entry)});
}

job* resubmissions::find_abandoned(protocol::job_request const& request) const
{
    auto* const job = this->components.jobs.find(
        ephemeral_job_id(request.team, request.submission, this->components.settings.id));
    return job != nullptr && job->abandoned() ? job : nullptr;
}

void resubmissions::answer_all()
{
    this->closing = true;
    while (!this->held.empty())
        this->give_up(this->held.begin()->second, "the entry is shutting down");
}

} // namespace greengagehead::entry
