// Reading of HTTP messages that server and client have in common.

#pragma once

#include <map>
#include <string>

struct evbuffer;
struct evkeyvalq;

namespace greengagehead::transport {

/// Headers with their names in lower case.
[[nodiscard]] std::map<std::string, std::string> read_headers(evkeyvalq const* headers);

/// Moves all bytes out of the buffer.
[[nodiscard]] std::string take_body(evbuffer* body);

} // namespace greengagehead::transport
