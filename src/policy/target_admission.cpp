// Prediction of waiting times.

#include "policy/target_admission.h"

#include <algorithm>

#include "policy/endpoint_table.h"
#include "protocol/job.h"

namespace greengagehead::policy {

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr milliseconds least_retry {200};
constexpr milliseconds most_retry {10'000};
/// Without an endpoint nothing is known about when one returns.
constexpr milliseconds no_endpoint_retry {1000};
/// Slots become free one by one, other entries take some of them, and the last task of a job
/// decides: waits beyond this part of the slack come out longer than the slack.
constexpr std::int64_t slack_for_waiting_percent = 30;
/// Priority at which a job may spend half of that part, so that the more urgent ones find room.
constexpr std::int64_t half_share_priority = 2;

microseconds longest_wait(microseconds slack, std::int64_t priority)
{
    return slack * slack_for_waiting_percent * half_share_priority
        / (100 * (half_share_priority + priority));
}

} // namespace

std::optional<refusal> check_target(target_request const& wanted, endpoint_table const& endpoints,
                                    target_queue const& queue, base::steady_time now)
{
    auto const& task = wanted.job->tasks.front();
    auto const usable
        = endpoints.capacity_for({task.kind, task.region, task.zone, task.cpu, task.memory_mb})
              .usable_slots;
    if (usable == 0)
        return make_refusal(base::error_code::unavailable, "no endpoint takes work now",
                            no_endpoint_retry);
    auto const ahead = queue.work_before(wanted.latest_start);
    if (ahead.count() == 0)
        return std::nullopt;
    // The other entries use the same endpoints for about as much.
    auto const share = std::max<std::uint64_t>(usable / endpoints.entry_count(), 1);
    auto const wait
        = microseconds((ahead + wanted.work).count() / static_cast<std::int64_t>(share));
    auto const limit = longest_wait(duration_cast<microseconds>(wanted.latest_start - now),
                                    wanted.job->priority);
    if (wait <= limit)
        return std::nullopt;
    auto const excess = duration_cast<milliseconds>(wait - limit);
    return make_refusal(base::error_code::unavailable,
                        "the target cannot be met: waiting work takes "
                            + std::to_string(duration_cast<milliseconds>(wait).count()) + " ms",
                        std::clamp(excess, least_retry, most_retry));
}

} // namespace greengagehead::policy
