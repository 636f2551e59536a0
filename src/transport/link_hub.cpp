// Accepting, dialling and replacing of links.

#include "transport/link_hub.h"

#include <algorithm>
#include <array>
#include <utility>

#include <arpa/inet.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <sigc++/functors/mem_fun.h>
#include <sys/socket.h>

#include "base/log_record.h"
#include "transport/connection_guard.h"
#include "transport/event_loop.h"
#include "transport/listener_pause.h"
#include "transport/listener_socket.h"

namespace greengagehead::transport {

namespace {

constexpr std::chrono::milliseconds redial_interval {200};
/// After a power loss of a site, processes start within about a second of each other, and each of
/// them waits for its first links.
constexpr std::chrono::milliseconds startup_redial_interval {50};
constexpr std::chrono::milliseconds startup_period {2000};
/// Longest interval at which the hub looks at its links.
constexpr std::chrono::milliseconds maintenance_interval {50};
/// Peers send snapshots and configurations of several MiB. A window of 64 KiB, the most without
/// window scaling, takes 32 MB/s at 1 ms one way.
constexpr std::size_t peer_receive_buffer_bytes = 131'072;

std::string host_of(sockaddr const* address)
{
    std::array<char, INET_ADDRSTRLEN> text {};
    auto const* const native = reinterpret_cast<sockaddr_in const*>(address);
    inet_ntop(AF_INET, &native->sin_addr, text.data(), text.size());
    return text.data();
}

} // namespace

link_hub::link_hub(event_loop& io_loop, link_identity local_identity, link_timing timing_settings)
    : loop(io_loop), guard(io_loop.connections()), identity(std::move(local_identity)),
      timing(timing_settings),
      close_event(event_new(io_loop.base(), -1, 0, &link_hub::on_close_ordered, this)),
      started(std::chrono::steady_clock::now()),
      maintenance_timer(
          io_loop.every(std::min(maintenance_interval, timing_settings.heartbeat_interval / 4),
                        [this] { this->maintain(); }))
{
    this->guard_owner = this->guard.add_owner(
        [pending = this->close_event] { event_active(pending, EV_TIMEOUT, 0); });
}

link_hub::~link_hub()
{
    this->guard.remove_owner(this->guard_owner);
    event_free(this->close_event);
    this->pause.reset();
    if (this->listener != nullptr)
        evconnlistener_free(this->listener);
}

base::result<socket_address> link_hub::listen(socket_address const& address)
{
    std::string const address_text = address.to_string();
    this->listener = open_listener(this->loop, address, &link_hub::on_accept, this);
    if (this->listener == nullptr)
        return base::error {base::error_code::io, base::error_step::listen, address_text,
                            "cannot listen on " + address_text};

    this->pause = std::make_unique<listener_pause>(this->loop, this->listener);
    sockaddr_in bound {};
    socklen_t bound_size = sizeof bound;
    getsockname(evconnlistener_get_fd(this->listener), reinterpret_cast<sockaddr*>(&bound),
                &bound_size);
    return socket_address {address.host, ntohs(bound.sin_port)};
}

void link_hub::keep_connected(std::string const& peer, socket_address const& address)
{
    auto& entry = this->dialled_peers[peer];
    entry.address = address;
    if (entry.current_link == nullptr)
        this->dial(peer);
}

void link_hub::stop_reconnecting(std::string const& peer)
{
    this->dialled_peers.erase(peer);
}

void link_hub::send(std::string const& peer, protocol::message const& body)
{
    auto const found = this->ready_links.find(peer);
    if (found == this->ready_links.end())
        return;
    if (auto const bytes = found->second->send(body); bytes > 0)
        this->counters.sent.at(body.index()).add(bytes);
}

bool link_hub::connected(std::string const& peer) const
{
    return this->ready_links.contains(peer);
}

void link_hub::add_link(std::unique_ptr<link> added, std::string const& dialled_peer_name)
{
    link* const new_link = added.get();
    this->links.push_back(std::move(added));
    if (auto const found = this->dialled_peers.find(dialled_peer_name);
        found != this->dialled_peers.end())
        found->second.current_link = new_link;
    new_link->became_ready.connect([this, new_link] { this->handle_ready(new_link); });
    new_link->closed.connect(
        [this, new_link](std::string const& reason) { this->handle_closed(new_link, reason); });
    new_link->message_received.connect(
        [this, new_link](protocol::message& body, std::size_t bytes) {
            this->counters.received.at(body.index()).add(bytes);
            this->message_received.emit(new_link->peer(), body);
        });
}

void link_hub::dial(std::string const& peer)
{
    this->add_link(std::make_unique<link>(this->loop, this->dialled_peers.at(peer).address,
                                          this->identity, this->timing),
                   peer);
}

void link_hub::maintain()
{
    this->remove_closed_links();
    auto const now = std::chrono::steady_clock::now();
    // Handlers of a link that is closed may add links.
    for (std::size_t index = 0; index < this->links.size(); ++index)
        this->links[index]->check_heartbeat(now);
    if (now < this->next_redial)
        return;
    bool const starting = now - this->started < startup_period;
    // Half an interval less, because the timer is not exact.
    this->next_redial
        = now + (starting ? startup_redial_interval : redial_interval) - maintenance_interval / 2;
    this->guard.sweep();
    this->redial_disconnected();
}

void link_hub::redial_disconnected()
{
    for (auto const& [peer, entry] : this->dialled_peers) {
        if (entry.current_link == nullptr)
            this->dial(peer);
    }
}

void link_hub::handle_ready(link* ready_link)
{
    bool const was_connected = this->ready_links.contains(ready_link->peer());
    this->ready_links[ready_link->peer()] = ready_link;
    if (auto const found = this->accepted_ids.find(ready_link); found != this->accepted_ids.end())
        this->admit_peer(*ready_link, found->second);
    base::log_record(base::log_event::peer_connected)
        .with("self", this->identity.name)
        .with("peer", ready_link->peer());
    if (!was_connected)
        this->peer_up.emit(ready_link->peer());
}

void link_hub::admit_peer(link& accepted, std::uint64_t id)
{
    this->guard.enter(id, policy::connection_stage::established);
    if (this->guard.receive_buffer_bytes() > 0)
        set_receive_buffer(accepted.descriptor(), peer_receive_buffer_bytes);
}

void link_hub::handle_closed(link* closed_link, std::string const& reason)
{
    this->closed_links.push_back(closed_link);
    if (reason == handshake_too_large)
        this->guard.count(policy::close_reason::handshake_bytes);
    for (auto& [peer, entry] : this->dialled_peers) {
        if (entry.current_link == closed_link)
            entry.current_link = nullptr;
    }
    auto const found = this->ready_links.find(closed_link->peer());
    if (found == this->ready_links.end() || found->second != closed_link)
        return;
    std::string const peer = closed_link->peer();
    this->ready_links.erase(found);
    base::log_record(base::log_event::peer_disconnected)
        .with("self", this->identity.name)
        .with("peer", peer)
        .with("reason", reason);
    this->peer_down.emit(peer);
}

void link_hub::remove_closed_links()
{
    for (link* const closed_link : this->closed_links) {
        if (auto const id = this->accepted_ids.extract(closed_link); !id.empty())
            this->guard.close(id.mapped());
        std::erase_if(this->links,
                      [closed_link](auto const& owned) { return owned.get() == closed_link; });
    }
    this->closed_links.clear();
}

void link_hub::accept(int socket, std::string const& address)
{
    if (++this->accepted_in_turn >= max_accepted_in_turn) {
        this->pause->stop();
        event_active(this->close_event, EV_TIMEOUT, 0);
    }
    auto const id
        = this->guard.open(this->guard_owner, address, policy::connection_stage::handshake);
    if (!id) {
        evutil_closesocket(socket);
        return;
    }
    auto accepted = std::make_unique<link>(this->loop, socket, this->identity, this->timing);
    this->accepted_ids[accepted.get()] = *id;
    this->add_link(std::move(accepted), {});
}

void link_hub::close_ordered()
{
    for (auto const id : this->guard.take_closed(this->guard_owner)) {
        auto const found
            = std::find_if(this->accepted_ids.begin(), this->accepted_ids.end(),
                           [id](auto const& accepted) { return accepted.second == id; });
        if (found != this->accepted_ids.end())
            found->first->close("the limits on connections require it");
    }
    this->remove_closed_links();
    this->accepted_in_turn = 0;
    if (this->pause)
        this->pause->resume();
}

void link_hub::on_close_ordered(int /*socket*/, short /*what*/, void* self)
{
    static_cast<link_hub*>(self)->close_ordered();
}

void link_hub::on_accept(evconnlistener* /*listener*/, int socket, sockaddr* address, int /*size*/,
                         void* self)
{
    static_cast<link_hub*>(self)->accept(socket, host_of(address));
}

} // namespace greengagehead::transport
