// Raft leader election and log replication of one member, as a state machine without I/O. The
// caller writes state to disk and sends messages, in the order that durable_log.h describes.

#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/error.h"
#include "consensus/entry_log.h"
#include "consensus/leader_state.h"
#include "consensus/snapshot_receiver.h"
#include "protocol/raft_message.h"

namespace greengagehead::consensus {

enum class raft_role : std::uint8_t { follower, pre_candidate, candidate, leader };

/// Election timeouts are drawn at random between `election_min` and `election_max`.
struct raft_timing {
    std::chrono::milliseconds election_min {300};
    std::chrono::milliseconds election_max {600};
    std::chrono::milliseconds heartbeat {75};
};

/// Durable state from which a member starts, as recovered from disk.
struct raft_initial_state {
    protocol::member_id self = 0;
    std::uint64_t term = 0;
    protocol::member_id vote = 0; ///< 0 for no vote in `term`.
    entry_log log {{}, {}};
};

class raft_node {
public:
    /// @param seed of the random election timeouts.
    raft_node(raft_timing timing, raft_initial_state initial, std::uint64_t seed,
              base::steady_time now);
    ~raft_node() = default;
    raft_node(raft_node const&) = delete;
    raft_node& operator=(raft_node const&) = delete;

    void receive(protocol::raft_message const& message, base::steady_time now);
    void tick(base::steady_time now);
    /// On a leader, adds requests with new entries and due heartbeats to the outbox.
    void replicate(base::steady_time now);

    /// Errors: `unavailable` when this member is not the leader.
    base::result<log_position> propose(std::string data);
    /// Errors: `unavailable` unless `established()`, `conflict` while another change is not
    /// committed, `invalid_argument` when more than one voter changes or no voter remains.
    base::result<log_position> propose(protocol::membership const& members);
    /// Sets the membership of a group that has no log yet, and makes the next `tick` start an
    /// election. Ignored once there is a log.
    void bootstrap(protocol::membership const& members, base::steady_time now);

    // --- output, to be handled in this order ---

    /// True when the term or the vote has changed since the last call. Both must be durable before
    /// any message is sent.
    bool take_vote_change();
    /// Snapshot from the leader that replaces the local state, if one was received since the last
    /// call. Before any message is sent, it must be durable and the entries of `log()` must have
    /// replaced the log on disk.
    std::optional<std::string> take_received_snapshot();
    /// Entries to write. A leader may send messages before they are durable; other members must
    /// not.
    std::vector<protocol::log_entry> take_unwritten();
    /// To be called when all entries returned by `take_unwritten` are durable.
    void entries_synced(base::steady_time now);
    std::vector<protocol::raft_message> take_messages();
    /// Entries committed since the last call. Members other than the leader must sync the entries
    /// first.
    std::vector<protocol::log_entry> take_committed();

    /// Gives up leadership or candidacy, and drops the messages that were not taken.
    void resign(base::steady_time now);

    /// Removes the entries up to `index` from memory. The caller has a durable snapshot of them.
    void compact(std::uint64_t index) { this->entries.compact(index); }

    [[nodiscard]] protocol::member_id id() const { return this->self; }
    [[nodiscard]] raft_role role() const { return this->current_role; }
    [[nodiscard]] bool leading() const { return this->current_role == raft_role::leader; }
    /// True on a leader that has committed an entry of its own term, so that it has all entries
    /// committed in earlier terms.
    [[nodiscard]] bool established() const;
    /// 0 when unknown.
    [[nodiscard]] protocol::member_id leader() const { return this->leader_id; }
    [[nodiscard]] std::uint64_t term() const { return this->current_term; }
    [[nodiscard]] protocol::member_id vote() const { return this->voted_for; }
    [[nodiscard]] std::uint64_t commit_index() const { return this->committed; }
    [[nodiscard]] std::uint64_t applied_index() const { return this->applied; }
    [[nodiscard]] entry_log const& log() const { return this->entries; }
    /// True while the latest membership entry is not committed.
    [[nodiscard]] bool changing_members() const;
    /// See `replicated_log::quorum_contact_recent`.
    [[nodiscard]] bool quorum_contact_recent(base::steady_time now) const;
    /// Null when this member is not the leader.
    [[nodiscard]] leader_state const* followers() const;

