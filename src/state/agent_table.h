// Registered agent incarnations, and those replaced or removed recently. An owner that takes a job
// over asks all of them what they started.

#pragma once

#include <map>
#include <string>
#include <vector>

#include "protocol/command.h"

namespace greengagehead::state {

/// An incarnation that is no longer registered.
struct past_agent {
    protocol::registered_agent agent;
    bool replaced = false; ///< A new incarnation took its name; it may never register again.
};

/// Snapshot form of an agent_table.
struct agent_image {
    std::vector<protocol::registered_agent> registered;
    std::vector<past_agent> past;
};

class agent_table {
public:
    /// False when this incarnation was replaced and may not register again.
    bool join(protocol::join_agent const& request, protocol::wall_time at);
    void remove(protocol::process_id const& id, protocol::wall_time at);
    /// Drops incarnations that were replaced or removed before `before`.
    void forget(protocol::wall_time before);
    [[nodiscard]] bool has_expired(protocol::wall_time before) const;

    /// Agents registered now, and those replaced or removed at or after `since`.
    [[nodiscard]] protocol::agent_list list(protocol::wall_time since) const;
    [[nodiscard]] bool any_in_zone(std::string const& zone) const;

    [[nodiscard]] agent_image image() const;
    void restore(agent_image image);

private:
    void retire(protocol::registered_agent agent, bool replaced, protocol::wall_time at);

    /// Invariant: no id is both registered and past.
    std::map<std::string, protocol::registered_agent> registered;
    std::vector<past_agent> past;
};

} // namespace greengagehead::state
