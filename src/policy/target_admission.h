// Whether a job can still be answered within its target, given the work that waits before it.

#pragma once

#include <chrono>
#include <optional>

#include "base/clock.h"
#include "policy/admission.h"
#include "policy/target_queue.h"

namespace greengagehead::policy {

class endpoint_table;

struct target_request {
    protocol::job_request const* job = nullptr; ///< Has at least one task.
    slot_time work {0}; ///< Of all its tasks.
    base::steady_time latest_start;
};

/// Refuses a job when the work that waits before it takes more than a part of the time until its
/// latest start: it would run too late and make others late. The part is 30% at priority 0 and
/// shrinks with the priority (20% at 1, 15% at 2). A caller who is told at once can turn elsewhere
/// or come back. `retry_after` is the time after which the queue has drained as far as the job
/// needs.
[[nodiscard]] std::optional<refusal> check_target(target_request const& wanted,
                                                  endpoint_table const& endpoints,
                                                  target_queue const& queue, base::steady_time now);

} // namespace greengagehead::policy
