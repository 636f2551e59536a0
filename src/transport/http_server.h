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
#include "transport/http_connection.h"
#include "transport/listener_pause.h"
#include "transport/socket_address.h"

struct bufferevent;
struct event;
struct event_base;
struct evhttp;
struct evhttp_bound_socket;
struct evhttp_connection;
struct evhttp_request;

namespace greengagehead::transport {

class connection_guard;
class event_loop;
class loop_timer;

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
    /// The connection and the flag must stay valid until the reply is written or the connection is
    /// closed.
    /// @param close_flag read when the reply is sent: whether the reply asks the client to close
    /// the connection.
    http_exchange(evhttp_request* request, http_connection& request_connection,
                  bool const& close_flag)
        : pending_request(request), connection(request_connection), connection_close(close_flag)
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
    http_connection& connection; // Member of the server, valid while `pending_request` is set.
    bool const& connection_close; // Member of the server.
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

    /// Stops accepting connections. Requests on open connections are still served, those that wait
    /// in the queue of the listener are reset.
    void stop_listening();
    /// Accepts the connections that wait in the queue of the listener, and stops listening after
    /// the next turn of the loop.
    void finish_listening();
    [[nodiscard]] bool listening() const { return this->bound_socket != nullptr; }
    /// Stops listening and closes the connections that have no request in progress, so that no
    /// request is read except on connections that still wait for an answer.
    void close_idle_connections();
    /// Sends `response` to every request that has no reply yet.
    void answer_open_requests(http_response const& response);
    /// Adds "Connection: close" to every later reply, so that clients send their next request to
    /// another process.
    void close_after_replies() { this->connection_close = true; }

    /// Number of requests whose reply is not completely written.
    [[nodiscard]] std::size_t open_exchanges() const;

private:
    void accept_request(evhttp_request* request);
    [[nodiscard]] http_connection* find_connection(evhttp_connection* connection);
    void admit_accepted();
    void admit(std::unique_ptr<http_connection> accepted);
    void close_ordered();
    void close_refused();

    static bufferevent* on_accept(event_base* base, void* self);
    static void on_work(int socket, short what, void* self);
    static void on_request(evhttp_request* request, void* self);
    static void on_close(evhttp_connection* connection, void* self);

    handler request_handler;
    std::size_t body_limit_bytes;
    evhttp* server;
    evhttp_bound_socket* bound_socket = nullptr;
    bool connection_close = false; // Whether replies ask the client to close the connection.
    bool accepts_all = false; // Set while the queue of the listener is emptied.
    std::unique_ptr<loop_timer> finish_timer; // Stops listening.
    event_loop& loop;
    connection_guard& guard;
    std::uint64_t guard_owner = 0;
    event* work_event; // Pending while connections have to be admitted or closed.
    std::unique_ptr<loop_timer> sweep_timer;
    std::unique_ptr<listener_pause> pause; // Of the bound socket; null while there is none.
    std::vector<std::unique_ptr<http_connection>> accepted; // Not admitted yet.
    std::vector<evhttp_connection*> refused; // Closed by the next `work_event`.
    std::map<evhttp_connection*, std::unique_ptr<http_connection>> connections;
    std::map<std::uint64_t, evhttp_connection*> by_id; // Admitted connections.
};

} // namespace greengagehead::transport
