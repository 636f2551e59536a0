// Size of receive buffers, and the number of connections that they allow.

#include "policy/unread_bytes.h"

#include <algorithm>

#include "policy/connection_budget.h"

namespace greengagehead::policy {

namespace {

/// In a memory that is too small for them, buffers are smaller than the minimum instead.
constexpr std::size_t min_connections = 64;

} // namespace

unread_limits divide_unread_bytes(unread_demand const& demand)
{
    auto const buffer_with = [&demand](std::size_t connections) {
        return demand.budget_bytes
            / (most_open_connections(connections) + demand.pending_connections);
    };
    auto const wanted = std::max<std::size_t>(demand.connections, 1);
    if (auto const bytes = buffer_with(wanted); bytes >= demand.min_buffer_bytes)
        return {wanted, std::min(bytes, max_receive_buffer_bytes)};
    auto const buffers = demand.budget_bytes / demand.min_buffer_bytes;
    auto const open = buffers - std::min(buffers, demand.pending_connections);
    auto const connections
        = std::max(open * closing_part / (closing_part + 1), std::min(wanted, min_connections));
    return {connections, std::min(buffer_with(connections), demand.min_buffer_bytes)};
}

} // namespace greengagehead::policy
