// Callers and peers that wait for a job.

#pragma once

#include <functional>
#include <string>

#include "base/clock.h"
#include "entry/entry_core.h"
#include "protocol/message.h"

namespace greengagehead::entry {

/// Exactly one of the two callbacks is set. It is called once.
struct waiter {
    base::steady_time until; ///< Then it is told what is known.
    bool explain = false;
    std::function<void(submit_reply const&)> on_submit;
    std::function<void(protocol::job_reply const&)> on_query;
};

/// Passes on an answer, whatever its state.
void deliver(waiter const& target, protocol::job_answer const& answer,
             std::string const& explanation);
/// Says that the state of the job cannot be told now.
void deliver_unknown(waiter const& target, protocol::job_answer answer, base::error failure);

} // namespace greengagehead::entry
