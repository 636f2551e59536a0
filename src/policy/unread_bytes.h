// Divides the memory for bytes that clients have sent and the process has not read yet among its
// connections.

#pragma once

#include <cstddef>

namespace greengagehead::policy {

/// The kernel's own default. A larger buffer would not make an ordinary request faster.
constexpr std::size_t max_receive_buffer_bytes = 131'072;

struct unread_demand {
    std::size_t budget_bytes = 0; ///< All unread bytes of the process.
    std::size_t connections = 0; ///< Accepted connections, as far as other limits allow.
    std::size_t pending_connections = 0; ///< Those that wait to be accepted, at all listeners.
    std::size_t min_buffer_bytes = 1; ///< Least buffer of a connection; not 0.
};

struct unread_limits {
    std::size_t connections = 0; ///< At least 1.
    std::size_t receive_buffer_bytes = 0; ///< Unread bytes of one connection.
};

/// The largest buffer with which all connections, those that wait to be accepted and those that are
/// being closed fit into the budget, at most `max_receive_buffer_bytes`. If that is below the
/// minimum, there are fewer connections. Buffers are below the minimum only if otherwise fewer than
/// 64 connections were left.
[[nodiscard]] unread_limits divide_unread_bytes(unread_demand const& demand);

} // namespace greengagehead::policy
