// Opens listeners whose accepted sockets have a bounded receive buffer.

#pragma once

#include <cstddef>

struct evconnlistener;
struct sockaddr;

namespace greengagehead::transport {

class event_loop;
struct socket_address;

/// Connections that the kernel keeps for a listener until they are accepted. It admits one more
/// than a listener asks for.
constexpr int listen_backlog = 128;
constexpr std::size_t max_pending_connections = listen_backlog + 1;

using accept_callback = void (*)(evconnlistener*, int, sockaddr*, int, void*);

/// Sockets inherit the receive buffer of the guard of `loop`, also while they wait to be accepted.
/// @return null when the address cannot be bound. The caller owns the listener.
[[nodiscard]] evconnlistener* open_listener(event_loop& loop, socket_address const& address,
                                            accept_callback on_accept, void* argument);

/// Sets the bytes that the kernel may hold unread for `socket`. A failure is logged.
void set_receive_buffer(int socket, std::size_t bytes);

} // namespace greengagehead::transport
