// The agent's record of one attempt to run a task.

#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "base/clock.h"
#include "protocol/message.h"

namespace greengagehead::agent {

/// Identifies an attempt. The owner of each epoch may number its attempts from 1.
struct attempt_key {
    protocol::task_ref task;
    protocol::job_epoch epoch = 1;
    std::uint32_t attempt = 1;

    bool operator==(attempt_key const&) const = default;
};

[[nodiscard]] inline attempt_key key_of(protocol::task_start const& start)
{
    return {start.task, start.epoch, start.attempt};
}

/// A start of one task as input of admission.
struct start_request {
    std::string peer; ///< Peer from which the message arrived.
    protocol::lease_stamp stamp;
    protocol::incarnation_number agent_incarnation = 0;
    protocol::task_start task;
    base::steady_time deadline; ///< On this agent's clock.
    base::steady_time start_by; ///< On this agent's clock.
};

enum class attempt_phase : std::uint8_t {
    waiting, ///< Admitted, waiting for a slot.
    running, ///< Passed to the endpoint runner.
    attached, ///< Never started itself; gets the outcome of another attempt's run.
    finished,
};

/// Part of a record that is dropped when it is no longer needed or to save memory.
struct attempt_details {
    std::string endpoint;
    std::string url; ///< Base URL of the endpoint when the run started.
    std::string owner; ///< Entry that gets the outcome.
    std::string result;
    std::string message;
    std::chrono::microseconds run_time {0};
    base::steady_time started;
    /// Entry whose loss ends the attempt. Empty unless the attempt is ephemeral.
    std::optional<protocol::process_id> bound_entry;
    std::unique_ptr<start_request> request; ///< Null unless the attempt waits.
    bool stop_requested = false;
};

/// Invariant: `kind` does not change once the phase is `finished`, except that a success becomes
/// `unknown` if its result is dropped before it was acknowledged.
struct attempt_record {
    std::uint32_t index = 0;
    std::uint32_t attempt = 1;
    protocol::job_epoch epoch = 1;
    attempt_phase phase = attempt_phase::finished;
    protocol::outcome_kind kind = protocol::outcome_kind::running;
    bool idempotent = false;
    bool acknowledged = false;
    std::uint64_t sequence = 0; ///< Increases in the order in which attempts finish.
    base::steady_time finished_at;
    std::unique_ptr<attempt_details> details; ///< Never null before the phase is `finished`.
};

} // namespace greengagehead::agent
