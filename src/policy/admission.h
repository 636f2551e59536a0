// Decides whether a job is accepted. A refusal means that no task of the job has run or will run.

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

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

/// Fixed set of reasons for metrics and log lines.
enum class refusal_cause : std::uint8_t {
    no_configuration,
    no_endpoint,
    target_missed, ///< The target or the deadline cannot be met.
    account_above_share,
    recovery, ///< State that the entry has lost is not back in time.
    shutting_down,
    other,
};
constexpr std::size_t refusal_cause_count = 7;

/// Value of the label `reason` in metrics and log lines.
[[nodiscard]] std::string_view to_string(refusal_cause cause);

struct refusal {
    base::error reason;
    std::chrono::milliseconds retry_after {0}; ///< 0 when retrying cannot help.
    refusal_cause cause = refusal_cause::other;
};

[[nodiscard]] refusal make_refusal(base::error_code code, std::string message,
                                   std::chrono::milliseconds retry_after,
                                   refusal_cause cause = refusal_cause::other);

/// Checks, in this order: for each task a known endpoint that could ever run it (kind, region,
/// zone, cpu, memory), the queue limits, and the deadline against the backlog and the known slots.
/// When no endpoint of the kind is known in the region and zone, the refusal has a retry time,
/// because one may still be announced.
///
/// The deadline check refuses a job whose earliest end is later than `deadline`. W is the team's
/// backlog plus the learned median times of the job's tasks, S the usable slots that fit them, w
/// the team's weight, and B_i and w_i are the backlog and weight of another team. The earliest end
/// is the largest of
///   (W + sum over i of min(B_i, W * w_i / w)) / S,   the end under fair sharing,
///   W / quota of the team,
///   learned time of the job's tasks of one requirement / slots that fit them,
///   the longest learned median.
/// Each is a lower bound: it ignores work in progress, later arrivals and packing losses, counts
/// tasks without learned times as 0, and counts slots that fit several requirements once for each.
[[nodiscard]] std::optional<refusal>
check_admission(protocol::job_request const& request, std::chrono::milliseconds deadline,
                admission_limits const& limits, endpoint_table const& endpoints,
                fair_queue const& queue, run_time_estimator const& estimator);

} // namespace greengagehead::policy
