// Binary encoding of log entries, memberships and snapshots, for storage and transfer.

#pragma once

#include <string>
#include <string_view>

#include "base/error.h"
#include "consensus/replicated_log.h"
#include "protocol/raft_message.h"

namespace greengagehead::consensus {

/// Content of a snapshot file and of a snapshot transfer.
struct snapshot_content {
    /// Last entry that is applied to `state`.
    log_position last;
    /// The membership at `last`.
    protocol::membership members;
    std::string state;
};

[[nodiscard]] std::string encode(protocol::log_entry const& entry);
[[nodiscard]] std::string encode(protocol::membership const& members);
[[nodiscard]] std::string encode(snapshot_content const& content);

/// Errors of all decoders: `malformed`.
[[nodiscard]] base::result<protocol::log_entry> decode_entry(std::string_view bytes);
[[nodiscard]] base::result<protocol::membership> decode_membership(std::string_view bytes);
[[nodiscard]] base::result<snapshot_content> decode_snapshot(std::string_view bytes);

} // namespace greengagehead::consensus
