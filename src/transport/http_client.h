// HTTP client of one role task, built on evhttp, with a pool of idle connections per address.

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
    answered, ///< A complete response arrived.
    not_sent, ///< No byte of the request reached the socket, so the peer cannot have received it.
    no_answer, ///< At least part of the request was sent, but no complete response arrived.
};

struct http_client_response {
    http_client_status status = http_client_status::no_answer;
    int code = 0; ///< HTTP status code; 0 unless `answered`.
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;
};

struct http_client_request {
    http_method method = http_method::get;
    socket_address address;
    std::string path; ///< Percent-encoded, with the query.
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

    /// Calls `done` exactly once on the thread of the loop, possibly before `send` returns, unless
    /// the client is destroyed first.
    void send(http_client_request const& request, callback done);

private:
    struct connection;

    /// Takes an idle connection to `address` or creates one.
    connection* acquire_connection(socket_address const& address);
    void finish_request(connection* finished, http_client_response&& response, bool reusable);

    event_loop& loop;
    std::vector<std::unique_ptr<connection>> connections;
    // By address; owned by `connections`.
    std::map<std::string, std::vector<connection*>> idle_connections;
};

/// Splits "http://IP:PORT[/prefix]" into the address and the path prefix without trailing slashes.
/// Errors: `error_code::invalid_argument` when the URL has another form.
[[nodiscard]] base::result<std::pair<socket_address, std::string>>
parse_http_url(std::string const& url);

} // namespace greengagehead::transport
