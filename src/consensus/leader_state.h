// Replication state that a leader holds for each of the other members.

#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "consensus/entry_log.h"
#include "protocol/raft_message.h"

namespace greengagehead::consensus {

/// Replication progress of one other member.
struct follower_progress {
    /// Index of the next entry to send. Advanced when entries are sent, and set back when the
    /// member reports that its log does not match.
    std::uint64_t next = 1;
    /// Highest index that the member is known to have synced.
    std::uint64_t match = 0;
    /// When the latest request that the member answered was sent; the smallest time for none.
    base::steady_time last_contact = base::steady_time::min();
    /// The smallest time until the first request was sent.
    base::steady_time last_send = base::steady_time::min();
    /// Empty until the first request was sent.
    std::optional<base::steady_time> first_send;
    /// Snapshot being transferred; null for none.
    std::shared_ptr<std::string const> snapshot;
    log_position snapshot_position;
    std::uint64_t snapshot_offset = 0;
    /// A chunk is in flight: sent and not answered yet.
    bool chunk_pending = false;

    void record_send(base::steady_time now)
    {
        this->last_send = now;
        if (!this->first_send)
            this->first_send = now;
    }
};

class leader_state {
public:
    /// @param load_snapshot returns the content of the snapshot file; empty on an error.
    leader_state(entry_log const& log, protocol::member_id self, base::steady_time now,
                 std::function<std::string()> const& load_snapshot);

    /// Updates the followers to the latest membership in the log.
    void update_members();
    /// Adds to `outbox` the entries and snapshot chunks that the members need, and due heartbeats.
    /// The caller sets the term of these messages.
    void replicate(base::steady_time now, std::chrono::milliseconds heartbeat,
                   std::uint64_t commit_index, std::vector<protocol::raft_message>& outbox);
    void handle(protocol::member_id from, protocol::append_reply const& reply,
                base::steady_time now);
    void handle(protocol::member_id from, protocol::snapshot_reply const& reply,
                base::steady_time now);

    /// Highest index that a quorum of voters has synced, given that this member has synced
    /// `local_match`.
    [[nodiscard]] std::uint64_t quorum_match(std::uint64_t local_match) const;
    /// Latest time for which a quorum of voters has answered a request sent then or later; the
    /// smallest time when there is none.
    [[nodiscard]] base::steady_time quorum_contact(base::steady_time now) const;
    /// Null for an unknown member and for this one.
    [[nodiscard]] follower_progress const* find(protocol::member_id id) const;
    [[nodiscard]] base::steady_time elected_at() const { return this->election_time; }

private:
    void send_entries(protocol::member_id to, follower_progress& progress, base::steady_time now,
                      bool heartbeat_due, std::uint64_t commit_index,
                      std::vector<protocol::raft_message>& outbox);
    void send_chunk(protocol::member_id to, follower_progress& progress, base::steady_time now,
                    std::vector<protocol::raft_message>& outbox);
    /// Loads the snapshot to transfer. Returns false when it cannot be read.
    bool begin_snapshot(follower_progress& progress);
    /// Returns null when `from` is not a follower.
    follower_progress* record_reply(protocol::member_id from, std::uint64_t sent_at,
                                    base::steady_time now);

    entry_log const& log;
    protocol::member_id self;
    base::steady_time election_time;
    std::function<std::string()> const& load_snapshot;
    std::map<protocol::member_id, follower_progress> followers;
};

} // namespace greengagehead::consensus
