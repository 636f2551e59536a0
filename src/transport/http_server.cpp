// Requests, replies and closed connections of the HTTP server.

#include "transport/http_server.h"

#include <algorithm>
#include <utility>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include "base/log_record.h"
#include "transport/close_watch.h"
#include "transport/connection_guard.h"
#include "transport/event_loop.h"
#include "transport/evhttp_message.h"
#include "transport/guarded_call.h"
#include "transport/listener_socket.h"

namespace greengagehead::transport {

namespace {

/// Interval at which connections that take too long are closed.
constexpr std::chrono::milliseconds sweep_interval {250};

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

/// Whether a request is handled, or its reply is not completely written.
bool has_open_exchange(http_connection const& connection)
{
    auto const exchange = connection.exchange.lock();
    return connection.writing() || (exchange && exchange->open());
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
    return this->pending_request == nullptr || this->connection.watch->closed();
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
    this->connection.begin_writing(response.body.size());
    evhttp_request_set_on_complete_cb(
        request,
        [](evhttp_request* /*written*/, void* written_on) {
            static_cast<http_connection*>(written_on)->end_writing();
        },
        &this->connection);
    evhttp_send_reply(request, response.status, nullptr, nullptr);
}

http_server::http_server(event_loop& io_loop, http_limits limits, handler on_request)
    : request_handler(std::move(on_request)), body_limit_bytes(limits.body_bytes),
      server(evhttp_new(io_loop.base())), loop(io_loop), guard(io_loop.connections()),
      work_event(event_new(io_loop.base(), -1, 0, &http_server::on_work, this))
{
    this->guard_owner
        = this->guard.add_owner([work = this->work_event] { event_active(work, EV_TIMEOUT, 0); });
    this->sweep_timer = io_loop.every(sweep_interval, [this] { this->guard.sweep(); });
    // `http_connection` refuses a body over the limit before evhttp does.
    evhttp_set_max_body_size(this->server, static_cast<ev_ssize_t>(limits.body_bytes));
    evhttp_set_max_headers_size(this->server, static_cast<ev_ssize_t>(limits.header_bytes));
    evhttp_set_allowed_methods(
        this->server, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE);
    evhttp_set_bevcb(this->server, &http_server::on_accept, this);
    evhttp_set_gencb(this->server, &http_server::on_request, this);
}

http_server::~http_server()
{
    this->guard.remove_owner(this->guard_owner);
    event_free(this->work_event);
    // evhttp_free closes the connections, so no reply may be sent on them any more.
    for (auto const& [connection, state] : this->connections) {
        if (auto const exchange = state->exchange.lock())
            exchange->pending_request = nullptr;
        evhttp_connection_set_closecb(connection, nullptr, nullptr);
    }
    this->accepted.clear();
    this->connections.clear();
    this->pause.reset();
    evhttp_free(this->server);
}

base::result<socket_address> http_server::listen(socket_address const& address)
{
    auto const failure
        = base::error {base::error_code::io, base::error_step::listen, address.to_string(),
                       "cannot listen on " + address.to_string()};
    auto* const listener = open_listener(this->loop, address, nullptr, nullptr);
    if (listener == nullptr)
        return failure;
    this->bound_socket = evhttp_bind_listener(this->server, listener);
    if (this->bound_socket == nullptr) {
        evconnlistener_free(listener);
        return failure;
    }
    this->pause = std::make_unique<listener_pause>(this->loop, listener);
    sockaddr_in bound_address {};
    socklen_t size = sizeof bound_address;
    getsockname(evhttp_bound_socket_get_fd(this->bound_socket),
                reinterpret_cast<sockaddr*>(&bound_address), &size);
    return socket_address {address.host, ntohs(bound_address.sin_port)};
}

void http_server::stop_listening()
{
    this->pause.reset();
    if (this->bound_socket != nullptr)
        evhttp_del_accept_socket(this->server, this->bound_socket);
    this->bound_socket = nullptr;
}

void http_server::finish_listening()
{
    if (this->bound_socket == nullptr || this->finish_timer)
        return;
    this->accepts_all = true;
    if (this->pause)
        this->pause->resume();
    // The loop handles the listener before the timers of the same turn.
    this->finish_timer
        = this->loop.after(std::chrono::microseconds(0), [this] { this->stop_listening(); });
}

void http_server::close_idle_connections()
{
    this->stop_listening();
    this->admit_accepted();
    std::vector<evhttp_connection*> idle;
    for (auto const& [connection, state] : this->connections) {
        if (!has_open_exchange(*state))
            idle.push_back(connection);
    }
    for (auto* const connection : idle)
        evhttp_connection_free(connection);
}

void http_server::answer_open_requests(http_response const& response)
{
    std::vector<std::shared_ptr<http_exchange>> open;
    for (auto const& [connection, state] : this->connections) {
        auto exchange = state->exchange.lock();
        // A dropped request is kept without a reply until its connection is freed.
        if (exchange && exchange->open() && exchange != state->dropped_exchange)
            open.push_back(std::move(exchange));
    }
    for (auto const& exchange : open)
        exchange->respond(response);
}

std::size_t http_server::open_exchanges() const
{
    return static_cast<std::size_t>(
        std::count_if(this->connections.begin(), this->connections.end(),
                      [](auto const& entry) { return has_open_exchange(*entry.second); }));
}

void http_server::accept_request(evhttp_request* request)
{
    // The request may arrive in the same turn of the event loop as its connection.
    this->admit_accepted();
    auto* const evhttp_link = evhttp_request_get_connection(request);
    auto* const connection = this->find_connection(evhttp_link);
    if (connection == nullptr)
        return evhttp_send_error(request, HTTP_SERVUNAVAIL, nullptr);
    auto exchange = std::make_shared<http_exchange>(request, *connection, this->connection_close);
    connection->exchange = exchange;
    connection->watch->arm();
    connection->begin_handling();
    if (!connection->id()) {
        connection->dropped_exchange = std::move(exchange);
        return;
    }
    // A request that was sent before the connection was reset can still be read, but its client may
    // have sent it to another process since. A client that sends requests ahead and closes the
    // connection does not wait for their answers.
    bool const left_before = connection->request_read_ahead() && connection->watch->closed();
    if (left_before || connection->watch->reset()) {
        base::log_record(base::log_event::request_dropped)
            .with("path", evhttp_request_get_uri(request))
            .with("reason", "the connection was closed before the request was read");
        connection->dropped_exchange = std::move(exchange);
        return;
    }
    auto received = read_request(request);
    auto const handle = [&] { this->request_handler(received, exchange); };
    if (!guarded_call("request", handle))
        exchange->respond(
            {500,
             R"({"error":{"code":"internal","message":"the request caused an internal error"}})",
             "application/json",
             {}});
}

http_connection* http_server::find_connection(evhttp_connection* connection)
{
    auto const found = this->connections.find(connection);
    return found == this->connections.end() ? nullptr : found->second.get();
}

void http_server::admit_accepted()
{
    for (auto& item : std::exchange(this->accepted, {}))
        this->admit(std::move(item));
}

void http_server::admit(std::unique_ptr<http_connection> item)
{
    auto* const connection = item->find_evhttp_connection();
    if (connection == nullptr)
        return;
    char* host = nullptr;
    ev_uint16_t port = 0;
    evhttp_connection_get_peer(connection, &host, &port);
    auto const id = this->guard.open(this->guard_owner, host == nullptr ? "" : host,
                                     policy::connection_stage::idle);
    if (!id) {
        this->refused.push_back(connection);
        event_active(this->work_event, EV_TIMEOUT, 0);
    }
    auto const descriptor = item->descriptor();
    set_no_delay(descriptor);
    auto* const state = item.get();
    // evhttp_connection_free calls on_close.
    auto const on_closed = [state, connection] {
        auto const exchange = state->exchange.lock();
        if (exchange && exchange->open())
            evhttp_connection_free(connection);
    };
    item->watch = std::make_unique<close_watch>(this->loop, descriptor, on_closed);
    evhttp_connection_set_closecb(connection, &http_server::on_close, this);
    this->connections[connection] = std::move(item);
    if (id) {
        this->by_id[*id] = connection;
        state->admit(*id);
    }
}

void http_server::close_ordered()
{
    for (auto const id : this->guard.take_closed(this->guard_owner)) {
        if (auto const found = this->by_id.find(id); found != this->by_id.end())
            evhttp_connection_free(found->second);
    }
}

void http_server::close_refused()
{
    for (auto* const connection : std::exchange(this->refused, {})) {
        if (this->connections.contains(connection))
            evhttp_connection_free(connection);
    }
}

bufferevent* http_server::on_accept(event_base* base, void* self)
{
    auto& server = *static_cast<http_server*>(self);
    auto* const stream = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
    if (stream == nullptr)
        return nullptr;
    server.accepted.push_back(
        std::make_unique<http_connection>(stream, server.guard, server.body_limit_bytes));
    event_active(server.work_event, EV_TIMEOUT, 0);
    if (server.accepted.size() >= max_accepted_in_turn && server.pause && !server.accepts_all)
        server.pause->stop();
    return stream;
}

void http_server::on_work(int /*socket*/, short /*what*/, void* self)
{
    auto& server = *static_cast<http_server*>(self);
    server.admit_accepted();
    server.close_refused();
    server.close_ordered();
    if (server.pause)
        server.pause->resume();
}

void http_server::on_request(evhttp_request* request, void* self)
{
    static_cast<http_server*>(self)->accept_request(request);
}

void http_server::on_close(evhttp_connection* connection, void* self)
{
    auto& server = *static_cast<http_server*>(self);
    auto const found = server.connections.find(connection);
    if (found == server.connections.end())
        return;
    // evhttp frees the request together with the connection.
    auto const state = std::move(found->second);
    auto const exchange = state->exchange.lock();
    server.connections.erase(found);
    if (auto const id = state->id())
        server.by_id.erase(*id);
    if (!exchange || std::exchange(exchange->pending_request, nullptr) == nullptr)
        return;
    if (auto const action = std::exchange(exchange->disconnect_callback, nullptr))
        guarded_call("disconnect", action);
}

} // namespace greengagehead::transport
