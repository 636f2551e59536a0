// Requests, replies and closed connections of the HTTP server.

#include "transport/http_server.h"

#include <algorithm>
#include <utility>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include "base/log_record.h"
#include "transport/close_watch.h"
#include "transport/event_loop.h"
#include "transport/evhttp_message.h"
#include "transport/guarded_call.h"

namespace greengagehead::transport {

namespace {

http_method to_method(evhttp_cmd_type type)
{
    switch (type) {
    case EVHTTP_REQ_GET:
        return http_method::get;
    case EVHTTP_REQ_POST:
        return http_method::post;
    case EVHTTP_REQ_PUT:
        return http_method::put;
    case EVHTTP_REQ_DELETE:
        return http_method::del;
    default:
        return http_method::other;
    }
}

std::string percent_decode(char const* text)
{
    std::size_t size = 0;
    char* const buffer = evhttp_uridecode(text, 0, &size);
    if (buffer == nullptr)
        return {};
    std::string result(buffer, size);
    free(buffer); // NOLINT(cppcoreguidelines-no-malloc): evhttp_uridecode allocates with malloc.
    return result;
}

void read_query(evhttp_uri const* uri, http_request& request)
{
    char const* const text = evhttp_uri_get_query(uri);
    if (text == nullptr)
        return;
    evkeyvalq parameters {};
    if (evhttp_parse_query_str(text, &parameters) != 0)
        return;
    for (evkeyval const* parameter = parameters.tqh_first; parameter != nullptr;
         parameter = parameter->next.tqe_next)
        request.query[parameter->key] = parameter->value;
    evhttp_clear_headers(&parameters);
}

http_request read_request(evhttp_request* source)
{
    http_request request;
    request.method = to_method(evhttp_request_get_command(source));
    evhttp_uri const* const uri = evhttp_request_get_evhttp_uri(source);
    if (char const* const path = evhttp_uri_get_path(uri); path != nullptr)
        request.path = percent_decode(path);
    read_query(uri, request);
    request.headers = read_headers(evhttp_request_get_input_headers(source));
    request.body = take_body(evhttp_request_get_input_buffer(source));
    return request;
}

} // namespace

http_exchange::~http_exchange()
{
    if (this->pending_request != nullptr)
        this->respond(
            {500,
             R"({"error":{"code":"internal","message":"the request was dropped without a reply"}})",
             {},
             {}});
}

bool http_exchange::client_left() const
{
    return this->pending_request == nullptr || this->watch.closed();
}

void http_exchange::respond(http_response const& response)
{
    if (this->pending_request == nullptr)
        return;
    evhttp_request* const request = this->pending_request;
    this->pending_request = nullptr;
    this->disconnect_callback = nullptr;
    evkeyvalq* const headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Content-Type", response.content_type.c_str());
    for (auto const& [name, value] : response.headers)
        evhttp_add_header(headers, name.c_str(), value.c_str());
    if (this->connection_close)
        evhttp_add_header(headers, "Connection", "close");
    evbuffer_add(evhttp_request_get_output_buffer(request), response.body.data(),
                 response.body.size());
    this->writing = true;
    evhttp_request_set_on_complete_cb(
        request, [](evhttp_request* /*written*/, void* flag) { *static_cast<bool*>(flag) = false; },
        &this->writing);
    evhttp_send_reply(request, response.status, nullptr, nullptr);
}

http_server::http_server(event_loop& io_loop, http_limits limits, handler on_request)
    : request_handler(std::move(on_request)), body_limit_bytes(limits.body_bytes),
      server(evhttp_new(io_loop.base())), loop(io_loop)
{
    // evhttp refuses a body over its limit with an HTML reply. Its limit is twice the configured
    // one, so that bodies in between are read and refused with a JSON reply.
    evhttp_set_max_body_size(this->server, static_cast<ev_ssize_t>(2 * limits.body_bytes));
    evhttp_set_max_headers_size(this->server, static_cast<ev_ssize_t>(limits.header_bytes));
    evhttp_set_allowed_methods(
        this->server, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE);
    evhttp_set_gencb(this->server, &http_server::on_request, this);
}

http_server::~http_server()
{
    // evhttp_free closes the connections, so no reply may be sent on them any more.
    for (auto const& [connection, state] : this->connections) {
        if (auto const exchange = state.exchange.lock())
            exchange->pending_request = nullptr;
        evhttp_connection_set_closecb(connection, nullptr, nullptr);
    }
    this->connections.clear();
    evhttp_free(this->server);
}

base::result<socket_address> http_server::listen(socket_address const& address)
{
    this->bound_socket
        = evhttp_bind_socket_with_handle(this->server, address.host.c_str(), address.port);
    if (this->bound_socket == nullptr)
        return base::error {base::error_code::io, base::error_step::listen, address.to_string(),
                            "cannot listen on " + address.to_string()};
    sockaddr_in bound_address {};
    socklen_t size = sizeof bound_address;
    getsockname(evhttp_bound_socket_get_fd(this->bound_socket),
                reinterpret_cast<sockaddr*>(&bound_address), &size);
    return socket_address {address.host, ntohs(bound_address.sin_port)};
}

void http_server::stop_listening()
{
    if (this->bound_socket != nullptr)
        evhttp_del_accept_socket(this->server, this->bound_socket);
    this->bound_socket = nullptr;
}

std::size_t http_server::open_exchanges() const
{
    return static_cast<std::size_t>(
        std::count_if(this->connections.begin(), this->connections.end(), [](auto const& entry) {
            auto const exchange = entry.second.exchange.lock();
            return entry.second.writing || (exchange && exchange->open());
        }));
}

void http_server::accept_request(evhttp_request* request)
{
    auto& connection = this->find_or_add_connection(evhttp_request_get_connection(request));
    auto exchange = std::make_shared<http_exchange>(request, *connection.watch,
                                                    this->connection_close, connection.writing);
    connection.exchange = exchange;
    connection.watch->arm();
    // A request that was sent before the connection was reset can still be read, but its client may
    // have sent it to another process since.
    if (connection.watch->reset()) {
        base::log_record(base::log_event::request_dropped)
            .with("path", evhttp_request_get_uri(request))
            .with("reason", "the connection was reset before the request was read");
        connection.dropped_exchange = std::move(exchange);
        return;
    }
    auto received = read_request(request);
    if (received.body.size() > this->body_limit_bytes)
        return exchange->respond(
            {413,
             R"({"error":{"code":"invalid_argument","message":"the body has more than )"
                 + std::to_string(this->body_limit_bytes) + R"( bytes"}})",
             "application/json",
             {}});
    auto const handle = [&] { this->request_handler(received, exchange); };
    if (!guarded_call("request", handle))
        exchange->respond(
            {500,
             R"({"error":{"code":"internal","message":"the request caused an internal error"}})",
             "application/json",
             {}});
}

