// What a leader knows about the other members, and the requests that it sends them.

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

/// Progress of one other member.
struct follower_progress {
    /// Next index to send. Advanced when sending and set back when the member reports a gap.
    std::uint64_t next = 1;
    /// Highest index known to be synced there.
    std::uint64_t match = 0;
    /// Time of the latest request that the member has answered.
    base::steady_time contact = base::steady_time::min();
    base::steady_time last_send = base::steady_time::min();
    /// Empty until the first request was sent.
    std::optional<base::steady_time> first_send;
    /// Snapshot in transfer; null when none is.
    std::shared_ptr<std::string const> snapshot;
    log_position snapshot_position;
    std::uint64_t snapshot_offset = 0;
    /// A chunk was sent and not answered yet.
    bool chunk_pending = false;

    void note_send(base::steady_time now)
    {
        this->last_send = now;
        if (!this->first_send)
            this->first_send = now;
    }
};

class leader_state {
public:
    /// `load_snapshot` returns the content of the snapshot file; empty on an error.
    leader_state(entry_log const& log, protocol::member_id self, base::steady_time now,
                 std::function<std::string()> const& load_snapshot);

    /// Adopts the latest membership of the log.
    void update_members();
    /// Appends to `outbox` what the members lack, and heartbeats that are due.
    void replicate(base::steady_time now, std::chrono::milliseconds heartbeat,
                   std::uint64_t commit_index, std::vector<protocol::raft_message>& outbox);
    void handle(protocol::member_id from, protocol::append_reply const& reply,
                base::steady_time now);
    void handle(protocol::member_id from, protocol::snapshot_reply const& reply,
                base::steady_time now);

    /// Highest index that a quorum of voters has synced, when this member has synced `own`.
    [[nodiscard]] std::uint64_t quorum_match(std::uint64_t own) const;
    /// Latest time such that a quorum of voters answered a request sent then or later; the smallest
    /// time when there is none.
    [[nodiscard]] base::steady_time quorum_contact(base::steady_time now) const;
    /// Null for an unknown member and for this one.
    [[nodiscard]] follower_progress const* find(protocol::member_id id) const;
    [[nodiscard]] base::steady_time elected_at() const { return this->since; }

private:
    void send_entries(protocol::member_id to, follower_progress& progress, base::steady_time now,
                      bool heartbeat_due, std::uint64_t commit_index,
                      std::vector<protocol::raft_message>& outbox);
    void send_chunk(protocol::member_id to, follower_progress& progress, base::steady_time now,
                    std::vector<protocol::raft_message>& outbox);
    bool begin_snapshot(follower_progress& progress);
    follower_progress* answered(protocol::member_id from, std::uint64_t round,
                                base::steady_time now);

    entry_log const& log;
    protocol::member_id self;
    base::steady_time since;
    std::function<std::string()> const& load_snapshot;
    std::map<protocol::member_id, follower_progress> followers;
};

} // namespace greengagehead::consensus
