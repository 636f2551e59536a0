// Requests that the leader has accepted but not answered yet.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "consensus/replicated_log.h"
#include "protocol/message.h"

namespace greengagehead::control {

/// Sender of a request. The incarnation of the sender and the request id identify the request;
/// `peer` does not, because a resent request may arrive over another connection.
struct request_origin {
    std::string peer;
    protocol::process_id from;
    std::uint64_t request_id = 0;

    [[nodiscard]] bool operator<(request_origin const& other) const
    {
        return std::tie(this->from, this->request_id) < std::tie(other.from, other.request_id);
    }
};

class request_table {
public:
    /// Accepts a request. False when the same request is in progress already.
    bool accept(request_origin const& origin);
    /// Removes a request that has been answered.
    void finish(request_origin const& origin);

    /// Links an accepted request to its proposal.
    void await_commit(consensus::log_position const& position, request_origin const& origin);
    /// Removes and returns the request whose proposal was committed at `position`; empty when there
    /// is none.
    std::optional<request_origin> take_committed(consensus::log_position const& position);
    /// Removes and returns the requests whose proposals, up to the index of `position`, were
    /// overwritten by entries of another leader.
    std::vector<request_origin> take_overwritten(consensus::log_position const& position);

    /// Delays the answer to a committed change until its view is in force.
    void await_view(protocol::view_number view, request_origin const& origin,
                    protocol::control_result result);
    using delayed_answer = std::pair<request_origin, protocol::control_result>;
    /// Removes and returns the answers whose view is at most `in_force`.
    std::vector<delayed_answer> release(protocol::view_number in_force);

    /// Clears the table and returns the requests in progress.
    std::vector<request_origin> clear();

private:
    std::set<request_origin> in_progress;
    /// By log index: the term of the proposal and the request that it belongs to.
    std::map<std::uint64_t, std::pair<std::uint64_t, request_origin>> proposals;
    std::multimap<protocol::view_number, delayed_answer> delayed_answers;
};

} // namespace greengagehead::control
