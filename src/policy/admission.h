// Decides whether a job is taken on. A refusal means that nothing of the job has run or will run.

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

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

[[nodiscard]] refusal make_refusal(base::error_code code, std::string message,
                                   std::chrono::milliseconds retry_after);

/// Checks in this order: some endpoint known that could ever run each task (kind, region, zone,
/// cpu, memory), queue limits, deadline against the backlog and the known slots. A job for which no
/// endpoint is known yet is refused with a retry time, not for good.
///
/// The deadline check refuses when the earliest end of the job is later than `deadline`. With W the
/// team's backlog plus the learned median times of the job's tasks, S the usable slots that fit
/// them, and B_i and w_i the backlog and weight of another team, the earliest end is the largest of
///   (W + sum over i of min(B_i, W * w_i / w)) / S,   the end under fair sharing,
///   W / quota of the team,
///   learned time of the job's tasks of one requirement / slots that fit them,
///   the longest learned median.
/// Each is a lower bound: work in progress, later arrivals and packing losses are left out, tasks
/// without learned times count as 0, and slots that fit several requirements are counted for each.
[[nodiscard]] std::optional<refusal>
check_admission(protocol::job_request const& request, std::chrono::milliseconds deadline,
                admission_limits const& limits, endpoint_table const& endpoints,
                fair_queue const& queue, run_time_estimator const& estimator);

} // namespace greengagehead::policy
