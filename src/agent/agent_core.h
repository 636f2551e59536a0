// Core of the agent role: makes the final decision whether a task may start on a local endpoint,
// and delivers the outcomes of attempts. Single-threaded; the caller passes in the time.

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
    protocol::process_id id; ///< Peer name, for example `agent.recife-7`; random incarnation.
    std::string region;
    std::string zone;
    std::chrono::milliseconds report_interval {300};
    std::chrono::milliseconds announcement_interval {1000};
    /// How long finished outcomes are kept: the longest deadline plus the claim retention.
    std::chrono::milliseconds outcome_retention {1'500'000};
    queue_limits queue; ///< Of each endpoint.
    /// How long refused attempts, and idempotent ones whose result was dropped, stay on record.
    /// Must be longer than any start message can be delayed.
    std::chrono::milliseconds refusal_retention {60'000};
    /// Upper bound of the time that a lease has left (the lease duration of control). A stamp that
    /// expires later was made with another clock.
    std::chrono::milliseconds max_lease {1500};
    /// An entry without a message for this long, or whose last stamp has expired, counts as lost,
    /// and its ephemeral tasks are stopped. Callers resubmit a job of a lost entry elsewhere no
    /// earlier than after 1.3 s.
    std::chrono::milliseconds entry_timeout {900};
    /// The same for an entry whose link is down. Shorter, because a link is usually restored
    /// sooner.
    std::chrono::milliseconds entry_link_grace {300};
    std::size_t max_outcome_bytes = 4UL * 1024 * 1024; ///< Memory budget for finished outcomes.
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

    /// Adds or updates an endpoint. Endpoints repeat this as a heartbeat; one that misses three
    /// announcements counts as departed. Errors: `error_code::invalid_argument`.
    base::result<void> announce(announcement const& endpoint, base::steady_time now);
    /// Withdraws an endpoint: it gets no new work, and its running tasks continue.
    /// Errors: `error_code::not_found`.
    base::result<void> leave(std::string const& endpoint, base::steady_time now);

    void receive(std::string const& peer, protocol::message const& body, base::steady_time now);
    /// To be called every 10 ms.
    void tick(base::steady_time now);
    void peer_up(std::string const& peer, base::steady_time now);
    void peer_down(std::string const& peer, base::steady_time now);

    /// Tells the entry that started the run that it lags. `remaining` is the estimated time until
    /// its end.
    void report_lag(protocol::attempt_ref const& run, std::chrono::milliseconds remaining);

    /// Refuses new starts from now on. Running tasks continue.
    void begin_shutdown(base::steady_time now);
    [[nodiscard]] std::chrono::milliseconds announcement_interval() const;
    /// True if no task runs or waits and every outcome is acknowledged.
    [[nodiscard]] bool idle() const;

private:
    class implementation;
    std::shared_ptr<implementation> impl; // Callbacks of the runner hold weak references to it.
};

} // namespace greengagehead::agent
