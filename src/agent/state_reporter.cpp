// Report intervals.

#include "agent/state_reporter.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "policy/entry_subset.h"

namespace greengagehead::agent {

namespace {

/// A loaded endpoint changes its level with nearly every task. The gap grows with the number of
/// entries that use it for two reasons: it limits reports of 300 bytes to 17 KB/s in total, and
/// entries that learn of the same free slot send their tasks there at the same time. Each entry
/// also learns the usage with its own outcomes.
constexpr std::chrono::milliseconds gap_per_entry {17};
constexpr std::chrono::milliseconds min_report_gap {50};

} // namespace

state_reporter::state_reporter(std::string agent, std::chrono::milliseconds report_interval,
                               protocol::message_sender& messages)
    : agent(std::move(agent)), interval(report_interval), sender(messages)
{
}

void state_reporter::peer_up(std::string const& peer)
{
    this->connected.insert(peer);
    this->update_users();
}

void state_reporter::peer_down(std::string const& peer)
{
    this->connected.erase(peer);
    this->update_users();
}

void state_reporter::update_users()
{
    std::vector<std::string> const entries(this->connected.begin(), this->connected.end());
    this->users.clear();
    for (auto const& entry : entries) {
        if (policy::rank_of_entry(this->agent, entry, entries) < policy::entries_per_endpoint)
            this->users.insert(entry);
    }
}

std::chrono::milliseconds state_reporter::min_gap_after_change() const
{
    auto const entries = static_cast<std::chrono::milliseconds::rep>(this->users.size());
    return std::max(min_report_gap, gap_per_entry * entries);
}

state_reporter::audience state_reporter::due(reported_state const& current,
                                             base::steady_time now) const
{
    // Views change only a few hundred times a day, and operators wait until they are acknowledged.
    if (now - this->last_report_to_all >= this->interval
        || current.adopted_view != this->reported.adopted_view)
        return audience::all;
    bool const changed
        = now - this->last_report >= this->min_gap_after_change() && current != this->reported;
    return changed ? audience::users : audience::none;
}

void state_reporter::send(audience receivers,
                          std::function<protocol::agent_report(std::string const&)> const& make,
                          reported_state current, base::steady_time now)
{
    for (auto const& peer : receivers == audience::all ? this->connected : this->users)
        this->sender.send(peer, make(peer));
    this->reported = std::move(current);
    this->last_report = now;
    if (receivers == audience::all)
        this->last_report_to_all = now;
}

} // namespace greengagehead::agent
