// Parsing and conversion of socket addresses.

#include "transport/socket_address.h"

#include <charconv>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace greengagehead::transport {

std::string socket_address::to_string() const
{
    return this->host + ":" + std::to_string(this->port);
}

sockaddr_in to_sockaddr(socket_address const& address)
{
    sockaddr_in native_address {};
    native_address.sin_family = AF_INET;
    native_address.sin_port = htons(address.port);
    inet_pton(AF_INET, address.host.c_str(), &native_address.sin_addr);
    return native_address;
}

void set_no_delay(int socket)
{
    int const enabled = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
}

base::result<socket_address> parse_address(std::string const& text)
{
    base::error const invalid {base::error_code::invalid_argument, base::error_step::settings, text,
                               "an address must have the form IP:PORT"};
    auto const colon = text.rfind(':');
    if (colon == std::string::npos)
        return invalid;
    socket_address address {text.substr(0, colon), 0};
    in_addr parsed {};
    if (inet_pton(AF_INET, address.host.c_str(), &parsed) != 1)
        return invalid;
    char const* const first = text.data() + colon + 1;
    char const* const last = text.data() + text.size();
    auto const [end, failure] = std::from_chars(first, last, address.port);
    if (failure != std::errc() || end != last)
        return invalid;
    return address;
}

} // namespace greengagehead::transport
