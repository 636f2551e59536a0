// HTTP client of one role task over evhttp, with kept-alive connections per address.

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "transport/http_server.h"
#include "transport/socket_address.h"

namespace greengagehead::transport {

class event_loop;

enum class http_client_status : std::uint8_t {
    answered, ///< A whole response arrived.
    not_sent, ///< No byte of the request reached the socket, so the peer cannot have seen it.
    no_answer, ///< The request was sent, at least in part, and no whole response arrived.
};

struct http_client_response {
    http_client_status status = http_client_status::no_answer;
    int code = 0;
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;
};

struct http_client_request {
    http_method method = http_method::get;
    socket_address address;
    std::string path; ///< Encoded, with the query.
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    std::chrono::milliseconds timeout {30'000}; ///< For the whole exchange.
};

class http_client {
public:
    using callback = std::function<void(http_client_response&&)>;

    explicit http_client(event_loop& loop);
    ~http_client();

    http_client(http_client const&) = delete;
    http_client& operator=(http_client const&) = delete;
    http_client(http_client&&) = delete;
    http_client& operator=(http_client&&) = delete;

    /// Calls `done` exactly once, unless the client is destroyed first.
    void send(http_client_request const& request, callback done);

private:
    struct connection;

    connection* take_idle(socket_address const& address);
    void finish(connection* used, http_client_response&& response, bool reusable);

    event_loop& loop;
    std::vector<std::unique_ptr<connection>> connections;
    std::map<std::string, std::vector<connection*>> idle; // By address; owned by `connections`.
};

/// "http://IP:PORT[/prefix]" as address and path prefix without a trailing slash.
/// Errors: `error_code::invalid_argument`.
[[nodiscard]] base::result<std::pair<socket_address, std::string>>
parse_http_url(std::string const& url);

} // namespace greengagehead::transport
