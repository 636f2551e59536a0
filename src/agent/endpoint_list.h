// Endpoints that announce themselves to the agent.

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

class lease_book;

/// An endpoint that left or missed its announcements is gone: it takes no starts and is not
/// reported, but stays in the list until its running tasks have ended.
class endpoint_list {
public:
    endpoint_list(std::chrono::milliseconds announcement_interval, queue_limits limits);

    /// Errors: `error_code::invalid_argument`.
    base::result<void> announce(announcement const& description, base::steady_time now);
    /// Errors: `error_code::not_found`.
    base::result<void> leave(std::string const& name);
    /// Marks endpoints that missed their announcements as gone. Returns true when there were any.
    bool expire(base::steady_time now);

    /// Null when unknown or gone.
    [[nodiscard]] endpoint_slots* present(std::string const& name);
    /// Also finds endpoints that are gone. Null when unknown.
    [[nodiscard]] endpoint_slots* find(std::string const& name);

    /// Every waiting attempt of every endpoint, also of those that are gone.
    [[nodiscard]] std::vector<std::pair<std::string, attempt_key>> waiting() const;
    /// Every running or waiting attempt of every endpoint.
    [[nodiscard]] std::vector<attempt_key> unfinished() const;
    [[nodiscard]] std::vector<std::string> names() const;
    /// @param held tells the attempts of the entry that gets the report.
    [[nodiscard]] std::vector<protocol::endpoint_state>
    states(lease_book const& leases, std::function<bool(attempt_key const&)> const& held) const;
    /// Names of the present endpoints and how full each is, from 0 to `full_level`: a change is
    /// reported ahead of the interval.
    [[nodiscard]] std::vector<std::pair<std::string, std::uint32_t>> levels() const;
    static constexpr std::uint32_t full_level = 8;

private:
    struct listed_endpoint {
        endpoint_slots slots;
        bool gone = false;
    };

    std::chrono::milliseconds announcement_interval;
    queue_limits limits;
    std::map<std::string, listed_endpoint> endpoints;
};

} // namespace greengagehead::agent
