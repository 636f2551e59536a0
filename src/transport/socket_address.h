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

/// The address in the form that sockets take.
[[nodiscard]] sockaddr_in to_sockaddr(socket_address const& address);

/// Sends small writes at once. Without it, headers and body in two writes on a kept-alive
/// connection wait about 40 ms for the peer's delayed acknowledgement.
void set_no_delay(int socket);

/// Reads "IP:PORT". Names are not resolved: a process learns its addresses from its settings.
/// Errors: `error_code::invalid_argument`.
[[nodiscard]] base::result<socket_address> parse_address(std::string const& text);

} // namespace greengagehead::transport
