// Requests that a leader has accepted and not answered yet.

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

/// Where a request came from. Identity is that of the sender's incarnation and its request id; a
/// resent request may arrive over another connection.
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
    bool begin(request_origin const& origin);
    /// The request has been answered.
    void end(request_origin const& origin);

    /// Links an accepted request to its proposal.
    void await_commit(consensus::log_position const& position, request_origin const& origin);
    /// Request whose proposal was committed at `position`; empty when there is none.
    std::optional<request_origin> committed(consensus::log_position const& position);
    /// Proposals at `index` that another leader's entry has overwritten.
    std::vector<request_origin> overwritten(consensus::log_position const& position);

    /// Holds a finished change back until its view is in force.
    void await_view(protocol::view_number view, request_origin const& origin,
                    protocol::control_result result);
    using held_answer = std::pair<request_origin, protocol::control_result>;
    /// Changes whose view is at most `in_force`.
    std::vector<held_answer> release(protocol::view_number in_force);

    /// Forgets everything and returns the requests in progress.
    std::vector<request_origin> clear();

private:
    std::set<request_origin> in_progress;
    std::map<std::uint64_t, std::pair<std::uint64_t, request_origin>> proposals;
    std::multimap<protocol::view_number, held_answer> held;
};

} // namespace greengagehead::control
