// One line a few seconds while no leader is known, and one when it is known again.

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

/// An election takes less than this, so that it leaves no line.
constexpr std::chrono::milliseconds election_allowance {1000};
constexpr std::chrono::milliseconds line_interval {2000};
/// A member that has sent nothing for this long counts as silent.
constexpr std::chrono::milliseconds silence {1000};
/// Bounds the table against peers with made-up names.
constexpr std::size_t max_peers = 64;

std::string names(protocol::membership const& members, bool voter)
{
    std::string text;
    for (auto const& member : members.members) {
        if (member.voter == voter)
            text += (text.empty() ? "" : " ") + member.name;
    }
    return text;
}

} // namespace

void leader_monitor::heard(std::string const& peer, base::steady_time now)
{
    if (this->last_heard.size() >= max_peers && !this->last_heard.contains(peer))
        this->last_heard.clear();
    this->last_heard[peer] = now;
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
        this->next_line = now + election_allowance;
    }
    if (now >= this->next_line)
        this->log_missing(node, now);
}

void leader_monitor::log_missing(raft_node const& node, base::steady_time now)
{
    this->next_line = now + line_interval;
    this->missing_logged = true;
    std::string audible;
    for (auto const& [peer, at] : this->last_heard) {
        if (now - at < silence)
            audible += (audible.empty() ? "" : " ") + peer;
    }
    auto const& members = node.log().members();
    log_record(log_event::leader_missing)
        .with("ms",
              std::chrono::duration_cast<std::chrono::milliseconds>(now - *this->missing_since)
                  .count())
        .with("votes", is_voter(members, node.id()) ? "yes" : "no")
        .with("voters", names(members, true))
        .with("heard", audible)
        .with("last_index", node.log().last().index);
}

std::string names_of_voters(protocol::membership const& members)
{
    return names(members, true);
}

std::string names_of_learners(protocol::membership const& members)
{
    return names(members, false);
}

} // namespace greengagehead::consensus
