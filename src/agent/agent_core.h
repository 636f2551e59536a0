// Start admission of one agent: the last authority on whether a task may start.

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "agent/announcement.h"
#include "agent/endpoint_runner.h"
#include "agent/endpoint_slots.h"
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
    queue_limits queue; ///< Of each endpoint.
    /// Refused attempts, and idempotent ones without a kept result, are remembered this long.
    /// Must be longer than any start message can be delayed.
    std::chrono::milliseconds refusal_memory {60'000};
    /// No entry can hold a lease for longer (the lease duration of control); stamps beyond it come
    /// from another clock.
    std::chrono::milliseconds longest_lease {1500};
    /// An entry not heard for this long is lost, and its ephemeral tasks are stopped. Callers send
    /// the job of a lost entry to another one no earlier than 1.3 s later.
    std::chrono::milliseconds entry_silence {900};
    /// The same for an entry whose link is down: a broken link returns sooner.
    std::chrono::milliseconds entry_link_grace {300};
    std::size_t outcome_bytes = 4UL * 1024 * 1024; ///< Memory for finished outcomes.
};

class agent_core {
public:
    /// `sender` and `runner` must outlive the core.
    agent_core(agent_settings settings, protocol::message_sender& sender, endpoint_runner& runner,
               base::steady_time now);
    ~agent_core();
    agent_core(agent_core const&) = delete;
    agent_core& operator=(agent_core const&) = delete;
    agent_core(agent_core&&) = delete;
    agent_core& operator=(agent_core&&) = delete;

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

    /// Tells the entry that started the run that it would end sooner elsewhere.
    void report_lag(protocol::attempt_ref const& run, std::chrono::milliseconds remaining);

    /// Refuses new starts from now on; running tasks go on.
    void begin_shutdown(base::steady_time now);
    /// No task runs and every outcome is acknowledged.
    [[nodiscard]] bool idle() const;

private:
    class parts;
    std::shared_ptr<parts> own; // Callbacks of the runner hold it weakly.
};

} // namespace greengagehead::agent
