// Endpoints as one entry sees them: the agents' reports plus the entry's own outstanding starts.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "protocol/message.h"

namespace greengagehead::policy {

struct endpoint_record {
    protocol::endpoint_state state; ///< As last reported by the agent.
    protocol::process_id agent;
    std::string region;
    std::string zone;
    /// Starts sent by this entry that the last report cannot include yet.
    std::uint32_t unreported_starts = 0;
    bool zone_out = false;
    bool agent_registered = false; ///< join_agent of this incarnation is committed.
};

/// Owned by the entry; not thread-safe.
class endpoint_table {
public:
    /// Replaces what is known of the agent's endpoints. Endpoints missing from the report are gone.
    void update(protocol::agent_report const& report, base::steady_time now);
    void remove_agent(std::string const& agent);
    void set_agent_registered(protocol::process_id const& agent);
    void set_zones_out(std::vector<std::string> const& zones);
    void set_draining(std::vector<std::string> const& endpoints);

    void note_start(std::string const& endpoint);
    void note_outcome(std::string const& endpoint);

    [[nodiscard]] endpoint_record const* find(std::string const& endpoint) const;
    [[nodiscard]] std::map<std::string, endpoint_record> const& all() const;
    /// Free places of an endpoint: slots less used, queued and unreported starts; 0 when it must
    /// not get work (draining, zone out, agent not registered).
    [[nodiscard]] std::uint32_t free_slots(endpoint_record const& endpoint) const;
};

} // namespace greengagehead::policy
