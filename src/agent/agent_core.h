// Start admission of one agent: the last authority on whether a task may start.

#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "agent/endpoint_runner.h"
#include "base/clock.h"
#include "base/error.h"
#include "protocol/message.h"
#include "protocol/message_sender.h"

namespace greengagehead::agent {

struct agent_settings {
    protocol::process_id id; ///< Peer name, for example `agent.recife-7`, and random incarnation.
    std::string region;
    std::string zone;
    std::chrono::milliseconds report_interval {300};
    std::chrono::milliseconds announcement_interval {1000};
    /// Finished outcomes are kept this long: the longest deadline plus claim retention.
    std::chrono::milliseconds outcome_retention {1'500'000};
    std::uint32_t queue_per_endpoint = 2; ///< Admitted tasks that may wait for a slot.
};

/// What an endpoint says of itself.
struct announcement {
    std::string name;
    std::string url;
    std::vector<std::string> kinds;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    std::uint32_t cpu = 0;
    std::uint32_t memory_mb = 0;
    std::string rack;
};

class agent_core {
public:
    agent_core(agent_settings settings, protocol::message_sender& sender, endpoint_runner& runner,
               base::steady_time now);

    /// Adds an endpoint or refreshes it. Repeated as heartbeat; an endpoint that misses three
    /// announcements counts as gone. Errors: `error_code::invalid_argument`.
    base::result<void> announce(announcement const& endpoint, base::steady_time now);
    /// The endpoint gets no new work; its running tasks go on.
    /// Errors: `error_code::not_found`.
    base::result<void> leave(std::string const& endpoint, base::steady_time now);

    void receive(std::string const& peer, protocol::message const& body, base::steady_time now);
    /// Expected every 10 ms.
    void tick(base::steady_time now);
    void peer_up(std::string const& peer, base::steady_time now);
    void peer_down(std::string const& peer, base::steady_time now);

    /// Refuses new starts from now on; running tasks go on.
    void begin_shutdown(base::steady_time now);
    /// No task runs and every outcome is acknowledged.
    [[nodiscard]] bool idle() const;
};

} // namespace greengagehead::agent
