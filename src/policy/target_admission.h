// Admission of jobs by whether they can be answered within their target.

#pragma once

#include <chrono>
#include <optional>

#include "base/clock.h"
#include "policy/account_fairness.h"
#include "policy/admission.h"
#include "policy/target_queue.h"

namespace greengagehead::policy {

class endpoint_table;

/// An answer that takes longer than its target times this is of no use to its caller.
constexpr int useful_target_multiple = 3;

struct target_request {
    protocol::job_request const* job = nullptr; ///< Has at least one task.
    slot_time work {0}; ///< Total work of all its tasks.
    base::steady_time latest_start;
    account_standing standing {}; ///< Of the account of the job.
    bool too_late = false; ///< The answer would be of no use even if the job started now.
};

/// Refuses a job when the predicted wait exceeds a percentage of the time until its latest start,
/// because it would run too late and delay other jobs. The percentage is 40% at priority 0, 27% at
/// 1 and 20% at 2, times the `wait_percent` of the account, and at most 100%; it is 100% for an
/// account that was served nothing recently. A caller who is refused at once can turn elsewhere or
/// retry. `retry_after` is the time after which the queue has drained far enough for the job.
[[nodiscard]] std::optional<refusal> check_target(target_request const& request,
                                                  endpoint_table const& endpoints,
                                                  target_queue const& queue, base::steady_time now);

} // namespace greengagehead::policy
