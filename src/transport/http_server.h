// HTTP server of one role task, built on evhttp. A handler may reply to a request later.

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
    std::string path; ///< Percent-decoded, without the query.
    std::map<std::string, std::string> query; ///< Percent-decoded parameters.
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;
};

struct http_response {
    int status = 200;
    std::string body;
    std::string content_type = "application/json";
    std::vector<std::pair<std::string, std::string>> headers;
};

/// A request and its pending reply. The handler shares ownership until it replies; destroying the
/// last reference without a reply sends status 500.
class http_exchange {
public:
    /// The watch and both flags must stay valid until the reply is written or the connection is
    /// closed.
    /// @param close_flag read when the reply is sent: whether the reply asks the client to close
    /// the connection.
    /// @param writing_flag true from `respond` until the whole reply is written.
    http_exchange(evhttp_request* request, close_watch const& connection_watch,
                  bool const& close_flag, bool& writing_flag)
        : pending_request(request), watch(connection_watch), connection_close(close_flag),
          writing(writing_flag)
    {
    }
    ~http_exchange();

    http_exchange(http_exchange const&) = delete;
    http_exchange& operator=(http_exchange const&) = delete;
    http_exchange(http_exchange&&) = delete;
    http_exchange& operator=(http_exchange&&) = delete;

    /// Sends the reply. Does nothing when the exchange is not open.
    void respond(http_response const& response);
    /// False once the reply is sent or the client has closed the connection.
    [[nodiscard]] bool open() const { return this->pending_request != nullptr; }
    /// Whether the client has closed the connection, although no event has told so yet. After a
    /// pause of this process, closes wait behind the requests that were sent before them.
    [[nodiscard]] bool client_left() const;
    /// Sets the function to call when the client closes the connection before the reply is sent.
    void on_disconnected(std::function<void()> action)
    {
        this->disconnect_callback = std::move(action);
    }

private:
    friend class http_server;

    evhttp_request* pending_request; // Owned by evhttp; null once replied or closed.
    close_watch const& watch; // Member of the connection, valid while `pending_request` is set.
    bool const& connection_close; // Member of the server.
    bool& writing; // Member of the connection, valid while `pending_request` is set.
    std::function<void()> disconnect_callback;
};

struct http_limits {
    std::size_t body_bytes = 8UL * 1024 * 1024;
    std::size_t header_bytes = 16UL * 1024;
};

class http_server {
public:
    using handler = std::function<void(http_request&, std::shared_ptr<http_exchange> const&)>;

    /// @param on_request called on the thread of the loop for each request that is within the
    /// limits and whose connection was not reset before the request was read.
    http_server(event_loop& io_loop, http_limits limits, handler on_request);
    ~http_server();

    http_server(http_server const&) = delete;
    http_server& operator=(http_server const&) = delete;
    http_server(http_server&&) = delete;
    http_server& operator=(http_server&&) = delete;

    /// Port 0 picks a free port. Returns the bound address.
    /// Errors: `error_step::listen` when the address cannot be bound.
    base::result<socket_address> listen(socket_address const& address);

    /// Stops accepting connections. Requests on open connections are still served.
    void stop_listening();
    /// Adds "Connection: close" to every later reply, so that clients send their next request to
    /// another process.
    void close_after_replies() { this->connection_close = true; }

    /// Number of requests whose reply is not completely written.
    [[nodiscard]] std::size_t open_exchanges() const;

private:
    /// State of a connection and its current request; evhttp handles one request at a time.
    struct connection_state {
        // evhttp does not read from a connection while a reply is pending, so it does not notice
        // that the client has closed it.
        std::unique_ptr<close_watch> watch;
        std::weak_ptr<http_exchange> exchange;
        /// Request that is not handled, kept alive until the watch has the connection freed, so
        /// that no status 500 is sent.
        std::shared_ptr<http_exchange> dropped_exchange;
        bool writing = false; // A reply is not completely written yet.
    };

    void accept_request(evhttp_request* request);
    [[nodiscard]] connection_state& find_or_add_connection(evhttp_connection* connection);
    static void on_request(evhttp_request* request, void* self);
    static void on_close(evhttp_connection* connection, void* self);

    handler request_handler;
    std::size_t body_limit_bytes;
    evhttp* server;
    evhttp_bound_socket* bound_socket = nullptr;
    bool connection_close = false; // Whether replies ask the client to close the connection.
    event_loop& loop;
    std::map<evhttp_connection*, connection_state> connections;
};

} // namespace greengagehead::transport
