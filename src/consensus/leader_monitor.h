// Logs while a member knows no leader, with what the reason can be read from: who votes, and which
// of the other members can be heard.

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
    /// Any message of the control member `peer`.
    void heard(std::string const& peer, base::steady_time now);
    /// @param leader peer name of the leader that is known now; empty for none.
    void tick(raft_node const& node, std::string const& leader, base::steady_time now);

private:
    void log_missing(raft_node const& node, base::steady_time now);

    std::map<std::string, base::steady_time> last_heard;
    /// Empty while a leader is known.
    std::optional<base::steady_time> missing_since;
    base::steady_time next_line;
    bool missing_logged = false;
};

/// Peer names of the voters, or of the learners, separated by spaces.
[[nodiscard]] std::string names_of_voters(protocol::membership const& members);
[[nodiscard]] std::string names_of_learners(protocol::membership const& members);

} // namespace greengagehead::consensus
