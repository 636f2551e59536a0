// One connection of the HTTP server: what is held for it, and a body over the limit that is refused
// before it is read.

#pragma once

#include <cstddef>
#include <memory>
#include <optional>

#include "policy/connection_budget.h"
#include "transport/close_watch.h"
#include "transport/request_framing.h"

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;
struct evhttp_connection;

namespace greengagehead::transport {

class connection_guard;
class http_exchange;

/// Follows the bytes that evhttp reads. Lives from the accept until evhttp has freed the
/// connection.
class http_connection {
public:
    /// @param stream of a connection that has just been accepted. It is referenced until the
    /// connection is admitted, as evhttp may free it before.
    http_connection(bufferevent* stream, connection_guard& connections, std::size_t body_limit);
    ~http_connection();

    http_connection(http_connection const&) = delete;
    http_connection& operator=(http_connection const&) = delete;
    http_connection(http_connection&&) = delete;
    http_connection& operator=(http_connection&&) = delete;

    /// evhttp's connection for the stream; null when evhttp has freed it already.
    [[nodiscard]] evhttp_connection* find_evhttp_connection() const;
    /// From now on the connection is counted, and the stream is valid until evhttp frees it.
    void admit(policy::connection_id counted_id);

    [[nodiscard]] int descriptor() const;
    [[nodiscard]] std::optional<policy::connection_id> id() const { return this->counted_id; }

    /// The request is complete and is being handled.
    void begin_handling();
    /// The answer is handed to evhttp. Until the client has taken it, at most one byte is read, so
    /// that a close is still noticed.
    void begin_writing(std::size_t answer_bytes);
    /// The client has taken the answer, and the next request may be read.
    void end_writing();
    [[nodiscard]] bool writing() const { return this->stage == policy::connection_stage::writing; }

    /// Whether a part of the current request was read before the answer to the one before it was
    /// taken.
    [[nodiscard]] bool request_read_ahead() const { return this->read_ahead; }

    /// evhttp does not read from a connection while a request is handled, so it does not notice
    /// that the client has closed it.
    std::unique_ptr<close_watch> watch;
    std::weak_ptr<http_exchange> exchange;
    /// Request that is not handled, kept until the connection is freed, so that no status 500 is
    /// sent.
    std::shared_ptr<http_exchange> dropped_exchange;

private:
    void enter(policy::connection_stage next);
    void receive(evbuffer* input, std::size_t new_bytes);
    void follow(evbuffer* input, std::size_t offset);
    void refuse_body(evbuffer* input);
    void discard(evbuffer* input, std::size_t new_bytes);
    void report_held();

    static void on_input(evbuffer* input, evbuffer_cb_info const* change, void* self);

    bufferevent* stream;
    connection_guard& guard;
    request_framing framing;
    std::size_t body_limit_bytes;
    std::optional<policy::connection_id> counted_id; // Set once the connection is admitted.
    bool stream_referenced = true;
    policy::connection_stage stage = policy::connection_stage::idle;
    bool read_ahead = false;
    std::size_t request_bytes = 0; // Received since the request began.
    std::size_t chunk_buffer_bytes = 0; // Read buffers that parts of a chunked body keep in use.
    std::size_t answer_bytes = 0; // Handed to evhttp and not all taken by the client.
    std::size_t discarded_bytes = 0; // Received after the body was refused.
};

} // namespace greengagehead::transport
