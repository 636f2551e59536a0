// Proposals, replication on a follower, and commits. Elections are in raft_elections.cpp.

#include "consensus/raft_node.h"

#include <algorithm>
#include <utility>

#include "consensus/encoding.h"
#include "consensus/quorum.h"

namespace greengagehead::consensus {

namespace {

using protocol::log_entry_kind;
using protocol::member_id;
using protocol::raft_message;

/// Allowed difference in rate between the steady clocks of two members. A leader relies on contact
/// with its quorum for a time that is shorter by this much than the time for which the quorum
/// refuses to vote for another member.
constexpr int clock_drift_percent = 1;

base::error replicate_error(base::error_code code, std::string text)
{
    return {code, base::error_step::replicate, {}, std::move(text)};
}

} // namespace

raft_node::raft_node(raft_timing timing, raft_initial_state initial, std::uint64_t seed,
                     base::steady_time now)
    : timing(timing), self(initial.self), random(seed), started(now), current_term(initial.term),
      voted_for(initial.vote), entries(std::move(initial.log)),
      committed(this->entries.base().index), applied(this->committed),
      written(this->entries.last().index), synced(this->written)
{
    this->reset_election_timer(now);
    // In a group of one, no other member can be the leader, so the election starts at once.
    if (this->may_campaign() && voter_count(this->entries.members()) == 1)
        this->election_deadline = now;
}

void raft_node::receive(raft_message const& message, base::steady_time now)
{
    if (message.to != this->self)
        return;
    // After a pause of the process, queued messages may be old; a leader that has lost contact
    // with its quorum meanwhile must step down before it handles them.
    this->check_quorum(now);
    std::visit([&](auto const& body) { this->handle(message, body, now); }, message.body);
}

void raft_node::check_quorum(base::steady_time now)
{
    if (!this->leading())
        return;
    auto const contact
        = std::max(this->leadership->quorum_contact(now), this->leadership->elected_at());
    if (now - contact > this->timing.election_max)
        this->become_follower(this->current_term, 0, now);
}

void raft_node::tick(base::steady_time now)
{
    this->check_quorum(now);
    if (this->leading())
        return;
    if (now < this->election_deadline) {
        // After a restart, a member refuses votes for the minimum election timeout. When all
        // members restart together, asking again saves the group a second election timeout.
        if (this->current_role == raft_role::pre_candidate && now >= this->next_pre_vote)
            this->request_pre_votes(now);
        return;
    }
    // A learner that loses its leader may have been removed, because the membership change that
    // added it was not committed. Without a leader it announces itself again (see
    // durable_log::send_hellos).
    this->leader_id = 0;
    if (this->may_campaign())
        this->start_pre_vote(now);
}

void raft_node::replicate(base::steady_time now)
{
    if (!this->leading())
        return;
    auto const first = this->outbox.size();
    this->leadership->replicate(now, this->timing.heartbeat, this->committed, this->outbox);
    for (auto index = first; index < this->outbox.size(); ++index)
        this->outbox[index].term = this->current_term;
}

// --- proposals ---

log_position raft_node::append_new(log_entry_kind kind, std::string data)
{
    auto const index = this->entries.last().index + 1;
    this->entries.append({index, this->current_term, kind, std::move(data)});
    return {index, this->current_term};
}

base::result<log_position> raft_node::propose(std::string data)
{
    if (!this->leading())
        return replicate_error(base::error_code::unavailable, "this member is not the leader");
    return this->append_new(log_entry_kind::command, std::move(data));
}

base::result<log_position> raft_node::propose(protocol::membership const& members)
{
    if (!this->established())
        return replicate_error(
            base::error_code::unavailable,
            "this member is not the leader, or has not committed an entry of its term yet");
    if (this->changing_members())
        return replicate_error(base::error_code::conflict,
                               "another membership change is in progress");
    if (voter_count(members) == 0 || changed_voters(this->entries.members(), members) > 1)
        return replicate_error(
            base::error_code::invalid_argument,
            "a membership change may add or remove only one voter and must leave a voter");
    auto const position = this->append_new(log_entry_kind::membership, encode(members));
    this->leadership->update_members();
    return position;
}

void raft_node::bootstrap(protocol::membership const& members, base::steady_time now)
{
    if (!this->entries.empty() || this->entries.members() == members)
        return;
    this->become_follower(this->current_term, 0, now);
    this->entries.set_initial_members(members);
    this->election_deadline = now;
}

// --- follower ---

bool raft_node::accept_leader(raft_message const& message, base::steady_time now)
{
    if (message.term < this->current_term) {
        // Tells a deposed leader about the newer term.
        this->send(message.from, this->current_term, protocol::append_reply {});
        return false;
    }
    if (message.term == this->current_term && this->leading())
        return false;
    this->become_follower(message.term, message.from, now);
    this->leader_contact = now;
    return true;
}

void raft_node::handle(raft_message const& message, protocol::append_request const& request,
                       base::steady_time now)
{
    if (!this->accept_leader(message, now))
        return;
    protocol::append_reply reply;
    reply.sent_at = request.sent_at;
    reply.success = this->store_entries(request);
    auto const last_sent = request.previous_index + request.entries.size();
    reply.match_index = reply.success ? last_sent : this->agreement_hint(request.previous_index);
    if (reply.success)
        this->committed = std::max(this->committed, std::min(request.commit_index, last_sent));
    this->send(message.from, this->current_term, reply);
}

bool raft_node::store_entries(protocol::append_request const& request)
{
    // The log of every later leader contains the committed entries, so they need no comparison.
    bool const before_commit = request.previous_index < this->committed;
    if (!before_commit && this->entries.term_at(request.previous_index) != request.previous_term)
        return false;
    for (auto const& entry : request.entries) {
        if (entry.index <= this->committed || this->entries.term_at(entry.index) == entry.term)
            continue;
        if (entry.index <= this->entries.last().index) {
            this->entries.erase_from(entry.index);
            this->written = std::min(this->written, entry.index - 1);
            this->synced = std::min(this->synced, entry.index - 1);
        }
        if (entry.index != this->entries.last().index + 1)
            return false;
        this->entries.append(entry);
    }
    return true;
}

std::uint64_t raft_node::agreement_hint(std::uint64_t previous_index) const
{
    auto const last = this->entries.last().index;
    if (previous_index > last)
        return last;
    return std::max(this->committed, this->entries.first_index_of_term(previous_index) - 1);
}

void raft_node::handle(raft_message const& message, protocol::snapshot_chunk const& chunk,
                       base::steady_time now)
{
    if (!this->accept_leader(message, now))
        return;
    bool complete = chunk.last_index <= this->committed;
    if (!complete) {
        auto content = this->receiver.receive(message.term, chunk);
        complete = content && this->install_snapshot(std::move(*content));
    }
    if (complete)
        this->send(message.from, this->current_term,
                   protocol::append_reply {true, chunk.last_index, chunk.sent_at});
    else
        this->send(message.from, this->current_term,
                   protocol::snapshot_reply {chunk.last_index, this->receiver.next_offset(),
                                             chunk.sent_at});
}

bool raft_node::install_snapshot(std::string content)
{
    auto decoded = decode_snapshot(content);
    if (!decoded)
        return false;
    auto const last = decoded.value().last;
    this->entries.restore(last, std::move(decoded.value().members));
    this->committed = last.index;
    this->applied = last.index;
    this->received_snapshot = std::move(content);
    // The caller rewrites the log on disk with the remaining entries.
    this->written = this->entries.last().index;
    this->synced = this->written;
    return true;
}

// --- leader ---

void raft_node::handle(raft_message const& message, protocol::append_reply const& reply,
                       base::steady_time now)
{
    if (message.term > this->current_term)
        return this->become_follower(message.term, 0, now);
    if (message.term < this->current_term || !this->leading())
        return;
    this->leadership->handle(message.from, reply, now);
    this->advance_commit(now);
}

void raft_node::handle(raft_message const& message, protocol::snapshot_reply const& reply,
                       base::steady_time now)
{
    if (message.term > this->current_term)
        return this->become_follower(message.term, 0, now);
    if (message.term < this->current_term || !this->leading())
        return;
    this->leadership->handle(message.from, reply, now);
}

void raft_node::handle(raft_message const& /*message*/, protocol::member_hello const& /*hello*/,
                       base::steady_time /*now*/)
{
}

void raft_node::entries_synced(base::steady_time now)
{
    this->synced = this->written;
    if (this->leading())
        this->advance_commit(now);
}

void raft_node::advance_commit(base::steady_time now)
{
    auto const match = this->leadership->quorum_match(this->synced);
    if (match <= this->committed || this->entries.term_at(match) != this->current_term)
        return;
    this->committed = match;
    bool const removed = !is_voter(this->entries.members(), this->self);
    if (removed && !this->changing_members())
        this->become_follower(this->current_term, 0, now);
}

// --- output and state ---

bool raft_node::take_vote_change()
{
    return std::exchange(this->vote_changed, false);
}

std::optional<std::string> raft_node::take_received_snapshot()
{
    return std::exchange(this->received_snapshot, {});
}

std::vector<protocol::log_entry> raft_node::take_unwritten()
{
    auto unwritten
        = this->entries.entries_after(std::max(this->written, this->entries.base().index));
    this->written = this->entries.last().index;
    return unwritten;
}

std::vector<raft_message> raft_node::take_messages()
{
    return std::exchange(this->outbox, {});
}

std::vector<protocol::log_entry> raft_node::take_committed()
{
    std::vector<protocol::log_entry> newly_committed;
    while (this->applied < this->committed)
        newly_committed.push_back(this->entries.at(++this->applied));
    return newly_committed;
}

void raft_node::resign(base::steady_time now)
{
    this->outbox.clear();
    this->become_follower(this->current_term, 0, now);
}

bool raft_node::established() const
{
    return this->leading() && this->committed >= this->term_start_index;
}

bool raft_node::changing_members() const
{
    return this->entries.members_index() > this->committed;
}

bool raft_node::quorum_contact_recent(base::steady_time now) const
{
    if (!this->leading())
        return false;
    auto const contact = this->leadership->quorum_contact(now);
    auto const max_contact_age = this->timing.election_min * (100 - clock_drift_percent) / 100;
    return contact != base::steady_time::min() && now - contact < max_contact_age;
}

leader_state const* raft_node::followers() const
{
    return this->leadership ? &*this->leadership : nullptr;
}

void raft_node::send(member_id to, std::uint64_t term, protocol::raft_body body)
{
    this->outbox.push_back({this->self, to, term, std::move(body)});
}

} // namespace greengagehead::consensus
