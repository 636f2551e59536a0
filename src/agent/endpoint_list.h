// The endpoints that announce themselves to the agent.

#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "agent/endpoint_slots.h"
#include "base/error.h"
#include "protocol/message.h"

namespace greengagehead::agent {

class entry_leases;

/// An endpoint that left or missed its announcements has departed: it accepts no starts and is not
/// reported, but stays in the list until its running tasks have ended.
class endpoint_list {
public:
    endpoint_list(std::chrono::milliseconds announcement_interval, queue_limits limits);

    /// Errors: `error_code::invalid_argument`.
    base::result<void> announce(announcement const& description, base::steady_time now);
    /// Errors: `error_code::not_found`.
    base::result<void> leave(std::string const& name);
    /// Marks endpoints that missed their announcements as departed. Returns true if there were any.
    bool expire(base::steady_time now);

    /// Null if the endpoint is unknown or has departed.
    [[nodiscard]] endpoint_slots* find_present(std::string const& name);
    /// Null if the endpoint is unknown. Also finds endpoints that have departed.
    [[nodiscard]] endpoint_slots* find(std::string const& name);

    /// The waiting attempts of all endpoints, including departed ones.
    [[nodiscard]] std::vector<std::pair<std::string, attempt_key>> waiting() const;
    /// The running and waiting attempts of all endpoints, including departed ones.
    [[nodiscard]] std::vector<attempt_key> unfinished() const;
    [[nodiscard]] std::vector<std::string> names() const;
    /// @param owned selects the attempts of the entry that gets the report.
    [[nodiscard]] std::vector<protocol::endpoint_state>
    states(entry_leases const& leases, std::function<bool(attempt_key const&)> const& owned) const;
    /// Names of the present endpoints with their load level, from 0 to `full_level`. A changed
    /// level is reported before the report interval ends.
    [[nodiscard]] std::vector<std::pair<std::string, std::uint32_t>> levels() const;
    static constexpr std::uint32_t full_level = 8;

private:
    struct listed_endpoint {
        endpoint_slots slots;
        bool departed = false;
    };

    std::chrono::milliseconds announcement_interval;
    queue_limits limits;
    std::map<std::string, listed_endpoint> endpoints;
};

} // namespace greengagehead::agent
