// Admission by the predicted waiting time.

#include "policy/target_admission.h"

#include <algorithm>

#include "policy/endpoint_table.h"
#include "protocol/job.h"

namespace greengagehead::policy {

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr milliseconds min_retry_after {200};
constexpr milliseconds max_retry_after {10'000};
/// Used without a usable endpoint, when the time of a return cannot be predicted.
constexpr milliseconds no_endpoint_retry_after {1000};
/// A job ends with its last task, slots become free one by one, and other entries take some of
/// them. Therefore a predicted wait above this percentage of the slack really exceeds the slack.
constexpr std::int64_t max_wait_percent_of_slack = 40;
/// Priority value at which the maximum wait is halved, so that more urgent jobs are still admitted.
constexpr std::int64_t half_share_priority = 2;

microseconds max_wait(microseconds slack, std::int64_t priority)
{
    return slack * max_wait_percent_of_slack * half_share_priority
        / (100 * (half_share_priority + priority));
}

} // namespace

std::optional<refusal> check_target(target_request const& request, endpoint_table const& endpoints,
                                    target_queue const& queue, base::steady_time now)
{
    auto const& task = request.job->tasks.front();
    auto const capacity
        = endpoints.capacity_for({task.kind, task.region, task.zone, task.cpu, task.memory_mb});
    if (capacity.usable_slots == 0)
        return make_refusal(base::error_code::unavailable, "no endpoint accepts tasks now",
                            no_endpoint_retry_after);
    auto const work_ahead = queue.work_before(request.latest_start);
    if (work_ahead.count() == 0)
        return std::nullopt;
    // The other entries are assumed to use the same endpoints equally.
    auto const share = std::max<std::uint64_t>(capacity.entry_slots, 1);
    auto const wait
        = microseconds((work_ahead + request.work).count() / static_cast<std::int64_t>(share));
    auto const limit
        = max_wait(duration_cast<microseconds>(request.latest_start - now), request.job->priority);
    if (wait <= limit)
        return std::nullopt;
    auto const excess = duration_cast<milliseconds>(wait - limit);
    return make_refusal(base::error_code::unavailable,
                        "the target cannot be met: waiting work takes "
                            + std::to_string(duration_cast<milliseconds>(wait).count()) + " ms",
                        std::clamp(excess, min_retry_after, max_retry_after));
}

} // namespace greengagehead::policy
