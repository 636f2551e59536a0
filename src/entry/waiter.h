// Callers and peers that wait for the answer of a job.

#pragma once

#include <functional>
#include <optional>
#include <string>

#include "base/clock.h"
#include "entry/entry_core.h"
#include "protocol/message.h"

namespace greengagehead::entry {

/// Exactly one of the two callbacks is set. It is called once.
struct waiter {
    base::steady_time wait_until; ///< The waiter is then answered with the current state.
    bool explain = false;
    std::function<void(submit_reply const&)> on_submit;
    std::function<void(protocol::job_reply const&)> on_query;
    /// Whether the caller no longer waits, although no event has told so yet; may be empty.
    std::function<bool()> has_left;
    /// When a request that was held during a recovery has arrived; empty if it was not held.
    std::optional<base::steady_time> arrived;
    /// Its hold has ended: it is admitted or refused, and not held again.
    bool hold_ended = false;
    bool counted = false; ///< The work of its job is counted as demand of the account and entry.
};

/// Passes on an answer, whatever its state.
void deliver(waiter const& target, protocol::job_answer const& answer,
             std::string const& explanation);
/// Answers that the state of the job is not known.
void deliver_unknown(waiter const& target, protocol::job_answer answer, base::error failure);

} // namespace greengagehead::entry
