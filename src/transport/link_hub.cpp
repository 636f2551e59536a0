// Set of links by peer name.

#include "transport/link_hub.h"

#include <algorithm>
#include <utility>

#include <event2/listener.h>
#include <netinet/in.h>
#include <sigc++/functors/mem_fun.h>
#include <sys/socket.h>

#include "base/log_record.h"
#include "transport/event_loop.h"

namespace greengagehead::transport {

namespace {

constexpr std::chrono::milliseconds redial_interval {200};

} // namespace

link_hub::link_hub(event_loop& owner, link_identity own_identity, link_timing times)
    : loop(owner), identity(std::move(own_identity)), timing(times),
      redial(owner.every(redial_interval, [this] { this->dial_missing(); }))
{
}

link_hub::~link_hub()
{
    if (this->listener != nullptr)
        evconnlistener_free(this->listener);
}

base::result<socket_address> link_hub::listen(socket_address const& address)
{
    std::string const text = address.to_string();
    auto wanted = to_sockaddr(address);
    this->listener
        = evconnlistener_new_bind(this->loop.base(), &link_hub::on_accept, this,
                                  LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
                                  -1, reinterpret_cast<sockaddr*>(&wanted), sizeof wanted);
    if (this->listener == nullptr)
        return base::error {base::error_code::io, base::error_step::listen, text,
                            "cannot listen on " + text};

    sockaddr_in bound {};
    socklen_t bound_size = sizeof bound;
    getsockname(evconnlistener_get_fd(this->listener), reinterpret_cast<sockaddr*>(&bound),
                &bound_size);
    return socket_address {address.host, ntohs(bound.sin_port)};
}

void link_hub::keep_connected(std::string const& peer, socket_address const& address)
{
    auto& entry = this->dialled[peer];
    entry.address = address;
    if (entry.current == nullptr)
        this->dial(peer);
}

void link_hub::forget(std::string const& peer)
{
    this->dialled.erase(peer);
}

void link_hub::send(std::string const& peer, protocol::message const& body)
{
    if (auto const found = this->ready_links.find(peer); found != this->ready_links.end())
        found->second->send(body);
}

bool link_hub::connected(std::string const& peer) const
{
    return this->ready_links.contains(peer);
}

void link_hub::adopt(std::unique_ptr<link> created, std::string const& dialled_name)
{
    link* const source = created.get();
    this->links.push_back(std::move(created));
    if (auto const found = this->dialled.find(dialled_name); found != this->dialled.end())
        found->second.current = source;
    source->became_ready.connect([this, source] { this->handle_ready(source); });
    source->closed.connect(
        [this, source](std::string const& reason) { this->handle_closed(source, reason); });
    source->message_received.connect([this, source](protocol::message& body) {
        this->message_received.emit(source->peer(), body);
    });
}

void link_hub::dial(std::string const& peer)
{
    this->adopt(std::make_unique<link>(this->loop, this->dialled.at(peer).address, this->identity,
                                       this->timing),
                peer);
}

void link_hub::dial_missing()
{
    this->remove_closed();
    for (auto const& [peer, entry] : this->dialled) {
        if (entry.current == nullptr)
            this->dial(peer);
    }
}

void link_hub::handle_ready(link* source)
{
    bool const known = this->ready_links.contains(source->peer());
    this->ready_links[source->peer()] = source;
    base::log_record(base::log_event::peer_connected)
        .with("self", this->identity.name)
        .with("peer", source->peer());
    if (!known)
        this->peer_up.emit(source->peer());
}

void link_hub::handle_closed(link* source, std::string const& reason)
{
    this->closed_links.push_back(source);
    for (auto& [peer, entry] : this->dialled) {
        if (entry.current == source)
            entry.current = nullptr;
    }
    auto const found = this->ready_links.find(source->peer());
    if (found == this->ready_links.end() || found->second != source)
        return;
    std::string const peer = source->peer();
    this->ready_links.erase(found);
    base::log_record(base::log_event::peer_disconnected)
        .with("self", this->identity.name)
        .with("peer", peer)
        .with("reason", reason);
    this->peer_down.emit(peer);
}

void link_hub::remove_closed()
{
    for (link* const closed : this->closed_links)
        std::erase_if(this->links, [closed](auto const& owned) { return owned.get() == closed; });
    this->closed_links.clear();
}

void link_hub::on_accept(evconnlistener* /*listener*/, int socket, sockaddr* /*address*/,
                         int /*size*/, void* self)
{
    auto& hub = *static_cast<link_hub*>(self);
    hub.adopt(std::make_unique<link>(hub.loop, socket, hub.identity, hub.timing), {});
}

} // namespace greengagehead::transport
