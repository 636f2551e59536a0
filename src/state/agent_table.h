// Registered agent incarnations, and those that were replaced or removed recently. An entry that
// takes over a job asks all of them which tasks they started.

#pragma once

#include <map>
#include <string>
#include <vector>

#include "protocol/command.h"

namespace greengagehead::state {

/// An incarnation that is no longer registered.
struct retired_agent {
    protocol::registered_agent agent;
    bool replaced = false; ///< A newer incarnation took its name; it may not register again.
};

/// Snapshot form of an agent_table.
struct agent_image {
    std::vector<protocol::registered_agent> registered;
    std::vector<retired_agent> retired;
};

class agent_table {
public:
    /// Registers an incarnation. A registered incarnation of the same name is retired as replaced.
    /// False when this incarnation was itself replaced earlier and may not register again.
    bool join(protocol::join_agent const& request, protocol::wall_time applied_at);
    /// Retires an incarnation. Ignored when it is not registered.
    void remove(protocol::process_id const& id, protocol::wall_time applied_at);
    /// Drops incarnations that were replaced or removed before `before`.
    void drop_expired(protocol::wall_time before);
    /// True when `drop_expired` would drop anything.
    [[nodiscard]] bool has_expired(protocol::wall_time before) const;

    /// Agents registered now, and those replaced or removed at or after `since`.
    [[nodiscard]] protocol::agent_list list(protocol::wall_time since) const;
    [[nodiscard]] bool any_in_zone(std::string const& zone) const;

    [[nodiscard]] agent_image image() const;
    void restore(agent_image image);

private:
    void retire(protocol::registered_agent agent, bool replaced, protocol::wall_time applied_at);

    /// Invariant: no id is both registered and retired.
    std::map<std::string, protocol::registered_agent> registered;
    std::vector<retired_agent> retired;
};

} // namespace greengagehead::state
