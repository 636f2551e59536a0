// Claims of this entry, and its verdicts on those of other entries.

#include "entry/submission_claims.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "base/log_record.h"
#include "entry/entry_components.h"
#include "entry/job_id.h"
#include "policy/remote_submissions.h"

namespace greengagehead::entry {

namespace {

using std::chrono::milliseconds;
using verdict_kind = protocol::claim_verdict::kind;

/// All witnesses are asked when those that were asked first have not consented by then. Each
/// further time is twice as long.
constexpr milliseconds first_repeat_interval {40};
/// Names of entries as peers begin so.
constexpr std::string_view entry_peer_prefix = "entry.";
/// A submission without a majority is refused after this time. An entry that is asked for the job
/// is waited for longer, so that a claim never becomes a job after another entry has taken over.
constexpr milliseconds claim_limit {500};
/// A witness that owes an answer for this long is asked only where others are not enough.
constexpr milliseconds slow_answer {100};
/// It is then tried again.
constexpr milliseconds slow_witness_pause {1000};
constexpr milliseconds expiry_interval {1000};
/// A longer time in a verdict counts as this.
constexpr milliseconds max_stated_age {std::chrono::hours(24)};

} // namespace

submission_claims::submission_claims(entry_components& shared) : components(shared) { }

void submission_claims::set_started(base::steady_time now)
{
    this->started = now;
}

bool submission_claims::contains(std::string const& key) const
{
    return this->numbers.contains(key);
}

submission_claims::open_claim* submission_claims::find(std::string const& key)
{
    auto const found = this->numbers.find(key);
    return found == this->numbers.end() ? nullptr : &this->claims.at(found->second);
}

void submission_claims::begin(unstarted_submission submission, base::steady_time now)
{
    auto const key = submission.key;
    auto const id = submission.job;
    // It came here again since it was held.
    if (auto const* const known = this->components.jobs.find(id);
        known != nullptr && !known->abandoned()) {
        if (submission.was_held)
            this->components.resubmitted.announce_end(key);
        return this->components.lifecycle.submit(std::move(submission.request),
                                                 std::move(submission.caller), now);
    }
    // The claim of an abandoned job, which has not ended yet.
    if (auto* const former = this->find(key))
        this->end(*former);
    auto const number = this->components.remote.allocate_id();
    this->numbers[key] = number;
    auto& claim = this->claims[number];
    claim.number = number;
    claim.key = key;
    claim.job = id;
    claim.ended_claims = std::move(submission.ended_claims);
    claim.ended_reason = std::move(submission.ended_reason);
    claim.was_held = submission.was_held;
    claim.quorum = policy::claim_quorum(this->witnesses.find(key, now));
    claim.expires_at = std::min(submission.deadline, now + claim_limit);
    claim.next_interval = first_repeat_interval;
    this->components.lifecycle.admit(std::move(submission), now);
    this->proceed(claim, now);
}

void submission_claims::proceed(open_claim& claim, base::steady_time now)
{
    auto const likely
        = [this, now](std::string const& name) { return this->is_responsive(name, now); };
    this->ask_all(claim, claim.quorum.missing(likely), now);
}

void submission_claims::ask_all(open_claim& claim, std::vector<std::string> const& witnesses,
                                base::steady_time now)
{
    auto const number = claim.number;
    for (auto const& witness : witnesses) {
        this->ask(claim, witness, now);
        // The verdict of this entry itself may have ended the claim.
        if (!this->claims.contains(number))
            return;
    }
    if (claim.quorum.complete())
        return this->on_granted(claim, now);
    this->set_timer(claim, now);
}

void submission_claims::ask(open_claim& claim, std::string const& witness, base::steady_time now)
{
    auto const& self = this->components.settings.id;
    protocol::submission_claim const request {claim.key, {self, claim.number}, claim.ended_claims};
    claim.quorum.record_asked(witness);
    if (witness == self.name)
        return this->record_verdict(witness, this->decide(request, now), now);
    auto& since = this->unanswered_since.try_emplace(witness, now).first->second;
    if (now - since > slow_witness_pause)
        since = now;
    this->components.sender.send(witness, request);
}

void submission_claims::set_timer(open_claim& claim, base::steady_time now)
{
    this->components.timers.add({std::min(now + claim.next_interval, claim.expires_at),
                                 timer_kind::submission_claim, claim.number, 0, 0});
    claim.next_interval *= 2;
}

void submission_claims::on_timer(std::uint64_t number, base::steady_time now)
{
    auto const found = this->claims.find(number);
    if (found == this->claims.end())
        return;
    auto& claim = found->second;
    if (now >= claim.expires_at)
        return this->refuse(claim, "the other entries have not agreed in time", now);
    this->ask_all(claim, claim.quorum.without_consent(), now);
}

bool submission_claims::is_responsive(std::string const& witness, base::steady_time now) const
{
    auto const found = this->unanswered_since.find(witness);
    if (found == this->unanswered_since.end())
        return true;
    auto const waited = now - found->second;
    return waited <= slow_answer || waited > slow_witness_pause;
}

void submission_claims::on_verdict(std::string const& peer, protocol::claim_verdict const& verdict,
                                   base::steady_time now)
{
    this->unanswered_since.erase(peer);
    this->record_verdict(peer, verdict, now);
    auto const found = this->claims.find(verdict.number);
    if (found != this->claims.end() && found->second.quorum.complete())
        this->on_granted(found->second, now);
}

void submission_claims::record_verdict(std::string const& witness,
                                       protocol::claim_verdict const& verdict,
                                       base::steady_time now)
{
    auto const found = this->claims.find(verdict.number);
    if (found == this->claims.end() || !found->second.quorum.contains(witness))
        return;
    auto& claim = found->second;
    switch (verdict.verdict) {
    case verdict_kind::granted:
        return claim.quorum.record_consent(witness);
    case verdict_kind::held:
        // Of an earlier claim of this entry, the answer to which was late.
        if (verdict.holder.entry == this->components.settings.id)
            return;
        return this->on_denied(claim, verdict, now);
    case verdict_kind::not_ready:
        return;
    case verdict_kind::cancelled: {
        // The claim ends with it.
        auto const key = claim.key;
        return this->components.resubmitted.record_cancelled(key, now);
    }
    }
}

void submission_claims::on_granted(open_claim& claim, base::steady_time now)
{
    auto* const job = this->unstarted_job(claim);
    if (job == nullptr)
        return this->withdraw(claim);
    // Read after a pause of this entry: another one may have taken over.
    if (now >= claim.expires_at)
        return this->refuse(claim, "the consent of the other entries has expired", now);
    auto const granted = this->end(claim);
    if (!granted.ended_reason.empty())
        this->log_permission(*job, granted.ended_reason);
    job->claim_number = granted.number;
    this->components.lifecycle.start_claimed(*job, now);
    if (granted.was_held)
        this->components.resubmitted.announce_start(granted.key, granted.job, now);
}

void submission_claims::log_permission(job const& started, std::string const& reason)
{
    this->components.restarts.record(reason);
    base::log_record(base::log_event::submission_restarted)
        .with("job", started.id)
        .with("submission", started.submission)
        .with("team", started.team)
        .with("reason", reason);
}

job* submission_claims::unstarted_job(open_claim const& claim)
{
    auto* const job = this->components.jobs.find(claim.job);
    bool const waits = job != nullptr && job->phase == job_phase::running && job->consent_pending;
    return waits ? job : nullptr;
}

std::vector<unstarted_submission> submission_claims::take_callers(open_claim const& claim,
                                                                  job& denied)
{
    std::vector<unstarted_submission> callers;
    for (auto& caller : std::exchange(denied.waiters, {})) {
        if (caller.on_submit)
            callers.push_back({denied.key, denied.id, *denied.content, std::move(caller),
                               denied.submitted, denied.earliest_sent, denied.deadline,
                               denied.latest_start, claim.ended_claims, claim.ended_reason,
                               claim.was_held});
        else
            deliver(caller, current_answer(denied), {});
    }
    this->components.lifecycle.drop(denied);
    return callers;
}

void submission_claims::on_denied(open_claim& claim, protocol::claim_verdict const& verdict,
                                  base::steady_time now)
{
    auto* const job = this->unstarted_job(claim);
    if (job == nullptr)
        return this->withdraw(claim);
    auto callers = this->take_callers(claim, *job);
    this->withdraw(claim);
    auto const age = std::clamp(verdict.age, milliseconds(0), max_stated_age);
    for (auto& caller : callers)
        this->components.resubmitted.hold(std::move(caller), verdict.holder, now - age, now);
}

submission_claims::open_claim submission_claims::end(open_claim& claim)
{
    auto ended = std::move(claim);
    this->numbers.erase(ended.key);
    this->claims.erase(ended.number);
    return ended;
}

void submission_claims::withdraw(open_claim& claim)
{
    this->release(claim);
    (void)this->end(claim);
}

void submission_claims::release(open_claim const& claim)
{
    protocol::claim_release const message {
        {claim.key, {this->components.settings.id, claim.number}}};
    for (auto const& witness : claim.quorum.asked_witnesses()) {
        if (witness == this->components.settings.id.name)
            this->grants.release(claim.key, message.released.claim);
        else
            this->components.sender.send(witness, message);
    }
}

void submission_claims::refuse(open_claim& claim, std::string const& reason, base::steady_time now)
{
    auto* const job = this->unstarted_job(claim);
    if (job == nullptr)
        return this->withdraw(claim);
    if (claim.was_held) {
        this->components.resubmitted.announce_end(claim.key);
        this->withdraw(claim);
        return this->components.lifecycle.stop_for_other_entry(*job, {}, reason, now);
    }
    auto callers = this->take_callers(claim, *job);
    this->withdraw(claim);
    for (auto& caller : callers)
        this->components.lifecycle.refuse_unclaimed(std::move(caller), reason, now);
}

bool submission_claims::cancel(std::string const& key, base::steady_time now)
{
    auto* const claim = this->find(key);
    if (claim == nullptr)
        return false;
    auto* const job = this->components.jobs.find(claim->job);
    this->withdraw(*claim);
    if (job != nullptr)
        this->components.lifecycle.cancel_submission(*job, now);
    return true;
}

bool submission_claims::on_query(std::string const& peer, protocol::job_query const& query)
{
    auto const found = std::find_if(this->claims.begin(), this->claims.end(),
                                    [&](auto const& item) { return item.second.job == query.job; });
    if (found == this->claims.end())
        return false;
    // The job has ended without a start.
    if (this->unstarted_job(found->second) == nullptr) {
        this->withdraw(found->second);
        return false;
    }
    protocol::job_reply reply;
    reply.query_id = query.query_id;
    reply.answer.emplace();
    reply.answer->job = query.job;
    reply.answer->state = protocol::job_state::running;
    reply.answer->ran = protocol::ran_extent::unknown;
    this->components.sender.send(peer, reply);
    return true;
}

// --- as a witness ---

bool submission_claims::may_have_forgotten(base::steady_time now)
{
    if (this->knows_all)
        return false;
    auto const& entries = this->components.leases.applied().entries;
    // What another entry has not told may have been granted to it, or by it.
    bool const all_have_told = !entries.empty()
        && std::all_of(entries.begin(), entries.end(), [this](auto const& entry) {
               return entry.id.name == this->components.settings.id.name
                   || this->informants.contains(entry.id.name);
           });
    this->knows_all = all_have_told || now >= this->started + policy::longest_run_end;
    return !this->knows_all;
}

protocol::claim_verdict submission_claims::decide(protocol::submission_claim const& claim,
                                                  base::steady_time now)
{
    // Whoever has started again since the cancellation does not know of it.
    if (this->components.resubmitted.is_cancelled(claim.key, now))
        return {claim.claim.number, verdict_kind::cancelled, {}, {}};
    if (this->may_have_forgotten(now))
        return {claim.claim.number, verdict_kind::not_ready, {}, {}};
    auto const& held = this->grants.grant(claim.key, claim.claim, claim.ended, now);
    bool const granted
        = held.claim.entry == claim.claim.entry && held.claim.number == claim.claim.number;
    if (granted)
        return {claim.claim.number, verdict_kind::granted, {}, {}};
    return {claim.claim.number, verdict_kind::held, held.claim,
            std::chrono::ceil<milliseconds>(now - held.since)};
}

void submission_claims::on_claim(std::string const& peer, protocol::submission_claim const& claim,
                                 base::steady_time now)
{
    if (claim.claim.entry.name == peer)
        this->components.sender.send(peer, this->decide(claim, now));
}

void submission_claims::on_release(std::string const& peer, protocol::claim_release const& release)
{
    auto const& [key, claim] = release.released;
    if (claim.entry.name == peer)
        this->grants.release(key, claim);
}

void submission_claims::on_claims_held(std::string const& peer,
                                       protocol::claims_held const& message, base::steady_time now)
{
    if (message.entry.name != peer)
        return;
    for (auto const& [key, claim] : message.claims)
        this->grants.adopt(key, claim, now);
    this->components.resubmitted.record_agents(message.agents, now);
    this->informants.insert(peer);
}

void submission_claims::peer_up(std::string const& peer, base::steady_time now)
{
    if (!peer.starts_with(entry_peer_prefix))
        return;
    auto const& self = this->components.settings.id;
    // Whoever is linked tells its own claims. The others can't, nor can the former process of this
    // peer.
    protocol::claims_held message {self, {}, this->components.resubmitted.known_agents(now)};
    for (auto const& item : this->grants.all()) {
        if (item.claim.entry.name == peer
            || !this->components.resubmitted.is_linked(item.claim.entry))
            message.claims.push_back(item);
    }
    for (auto const& [number, claim] : this->claims)
        message.claims.push_back({claim.key, {self, number}});
    for (auto const& [number, job] : this->components.jobs.all()) {
        bool const may_run = !job->is_final() || !job->unconfirmed.empty();
        if (job->ephemeral && !job->consent_pending && may_run)
            message.claims.push_back({job->key, {self, job->claim_number}});
    }
    this->components.sender.send(peer, message);
}

void submission_claims::on_view(base::steady_time now)
{
    std::vector<policy::witness_candidate> entries;
    for (auto const& entry : this->components.leases.applied().entries) {
        policy::witness_candidate candidate {entry.id.name, entry.zone};
        // Two incarnations of an entry may be in the view for a moment.
        if (std::find(entries.begin(), entries.end(), candidate) == entries.end())
            entries.push_back(std::move(candidate));
    }
    this->witnesses.set_entries(std::move(entries), now);
}

void submission_claims::tick(base::steady_time now)
{
    if (now < this->next_expiry)
        return;
    this->next_expiry = now + expiry_interval;
    this->grants.expire(now);
}

} // namespace greengagehead::entry
