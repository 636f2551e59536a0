// Logs while no control leader answers an entry, with the members that it knows and has links to.

#pragma once

#include <set>
#include <string>
#include <vector>

#include "base/clock.h"

namespace greengagehead::entry {

class control_watch {
public:
    /// `peer` answered as leader.
    void answered(std::string const& peer, base::steady_time now);
    /// Links to any peer; others than control members are left out when a line is written.
    void link_up(std::string const& peer) { this->links.insert(peer); }
    void link_down(std::string const& peer) { this->links.erase(peer); }
    /// @param asked the member to which requests go now. @param known all known members.
    void tick(std::string const& asked, std::vector<std::string> const& known,
              base::steady_time now);

private:
    void log_lost(std::string const& asked, std::vector<std::string> const& known,
                  base::steady_time now);

    std::set<std::string> links;
    /// Last answer of a leader; the first tick while there was none.
    base::steady_time last_answer;
    base::steady_time next_line;
    bool lost = false;
};

} // namespace greengagehead::entry
