// Defaults of the limits on connections.

#include "app/connection_settings.h"

#include <algorithm>

#include <sys/resource.h>

#include "policy/unread_bytes.h"
#include "transport/listener_socket.h"

namespace greengagehead::app {

namespace {

/// Descriptors that are left for files, for links that this process opens and for calls to workers.
constexpr std::size_t reserved_part = 4;
/// Without a limit on descriptors. A connection takes about 4 KiB, so these take 16 MiB.
constexpr std::size_t default_connections = 4'096;

/// An entry has the most: for links, callers, operators and readiness.
constexpr std::size_t max_listeners = 4;

constexpr std::size_t three_quarters(std::size_t number)
{
    return number - number / 4;
}

} // namespace

policy::connection_limits connection_limits(settings::limit_settings const& limits,
                                            std::size_t descriptors)
{
    policy::connection_limits result;
    result.budget_bytes = settings::connection_budget_bytes(limits);
    result.connection_bytes = three_quarters(result.budget_bytes);
    auto const most
        = descriptors == 0 ? default_connections : descriptors - descriptors / reserved_part;
    result.connections
        = limits.connections == 0 ? std::min(most, default_connections) : limits.connections;
    if (descriptors != 0)
        result.connections = std::min(result.connections, most);
    auto const unread = policy::divide_unread_bytes(
        {settings::unread_budget_bytes(limits), result.connections,
         max_listeners * transport::max_pending_connections, limits.receive_buffer_bytes});
    result.connections = unread.connections;
    result.receive_buffer_bytes = unread.receive_buffer_bytes;
    result.address_connections = limits.address_connections == 0
        ? three_quarters(result.connections)
        : std::min<std::size_t>(limits.address_connections, result.connections);
    result.request_timeout = limits.request_timeout;
    result.answer_timeout = limits.answer_timeout;
    result.idle_timeout = limits.idle_timeout;
    result.handshake_timeout = limits.handshake_timeout;
    return result;
}

std::size_t descriptor_limit()
{
    rlimit limit {};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY)
        return 0;
    return limit.rlim_cur;
}

} // namespace greengagehead::app