http_server::connection_state& http_server::find_or_add_connection(evhttp_connection* connection)
{
    auto const [found, added] = this->connections.try_emplace(connection);
    if (!added)
        return found->second;
    auto const descriptor = bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
    set_no_delay(descriptor);
    // evhttp_connection_free calls on_close.
    auto const on_closed = [state = &found->second, connection] {
        auto const exchange = state->exchange.lock();
        if (exchange && exchange->open())
            evhttp_connection_free(connection);
    };
    found->second.watch = std::make_unique<close_watch>(this->loop, descriptor, on_closed);
    evhttp_connection_set_closecb(connection, &http_server::on_close, this);
    return found->second;
}

void http_server::on_request(evhttp_request* request, void* self)
{
    static_cast<http_server*>(self)->accept_request(request);
}

void http_server::on_close(evhttp_connection* connection, void* self)
{
    auto& connections = static_cast<http_server*>(self)->connections;
    auto const found = connections.find(connection);
    if (found == connections.end())
        return;
    // evhttp frees the request together with the connection.
    auto const exchange = found->second.exchange.lock();
    connections.erase(found);
    if (!exchange || std::exchange(exchange->pending_request, nullptr) == nullptr)
        return;
    if (auto const action = std::exchange(exchange->disconnect_callback, nullptr))
        guarded_call("disconnect", action);
}

} // namespace greengagehead::transport
