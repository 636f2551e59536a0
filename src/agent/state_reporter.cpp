// Report schedule.

#include "agent/state_reporter.h"

#include <utility>

namespace greengagehead::agent {

namespace {

/// A loaded endpoint changes between full and not full with every task. 50 ms keep the reports of
/// 300 bytes to three entries below 17 KB/s.
constexpr std::chrono::milliseconds shortest_gap {50};

} // namespace

state_reporter::state_reporter(std::chrono::milliseconds wanted, protocol::message_sender& messages)
    : interval(wanted), sender(messages)
{
}

bool state_reporter::due(notable_state const& current, base::steady_time now) const
{
    auto const gap = now - this->last_report;
    // Views change a few hundred times a day, and operators wait for their acknowledgement.
    return gap >= this->interval || current.known_view != this->reported.known_view
        || (gap >= shortest_gap && current != this->reported);
}

void state_reporter::send(std::function<protocol::agent_report(std::string const&)> const& make,
                          notable_state current, base::steady_time now)
{
    for (auto const& peer : this->connected)
        this->sender.send(peer, make(peer));
    this->reported = std::move(current);
    this->last_report = now;
}

} // namespace greengagehead::agent
