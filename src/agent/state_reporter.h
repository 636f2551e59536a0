// Schedules the reports of the agent's state to the entries.

#pragma once

#include <chrono>
#include <cstdint>
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

    /// Entries that a report is due for.
    enum class audience : std::uint8_t {
        none,
        users, ///< Those that place tasks at this agent.
        all,
    };

    /// @param agent name of this agent.
    /// @param interval longest time between two reports to an entry.
    state_reporter(std::string agent, std::chrono::milliseconds interval,
                   protocol::message_sender& sender);

    void peer_up(std::string const& peer);
    void peer_down(std::string const& peer);

    /// A change of load levels is only reported to the entries that place tasks at this agent; all
    /// others learn of it at the end of the interval.
    [[nodiscard]] audience due(reported_state const& current, base::steady_time now) const;
    /// Sends to the connected entries among `receivers` the report that `make` returns for each.
    void send(audience receivers,
              std::function<protocol::agent_report(std::string const& entry)> const& make,
              reported_state current, base::steady_time now);

private:
    /// Minimum time between a report and a later one that is caused by a change of levels.
    [[nodiscard]] std::chrono::milliseconds min_gap_after_change() const;

    void update_users();

    std::string agent;
    std::chrono::milliseconds interval;
    protocol::message_sender& sender;
    std::set<std::string> connected;
    std::set<std::string> users; ///< Connected entries that place tasks at this agent.
    reported_state reported;
    base::steady_time last_report; ///< Of the last report to `users`.
    base::steady_time last_report_to_all;
};

} // namespace greengagehead::agent
