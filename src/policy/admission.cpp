// Checks of a job before anything of it is claimed or run.

#include "policy/admission.h"

#include <algorithm>
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

/// Endpoints announce themselves within a second or two of their start.
constexpr milliseconds unknown_kind_retry {1000};
constexpr milliseconds full_queue_retry {500};
constexpr milliseconds least_retry {100};
constexpr milliseconds most_retry {10'000};

requirement needs_of(protocol::task_request const& task)
{
    return {task.kind, task.region, task.zone, task.cpu, task.memory_mb};
}

/// Tasks of a job with the same needs and the same declared time.
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
        if (endpoints.capacity_for(needs_of(task)).known > 0)
            continue;
        requirement place {task.kind, task.region, task.zone};
        if (endpoints.capacity_for(place).known > 0)
            return make_refusal(base::error_code::invalid_argument,
                                "no endpoint of kind " + task.kind + " has "
                                    + std::to_string(task.cpu) + " processors and "
                                    + std::to_string(task.memory_mb) + " MB",
                                milliseconds(0));
        auto message = "no endpoint of kind " + task.kind + " is known";
        if (!task.region.empty())
            message += " in region " + task.region;
        if (!task.zone.empty())
            message += " in zone " + task.zone;
        return make_refusal(base::error_code::unavailable, message, unknown_kind_retry);
    }
    return std::nullopt;
}

std::optional<refusal> check_limits(protocol::job_request const& request,
                                    admission_limits const& limits, fair_queue const& queue)
{
    auto const tasks = request.tasks.size();
    if (tasks > std::min(limits.team_tasks, limits.total_tasks))
        return make_refusal(base::error_code::invalid_argument,
                            "the job has more tasks than may wait at a time", milliseconds(0));
    if (queue.size(request.team) + tasks > limits.team_tasks)
        return make_refusal(base::error_code::refused,
                            "too many tasks of team " + request.team + " wait", full_queue_retry);
    if (queue.size() + tasks > limits.total_tasks)
        return make_refusal(base::error_code::refused, "too many tasks wait", full_queue_retry);
    return std::nullopt;
}

microseconds divide(microseconds work, std::uint64_t slots)
{
    return work / static_cast<std::int64_t>(slots);
}

/// Earliest end of the job; 0 where nothing is known.
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
        auto const usable = endpoints.capacity_for(needs_of(*group.example)).usable_slots;
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

refusal make_refusal(base::error_code code, std::string message, milliseconds retry_after)
{
    return {{code, base::error_step::admission, {}, std::move(message)}, retry_after};
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
        = std::clamp(duration_cast<milliseconds>(end - deadline), least_retry, most_retry);
    return make_refusal(base::error_code::refused,
                        "the deadline cannot be met with the waiting work", wait);
}

} // namespace greengagehead::policy
