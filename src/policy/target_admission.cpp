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

/// Longest wait of a job of an account with this standing, given the one of an account with its
/// fair part.
microseconds max_wait_of_account(microseconds slack, microseconds usual,
                                 account_standing const& standing)
{
    if (standing.newcomer)
        return std::max(slack, usual);
    return std::min(usual * standing.wait_percent / 100, std::max(slack, usual));
}

/// @param usually_accepted whether the job of an account with its fair part would be accepted.
refusal make_wait_refusal(microseconds wait, microseconds limit, bool usually_accepted)
{
    auto const excess
        = std::clamp(duration_cast<milliseconds>(wait - limit), min_retry_after, max_retry_after);
    auto const wait_text = std::to_string(duration_cast<milliseconds>(wait).count()) + " ms";
    if (usually_accepted)
        return make_refusal(base::error_code::unavailable,
                            "the account has more than its share: waiting work takes " + wait_text,
                            excess, refusal_cause::account_above_share);
    return make_refusal(base::error_code::unavailable,
                        "the target cannot be met: waiting work takes " + wait_text, excess,
                        refusal_cause::target_missed);
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
                            no_endpoint_retry_after, refusal_cause::no_endpoint);
    if (request.too_late)
        return make_refusal(base::error_code::unavailable,
                            "the job would end too late after the wait for its endpoints",
                            min_retry_after, refusal_cause::target_missed);
    auto const work_ahead = queue.work_before(request.latest_start);
    // Without this, an account above its share passes all waiting work with a later latest start.
    auto const& standing = request.standing;
    bool const held_back = standing.wait_percent == 0 && !standing.newcomer && queue.size() > 0;
    if (work_ahead.count() == 0 && !held_back)
        return std::nullopt;
    // The other entries are assumed to use the same endpoints equally.
    auto const share = std::max<std::uint64_t>(capacity.entry_slots, 1);
    auto const wait
        = microseconds((work_ahead + request.work).count() / static_cast<std::int64_t>(share));
    auto const slack = duration_cast<microseconds>(request.latest_start - now);
    auto const usual_limit = max_wait(slack, request.job->priority);
    auto const limit = max_wait_of_account(slack, usual_limit, standing);
    if (wait <= limit && !held_back)
        return std::nullopt;
    return make_wait_refusal(wait, limit, work_ahead.count() == 0 || wait <= usual_limit);
}

} // namespace greengagehead::policy