    /// Returns the content of the snapshot file to send; empty on an error.
    std::function<std::string()> load_snapshot;

private:
    void handle(protocol::raft_message const& message, protocol::vote_request const& request,
                base::steady_time now);
    void handle(protocol::raft_message const& message, protocol::vote_reply const& reply,
                base::steady_time now);
    void handle(protocol::raft_message const& message, protocol::append_request const& request,
                base::steady_time now);
    void handle(protocol::raft_message const& message, protocol::append_reply const& reply,
                base::steady_time now);
    void handle(protocol::raft_message const& message, protocol::snapshot_chunk const& chunk,
                base::steady_time now);
    void handle(protocol::raft_message const& message, protocol::snapshot_reply const& reply,
                base::steady_time now);
    void handle(protocol::raft_message const& message, protocol::member_hello const& hello,
                base::steady_time now);

    void become_follower(std::uint64_t term, protocol::member_id leader, base::steady_time now);
    void become_leader(base::steady_time now);
    /// Steps down as leader when no quorum has answered within the maximum election timeout.
    void check_quorum(base::steady_time now);
    void start_pre_vote(base::steady_time now);
    void request_pre_votes(base::steady_time now);
    void start_election(base::steady_time now);
    void request_votes(bool pre_vote, std::uint64_t term);
    void check_votes(base::steady_time now);
    void reset_election_timer(base::steady_time now);
    /// Follows the sender as leader of its term. Returns false when the message is from an older
    /// term, or when this member is itself the leader of that term.
    bool accept_leader(protocol::raft_message const& message, base::steady_time now);
    /// True while a vote, or a pre-vote, might depose a leader that still has contact with its
    /// quorum.
    [[nodiscard]] bool refuses_votes(base::steady_time now) const;
    /// True when the candidate's log is at least as up to date as this one.
    [[nodiscard]] bool candidate_up_to_date(protocol::vote_request const& request) const;
    [[nodiscard]] bool may_campaign() const;
    /// Highest index at which the leader's log may match this one, given that it does not match at
    /// `previous_index`. Skips a whole term, so that the leader does not step back entry by entry.
    [[nodiscard]] std::uint64_t agreement_hint(std::uint64_t previous_index) const;
    /// Appends the entries of `request` and replaces entries that conflict with them. Returns false
    /// when the log does not match the entry that precedes them.
    bool store_entries(protocol::append_request const& request);
    /// Returns false when the snapshot cannot be decoded.
    bool install_snapshot(std::string content);
    void advance_commit(base::steady_time now);
    log_position append_new(protocol::log_entry_kind kind, std::string data);
    void send(protocol::member_id to, std::uint64_t term, protocol::raft_body body);

    raft_timing timing;
    protocol::member_id self;
    std::mt19937_64 random;
    base::steady_time started;

    std::uint64_t current_term;
    protocol::member_id voted_for;
    bool vote_changed = false;
    entry_log entries;

    raft_role current_role = raft_role::follower;
    protocol::member_id leader_id = 0;
    /// Time of the last message from a leader.
    std::optional<base::steady_time> leader_contact;
    base::steady_time election_deadline;
    base::steady_time next_pre_vote; ///< When a pre-candidate asks again.
    /// Members that granted the pre-vote or vote that this member is asking for.
    std::set<protocol::member_id> votes;

    /// Set if and only if this member is the leader.
    std::optional<leader_state> leadership;
    /// On a leader: index of the first entry of its own term.
    std::uint64_t term_start_index = 0;

    // Indexes into the log. Invariant: applied <= committed; synced <= written <= last index.
    // `committed` exceeds `synced` only on a leader, when a quorum of followers has synced the
    // entry.
    std::uint64_t committed;
    std::uint64_t applied;
    std::uint64_t written;
    std::uint64_t synced;

    snapshot_receiver receiver;
    std::optional<std::string> received_snapshot;
    std::vector<protocol::raft_message> outbox;
};

} // namespace greengagehead::consensus
