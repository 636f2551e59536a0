// Leader election and log replication of one member, as a pure state machine. The caller makes
// state durable and sends messages; see durable_log for the order that it must keep.

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

struct raft_timing {
    std::chrono::milliseconds election_min {300};
    std::chrono::milliseconds election_max {600};
    std::chrono::milliseconds heartbeat {75};
};

/// Durable state that a member starts from.
struct raft_start {
    protocol::member_id self = 0;
    std::uint64_t term = 0;
    protocol::member_id vote = 0;
    entry_log log {{}, {}};
};

class raft_node {
public:
    /// `seed` varies the election timeouts.
    raft_node(raft_timing timing, raft_start start, std::uint64_t seed, base::steady_time now);
    ~raft_node() = default;
    raft_node(raft_node const&) = delete;
    raft_node& operator=(raft_node const&) = delete;

    void receive(protocol::raft_message const& message, base::steady_time now);
    void tick(base::steady_time now);
    /// Puts requests for new entries and due heartbeats into the outbox of a leader.
    void replicate(base::steady_time now);

    /// Errors: `unavailable` when not leading.
    base::result<log_position> propose(std::string data);
    /// Errors: `unavailable` when not leading or before the first commit of the own term,
    /// `conflict` while another change is not committed, `invalid_argument` when more than one
    /// voter changes or no voter remains.
    base::result<log_position> propose(protocol::membership const& members);
    /// Sets the membership of a group that has no log yet, and campaigns. Ignored once there is a
    /// log.
    void bootstrap(protocol::membership const& members, base::steady_time now);

    // --- output, to be handled in this order ---

    /// True when term or vote changed since the last call. They must be durable before any message
    /// is sent.
    bool take_vote_change();
    /// Snapshot that replaces the local state. It must be durable, and the durable log must be
    /// replaced by `entries()`, before any message is sent.
    std::optional<std::string> take_snapshot();
    /// Entries to write. A leader may send messages before they are durable, others may not.
    std::vector<protocol::log_entry> take_unwritten();
    /// All entries returned by `take_unwritten` are durable.
    void entries_synced(base::steady_time now);
    std::vector<protocol::raft_message> take_messages();
    /// Newly committed entries. Taken after the entries are synced, except on a leader.
    std::vector<protocol::log_entry> take_committed();

    /// Forgets entries up to `index`; the caller has a durable snapshot of them.
    void compact(std::uint64_t index) { this->entries.compact(index); }

    [[nodiscard]] protocol::member_id id() const { return this->self; }
    [[nodiscard]] raft_role role() const { return this->current_role; }
    [[nodiscard]] bool leading() const { return this->current_role == raft_role::leader; }
    /// True on a leader that has committed an entry of its own term.
    [[nodiscard]] bool established() const;
    /// 0 when unknown.
    [[nodiscard]] protocol::member_id leader() const { return this->leader_id; }
    [[nodiscard]] std::uint64_t term() const { return this->current_term; }
    [[nodiscard]] protocol::member_id vote() const { return this->voted_for; }
    [[nodiscard]] std::uint64_t commit_index() const { return this->committed; }
    [[nodiscard]] std::uint64_t applied_index() const { return this->applied; }
    [[nodiscard]] entry_log const& log() const { return this->entries; }
    /// True while a membership entry is not committed.
    [[nodiscard]] bool changing_members() const;
    [[nodiscard]] bool quorum_contact_recent(base::steady_time now) const;
    /// Null when not leading.
    [[nodiscard]] leader_state const* followers() const;

    /// Supplies the content of the snapshot file to send; returns empty text on an error.
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
    /// Steps down when no quorum has answered within the longest election timeout.
    void check_quorum(base::steady_time now);
    void start_pre_vote(base::steady_time now);
    void request_pre_votes(base::steady_time now);
    void start_election(base::steady_time now);
    void request_votes(bool pre_vote, std::uint64_t term);
    void check_votes(base::steady_time now);
    void reset_election_timer(base::steady_time now);
    /// Accepts the sender as leader of its term. False when the message is from an older term.
    bool accept_leader(protocol::raft_message const& message, base::steady_time now);
    [[nodiscard]] bool refuses_votes(base::steady_time now) const;
    [[nodiscard]] bool up_to_date(protocol::vote_request const& request) const;
    [[nodiscard]] bool may_campaign() const;
    /// Highest index at which the log of the sender may agree with this one.
    [[nodiscard]] std::uint64_t agreement_hint(std::uint64_t previous_index) const;
    bool store_entries(protocol::append_request const& request);
    bool install(std::string content);
    void advance_commit(base::steady_time now);
    log_position append_own(protocol::log_entry_kind kind, std::string data);
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
    std::optional<base::steady_time> leader_contact;
    base::steady_time election_deadline;
    base::steady_time next_pre_vote; // While pre-candidate.
    std::set<protocol::member_id> votes;

    /// Set exactly while leading.
    std::optional<leader_state> lead;
    /// First entry of the own term while leading.
    std::uint64_t first_own_index = 0;

    // applied <= committed; synced <= written <= last index. Committed may exceed synced only on a
    // leader, whose followers have then synced the entry.
    std::uint64_t committed;
    std::uint64_t applied;
    std::uint64_t written;
    std::uint64_t synced;

    snapshot_receiver receiver;
    std::optional<std::string> installing;
    std::vector<protocol::raft_message> outbox;
};

} // namespace greengagehead::consensus
