// Logs one line every two seconds while no leader is known, and one when a leader is known again.

#include "consensus/leader_monitor.h"

#include <chrono>
#include <utility>

#include "base/log_record.h"
#include "consensus/quorum.h"
#include "consensus/raft_node.h"

namespace greengagehead::consensus {

namespace {

using base::log_event;
using base::log_record;

/// An election normally takes less than this, so that it is not logged.
constexpr std::chrono::milliseconds log_delay {1000};
constexpr std::chrono::milliseconds log_interval {2000};
/// A member that has sent nothing for this long is left out of the senders.
constexpr std::chrono::milliseconds silence_timeout {1000};
/// Bounds the table, as messages may come from peers with any name.
constexpr std::size_t max_peers = 64;

std::string member_names(protocol::membership const& members, bool voter)
{
    std::string text;
    for (auto const& member : members.members) {
        if (member.voter == voter)
            text += (text.empty() ? "" : " ") + member.name;
    }
    return text;
}

} // namespace

void leader_monitor::record_message(std::string const& peer, base::steady_time now)
{
    if (this->last_message_times.size() >= max_peers && !this->last_message_times.contains(peer))
        this->last_message_times.clear();
    this->last_message_times[peer] = now;
}

void leader_monitor::tick(raft_node const& node, std::string const& leader, base::steady_time now)
{
    if (!leader.empty()) {
        if (std::exchange(this->missing_logged, false))
            log_record(log_event::leader_known).with("leader", leader).with("term", node.term());
        this->missing_since.reset();
        return;
    }
    if (!this->missing_since) {
        this->missing_since = now;
        this->next_log_time = now + log_delay;
    }
    if (now >= this->next_log_time)
        this->log_missing(node, now);
}

void leader_monitor::log_missing(raft_node const& node, base::steady_time now)
{
    this->next_log_time = now + log_interval;
    this->missing_logged = true;
    std::string recent_senders;
    for (auto const& [peer, received_at] : this->last_message_times) {
        if (now - received_at < silence_timeout)
            recent_senders += (recent_senders.empty() ? "" : " ") + peer;
    }
    auto const& members = node.log().members();
    log_record(log_event::leader_missing)
        .with("ms",
              std::chrono::duration_cast<std::chrono::milliseconds>(now - *this->missing_since)
                  .count())
        .with("votes", is_voter(members, node.id()) ? "yes" : "no")
        .with("voters", member_names(members, true))
        .with("heard", recent_senders)
        .with("last_index", node.log().last().index);
}

std::string names_of_voters(protocol::membership const& members)
{
    return member_names(members, true);
}

std::string names_of_learners(protocol::membership const& members)
{
    return member_names(members, false);
}

} // namespace greengagehead::consensus
