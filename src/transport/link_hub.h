// All links of one role task: accepts links, dials the configured peers, replaces closed links, and
// sends messages by peer name.

#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <sigc++/signal.h>
#include <sigc++/trackable.h>

#include "base/error.h"
#include "protocol/message_sender.h"
#include "transport/link.h"
#include "transport/message_counters.h"
#include "transport/socket_address.h"

struct event;
struct evconnlistener;
struct sockaddr;

namespace greengagehead::transport {

class connection_guard;
class event_loop;
class listener_pause;
class loop_timer;

/// All calls and signals are on the thread of the event loop.
class link_hub : public protocol::message_sender, public sigc::trackable {
public:
    link_hub(event_loop& loop, link_identity identity, link_timing timing);
    ~link_hub() override;

    link_hub(link_hub const&) = delete;
    link_hub& operator=(link_hub const&) = delete;
    link_hub(link_hub&&) = delete;
    link_hub& operator=(link_hub&&) = delete;

    /// Accepts links at `address`; port 0 picks a free port. Returns the bound address.
    /// Errors: `error_step::listen` when the address cannot be bound.
    base::result<socket_address> listen(socket_address const& address);

    /// Dials `peer` at `address`, and again whenever its link closes, until `stop_reconnecting`.
    /// For a known peer the new address is used from the next dial on.
    void keep_connected(std::string const& peer, socket_address const& address);
    /// Does not dial `peer` any more. A link that is open stays open.
    void stop_reconnecting(std::string const& peer);

    /// Drops the message when there is no ready link to `peer`.
    void send(std::string const& peer, protocol::message const& body) override;

    /// Whether there is a ready link to `peer`.
    [[nodiscard]] bool connected(std::string const& peer) const;
    /// Messages sent and received over all links so far.
    [[nodiscard]] message_counters const& messages() const { return this->counters; }

    /// Emitted when the first ready link to a peer exists, not when a newer link replaces it.
    sigc::signal<void(std::string const& peer)> peer_up;
    /// Emitted when the ready link to a peer has closed.
    sigc::signal<void(std::string const& peer)> peer_down;
    /// Emitted for each message that a ready link receives, with the authenticated name of the
    /// peer.
    sigc::signal<void(std::string const& peer, protocol::message&)> message_received;

private:
    struct dialled_peer {
        socket_address address;
        link* current_link = nullptr; // Owned by `links`; null until the next dial.
    };

    /// @param dialled_peer_name empty for an accepted link.
    void add_link(std::unique_ptr<link> added, std::string const& dialled_peer_name);
    void dial(std::string const& peer);
    /// Checks the heartbeats of all links, and dials again where it is time.
    void maintain();
    void redial_disconnected();
    void handle_ready(link* ready_link);
    /// Ends the limits that hold for an accepted link before its peer is authenticated.
    void admit_peer(link& accepted, std::uint64_t id);
    void handle_closed(link* closed_link, std::string const& reason);
    void remove_closed_links();
    void accept(int socket, std::string const& address);
    void close_ordered();

    static void on_close_ordered(int socket, short what, void* self);
    static void on_accept(evconnlistener* listener, int socket, sockaddr* address, int size,
                          void* self);

    event_loop& loop;
    connection_guard& guard;
    std::uint64_t guard_owner = 0;
    link_identity identity;
    link_timing timing;
    evconnlistener* listener = nullptr;
    std::unique_ptr<listener_pause> pause; // Of the listener.
    event* close_event; // Pending while links have to be closed.
    std::size_t accepted_in_turn = 0; ///< Since links were last closed on order of the guard.
    std::map<link*, std::uint64_t> accepted_ids; // Of accepted links, in the guard.
    std::vector<std::unique_ptr<link>> links;
    std::map<std::string, link*> ready_links; // Newest ready link to each peer; owned by `links`.
    std::map<std::string, dialled_peer> dialled_peers;
    std::vector<link*> closed_links; // Destroyed later, outside their own signals.
    base::steady_time started;
    base::steady_time next_redial;
    std::unique_ptr<loop_timer> maintenance_timer;
    message_counters counters;
};

} // namespace greengagehead::transport
