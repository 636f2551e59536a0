// Connects the signals of a link hub to a core, and opens links to peers.

#pragma once

#include <string>
#include <vector>

#include "base/clock.h"
#include "settings/process_settings.h"
#include "transport/link_hub.h"

namespace greengagehead::app {

/// Forwards messages and link changes to the core, which must not be destroyed before the event
/// loop has stopped.
template <typename Core> void wire_core(transport::link_hub& hub, Core& core)
{
    hub.message_received.connect([&core](std::string const& peer, protocol::message& body) {
        core.receive(peer, body, base::steady_now());
    });
    hub.peer_up.connect(
        [&core](std::string const& peer) { core.peer_up(peer, base::steady_now()); });
    hub.peer_down.connect(
        [&core](std::string const& peer) { core.peer_down(peer, base::steady_now()); });
}

/// Keeps a link to the peer open. Does nothing when the address is invalid.
inline void dial(transport::link_hub& hub, std::string const& peer, std::string const& address_text)
{
    if (auto const address = transport::parse_address(address_text))
        hub.keep_connected(peer, address.value());
}

/// Keeps links to peers from the settings, whose addresses were validated when they were read.
inline void connect_peers(transport::link_hub& hub, settings::role peer_role,
                          std::vector<settings::peer_settings> const& peers)
{
    for (auto const& peer : peers)
        dial(hub, settings::peer_name(peer_role, peer.name), peer.address);
}

/// Returns the peer names of control members.
inline std::vector<std::string> control_names(std::vector<settings::peer_settings> const& members)
{
    std::vector<std::string> names;
    names.reserve(members.size());
    for (auto const& member : members)
        names.push_back(settings::peer_name(settings::role::control, member.name));
    return names;
}

/// Keeps links to the current members of the control group and to its leader. A learner may know
/// the leader before it receives the membership that contains it.
inline void dial_members(transport::link_hub& hub, protocol::control_group const& group)
{
    for (auto const& member : group.members)
        dial(hub, member.name, member.address);
    if (!group.leader.name.empty())
        dial(hub, group.leader.name, group.leader.address);
}

} // namespace greengagehead::app
