// Connection pool and requests of the HTTP client.

#include "transport/http_client.h"

#include <algorithm>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>

#include "transport/event_loop.h"
#include "transport/evhttp_message.h"
#include "transport/guarded_call.h"

namespace greengagehead::transport {

namespace {

constexpr std::size_t max_idle_connections_per_address = 64;
constexpr std::chrono::seconds idle_timeout {600};

evhttp_cmd_type to_command(http_method method)
{
    switch (method) {
    case http_method::post:
        return EVHTTP_REQ_POST;
    case http_method::put:
        return EVHTTP_REQ_PUT;
    case http_method::del:
        return EVHTTP_REQ_DELETE;
    default:
        return EVHTTP_REQ_GET;
    }
}

http_client_response read_response(evhttp_request* source)
{
    http_client_response response;
    response.status = http_client_status::answered;
    response.code = evhttp_request_get_response_code(source);
    response.headers = read_headers(evhttp_request_get_input_headers(source));
    response.body = take_body(evhttp_request_get_input_buffer(source));
    return response;
}

} // namespace

struct http_client::connection {
    http_client* client = nullptr;
    std::string address;
    std::unique_ptr<evhttp_connection, decltype(&evhttp_connection_free)> handle {
        nullptr, &evhttp_connection_free};
    callback done; // Of the current request; empty while idle.
    // Bytes of the current request that left the output buffer. Bytes that evhttp discarded count
    // too, so an unsent request may be reported as sent, but never the reverse.
    std::size_t sent_bytes = 0;

    static void on_output(evbuffer* /*buffer*/, evbuffer_cb_info const* info, void* self)
    {
        static_cast<connection*>(self)->sent_bytes += info->n_deleted;
    }

    static void on_done(evhttp_request* request, void* self)
    {
        auto* const current = static_cast<connection*>(self);
        if (request != nullptr && evhttp_request_get_response_code(request) != 0)
            return current->client->finish_request(current, read_response(request), true);
        http_client_response failed;
        failed.status = current->sent_bytes == 0 ? http_client_status::not_sent
                                                 : http_client_status::no_answer;
        current->client->finish_request(current, std::move(failed), false);
    }
};

http_client::http_client(event_loop& io_loop) : loop(io_loop) { }

http_client::~http_client() = default;

void http_client::send(http_client_request const& request, callback done)
{
    connection* const acquired = this->acquire_connection(request.address);
    // A new connection has no socket yet. The bytes of its first request are not delayed.
    int const socket = bufferevent_getfd(evhttp_connection_get_bufferevent(acquired->handle.get()));
    if (socket >= 0)
        set_no_delay(socket);
    acquired->done = std::move(done);
    acquired->sent_bytes = 0;
    timeval const timeout {request.timeout.count() / 1000, (request.timeout.count() % 1000) * 1000};
    evhttp_connection_set_timeout_tv(acquired->handle.get(), &timeout);

    evhttp_request* const outgoing = evhttp_request_new(&connection::on_done, acquired);
    evkeyvalq* const headers = evhttp_request_get_output_headers(outgoing);
    evhttp_add_header(headers, "Host", request.address.to_string().c_str());
    for (auto const& [name, value] : request.headers) {
        bool const is_cut = value.find('\0') != std::string::npos;
        if (is_cut || evhttp_add_header(headers, name.c_str(), value.c_str()) != 0) {
            evhttp_request_free(outgoing);
            return this->finish_request(acquired, {http_client_status::not_sent, 0, {}, {}}, false);
        }
    }
    evbuffer_add(evhttp_request_get_output_buffer(outgoing), request.body.data(),
                 request.body.size());
    // On failure evhttp has freed the request without calling on_done.
    if (evhttp_make_request(acquired->handle.get(), outgoing, to_command(request.method),
                            request.path.c_str())
        != 0)
        this->finish_request(acquired, {http_client_status::not_sent, 0, {}, {}}, false);
}

http_client::connection* http_client::acquire_connection(socket_address const& address)
{
    std::string const key = address.to_string();
    auto& pooled = this->idle_connections[key];
    if (!pooled.empty()) {
        connection* const reused = pooled.back();
        pooled.pop_back();
        return reused;
    }
    auto created = std::make_unique<connection>();
    created->client = this;
    created->address = key;
    created->handle.reset(
        evhttp_connection_base_new(this->loop.base(), nullptr, address.host.c_str(), address.port));
    evhttp_connection_set_retries(created->handle.get(), 0);
    bufferevent* const stream = evhttp_connection_get_bufferevent(created->handle.get());
    evbuffer_add_cb(bufferevent_get_output(stream), &connection::on_output, created.get());
    this->connections.push_back(std::move(created));
    return this->connections.back().get();
}

void http_client::finish_request(connection* finished, http_client_response&& response,
                                 bool reusable)
{
    callback const done = std::move(finished->done);
    finished->done = nullptr;
    auto& pooled = this->idle_connections[finished->address];
    if (reusable && pooled.size() < max_idle_connections_per_address) {
        // evhttp would also apply the timeout of the last request to the idle connection.
        timeval const timeout {idle_timeout.count(), 0};
        evhttp_connection_set_timeout_tv(finished->handle.get(), &timeout);
        pooled.push_back(finished);
    } else {
        // evhttp still uses the connection after this callback, so a posted function frees it
        // later.
        auto const owned = std::find_if(
            this->connections.begin(), this->connections.end(),
            [finished](auto const& candidate) { return candidate.get() == finished; });
        std::shared_ptr<connection> const retired = std::move(*owned);
        this->connections.erase(owned);
        this->loop.post([retired] {});
    }
    guarded_call("response", [&] { done(std::move(response)); });
}

base::result<std::pair<socket_address, std::string>> parse_http_url(std::string const& url)
{
    static std::string const scheme = "http://";
    if (url.rfind(scheme, 0) != 0)
        return base::error {base::error_code::invalid_argument, base::error_step::settings, url,
                            "a URL must have the form http://IP:PORT"};
    std::string const rest = url.substr(scheme.size());
    auto const slash = rest.find('/');
    BOOST_OUTCOME_TRY(address, parse_address(rest.substr(0, slash)));
    std::string prefix = slash == std::string::npos ? "" : rest.substr(slash);
    while (!prefix.empty() && prefix.back() == '/')
        prefix.pop_back();
    return std::pair {address, prefix};
}

} // namespace greengagehead::transport
