// One connection between two greengagehead processes: WebSocket over a libevent bufferevent, with
// mutual authentication and a heartbeat. A link never reconnects; link_hub replaces it by a new
// one.

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
    /// Interval at which every link checks `heartbeat_timeout`, and a ready link sends a heartbeat
    /// unless it has sent anything else within the last half of the interval.
    std::chrono::milliseconds heartbeat_interval {500};
    /// A link that has received no data for longer than this is closed.
    std::chrono::milliseconds heartbeat_timeout {2000};
    /// An outgoing link that is not ready after this time is closed, and link_hub dials again. The
    /// first packet to a VM that is just starting is lost, and the kernel retransmits it only after
    /// 1 s.
    std::chrono::milliseconds connect_timeout {300};
};

/// Reason of `closed` when a peer sends more than a handshake takes.
inline constexpr char const* handshake_too_large = "too many bytes before authentication";

struct link_identity {
    std::string name; ///< Peer name of this process, for example `entry.recife-1`.
    /// Shared secret of the fleet. With an empty one there is no authentication: a peer whose key
    /// is empty too is accepted under any name.
    std::string fleet_key;
};

/// All calls and signals are on the thread of the event loop. A link becomes ready when the peer
/// has proved that it knows the fleet key; until then it neither sends nor delivers messages.
class link {
public:
    /// Runs the accepting side on the accepted `socket`, which the link then owns.
    link(event_loop& loop, int socket, link_identity const& identity, link_timing timing);
    /// Connects to `address`.
    link(event_loop& loop, socket_address const& address, link_identity const& identity,
         link_timing timing);
    ~link();

    link(link const&) = delete;
    link& operator=(link const&) = delete;
    link(link&&) = delete;
    link& operator=(link&&) = delete;

    /// Sends a message, and returns its encoded length. It is lost without an error when the link
    /// is not ready, which returns 0, or breaks.
    std::size_t send(protocol::message const& body);

    /// Closes the link. Does nothing when it is closed.
    void close(std::string const& reason);

    /// Sends a heartbeat or closes the link if it is time. To be called several times in each
    /// `heartbeat_interval`; the hub calls it for all links together, because a timer of each link
    /// would wake the process hundreds of times per second.
    void check_heartbeat(base::steady_time now);

    [[nodiscard]] bool ready() const { return this->state == stage::ready; }
    /// Authenticated name of the peer; empty until the link is ready.
    [[nodiscard]] std::string const& peer() const { return this->peer_name; }

    [[nodiscard]] int descriptor() const;

    /// Emitted once, when the peer is authenticated.
    sigc::signal<void()> became_ready;
    /// With the encoded length of the message.
    sigc::signal<void(protocol::message&, std::size_t bytes)> message_received;
    /// Emitted once, with a reason for the log. A handler must not destroy the link.
    sigc::signal<void(std::string const&)> closed;

private:
    enum class stage : std::uint8_t { handshake, authenticating, ready, closed };
    enum class frame : std::uint8_t { hello, proof, heartbeat, message };

    void open_session(bool accepting, std::string const& host);
    void begin_authentication();
    void handle_frame(std::string const& bytes);
    void handle_hello(std::string const& body);
    void handle_proof(std::string const& body);
    void send_frame(frame kind, std::string_view body);
    /// Writes what the session has put out, and queues what the socket does not take.
    void flush();

    static void on_read(bufferevent* source, void* self);
    static void on_event(bufferevent* source, short what, void* self);

    event_loop& loop;
    link_identity identity;
    link_timing timing;
    bool const is_acceptor;
    stage state = stage::handshake;
    bufferevent* stream = nullptr;
    std::unique_ptr<websocket_session> session;
    std::unique_ptr<loop_timer> connect_timer; // Closes an outgoing link that is not ready in time.
    std::string outgoing; // Put out by the session, until `flush`.
    std::size_t handshake_bytes = 0; // Received before the peer was authenticated.
    std::string local_nonce; // Sent in this side's hello.
    std::string peer_nonce; // From the peer's hello.
    std::string claimed_name; // From the peer's hello, not authenticated yet.
    std::string peer_name; // Equals claimed_name once authenticated, else empty.
    base::steady_time next_heartbeat_check;
    base::steady_time last_receive_time;
    base::steady_time last_send_time;
};

} // namespace greengagehead::transport
