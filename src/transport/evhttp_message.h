// Reads headers and bodies of evhttp messages, for the HTTP server and client.

#pragma once

#include <map>
#include <string>

struct evbuffer;
struct evkeyvalq;

namespace greengagehead::transport {

/// Returns the headers with their names in lower case. Of headers with the same name, the last
/// counts.
[[nodiscard]] std::map<std::string, std::string> read_headers(evkeyvalq const* headers);

/// Removes all bytes from the buffer and returns them.
[[nodiscard]] std::string take_body(evbuffer* body);

} // namespace greengagehead::transport
