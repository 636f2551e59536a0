// Schedules the reports of the agent's state to the entries.

#pragma once

#include <chrono>
#include <functional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "protocol/message.h"
#include "protocol/message_sender.h"

namespace greengagehead::agent {

class state_reporter {
public:
    /// Part of the state whose changes are reported before the report interval ends.
    struct reported_state {
        protocol::view_number adopted_view = 0;
        std::vector<std::pair<std::string, std::uint32_t>> levels; ///< Load level of each endpoint.

        bool operator==(reported_state const&) const = default;
    };

    state_reporter(std::chrono::milliseconds interval, protocol::message_sender& sender);

    void peer_up(std::string const& peer) { this->connected.insert(peer); }
    void peer_down(std::string const& peer) { this->connected.erase(peer); }

    /// True if a report is due, because of the interval or of a change in `current`.
    [[nodiscard]] bool due(reported_state const& current, base::steady_time now) const;
    /// Sends to every connected entry the report that `make` returns for it.
    void send(std::function<protocol::agent_report(std::string const& entry)> const& make,
              reported_state current, base::steady_time now);

private:
    /// Minimum time between a report and a later one that is caused by a change of levels.
    [[nodiscard]] std::chrono::milliseconds min_gap_after_change() const;

    std::chrono::milliseconds interval;
    protocol::message_sender& sender;
    std::set<std::string> connected;
    reported_state reported;
    base::steady_time last_report;
};

} // namespace greengagehead::agent
