// The connections of one process: applies the decisions of policy::connection_budget to all of its
// listeners, which run on several threads, and counts and logs what was closed.

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "policy/connection_budget.h"

namespace greengagehead::transport {

/// Numbers for the metrics page.
struct connection_counts {
    std::size_t open = 0;
    std::size_t held_bytes = 0;
    /// Connections that were closed or refused, by reason, since the start of the process.
    std::array<std::uint64_t, policy::close_reason_count> closed {};
};

/// Thread-safe.
class connection_guard {
public:
    using owner_id = std::uint64_t;

    explicit connection_guard(policy::connection_limits limits);

    /// Adds a listener, which closes its own connections.
    /// @param wake called on any thread, and must not call the guard. The listener then calls
    /// `take_closed` on its own thread.
    owner_id add_owner(std::function<void()> wake);
    void remove_owner(owner_id owner);

    /// Adds a connection. Returns empty when it must be closed at once.
    std::optional<policy::connection_id> open(owner_id owner, std::string const& address,
                                              policy::connection_stage stage);
    void enter(policy::connection_id connection, policy::connection_stage stage);
    /// Sets the bytes that are held for a connection.
    void hold(policy::connection_id connection, std::size_t bytes);
    void close(policy::connection_id connection);

    /// Connections that the owner has to close now.
    std::vector<policy::connection_id> take_closed(owner_id owner);
    /// Closes what takes too long, and logs what was closed. Each owner calls it now and then.
    void sweep();
    /// Counts a connection that its owner closes by itself.
    void count(policy::close_reason reason);

    [[nodiscard]] connection_counts counts() const;
    /// Receive buffer of accepted sockets, in bytes; 0 leaves the default of the kernel.
    [[nodiscard]] std::size_t receive_buffer_bytes() const;

private:
    void order_close(policy::closed_connection const& closed);
    void record(policy::close_reason reason);
    void log_closed(base::steady_time now);

    mutable std::mutex mutex; // Guards all members.
    policy::connection_budget budget;
    connection_counts totals;
    std::array<std::uint64_t, policy::close_reason_count> logged {};
    base::steady_time last_log;
    base::steady_time last_sweep;
    std::map<owner_id, std::function<void()>> owners;
    std::unordered_map<policy::connection_id, owner_id> owner_of;
    std::map<owner_id, std::vector<policy::connection_id>> pending; // To be closed by the owner.
    std::uint64_t last_id = 0;
};

} // namespace greengagehead::transport
