// All links of one role task: listens, dials the configured peers, replaces broken links, and
// addresses messages by peer name.

#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <sigc++/signal.h>
#include <sigc++/trackable.h>

#include "base/error.h"
#include "protocol/message_sender.h"
#include "transport/link.h"
#include "transport/socket_address.h"

struct evconnlistener;
struct sockaddr;

namespace greengagehead::transport {

class event_loop;
class loop_timer;

class link_hub : public protocol::message_sender, public sigc::trackable {
public:
    link_hub(event_loop& loop, link_identity identity, link_timing timing);
    ~link_hub() override;

    link_hub(link_hub const&) = delete;
    link_hub& operator=(link_hub const&) = delete;
    link_hub(link_hub&&) = delete;
    link_hub& operator=(link_hub&&) = delete;

    /// Accepts links at `address`; port 0 picks a free one. Returns the address in use.
    /// Errors: `error_step::listen` when the address cannot be bound.
    base::result<socket_address> listen(socket_address const& address);

    /// Keeps a link to `address` up until the hub is destroyed or `forget` is called.
    void keep_connected(std::string const& peer, socket_address const& address);
    void forget(std::string const& peer);

    /// A message to a peer without a ready link is dropped.
    void send(std::string const& peer, protocol::message const& body) override;

    [[nodiscard]] bool connected(std::string const& peer) const;

    sigc::signal<void(std::string const& peer)> peer_up;
    sigc::signal<void(std::string const& peer)> peer_down;
    sigc::signal<void(std::string const& peer, protocol::message&)> message_received;

private:
    struct dialled_peer {
        socket_address address;
        link* current = nullptr; // Owned by `links`; null while waiting to redial.
    };

    void adopt(std::unique_ptr<link> created, std::string const& dialled_name);
    void dial(std::string const& peer);
    void dial_missing();
    void handle_ready(link* source);
    void handle_closed(link* source, std::string const& reason);
    void remove_closed();

    static void on_accept(evconnlistener* listener, int socket, sockaddr* address, int size,
                          void* self);

    event_loop& loop;
    link_identity identity;
    link_timing timing;
    evconnlistener* listener = nullptr;
    std::vector<std::unique_ptr<link>> links;
    std::map<std::string, link*> ready_links; // Newest ready link of each peer.
    std::map<std::string, dialled_peer> dialled;
    std::vector<link*> closed_links; // Destroyed outside their own callbacks.
    std::unique_ptr<loop_timer> redial;
};

} // namespace greengagehead::transport
