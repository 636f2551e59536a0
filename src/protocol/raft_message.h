// Raft messages between members of the control group.

#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "protocol/control_group.h"

namespace greengagehead::protocol {

/// Random identity of a member's data folder. A member whose data was deleted gets a new one.
using member_id = std::uint64_t;

enum class log_entry_kind : std::uint8_t { empty, command, membership };

struct log_entry {
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    log_entry_kind kind = log_entry_kind::empty;
    std::string data; ///< Encoded command or membership.
};

struct vote_request {
    bool pre_vote = false;
    std::uint64_t last_index = 0;
    std::uint64_t last_term = 0;
};

struct vote_reply {
    bool pre_vote = false;
    bool granted = false;
};

struct append_request {
    std::uint64_t previous_index = 0;
    std::uint64_t previous_term = 0;
    std::uint64_t commit_index = 0;
    /// Send time in the leader's clock, in microseconds. The reply returns it, which proves that
    /// the follower was in contact with the leader after that time.
    std::uint64_t sent_at = 0;
    std::vector<log_entry> entries;
};

struct append_reply {
    bool success = false;
    std::uint64_t match_index = 0; ///< On failure: highest index at which the logs may agree.
    std::uint64_t sent_at = 0; ///< Copied from the request.
};

/// A part of a snapshot. `done` is set in the last one.
struct snapshot_chunk {
    std::uint64_t last_index = 0;
    std::uint64_t last_term = 0;
    std::uint64_t offset = 0; ///< Position of `data` in the snapshot, in bytes.
    bool done = false;
    std::string data;
    std::uint64_t sent_at = 0; ///< As in append_request.
};

struct snapshot_reply {
    std::uint64_t last_index = 0;
    std::uint64_t next_offset = 0; ///< Offset of the chunk that the follower expects next.
    std::uint64_t sent_at = 0; ///< Copied from the chunk.
};

/// Sent by a member that is not part of the group yet, and returned as the answer to it. An answer
/// carries the identity of the requester in `raft_message::to`, which proves that it was written
/// after that identity was created.
struct member_hello {
    bool answer = false;
    bool fresh = false; ///< The log is empty and there is no snapshot.
    std::string address;
    control_group group; ///< Only in answers: the latest group known to the sender.
};

/// One member in the replicated membership.
struct group_member {
    member_id id = 0;
    std::string name; ///< Peer name.
    std::string address;
    bool voter = true; ///< False for a learner.
    std::string replaces; ///< Peer name of the member to remove once this one is a voter.

    bool operator==(group_member const&) const = default;
};

struct membership {
    std::vector<group_member> members;

    bool operator==(membership const&) const = default;
};

using raft_body = std::variant<vote_request, vote_reply, append_request, append_reply,
                               snapshot_chunk, snapshot_reply, member_hello>;

struct raft_message {
    member_id from = 0;
    member_id to = 0; ///< 0 in a member_hello when the identity of the receiver is not known.
    std::uint64_t term = 0;
    raft_body body;
};

} // namespace greengagehead::protocol
