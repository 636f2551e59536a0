// Logs periods in which no control leader answers an entry, with the known and the connected
// members.

#pragma once

#include <set>
#include <string>
#include <vector>

#include "base/clock.h"

namespace greengagehead::entry {

class control_outage_logger {
public:
    /// Call this when `peer` has answered as leader.
    void record_answer(std::string const& peer, base::steady_time now);
    /// Connections to any peer; only those to control members are logged.
    void link_up(std::string const& peer) { this->links.insert(peer); }
    void link_down(std::string const& peer) { this->links.erase(peer); }
    /// @param target_member member that requests are currently sent to.
    /// @param members all known members.
    void tick(std::string const& target_member, std::vector<std::string> const& members,
              base::steady_time now);

private:
    void log_lost(std::string const& target_member, std::vector<std::string> const& members,
                  base::steady_time now);

    std::set<std::string> links;
    /// Last answer of a leader; the first tick while there was none.
    base::steady_time last_answer;
    base::steady_time next_log_time;
    bool outage_logged = false;
};

} // namespace greengagehead::entry
