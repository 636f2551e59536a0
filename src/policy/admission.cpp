// Checks of a job before it is claimed and its tasks run.

#include "policy/admission.h"

#include <algorithm>
#include <array>
#include <map>
#include <tuple>
#include <vector>

#include "policy/endpoint_table.h"
#include "policy/fair_queue.h"
#include "policy/run_time_estimator.h"

namespace greengagehead::policy {

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Endpoints announce themselves within one or two seconds of their start.
constexpr milliseconds unknown_kind_retry_after {1000};
constexpr milliseconds full_queue_retry_after {500};
constexpr milliseconds min_retry_after {100};
constexpr milliseconds max_retry_after {10'000};

requirement requirement_of(protocol::task_request const& task)
{
    return {task.kind, task.region, task.zone, task.cpu, task.memory_mb};
}

/// Tasks of a job with the same requirement.
struct task_group {
    protocol::task_request const* example = nullptr;
    std::int64_t count = 0;
};

std::vector<task_group> group_tasks(protocol::job_request const& request)
{
    using key = std::tuple<std::string_view, std::string_view, std::string_view, std::uint32_t,
                           std::uint32_t>;
    std::map<key, task_group> groups;
    for (auto const& task : request.tasks) {
        auto& group = groups[{task.kind, task.region, task.zone, task.cpu, task.memory_mb}];
        group.example = &task;
        ++group.count;
    }
    std::vector<task_group> list;
    list.reserve(groups.size());
    for (auto const& [needs, group] : groups)
        list.push_back(group);
    return list;
}

std::optional<refusal> check_endpoints(std::vector<task_group> const& groups,
                                       endpoint_table const& endpoints)
{
    for (auto const& group : groups) {
        auto const& task = *group.example;
        if (endpoints.capacity_for(requirement_of(task)).matching_endpoints > 0)
            continue;
        requirement any_size {task.kind, task.region, task.zone};
        if (endpoints.capacity_for(any_size).matching_endpoints > 0)
            return make_refusal(base::error_code::invalid_argument,
                                "no endpoint of kind " + task.kind + " has "
                                    + std::to_string(task.cpu) + " processors and "
                                    + std::to_string(task.memory_mb) + " MB of memory",
                                milliseconds(0), refusal_cause::no_endpoint);
        auto message = "no endpoint of kind " + task.kind + " is known";
        if (!task.region.empty())
            message += " in region " + task.region;
        if (!task.zone.empty())
            message += " in zone " + task.zone;
        return make_refusal(base::error_code::unavailable, message, unknown_kind_retry_after,
                            refusal_cause::no_endpoint);
    }
    return std::nullopt;
}

std::optional<refusal> check_limits(protocol::job_request const& request,
                                    admission_limits const& limits, fair_queue const& queue)
{
    auto const tasks = request.tasks.size();
    if (tasks > std::min(limits.team_tasks, limits.total_tasks))
        return make_refusal(base::error_code::invalid_argument,
                            "the job has more tasks than the queue limit allows", milliseconds(0));
    if (queue.size(request.team) + tasks > limits.team_tasks)
        return make_refusal(base::error_code::refused,
                            "too many tasks of team " + request.team + " are waiting",
                            full_queue_retry_after);
    if (queue.size() + tasks > limits.total_tasks)
        return make_refusal(base::error_code::refused, "too many tasks are waiting",
                            full_queue_retry_after);
    return std::nullopt;
}

microseconds divide(microseconds work, std::uint64_t slots)
{
    return work / static_cast<std::int64_t>(slots);
}

/// Lower bound of the time until the job ends; 0 without learned run times.
microseconds earliest_end(protocol::job_request const& request,
                          std::vector<task_group> const& groups, endpoint_table const& endpoints,
                          fair_queue const& queue, run_time_estimator const& estimator)
{
    microseconds work {0};
    microseconds end {0};
    std::uint64_t slots = 0;
    for (auto const& group : groups) {
        auto const estimate
            = estimator.estimate(request.team, group.example->kind, microseconds(0));
        auto const usable = endpoints.capacity_for(requirement_of(*group.example)).usable_slots;
        slots += usable;
        if (estimate.samples == 0 || usable == 0)
            continue;
        auto const group_work = estimate.typical * group.count;
        work += group_work;
        end = std::max({end, estimate.typical, divide(group_work, usable)});
    }
    if (slots == 0 || work == microseconds(0))
        return end;
    work += queue.backlog(request.team);
    auto const quota = queue.share(request.team).quota_slots;
    if (quota > 0)
        end = std::max(end, divide(work, quota));
    return std::max(end, divide(work + queue.competing_backlog(request.team, work), slots));
}

} // namespace

std::string_view to_string(refusal_cause cause)
{
    constexpr std::array<std::string_view, refusal_cause_count> names {
        "no_configuration", "no_endpoint",   "target_missed", "account_above_share",
        "recovery",         "shutting_down", "other"};
    return names.at(static_cast<std::size_t>(cause));
}

refusal make_refusal(base::error_code code, std::string message, milliseconds retry_after,
                     refusal_cause cause)
{
    return {{code, base::error_step::admission, {}, std::move(message)}, retry_after, cause};
}

std::optional<refusal> check_admission(protocol::job_request const& request, milliseconds deadline,
                                       admission_limits const& limits,
                                       endpoint_table const& endpoints, fair_queue const& queue,
                                       run_time_estimator const& estimator)
{
    auto const groups = group_tasks(request);
    if (auto refused = check_endpoints(groups, endpoints))
        return refused;
    if (auto refused = check_limits(request, limits, queue))
        return refused;
    auto const end = earliest_end(request, groups, endpoints, queue, estimator);
    if (end <= deadline)
        return std::nullopt;
    auto const wait
        = std::clamp(duration_cast<milliseconds>(end - deadline), min_retry_after, max_retry_after);
    return make_refusal(base::error_code::refused,
                        "the deadline cannot be met: too much work is waiting", wait,
                        refusal_cause::target_missed);
}

} // namespace greengagehead::policy
