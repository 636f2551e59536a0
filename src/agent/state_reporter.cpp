// Report schedule.

#include "agent/state_reporter.h"

#include <algorithm>
#include <utility>

namespace greengagehead::agent {

namespace {

/// A loaded endpoint changes its level with nearly every task. The gap grows with the entries: it
/// keeps reports of 300 bytes at 17 KB/s in all, and entries that are all told of the same free
/// slot send their tasks there at the same time. Each entry also learns the use with its own
/// outcomes.
constexpr std::chrono::milliseconds gap_per_entry {17};
constexpr std::chrono::milliseconds shortest_gap {50};

} // namespace

state_reporter::state_reporter(std::chrono::milliseconds wanted, protocol::message_sender& messages)
    : interval(wanted), sender(messages)
{
}

std::chrono::milliseconds state_reporter::gap_after_change() const
{
    auto const entries = static_cast<std::chrono::milliseconds::rep>(this->connected.size());
    return std::max(shortest_gap, gap_per_entry * entries);
}

bool state_reporter::due(notable_state const& current, base::steady_time now) const
{
    auto const gap = now - this->last_report;
    // Views change a few hundred times a day, and operators wait for their acknowledgement.
    return gap >= this->interval || current.known_view != this->reported.known_view
        || (gap >= this->gap_after_change() && current != this->reported);
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
