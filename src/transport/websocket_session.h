// WebSocket protocol of one connection. The owner reads and writes the socket and passes the bytes.
// The interface hides websocketpp and compiles as C++17, which websocketpp needs.

#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace greengagehead::transport {

/// Callbacks of a session, called from within `feed`, `send` and `start`.
struct websocket_callbacks {
    std::function<void(char const* bytes, std::size_t size)> output; ///< Bytes for the socket.
    std::function<void(std::string&& message)> message; ///< Payload of a received message.
    std::function<void()> opened; ///< The handshake has succeeded.
    /// The session has ended, or the handshake has failed.
    std::function<void(std::string const& reason)> closed;
};

class websocket_session {
public:
    /// Creates the session of the side that accepts the connection.
    static std::unique_ptr<websocket_session> accept(websocket_callbacks callbacks,
                                                     std::size_t max_message_bytes);

    /// Creates the session of the side that opens the connection.
    /// Returns null when `host` does not form a URL.
    /// @param host "IP:PORT", for the Host header.
    static std::unique_ptr<websocket_session>
    connect(std::string const& host, websocket_callbacks callbacks, std::size_t max_message_bytes);

    websocket_session() = default;
    virtual ~websocket_session() = default;
    websocket_session(websocket_session const&) = delete;
    websocket_session& operator=(websocket_session const&) = delete;

    /// Starts the handshake.
    virtual void start() = 0;
    /// Processes bytes read from the socket.
    virtual void feed(char const* bytes, std::size_t size) = 0;
    /// Changes the size of the largest message that is accepted.
    virtual void set_max_message_bytes(std::size_t size) = 0;
    /// Sends one binary message. Returns false when the session is not open.
    virtual bool send(std::string_view message) = 0;
};

} // namespace greengagehead::transport
