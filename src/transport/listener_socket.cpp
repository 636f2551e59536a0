// Listening sockets and the receive buffers that accepted sockets inherit.

#include "transport/listener_socket.h"

#include <cerrno>
#include <cstring>

#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/log_record.h"
#include "transport/connection_guard.h"
#include "transport/event_loop.h"
#include "transport/socket_address.h"

namespace greengagehead::transport {

namespace {

void enable(int socket, int option)
{
    int const enabled = 1;
    setsockopt(socket, SOL_SOCKET, option, &enabled, sizeof enabled);
}

bool bind_and_listen(int socket, socket_address const& address)
{
    auto const native_address = to_sockaddr(address);
    return bind(socket, reinterpret_cast<sockaddr const*>(&native_address), sizeof native_address)
        == 0
        && ::listen(socket, listen_backlog) == 0;
}

} // namespace

evconnlistener* open_listener(event_loop& loop, socket_address const& address,
                              accept_callback on_accept, void* argument)
{
    int const socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (socket < 0)
        return nullptr;
    enable(socket, SO_KEEPALIVE);
    enable(socket, SO_REUSEADDR);
    // Before the socket listens, since others inherit the buffer when their first packet arrives.
    if (auto const bytes = loop.connections().receive_buffer_bytes(); bytes > 0)
        set_receive_buffer(socket, bytes);
    constexpr int already_listening = 0;
    auto* const listener = bind_and_listen(socket, address)
        ? evconnlistener_new(loop.base(), on_accept, argument,
                             LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
                             already_listening, socket)
        : nullptr;
    if (listener == nullptr)
        close(socket);
    return listener;
}

void set_receive_buffer(int socket, std::size_t bytes)
{
    // The kernel doubles the value.
    auto const value = static_cast<int>(bytes / 2);
    if (setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &value, sizeof value) != 0)
        base::log_record(base::log_event::receive_buffer_refused)
            .with("bytes", bytes)
            .with("reason", std::strerror(errno));
}

} // namespace greengagehead::transport
