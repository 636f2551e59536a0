// Logs that a member knows no leader, with the voters and the members from which messages arrive,
// so that the cause can be found.

#pragma once

#include <map>
#include <optional>
#include <string>

#include "base/clock.h"

namespace greengagehead::protocol {
struct membership;
} // namespace greengagehead::protocol

namespace greengagehead::consensus {

class raft_node;

class leader_monitor {
public:
    /// To be called for every message from the control member `peer`.
    void record_message(std::string const& peer, base::steady_time now);
    /// @param leader peer name of the current leader; empty when unknown.
    void tick(raft_node const& node, std::string const& leader, base::steady_time now);

private:
    void log_missing(raft_node const& node, base::steady_time now);

    /// Time of the last message by peer name.
    std::map<std::string, base::steady_time> last_message_times;
    /// Empty while a leader is known.
    std::optional<base::steady_time> missing_since;
    base::steady_time next_log_time;
    bool missing_logged = false;
};

/// Peer names of the voters, separated by spaces.
[[nodiscard]] std::string names_of_voters(protocol::membership const& members);
/// Peer names of the learners, separated by spaces.
[[nodiscard]] std::string names_of_learners(protocol::membership const& members);

} // namespace greengagehead::consensus
