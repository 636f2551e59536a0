// Decides whether a job is taken on. A refusal means that nothing of the job has run or will run.

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "base/clock.h"
#include "base/error.h"
#include "protocol/job.h"

namespace greengagehead::policy {

class endpoint_table;
class fair_queue;
class run_time_estimator;

struct admission_limits {
    std::size_t total_tasks = 200'000; ///< Waiting tasks of all teams.
    std::size_t team_tasks = 50'000; ///< Waiting tasks of the job's team.
};

struct refusal {
    base::error reason;
    std::chrono::milliseconds retry_after {0}; ///< 0 when retrying cannot help.
};

/// Checks in this order: some endpoint known that could ever run each task (kind, region, zone,
/// cpu, memory), queue limits, deadline against the backlog and the known slots. A job for which no
/// endpoint is known yet is refused with a retry time, not for good.
[[nodiscard]] std::optional<refusal>
check_admission(protocol::job_request const& request, std::chrono::milliseconds deadline,
                admission_limits const& limits, endpoint_table const& endpoints,
                fair_queue const& queue, run_time_estimator const& estimator);

} // namespace greengagehead::policy
