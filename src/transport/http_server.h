// HTTP server of one role task over evhttp, with replies that may be sent later.

#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/error.h"
#include "transport/socket_address.h"

struct evhttp;
struct evhttp_bound_socket;
struct evhttp_connection;
struct evhttp_request;

namespace greengagehead::transport {

class close_watch;
class event_loop;

enum class http_method : std::uint8_t { get, post, put, del, other };

struct http_request {
    http_method method = http_method::other;
    std::string path; ///< Decoded, without the query.
    std::map<std::string, std::string> query; ///< Decoded parameters.
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;
};

struct http_response {
    int status = 200;
    std::string body;
    std::string content_type = "application/json";
    std::vector<std::pair<std::string, std::string>> headers;
};

/// One request that waits for its reply. Kept alive by whoever will reply.
class http_exchange {
public:
    /// @param closes read when the reply is sent: whether the connection ends with it.
    /// @param busy set from the reply on until all of it is written. Both outlive the wait.
    http_exchange(evhttp_request* request, bool const& closes, bool& busy)
        : pending(request), closing(closes), writing(busy)
    {
    }
    ~http_exchange();

    http_exchange(http_exchange const&) = delete;
    http_exchange& operator=(http_exchange const&) = delete;
    http_exchange(http_exchange&&) = delete;
    http_exchange& operator=(http_exchange&&) = delete;

    /// Sends the reply. Does nothing when the caller has gone or a reply was sent before.
    void respond(http_response const& response);
    /// False once the reply is sent or the caller has closed its connection.
    [[nodiscard]] bool open() const { return this->pending != nullptr; }
    /// Called when the caller closes its connection before the reply.
    void on_disconnected(std::function<void()> action) { this->abandoned = std::move(action); }

private:
    friend class http_server;

    evhttp_request* pending; // Owned by evhttp; null once replied or closed.
    bool const& closing;
    bool& writing; // Of the connection: valid while `pending` is set.
    std::function<void()> abandoned;
};

struct http_limits {
    std::size_t body_bytes = 8UL * 1024 * 1024;
    std::size_t header_bytes = 16UL * 1024;
};

class http_server {
public:
    using handler = std::function<void(http_request&, std::shared_ptr<http_exchange> const&)>;

    http_server(event_loop& owner, http_limits limits, handler on_request);
    ~http_server();

    http_server(http_server const&) = delete;
    http_server& operator=(http_server const&) = delete;
    http_server(http_server&&) = delete;
    http_server& operator=(http_server&&) = delete;

    /// Port 0 picks a free one. Returns the address in use.
    /// Errors: `error_step::listen` when the address cannot be bound.
    base::result<socket_address> listen(socket_address const& address);

    /// Accepts no further connections; open ones are served on.
    void stop_listening();
    /// Every reply from now on asks the caller to close the connection, so that its next request
    /// goes elsewhere.
    void close_after_replies() { this->closing = true; }

    /// Requests whose reply is not completely written.
    [[nodiscard]] std::size_t open_exchanges() const;

private:
    /// One connection and the request on it: evhttp handles one at a time.
    struct caller {
        // evhttp does not read a connection while its request waits, so it does not notice that
        // the caller has closed it.
        std::unique_ptr<close_watch> watch;
        std::weak_ptr<http_exchange> exchange;
        /// Keeps a request that is not handled until the watch ends its connection.
        std::shared_ptr<http_exchange> dropped;
        bool writing = false; // A reply is not completely written yet.
    };

    void accept_request(evhttp_request* request);
    [[nodiscard]] caller& caller_of(evhttp_connection* connection);
    static void on_request(evhttp_request* request, void* self);
    static void on_close(evhttp_connection* connection, void* self);

    handler handle;
    std::size_t body_limit;
    evhttp* server;
    evhttp_bound_socket* bound = nullptr;
    bool closing = false;
    event_loop& loop;
    std::map<evhttp_connection*, caller> callers;
};

} // namespace greengagehead::transport
