// Elections of raft_node: timers, votes and role changes.

#include <algorithm>

#include "consensus/encoding.h"
#include "consensus/quorum.h"
#include "consensus/raft_node.h"

namespace greengagehead::consensus {

using protocol::log_entry_kind;
using protocol::member_id;
using protocol::raft_message;

void raft_node::reset_election_timer(base::steady_time now)
{
    std::uniform_int_distribution<std::int64_t> timeout(this->timing.election_min.count(),
                                                        this->timing.election_max.count());
    this->election_deadline = now + std::chrono::milliseconds(timeout(this->random));
}

bool raft_node::may_campaign() const
{
    return is_voter(this->entries.members(), this->self);
}

void raft_node::become_follower(std::uint64_t term, member_id leader, base::steady_time now)
{
    if (term > this->current_term) {
        this->current_term = term;
        this->voted_for = 0;
        this->vote_changed = true;
    }
    this->current_role = raft_role::follower;
    this->leader_id = leader;
    this->leadership.reset();
    this->votes.clear();
    this->reset_election_timer(now);
}

void raft_node::start_pre_vote(base::steady_time now)
{
    this->current_role = raft_role::pre_candidate;
    this->leader_id = 0;
    this->votes = {this->self};
    this->reset_election_timer(now);
    this->request_pre_votes(now);
    this->check_votes(now);
}

void raft_node::request_pre_votes(base::steady_time now)
{
    this->next_pre_vote = now + this->timing.heartbeat;
    this->request_votes(true, this->current_term + 1);
}

void raft_node::start_election(base::steady_time now)
{
    this->current_role = raft_role::candidate;
    ++this->current_term;
    this->voted_for = this->self;
    this->vote_changed = true;
    this->votes = {this->self};
    this->reset_election_timer(now);
    this->request_votes(false, this->current_term);
    this->check_votes(now);
}

void raft_node::request_votes(bool pre_vote, std::uint64_t term)
{
    auto const last = this->entries.last();
    for (auto const& member : this->entries.members().members) {
        if (member.voter && member.id != this->self)
            this->send(member.id, term, protocol::vote_request {pre_vote, last.index, last.term});
    }
}

void raft_node::check_votes(base::steady_time now)
{
    auto const& members = this->entries.members();
    auto const granted = static_cast<std::size_t>(
        std::count_if(this->votes.begin(), this->votes.end(),
                      [&members](member_id id) { return is_voter(members, id); }));
    if (granted < quorum_size(members))
        return;
    if (this->current_role == raft_role::pre_candidate)
        this->start_election(now);
    else
        this->become_leader(now);
}

void raft_node::become_leader(base::steady_time now)
{
    this->current_role = raft_role::leader;
    this->leader_id = this->self;
    bool const first_start = this->entries.empty();
    auto const& members = this->entries.members();
    // A leader can commit entries of earlier terms only by committing an entry of its own term. The
    // first entry of a group is its membership, so that the log alone defines the group.
    auto const position = first_start
        ? this->append_new(log_entry_kind::membership, encode(members))
        : this->append_new(log_entry_kind::empty, {});
    this->term_start_index = position.index;
    this->leadership.emplace(this->entries, this->self, now, this->load_snapshot);
    this->replicate(now);
}

bool raft_node::refuses_votes(base::steady_time now) const
{
    auto const recent
        = [&](base::steady_time time) { return now - time < this->timing.election_min; };
    // Before its restart, this member may have answered a leader, which relies on that answer for
    // up to the minimum election timeout.
    return this->leading() || recent(this->started)
        || (this->leader_contact && recent(*this->leader_contact));
}

bool raft_node::candidate_up_to_date(protocol::vote_request const& request) const
{
    auto const last = this->entries.last();
    if (request.last_term != last.term)
        return request.last_term > last.term;
    return request.last_index >= last.index;
}

void raft_node::handle(raft_message const& message, protocol::vote_request const& request,
                       base::steady_time now)
{
    if (this->refuses_votes(now))
        return;
    if (request.pre_vote) {
        bool const granted
            = message.term > this->current_term && this->candidate_up_to_date(request);
        this->send(message.from, granted ? message.term : this->current_term,
                   protocol::vote_reply {true, granted});
        return;
    }
    if (message.term > this->current_term)
        this->become_follower(message.term, 0, now);
    bool const vote_available = this->voted_for == 0 || this->voted_for == message.from;
    bool const granted = message.term == this->current_term && vote_available
        && this->current_role == raft_role::follower && this->candidate_up_to_date(request);
    if (granted && this->voted_for == 0) {
        this->voted_for = message.from;
        this->vote_changed = true;
    }
    if (granted)
        this->reset_election_timer(now);
    this->send(message.from, this->current_term, protocol::vote_reply {false, granted});
}

void raft_node::handle(raft_message const& message, protocol::vote_reply const& reply,
                       base::steady_time now)
{
    if (!reply.granted) {
        if (message.term > this->current_term)
            this->become_follower(message.term, 0, now);
        return;
    }
    auto const expected_role = reply.pre_vote ? raft_role::pre_candidate : raft_role::candidate;
    auto const expected_term = this->current_term + (reply.pre_vote ? 1 : 0);
    if (this->current_role != expected_role || message.term != expected_term)
        return;
    this->votes.insert(message.from);
    this->check_votes(now);
}

} // namespace greengagehead::consensus
