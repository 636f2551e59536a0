// WebSocket framing of one connection, without sockets: bytes in, bytes and messages out. Plain
// C++17 interface in front of websocketpp.

#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace greengagehead::transport {

/// Callbacks of a session. They run inside `feed`, `send` and `start`.
struct websocket_events {
    std::function<void(char const* bytes, std::size_t size)> output; ///< Bytes for the socket.
    std::function<void(std::string&& message)> message; ///< One binary message.
    std::function<void()> opened; ///< Handshake finished.
    std::function<void(std::string const& reason)> closed; ///< Session over, or handshake failed.
};

class websocket_session {
public:
    /// Side that accepts the connection.
    static std::unique_ptr<websocket_session> accept(websocket_events events,
                                                     std::size_t maximum_message_bytes);

    /// Side that opens the connection. `host` is "IP:PORT".
    static std::unique_ptr<websocket_session>
    connect(std::string const& host, websocket_events events, std::size_t maximum_message_bytes);

    websocket_session() = default;
    virtual ~websocket_session() = default;
    websocket_session(websocket_session const&) = delete;
    websocket_session& operator=(websocket_session const&) = delete;

    /// Begins the handshake.
    virtual void start() = 0;
    /// Handles bytes read from the socket.
    virtual void feed(char const* bytes, std::size_t size) = 0;
    /// Sends one binary message. Returns false when the session is not open.
    virtual bool send(std::string_view message) = 0;
};

} // namespace greengagehead::transport
