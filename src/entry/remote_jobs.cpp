// Queries between entries.

#include "entry/remote_jobs.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "entry/entry_parts.h"

namespace greengagehead::entry {

namespace {

using std::chrono::milliseconds;

/// Time beyond a caller's wait for an owner to answer.
constexpr milliseconds grace {1000};
/// Queries ask for at most this wait, so that a lost owner is noticed.
constexpr milliseconds longest_query {1000};
constexpr milliseconds answer_timeout {500};
/// Before the claim is read again, while a takeover may be under way.
constexpr milliseconds reread_pause {100};

} // namespace

remote_jobs::remote_jobs(entry_parts& all) : parts(all) { }

void remote_jobs::attach(std::string const& job, std::optional<protocol::job_claim> claim,
                         waiter caller, bool cancel, base::steady_time now)
{
    auto const id = ++this->last_id;
    auto& item = this->open[id];
    item.id = id;
    item.job = job;
    item.give_up = std::max(caller.until, now) + grace;
    item.caller = std::move(caller);
    item.cancel = cancel;
    item.claim = std::move(claim);
    if (item.claim)
        this->ask_owner(item, now);
    else
        this->read_claim(item, now);
}

void remote_jobs::read_claim(attachment& item, base::steady_time now)
{
    item.at = stage::reading;
    auto const left = std::chrono::duration_cast<milliseconds>(item.give_up - now);
    this->parts.control.request(
        protocol::read_claim {item.job}, std::max(left, milliseconds(1)),
        [this, id = item.id](protocol::control_result const& result, base::steady_time later) {
            this->on_claim(id, result, later);
        },
        now);
}

void remote_jobs::on_claim(std::uint64_t id, protocol::control_result const& result,
                           base::steady_time now)
{
    auto const found = this->open.find(id);
    if (found == this->open.end())
        return;
    auto& item = found->second;
    auto const* lookup = std::get_if<protocol::claim_lookup>(&result);
    if (lookup == nullptr) {
        if (now >= item.give_up)
            return this->give_up(item);
        return this->wait(item, reread_pause, now);
    }
    if (!lookup->claim) {
        auto const caller = std::move(item.caller);
        auto const job = item.job;
        this->open.erase(found);
        if (caller.on_query)
            return caller.on_query({0, std::nullopt, {}});
        protocol::job_answer answer;
        answer.job = job;
        return deliver_unknown(caller, answer,
                               {base::error_code::not_found,
                                base::error_step::claim,
                                {},
                                "the claim of the job is gone"});
    }
    item.claim = lookup->claim;
    this->ask_owner(item, now);
}

void remote_jobs::ask_owner(attachment& item, base::steady_time now)
{
    auto const& owner = item.claim->owner;
    if (owner == this->parts.settings.id) {
        // The claim may have come back to this entry meanwhile.
        if (auto* job = this->parts.jobs.find(item.job)) {
            auto caller = std::move(item.caller);
            this->open.erase(item.id);
            return this->parts.flow.attach(*job, std::move(caller), now);
        }
    } else if (this->parts.leases.live(owner) != nullptr) {
        item.at = stage::asking_owner;
        if (item.cancel)
            this->parts.sender.send(owner.name, protocol::job_cancel {item.job});
        return this->ask(item, owner.name, now);
    }
    if (item.claim->finished)
        return this->ask_backup(item, now);
    this->wait(item, reread_pause, now);
}

void remote_jobs::ask_backup(attachment& item, base::steady_time now)
{
    auto const& backup = item.claim->backup;
    if (backup.empty())
        return this->answer_from_claim(item);
    if (backup == this->parts.settings.id.name) {
        auto const* copy = this->parts.copies.find(item.job);
        if (copy == nullptr || copy->answer == nullptr)
            return this->answer_from_claim(item);
        return this->finish(item, *copy->answer);
    }
    item.at = stage::asking_backup;
    this->ask(item, backup, now);
}

void remote_jobs::ask(attachment& item, std::string const& peer, base::steady_time now)
{
    auto const left
        = std::chrono::duration_cast<milliseconds>(std::max(item.caller.until, now) - now);
    auto const held = std::min(left, longest_query);
    this->parts.sender.send(peer,
                            protocol::job_query {item.id, item.job, item.caller.explain, held});
    item.next_step = now + held + answer_timeout;
    this->parts.timers.add({item.next_step, timer_kind::attachment, item.id, 0, 0});
}

void remote_jobs::wait(attachment& item, milliseconds time, base::steady_time now)
{
    item.at = stage::waiting;
    item.next_step = now + time;
    this->parts.timers.add({item.next_step, timer_kind::attachment, item.id, 0, 0});
}

void remote_jobs::on_timer(std::uint64_t id, base::steady_time now)
{
    if (this->polls.contains(id))
        return this->end_poll(id, false);
    auto const found = this->open.find(id);
    if (found == this->open.end() || now < found->second.next_step
        || found->second.at == stage::reading)
        return;
    auto& item = found->second;
    if (item.at == stage::asking_owner && item.claim->finished)
        return this->ask_backup(item, now);
    if (item.at == stage::asking_backup)
        return this->answer_from_claim(item);
    if (now >= item.give_up)
        return this->give_up(item);
    this->read_claim(item, now);
}

void remote_jobs::ask_everyone(std::string const& job, std::function<void(bool)> done,
                               base::steady_time now)
{
    auto const id = ++this->last_id;
    auto& item = this->polls[id];
    item.done = std::move(done);
    for (auto const& entry : this->parts.leases.applied().entries) {
        if (entry.id == this->parts.settings.id)
            continue;
        item.awaited.insert(entry.id.name);
        this->parts.sender.send(entry.id.name,
                                protocol::job_query {id, job, false, milliseconds(0)});
    }
    if (item.awaited.empty())
        return this->end_poll(id, true);
    this->parts.timers.add({now + answer_timeout, timer_kind::attachment, id, 0, 0});
}

void remote_jobs::end_poll(std::uint64_t id, bool nobody_knows)
{
    auto const done = std::move(this->polls.at(id).done);
    this->polls.erase(id);
    done(nobody_knows);
}

void remote_jobs::on_reply(std::string const& peer, protocol::job_reply const& reply,
                           base::steady_time now)
{
    if (auto const asked = this->polls.find(reply.query_id); asked != this->polls.end()) {
        if (asked->second.awaited.erase(peer) == 0)
            return;
        if (reply.answer)
            this->end_poll(reply.query_id, false);
        else if (asked->second.awaited.empty())
            this->end_poll(reply.query_id, true);
        return;
    }
    auto const found = this->open.find(reply.query_id);
    if (found == this->open.end())
        return;
    auto& item = found->second;
    if (item.at != stage::asking_owner && item.at != stage::asking_backup)
        return;
    auto const& asked
        = item.at == stage::asking_owner ? item.claim->owner.name : item.claim->backup;
    if (peer != asked || (reply.answer && reply.answer->job != item.job))
        return;
    item.explanation = reply.explanation;
    if (reply.answer && reply.answer->state != protocol::job_state::running)
        return this->finish(item, *reply.answer);
    if (reply.answer && item.at == stage::asking_owner) {
        item.seen = reply.answer;
        if (now >= item.caller.until)
            return this->finish(item, *reply.answer);
        return this->ask_owner(item, now);
    }
    if (item.at == stage::asking_backup)
        return this->answer_from_claim(item);
    if (item.claim->finished)
        return this->ask_backup(item, now);
    // The owner does not know the job (yet): its claim may have moved.
    if (now >= item.give_up)
        return this->give_up(item);
    this->wait(item, reread_pause, now);
}

void remote_jobs::answer_from_claim(attachment& item)
{
    protocol::job_answer answer;
    auto const& claim = *item.claim;
    answer.job = claim.job;
    answer.team = claim.team;
    answer.submission = claim.submission;
    answer.state = claim.state;
    answer.ran = claim.ran;
    answer.failure
        = base::error {base::error_code::not_found, base::error_step::assemble, claim.owner.name,
                       "answer_lost: the job has ended and its answer is lost"};
    this->finish(item, answer);
}

void remote_jobs::give_up(attachment& item)
{
    auto const lost = std::move(item);
    this->open.erase(lost.id);
    if (lost.seen)
        return deliver(lost.caller, *lost.seen, lost.explanation);
    protocol::job_answer answer;
    answer.job = lost.job;
    answer.state = protocol::job_state::running;
    if (lost.claim) {
        answer.team = lost.claim->team;
        answer.submission = lost.claim->submission;
    }
    deliver_unknown(lost.caller, std::move(answer),
                    {base::error_code::unavailable, base::error_step::claim,
                     lost.claim ? lost.claim->owner.name : std::string(),
                     "the state of the job cannot be told now"});
}

void remote_jobs::finish(attachment& item, protocol::job_answer const& answer)
{
    auto const done = std::move(item);
    this->open.erase(done.id);
    deliver(done.caller, answer, done.explanation);
}

void remote_jobs::on_query(std::string const& peer, protocol::job_query const& query,
                           base::steady_time now)
{
    auto const reply = [this, peer, id = query.query_id](protocol::job_reply const& answer) {
        auto addressed = answer;
        addressed.query_id = id;
        this->parts.sender.send(peer, addressed);
    };
    if (auto* job = this->parts.jobs.find(query.job)) {
        waiter caller;
        caller.until = now + std::min(query.wait, longest_query);
        caller.explain = query.explain;
        caller.on_query = reply;
        return this->parts.flow.attach(*job, std::move(caller), now);
    }
    protocol::job_reply answer;
    auto const* copy = this->parts.copies.find(query.job);
    if (copy != nullptr && copy->answer != nullptr) {
        answer.answer = *copy->answer;
    } else if (copy != nullptr && copy->owner != peer) {
        // The job exists, and its owner can say more.
        answer.answer.emplace();
        answer.answer->job = query.job;
        answer.answer->ran = protocol::ran_extent::unknown;
    }
    reply(answer);
}

} // namespace greengagehead::entry
