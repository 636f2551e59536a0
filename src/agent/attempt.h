// One attempt to run a task, as the agent remembers it.

#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "base/clock.h"
#include "protocol/message.h"

namespace greengagehead::agent {

/// Identifies an attempt. Owners of different epochs may count attempts from 1 each.
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

/// A start message as admission sees it.
struct start_request {
    std::string peer; ///< Link on which the message arrived.
    protocol::lease_stamp stamp;
    protocol::incarnation_number agent_incarnation = 0;
    protocol::task_start task;
    base::steady_time deadline; ///< In this agent's clock.
    base::steady_time start_by; ///< In this agent's clock.
};

enum class attempt_phase : std::uint8_t {
    waiting, ///< Admitted, waits for a slot.
    running, ///< Handed to the endpoint runner.
    following, ///< Never starts itself; gets the outcome of the run already on record.
    finished,
};

/// Part of a record that is dropped under memory pressure or when nobody needs it any more.
struct attempt_details {
    std::string endpoint;
    std::string url; ///< Base URL of the run.
    std::string owner; ///< Entry that gets the outcome.
    std::string result;
    std::string message;
    std::chrono::microseconds run_time {0};
    base::steady_time started;
    /// Entry that the attempt ends with. Empty unless the attempt is ephemeral.
    std::optional<protocol::process_id> ends_with;
    std::unique_ptr<start_request> request; ///< Only while waiting.
    bool stop_requested = false;
};

/// Invariant: `kind` is final once the phase is `finished`, except that a success whose result was
/// dropped before it was acknowledged becomes `unknown`.
struct attempt_record {
    std::uint32_t index = 0;
    std::uint32_t attempt = 1;
    protocol::job_epoch epoch = 1;
    attempt_phase phase = attempt_phase::finished;
    protocol::outcome_kind kind = protocol::outcome_kind::running;
    bool idempotent = false;
    bool acknowledged = false;
    std::uint64_t sequence = 0; ///< Order of finishing.
    base::steady_time finished_at;
    std::unique_ptr<attempt_details> details; ///< Never null before the phase is `finished`.
};

} // namespace greengagehead::agent
