// Decides when the agent reports its state to the entries.

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
    /// What is worth a report ahead of the interval when it changes.
    struct notable_state {
        protocol::view_number known_view = 0;
        std::vector<std::pair<std::string, std::uint32_t>> levels; ///< How full each endpoint is.

        bool operator==(notable_state const&) const = default;
    };

    state_reporter(std::chrono::milliseconds interval, protocol::message_sender& sender);

    void peer_up(std::string const& peer) { this->connected.insert(peer); }
    void peer_down(std::string const& peer) { this->connected.erase(peer); }

    /// True when a report is due, by interval or by a change of `current`.
    [[nodiscard]] bool due(notable_state const& current, base::steady_time now) const;
    /// Sends to every connected entry the report that `make` returns for it.
    void send(std::function<protocol::agent_report(std::string const& entry)> const& make,
              notable_state current, base::steady_time now);

private:
    /// Between two reports of which the later one tells a change of levels.
    [[nodiscard]] std::chrono::milliseconds gap_after_change() const;

    std::chrono::milliseconds interval;
    protocol::message_sender& sender;
    std::set<std::string> connected;
    notable_state reported;
    base::steady_time last_report;
};

} // namespace greengagehead::agent
