// Accounting and early refusal on the input of a connection.

#include "transport/http_connection.h"

#include <algorithm>
#include <array>
#include <string>
#include <string_view>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <sys/socket.h>

#include "transport/connection_guard.h"

namespace greengagehead::transport {

namespace {

using policy::connection_stage;

/// Memory of a parsed header beside its characters: evhttp's list entry and two strings.
constexpr std::size_t bytes_per_header = 128;
/// evhttp copies the chunks of a body out of the buffer of each read, and keeps that buffer for the
/// last part of them, however small it is. The smallest buffer has this size.
constexpr std::size_t min_read_buffer_bytes = 1'024;
/// A client that sends a little too much reads its refusal only after it has sent all of it.
constexpr std::size_t max_discarded_bytes = 1UL << 20U;
/// Reading of one byte is enough to notice a close.
constexpr std::size_t waiting_read_bytes = 1;

std::string body_refusal(std::size_t limit)
{
    std::string const body
        = R"({"error":{"code":"invalid_argument","message":"the body has more than )"
        + std::to_string(limit) + R"( bytes"}})";
    return "HTTP/1.1 413 Request Entity Too Large\r\nContent-Type: application/json\r\n"
           "Connection: close\r\nContent-Length: "
        + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

http_connection::http_connection(bufferevent* accepted, connection_guard& connections,
                                 std::size_t body_limit)
    : stream(accepted), guard(connections), framing(body_limit), body_limit_bytes(body_limit)
{
    bufferevent_incref(this->stream);
    evbuffer_add_cb(bufferevent_get_input(this->stream), &http_connection::on_input, this);
}

http_connection::~http_connection()
{
    evbuffer_remove_cb(bufferevent_get_input(this->stream), &http_connection::on_input, this);
    if (this->stream_referenced)
        bufferevent_decref(this->stream);
    if (this->counted_id)
        this->guard.close(*this->counted_id);
}

evhttp_connection* http_connection::find_evhttp_connection() const
{
    // libevent tells the connection of an accepted stream only with its first request. It is also
    // the argument of the stream's callbacks, which are removed when the connection is freed.
    bufferevent_event_cb on_event = nullptr;
    void* argument = nullptr;
    bufferevent_getcb(this->stream, nullptr, nullptr, &on_event, &argument);
    return on_event == nullptr ? nullptr : static_cast<evhttp_connection*>(argument);
}

void http_connection::admit(policy::connection_id id)
{
    this->counted_id = id;
    this->stream_referenced = false;
    bufferevent_decref(this->stream);
    this->guard.enter(id, this->stage);
    this->report_held();
}

int http_connection::descriptor() const
{
    return bufferevent_getfd(this->stream);
}

void http_connection::begin_handling()
{
    this->enter(connection_stage::answering);
}

void http_connection::begin_writing(std::size_t bytes)
{
    this->answer_bytes = bytes;
    this->chunk_buffer_bytes = 0;
    this->request_bytes = evbuffer_get_length(bufferevent_get_input(this->stream));
    bufferevent_setwatermark(this->stream, EV_READ, 0, waiting_read_bytes);
    this->enter(connection_stage::writing);
    this->report_held();
}

void http_connection::end_writing()
{
    this->answer_bytes = 0;
    this->framing.reset();
    auto* const input = bufferevent_get_input(this->stream);
    this->request_bytes = evbuffer_get_length(input);
    this->read_ahead = this->request_bytes > 0;
    this->enter(this->read_ahead ? connection_stage::reading : connection_stage::idle);
    this->report_held();
    bufferevent_setwatermark(this->stream, EV_READ, 0, 0);
    if (this->read_ahead)
        this->follow(input, 0);
}

void http_connection::enter(connection_stage next)
{
    this->stage = next;
    if (this->counted_id)
        this->guard.enter(*this->counted_id, next);
}

void http_connection::receive(evbuffer* input, std::size_t new_bytes)
{
    if (this->stage == connection_stage::refused)
        return this->discard(input, new_bytes);
    this->request_bytes += new_bytes;
    if (this->stage == connection_stage::idle)
        this->enter(connection_stage::reading);
    if (this->stage == connection_stage::reading)
        this->follow(input, evbuffer_get_length(input) - new_bytes);
    if (this->framing.in_chunks())
        this->chunk_buffer_bytes += std::max(new_bytes, min_read_buffer_bytes);
    this->report_held();
}

void http_connection::follow(evbuffer* input, std::size_t offset)
{
    evbuffer_ptr position {};
    if (evbuffer_ptr_set(input, &position, offset, EVBUFFER_PTR_SET) != 0)
        return;
    constexpr int max_parts = 16;
    std::array<evbuffer_iovec, max_parts> parts {};
    auto const found = evbuffer_peek(input, -1, &position, parts.data(), max_parts);
    for (int index = 0; index < std::min(found, max_parts); ++index) {
        auto const& part = parts.at(static_cast<std::size_t>(index));
        this->framing.feed({static_cast<char const*>(part.iov_base), part.iov_len});
    }
    if (this->framing.state() == request_framing::progress::too_large)
        this->refuse_body(input);
}

void http_connection::refuse_body(evbuffer* input)
{
    // evhttp still waits for the rest of the request and has no answer to send, so the refusal is
    // the only thing that is written to the socket. It is small, and fits into the empty buffer.
    auto const refusal = body_refusal(this->body_limit_bytes);
    auto const socket = this->descriptor();
    (void)::send(socket, refusal.data(), refusal.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    shutdown(socket, SHUT_WR);
    this->enter(connection_stage::refused);
    this->guard.count(policy::close_reason::body_bytes);
    this->request_bytes = 0;
    this->chunk_buffer_bytes = 0;
    evbuffer_drain(input, evbuffer_get_length(input));
    this->report_held();
}

void http_connection::discard(evbuffer* input, std::size_t new_bytes)
{
    this->discarded_bytes += new_bytes;
    evbuffer_drain(input, evbuffer_get_length(input));
    if (this->discarded_bytes > max_discarded_bytes)
        bufferevent_disable(this->stream, EV_READ);
}

void http_connection::report_held()
{
    if (!this->counted_id)
        return;
    this->guard.hold(*this->counted_id,
                     this->request_bytes + this->chunk_buffer_bytes + this->answer_bytes
                         + this->framing.head_lines() * bytes_per_header);
}

void http_connection::on_input(evbuffer* input, evbuffer_cb_info const* change, void* self)
{
    if (change->n_added > 0)
        static_cast<http_connection*>(self)->receive(input, change->n_added);
}

} // namespace greengagehead::transport
