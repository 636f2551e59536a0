// Decides which connections of a process are refused and which are closed. It bounds the bytes that
// the process holds for connections, their number, and the time that each of them may take.

#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/clock.h"

namespace greengagehead::policy {

/// Limits on the connections of one process. Zero switches a limit on bytes or numbers off.
struct connection_limits {
    std::size_t budget_bytes = 0; ///< Bytes held for all connections.
    std::size_t connection_bytes = 0; ///< Bytes held for one connection.
    std::size_t connections = 0;
    std::size_t address_connections = 0; ///< Connections from one address.
    /// Bytes that the kernel may hold unread for each connection; 0 leaves its default.
    std::size_t receive_buffer_bytes = 0;
    std::chrono::milliseconds request_timeout {30'000}; ///< From its first byte to its last one.
    std::chrono::milliseconds answer_timeout {30'000}; ///< Until the client has taken the answer.
    std::chrono::milliseconds idle_timeout {45'000}; ///< Between requests.
    std::chrono::milliseconds handshake_timeout {5'000}; ///< Of a link between processes.
};

/// A connection that is being closed keeps its descriptor until its listener gets to it. All
/// together may exceed the limit by this part of it.
constexpr std::size_t closing_part = 16;

/// Connections that are open at once, with those that are being closed.
[[nodiscard]] constexpr std::size_t most_open_connections(std::size_t limit)
{
    return limit + limit / closing_part;
}

enum class connection_stage : std::uint8_t {
    idle, ///< No byte of a request has arrived.
    reading, ///< A part of a request has arrived.
    answering, ///< The request is handled.
    writing, ///< The client has not taken the whole answer.
    refused, ///< The refusal is sent; the client may still read it.
    handshake, ///< Of a link between processes.
    established, ///< A link between processes.
};

/// Why a connection is closed or refused.
enum class close_reason : std::uint8_t {
    budget,
    connection_bytes,
    connections,
    address_connections,
    request_timeout,
    answer_timeout,
    idle_timeout,
    handshake_timeout,
    handshake_bytes,
    body_bytes,
    no_descriptors,
};
constexpr std::size_t close_reason_count = 11;

[[nodiscard]] std::string_view to_string(close_reason reason);

using connection_id = std::uint64_t;

struct closed_connection {
    connection_id id = 0;
    close_reason reason = close_reason::budget;
};

/// Result of a new connection. `refused` closes the new one, `victim` an older one in its place.
struct connection_verdict {
    std::optional<close_reason> refused;
    std::optional<closed_connection> victim;
};

/// Not thread-safe.
class connection_budget {
public:
    explicit connection_budget(connection_limits initial_limits) : limits(initial_limits) { }

    /// Adds a connection in the stage `idle` or `handshake`. When there are too many, the one that
    /// has waited longest for its client is closed. A connection whose request is handled is kept.
    /// Those that are being closed count until `close`: when all together exceed the limit by a
    /// sixteenth, the new one is refused.
    connection_verdict open(connection_id id, std::string const& address, connection_stage stage,
                            base::steady_time now);
    /// Begins a stage of a connection, whose time limit counts from now on.
    void enter(connection_id id, connection_stage stage, base::steady_time now);
    /// Sets the bytes that are held for a connection.
    /// @return the connections to close, because it or the process holds too much.
    std::vector<closed_connection> hold(connection_id id, std::size_t bytes, base::steady_time now);
    void close(connection_id id);

    /// Connections whose stage takes longer than its limit. Names each connection once.
    std::vector<closed_connection> overdue(base::steady_time now);

    [[nodiscard]] std::size_t receive_buffer_bytes() const
    {
        return this->limits.receive_buffer_bytes;
    }
    [[nodiscard]] std::size_t held_bytes() const { return this->total_bytes; }
    [[nodiscard]] std::size_t size() const { return this->connections.size(); }

private:
    struct connection {
        std::string address;
        connection_stage stage = connection_stage::idle;
        base::steady_time stage_begin;
        base::steady_time held_since; ///< Since when `bytes` is above 0.
        std::size_t bytes = 0;
        bool closing = false; ///< Is being closed; its bytes no longer count.
    };

    [[nodiscard]] bool reaches(std::size_t number) const
    {
        return this->limits.connections > 0 && this->size() >= number;
    }
    [[nodiscard]] std::optional<connection_id> longest_waiting(std::string const* address,
                                                               base::steady_time now) const;
    [[nodiscard]] std::optional<connection_id> largest_holder(base::steady_time now) const;
    void mark_closing(connection& target);
    void set_bytes(connection& target, std::size_t bytes, base::steady_time now);

    connection_limits limits;
    std::unordered_map<connection_id, connection> connections;
    std::map<std::string, std::size_t> by_address;
    std::size_t total_bytes = 0; ///< Of connections that are not closing.
};

} // namespace greengagehead::policy
