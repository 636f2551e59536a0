// One connection between two greengagehead processes: WebSocket over a libevent bufferevent, with
// its own heartbeat. A link never reconnects; link_hub replaces it.

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include <sigc++/signal.h>

#include "base/clock.h"
#include "protocol/message.h"

struct bufferevent;

namespace greengagehead::transport {

class event_loop;
class loop_timer;
class websocket_session;
struct socket_address;

struct link_timing {
    std::chrono::milliseconds heartbeat {500};
    /// A link on which nothing arrived for this long is closed.
    std::chrono::milliseconds silence_limit {2000};
    /// A dialled link that is not ready by then is closed and dialled again. The first packet to a
    /// VM that is just starting is lost, and the system repeats it only after a second.
    std::chrono::milliseconds connect_limit {300};
};

struct link_identity {
    std::string name; ///< Peer name of this process, for example `entry.recife-1`.
    std::string fleet_key; ///< Shared secret; empty switches the proof of membership off.
};

/// Lives on the thread of its loop. It becomes ready when both sides have proved that they know the
/// fleet key; until then it passes no message on.
class link {
public:
    /// Takes an accepted socket.
    link(event_loop& loop, int socket, link_identity const& identity, link_timing timing);
    /// Connects to `address`.
    link(event_loop& loop, socket_address const& address, link_identity const& identity,
         link_timing timing);
    ~link();

    link(link const&) = delete;
    link& operator=(link const&) = delete;
    link(link&&) = delete;
    link& operator=(link&&) = delete;

    /// Sends a message. Lost without notice when the link is closed or breaks.
    void send(protocol::message const& body);

    [[nodiscard]] bool ready() const { return this->state == stage::ready; }
    /// Name that the peer proved; empty until the link is ready.
    [[nodiscard]] std::string const& peer() const { return this->peer_name; }

    sigc::signal<void()> became_ready;
    sigc::signal<void(protocol::message&)> message_received;
    /// Emitted once, with the reason. The link must not be destroyed inside the signal.
    sigc::signal<void(std::string const&)> closed;

private:
    enum class stage : std::uint8_t { handshake, proving, ready, closed };
    enum class frame : std::uint8_t { hello, proof, heartbeat, message };

    void open_session(bool accepting, std::string const& host);
    void begin_proof();
    void handle_frame(std::string const& bytes);
    void handle_hello(std::string const& body);
    void handle_proof(std::string const& body);
    void send_frame(frame kind, std::string_view body);
    void check_silence();
    void close(std::string const& reason);

    static void on_read(bufferevent* source, void* self);
    static void on_event(bufferevent* source, short what, void* self);

    event_loop& loop;
    link_identity identity;
    link_timing timing;
    bool const accepted;
    stage state = stage::handshake;
    bufferevent* stream = nullptr;
    std::unique_ptr<websocket_session> session;
    std::unique_ptr<loop_timer> heartbeat;
    std::unique_ptr<loop_timer> connecting; // Runs until a dialled link is ready.
    std::string own_nonce;
    std::string peer_nonce; // From the peer's hello.
    std::string claimed_name; // From the peer's hello, not proved yet.
    std::string peer_name;
    base::steady_time last_arrival;
};

} // namespace greengagehead::transport
