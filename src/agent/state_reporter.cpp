// Report intervals.

#include "agent/state_reporter.h"

#include <algorithm>
#include <utility>

namespace greengagehead::agent {

namespace {

/// A loaded endpoint changes its level with nearly every task. The gap grows with the number of
/// entries for two reasons: it limits reports of 300 bytes to 17 KB/s in total, and entries that
/// learn of the same free slot send their tasks there at the same time. Each entry also learns the
/// usage with its own outcomes.
constexpr std::chrono::milliseconds gap_per_entry {17};
constexpr std::chrono::milliseconds min_report_gap {50};

} // namespace

state_reporter::state_reporter(std::chrono::milliseconds report_interval,
                               protocol::message_sender& messages)
    : interval(report_interval), sender(messages)
{
}

std::chrono::milliseconds state_reporter::min_gap_after_change() const
{
    auto const entries = static_cast<std::chrono::milliseconds::rep>(this->connected.size());
    return std::max(min_report_gap, gap_per_entry * entries);
}

bool state_reporter::due(reported_state const& current, base::steady_time now) const
{
    auto const gap = now - this->last_report;
    // Views change only a few hundred times a day, and operators wait until they are acknowledged.
    return gap >= this->interval || current.adopted_view != this->reported.adopted_view
        || (gap >= this->min_gap_after_change() && current != this->reported);
}

void state_reporter::send(std::function<protocol::agent_report(std::string const&)> const& make,
                          reported_state current, base::steady_time now)
{
    for (auto const& peer : this->connected)
        this->sender.send(peer, make(peer));
    this->reported = std::move(current);
    this->last_report = now;
}

} // namespace greengagehead::agent
