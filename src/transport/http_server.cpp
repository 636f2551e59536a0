// HTTP server over evhttp.

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
#include "transport/http_parts.h"

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

std::string decoded(char const* text)
{
    std::size_t size = 0;
    char* const plain = evhttp_uridecode(text, 0, &size);
    if (plain == nullptr)
        return {};
    std::string result(plain, size);
    free(plain); // NOLINT(cppcoreguidelines-no-malloc): evhttp_uridecode allocates by malloc.
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
    for (evkeyval const* item = parameters.tqh_first; item != nullptr; item = item->next.tqe_next)
        request.query[item->key] = item->value;
    evhttp_clear_headers(&parameters);
}

http_request read_request(evhttp_request* source)
{
    http_request request;
    request.method = to_method(evhttp_request_get_command(source));
    evhttp_uri const* const uri = evhttp_request_get_evhttp_uri(source);
    if (char const* const path = evhttp_uri_get_path(uri); path != nullptr)
        request.path = decoded(path);
    read_query(uri, request);
    request.headers = read_headers(evhttp_request_get_input_headers(source));
    request.body = take_body(evhttp_request_get_input_buffer(source));
    return request;
}

} // namespace

http_exchange::~http_exchange()
{
    if (this->pending != nullptr)
        this->respond({500, R"({"error":{"code":"internal","message":"no reply"}})", {}, {}});
}

void http_exchange::respond(http_response const& response)
{
    if (this->pending == nullptr)
        return;
    evhttp_request* const request = this->pending;
    this->pending = nullptr;
    this->abandoned = nullptr;
    evkeyvalq* const headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Content-Type", response.content_type.c_str());
    for (auto const& [name, value] : response.headers)
        evhttp_add_header(headers, name.c_str(), value.c_str());
    if (this->closing)
        evhttp_add_header(headers, "Connection", "close");
    evbuffer_add(evhttp_request_get_output_buffer(request), response.body.data(),
                 response.body.size());
    this->writing = true;
    evhttp_request_set_on_complete_cb(
        request, [](evhttp_request* /*written*/, void* flag) { *static_cast<bool*>(flag) = false; },
        &this->writing);
    evhttp_send_reply(request, response.status, nullptr, nullptr);
}

http_server::http_server(event_loop& owner, http_limits limits, handler on_request)
    : handle(std::move(on_request)), body_limit(limits.body_bytes),
      server(evhttp_new(owner.base())), loop(owner)
{
    // Bodies somewhat over the limit are read and answered in JSON; evhttp itself answers in HTML.
    evhttp_set_max_body_size(this->server, static_cast<ev_ssize_t>(2 * limits.body_bytes));
    evhttp_set_max_headers_size(this->server, static_cast<ev_ssize_t>(limits.header_bytes));
    evhttp_set_allowed_methods(
        this->server, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE);
    evhttp_set_gencb(this->server, &http_server::on_request, this);
}

http_server::~http_server()
{
    // evhttp_free closes the connections, so replies can no longer be sent on them.
    for (auto const& [connection, caller] : this->callers) {
        if (auto const exchange = caller.exchange.lock())
            exchange->pending = nullptr;
        evhttp_connection_set_closecb(connection, nullptr, nullptr);
    }
    this->callers.clear();
    evhttp_free(this->server);
}

base::result<socket_address> http_server::listen(socket_address const& address)
{
    this->bound = evhttp_bind_socket_with_handle(this->server, address.host.c_str(), address.port);
    if (this->bound == nullptr)
        return base::error {base::error_code::io, base::error_step::listen, address.to_string(),
                            "cannot listen on " + address.to_string()};
    sockaddr_in used {};
    socklen_t size = sizeof used;
    getsockname(evhttp_bound_socket_get_fd(this->bound), reinterpret_cast<sockaddr*>(&used), &size);
    return socket_address {address.host, ntohs(used.sin_port)};
}

void http_server::stop_listening()
{
    if (this->bound != nullptr)
        evhttp_del_accept_socket(this->server, this->bound);
    this->bound = nullptr;
}

std::size_t http_server::open_exchanges() const
{
    return static_cast<std::size_t>(
        std::count_if(this->callers.begin(), this->callers.end(), [](auto const& item) {
            auto const exchange = item.second.exchange.lock();
            return item.second.writing || (exchange && exchange->open());
        }));
}

void http_server::accept_request(evhttp_request* request)
{
    auto& caller = this->caller_of(evhttp_request_get_connection(request));
    auto exchange = std::make_shared<http_exchange>(request, this->closing, caller.writing);
    caller.exchange = exchange;
    caller.watch->arm();
    // What was sent before a reset can still be read. Its caller may have sent it elsewhere since.
    if (caller.watch->reset()) {
        base::log_record(base::log_event::request_dropped)
            .with("path", evhttp_request_get_uri(request))
            .with("reason", "its connection was reset before it was read");
        caller.dropped = std::move(exchange);
        return;
    }
    auto received = read_request(request);
    if (received.body.size() > this->body_limit)
        return exchange->respond(
            {413,
             R"({"error":{"code":"invalid_argument","message":"the body has more than )"
                 + std::to_string(this->body_limit) + R"( bytes"}})",
             "application/json",
             {}});
    this->handle(received, exchange);
}

http_server::caller& http_server::caller_of(evhttp_connection* connection)
{
    auto const [found, added] = this->callers.try_emplace(connection);
    if (!added)
        return found->second;
    auto const descriptor = bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
    set_no_delay(descriptor);
    // Freeing the connection runs on_close.
    auto const on_closed = [caller = &found->second, connection] {
        auto const exchange = caller->exchange.lock();
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
    auto& callers = static_cast<http_server*>(self)->callers;
    auto const found = callers.find(connection);
    if (found == callers.end())
        return;
    // evhttp frees the request together with the connection.
    auto const exchange = found->second.exchange.lock();
    callers.erase(found);
    if (!exchange || std::exchange(exchange->pending, nullptr) == nullptr)
        return;
    if (auto const action = std::exchange(exchange->abandoned, nullptr))
        action();
}

} // namespace greengagehead::transport
