// Role names, link addresses of the control members, and the defaults of the embedded deployment.

#include "settings/process_settings.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace greengagehead::settings {

namespace {

/// What is held for connections, and what they have sent and is not read, take this part each.
constexpr std::uint64_t memory_part = 4;
constexpr std::uint64_t unknown_memory_budget = 32UL << 20U;

} // namespace

bool process_settings::has(role value) const
{
    return std::find(this->roles.begin(), this->roles.end(), value) != this->roles.end();
}

std::string_view to_string(role value)
{
    static constexpr std::array names {
        std::string_view {"control"},
        std::string_view {"entry"},
        std::string_view {"agent"},
    };
    return names.at(static_cast<std::size_t>(value));
}

std::string peer_name(role process_role, std::string const& process_name)
{
    return std::string(to_string(process_role)) + "." + process_name;
}

std::vector<peer_settings> control_links(process_settings const& settings)
{
    auto links = settings.controls;
    if (settings.control_link_port == 0)
        return links;
    for (auto& member : links)
        member.address = member.address.substr(0, member.address.rfind(':')) + ':'
            + std::to_string(settings.control_link_port);
    return links;
}

std::uint64_t connection_budget_bytes(limit_settings const& limits)
{
    if (limits.memory_mb > 0)
        return (limits.memory_mb << 20U) / memory_part;
    // One connection may hold three quarters of it, and a body in chunks takes twice its size.
    return std::max(unknown_memory_budget, 3 * (limits.body_bytes + limits.header_bytes));
}

std::uint64_t unread_budget_bytes(limit_settings const& limits)
{
    return limits.memory_mb > 0 ? (limits.memory_mb << 20U) / memory_part : unknown_memory_budget;
}

process_settings embedded_settings()
{
    process_settings embedded;
    embedded.name = "local";
    embedded.zone = "local";
    embedded.region = "local";
    embedded.data_folder = "greengagehead-data";
    embedded.roles = {role::control, role::entry, role::agent};
    embedded.control_listen = "127.0.0.1:0";
    embedded.entry_listen = "127.0.0.1:0";
    embedded.entry_http = "127.0.0.1:8410";
    embedded.agent_announce = "127.0.0.1:8420";
    // The embedded deployment has no load balancer that would have to notice the failing /readyz.
    embedded.timing.leave_delay = std::chrono::milliseconds(0);
    return embedded;
}

} // namespace greengagehead::settings
