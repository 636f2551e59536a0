// Connects the signals of a link hub to a core, and dials configured peers.

#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "settings/process_settings.h"
#include "transport/link_hub.h"

namespace greengagehead::app {

/// The core must outlive the hub's signals, that is, be destroyed after the loop has stopped.
template <typename Core> void wire_core(transport::link_hub& hub, Core& core)
{
    hub.message_received.connect([&core](std::string const& peer, protocol::message& body) {
        core.receive(peer, body, std::chrono::steady_clock::now());
    });
    hub.peer_up.connect(
        [&core](std::string const& peer) { core.peer_up(peer, std::chrono::steady_clock::now()); });
    hub.peer_down.connect([&core](std::string const& peer) {
        core.peer_down(peer, std::chrono::steady_clock::now());
    });
}

/// Addresses were checked with the settings; an invalid one is left out.
inline void connect_peers(transport::link_hub& hub, settings::role which,
                          std::vector<settings::peer_settings> const& peers)
{
    for (auto const& peer : peers) {
        if (auto const address = transport::parse_address(peer.address))
            hub.keep_connected(settings::peer_name(which, peer.name), address.value());
    }
}

/// Keeps links to the members of the control group as it is now.
inline void dial_members(transport::link_hub& hub,
                         std::vector<protocol::member_address> const& members)
{
    for (auto const& member : members) {
        if (auto const address = transport::parse_address(member.address))
            hub.keep_connected(member.name, address.value());
    }
}

} // namespace greengagehead::app
