// IP address and port of a listener or peer.

#pragma once

#include <cstdint>
#include <string>

#include "base/error.h"

struct sockaddr_in;

namespace greengagehead::transport {

struct socket_address {
    std::string host; ///< IPv4 address in dotted form.
    std::uint16_t port = 0;

    [[nodiscard]] std::string to_string() const;
    bool operator==(socket_address const&) const = default;
};

/// Converts the address for the socket functions. `host` must be an IPv4 address.
[[nodiscard]] sockaddr_in to_sockaddr(socket_address const& address);

/// Sets TCP_NODELAY, so that small writes are sent at once. Without it, a body written after its
/// headers on a reused connection waits about 40 ms for the peer's delayed acknowledgement.
void set_no_delay(int socket);

/// Parses "IP:PORT". Host names are not resolved: a process gets its addresses from its settings.
/// Errors: `error_code::invalid_argument` when the text has another form.
[[nodiscard]] base::result<socket_address> parse_address(std::string const& text);

} // namespace greengagehead::transport
