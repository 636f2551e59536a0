// Queries between entries.

#include "entry/remote_jobs.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "entry/entry_components.h"

namespace greengagehead::entry {

namespace {

using std::chrono::milliseconds;

/// Time that an owner has for its answer after the end of a caller's wait.
constexpr milliseconds answer_grace {1000};
/// Longest wait in one query, so that a lost owner is noticed.
constexpr milliseconds max_query_wait {1000};
constexpr milliseconds answer_timeout {500};
/// Delay before the claim is read again, as a takeover may be in progress.
constexpr milliseconds reread_delay {100};

} // namespace

remote_jobs::remote_jobs(entry_components& shared)
    : components(shared), last_id(protocol::request_number_base(shared.settings.id.incarnation))
{
}

void remote_jobs::attach(std::string const& job, std::optional<protocol::job_claim> claim,
                         waiter caller, bool cancel, base::steady_time now)
{
    auto const id = ++this->last_id;
    auto& attached = this->attachments[id];
    attached.id = id;
    attached.job = job;
    attached.give_up_at = std::max(caller.wait_until, now) + answer_grace;
    attached.caller = std::move(caller);
    attached.cancel = cancel;
    attached.claim = std::move(claim);
    if (attached.claim)
        this->query_owner(attached, now);
    else
        this->read_claim(attached, now);
}

void remote_jobs::read_claim(attachment& attached, base::steady_time now)
{
    attached.current_stage = stage::reading_claim;
    auto const left = std::chrono::duration_cast<milliseconds>(attached.give_up_at - now);
    this->components.control.request(
        protocol::read_claim {attached.job}, std::max(left, milliseconds(1)),
        [this, id = attached.id](protocol::control_result const& result, base::steady_time later) {
            this->on_claim(id, result, later);
        },
        now);
}

void remote_jobs::on_claim(std::uint64_t id, protocol::control_result const& result,
                           base::steady_time now)
{
    auto const found = this->attachments.find(id);
    if (found == this->attachments.end())
        return;
    auto& attached = found->second;
    auto const* lookup = std::get_if<protocol::claim_lookup>(&result);
    if (lookup == nullptr) {
        if (now >= attached.give_up_at)
            return this->end_unanswered(attached);
        return this->wait(attached, reread_delay, now);
    }
    if (!lookup->claim) {
        auto const caller = std::move(attached.caller);
        auto const job = attached.job;
        this->attachments.erase(found);
        if (caller.on_query)
            return caller.on_query({0, std::nullopt, {}});
        protocol::job_answer answer;
        answer.job = job;
        return deliver_unknown(caller, answer,
                               {base::error_code::not_found,
                                base::error_step::claim,
                                {},
                                "the claim of the job no longer exists"});
    }
    attached.claim = lookup->claim;
    this->query_owner(attached, now);
}

void remote_jobs::query_owner(attachment& attached, base::steady_time now)
{
    auto const& owner = attached.claim->owner;
    if (owner == this->components.settings.id) {
        // The claim may have returned to this entry in the meantime.
        if (auto* job = this->components.jobs.find(attached.job)) {
            auto caller = std::move(attached.caller);
            this->attachments.erase(attached.id);
            return this->components.lifecycle.attach(*job, std::move(caller), now);
        }
    } else if (this->components.leases.find_live_entry(owner) != nullptr) {
        attached.current_stage = stage::querying_owner;
        if (attached.cancel)
            this->components.sender.send(owner.name, protocol::job_cancel {attached.job});
        return this->send_query(attached, owner.name, now);
    }
    if (attached.claim->finished)
        return this->query_backup(attached, now);
    this->wait(attached, reread_delay, now);
}

void remote_jobs::query_backup(attachment& attached, base::steady_time now)
{
    auto const& backup = attached.claim->backup;
    if (backup.empty())
        return this->answer_from_claim(attached);
    if (backup == this->components.settings.id.name) {
        auto const* copy = this->components.copies.find(attached.job);
        if (copy == nullptr || copy->answer == nullptr)
            return this->answer_from_claim(attached);
        return this->finish(attached, *copy->answer);
    }
    attached.current_stage = stage::querying_backup;
    this->send_query(attached, backup, now);
}

void remote_jobs::send_query(attachment& attached, std::string const& peer, base::steady_time now)
{
    auto const left
        = std::chrono::duration_cast<milliseconds>(std::max(attached.caller.wait_until, now) - now);
    auto const query_wait = std::min(left, max_query_wait);
    this->components.sender.send(
        peer, protocol::job_query {attached.id, attached.job, attached.caller.explain, query_wait});
    attached.next_step_at = now + query_wait + answer_timeout;
    this->components.timers.add({attached.next_step_at, timer_kind::attachment, attached.id, 0, 0});
}

void remote_jobs::wait(attachment& attached, milliseconds time, base::steady_time now)
{
    attached.current_stage = stage::waiting;
    attached.next_step_at = now + time;
    this->components.timers.add({attached.next_step_at, timer_kind::attachment, attached.id, 0, 0});
}

void remote_jobs::on_timer(std::uint64_t id, base::steady_time now)
{
    if (this->entry_polls.contains(id))
        return this->end_poll(id, false);
    auto const found = this->attachments.find(id);
    if (found == this->attachments.end() || now < found->second.next_step_at
        || found->second.current_stage == stage::reading_claim)
        return;
    auto& attached = found->second;
    if (attached.current_stage == stage::querying_owner && attached.claim->finished)
        return this->query_backup(attached, now);
    if (attached.current_stage == stage::querying_backup)
        return this->answer_from_claim(attached);
    if (now >= attached.give_up_at)
        return this->end_unanswered(attached);
    this->read_claim(attached, now);
}

void remote_jobs::query_all_entries(std::string const& job, std::function<void(bool)> done,
                                    base::steady_time now)
{
    auto const id = ++this->last_id;
    auto& added = this->entry_polls[id];
    added.done = std::move(done);
    for (auto const& entry : this->components.leases.applied().entries) {
        if (entry.id == this->components.settings.id)
            continue;
        added.awaited.insert(entry.id.name);
        this->components.sender.send(entry.id.name,
                                     protocol::job_query {id, job, false, milliseconds(0)});
    }
    if (added.awaited.empty())
        return this->end_poll(id, true);
    this->components.timers.add({now + answer_timeout, timer_kind::attachment, id, 0, 0});
}

void remote_jobs::end_poll(std::uint64_t id, bool unknown_everywhere)
{
    auto const done = std::move(this->entry_polls.at(id).done);
    this->entry_polls.erase(id);
    done(unknown_everywhere);
}

void remote_jobs::on_reply(std::string const& peer, protocol::job_reply const& reply,
                           base::steady_time now)
{
    if (auto const queried = this->entry_polls.find(reply.query_id);
        queried != this->entry_polls.end()) {
        if (queried->second.awaited.erase(peer) == 0)
            return;
        if (reply.answer)
            this->end_poll(reply.query_id, false);
        else if (queried->second.awaited.empty())
            this->end_poll(reply.query_id, true);
        return;
    }
    auto const found = this->attachments.find(reply.query_id);
    if (found == this->attachments.end())
        return;
    auto& attached = found->second;
    if (attached.current_stage != stage::querying_owner
        && attached.current_stage != stage::querying_backup)
        return;
    auto const& queried = attached.current_stage == stage::querying_owner
        ? attached.claim->owner.name
        : attached.claim->backup;
    if (peer != queried || (reply.answer && reply.answer->job != attached.job))
        return;
    attached.explanation = reply.explanation;
    if (reply.answer && reply.answer->state != protocol::job_state::running)
        return this->finish(attached, *reply.answer);
    if (reply.answer && attached.current_stage == stage::querying_owner) {
        attached.last_answer = reply.answer;
        if (now >= attached.caller.wait_until)
            return this->finish(attached, *reply.answer);
        return this->query_owner(attached, now);
    }
    if (attached.current_stage == stage::querying_backup)
        return this->answer_from_claim(attached);
    if (attached.claim->finished)
        return this->query_backup(attached, now);
    // The owner does not know the job, perhaps not yet: its claim may have moved.
    if (now >= attached.give_up_at)
        return this->end_unanswered(attached);
    this->wait(attached, reread_delay, now);
}

void remote_jobs::answer_from_claim(attachment& attached)
{
    protocol::job_answer answer;
    auto const& claim = *attached.claim;
    answer.job = claim.job;
    answer.team = claim.team;
    answer.submission = claim.submission;
    answer.state = claim.state;
    answer.ran = claim.ran;
    answer.failure
        = base::error {base::error_code::not_found, base::error_step::assemble, claim.owner.name,
                       "answer_lost: the job has ended and its answer is lost"};
    this->finish(attached, answer);
}

void remote_jobs::end_unanswered(attachment& attached)
{
    auto const expired = std::move(attached);
    this->attachments.erase(expired.id);
    if (expired.last_answer)
        return deliver(expired.caller, *expired.last_answer, expired.explanation);
    protocol::job_answer answer;
    answer.job = expired.job;
    answer.state = protocol::job_state::running;
    if (expired.claim) {
        answer.team = expired.claim->team;
        answer.submission = expired.claim->submission;
    }
    deliver_unknown(expired.caller, std::move(answer),
                    {base::error_code::unavailable, base::error_step::claim,
                     expired.claim ? expired.claim->owner.name : std::string(),
                     "no answer about the state of the job in time"});
}

void remote_jobs::finish(attachment& attached, protocol::job_answer const& answer)
{
    auto const finished = std::move(attached);
    this->attachments.erase(finished.id);
    deliver(finished.caller, answer, finished.explanation);
}

void remote_jobs::on_query(std::string const& peer, protocol::job_query const& query,
                           base::steady_time now)
{
    auto const reply = [this, peer, id = query.query_id](protocol::job_reply const& answer) {
        auto reply_with_id = answer;
        reply_with_id.query_id = id;
        this->components.sender.send(peer, reply_with_id);
    };
    if (auto* job = this->components.jobs.find(query.job)) {
        waiter caller;
        caller.wait_until = now + std::min(query.wait, max_query_wait);
        caller.explain = query.explain;
        caller.on_query = reply;
        if (job->ephemeral && job->is_final()) {
            protocol::job_reply ended;
            ended.answer = settled_answer(*job);
            return reply(ended);
        }
        // Nobody is to wait longer for a run on a machine that is not heard.
        if (job->ephemeral && this->components.monitor.waits_for_lost_agent(*job)) {
            protocol::job_reply waiting;
            waiting.answer = current_answer(*job);
            waiting.answer->failure = base::error {base::error_code::unavailable,
                                                   base::error_step::run,
                                                   {},
                                                   "a run goes on at an agent that is not heard"};
            return reply(waiting);
        }
        // A caller that waits at the other entry needs the answer after the deadline of the first.
        if (job->ephemeral) {
            job->wanted_until = caller.wait_until + answer_timeout;
            this->components.lifecycle.extend_deadline(*job, job->wanted_until);
        }
        return this->components.lifecycle.attach(*job, std::move(caller), now);
    }
    protocol::job_reply answer;
    auto const* copy = this->components.copies.find(query.job);
    if (copy != nullptr && copy->answer != nullptr) {
        answer.answer = *copy->answer;
    } else if (copy != nullptr && copy->owner != peer) {
        // The job exists, and its owner knows its state.
        answer.answer.emplace();
        answer.answer->job = query.job;
        answer.answer->ran = protocol::ran_extent::unknown;
    }
    reply(answer);
}

} // namespace greengagehead::entry
