// Submissions that wait for endpoints while the entry recovers its state.

#include <chrono>
#include <memory>
#include <utility>

#include "entry/entry_components.h"
#include "entry/job_lifecycle.h"

namespace greengagehead::entry {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds hold_retry_after {1000};
/// Maps, callbacks and the connection of one request.
constexpr std::size_t bytes_per_request = 1024;

std::size_t size_of(protocol::job_request const& request)
{
    auto bytes = bytes_per_request;
    for (auto const& task : request.tasks)
        bytes += sizeof task + task.payload.size() + task.name.size();
    return bytes;
}

bool same_requirement(protocol::task_request const& a, protocol::task_request const& b)
{
    return a.kind == b.kind && a.region == b.region && a.zone == b.zone && a.cpu == b.cpu
        && a.memory_mb == b.memory_mb;
}

std::string_view reason_text(hold_end reason)
{
    return reason == hold_end::shutting_down ? "the entry is shutting down"
                                             : "the caller has left while its request was held";
}

} // namespace

bool job_lifecycle::lacks_endpoint(protocol::job_request const& request) const
{
    protocol::task_request const* previous = nullptr;
    for (auto const& task : request.tasks) {
        if (previous != nullptr && same_requirement(*previous, task))
            continue;
        previous = &task;
        auto const capacity = this->components.endpoints.capacity_for(
            {task.kind, task.region, task.zone, task.cpu, task.memory_mb});
        if (capacity.usable_slots == 0)
            return true;
    }
    return false;
}

bool job_lifecycle::hold_for_recovery(unstarted_submission& submission, base::steady_time now)
{
    // One that another entry may run is held by `submission_holds` for as long as that is so.
    if (submission.was_held || submission.caller.hold_ended || this->shutdown_end
        || !this->components.held.recovering(now) || !this->lacks_endpoint(submission.request))
        return false;
    held_request item;
    item.needs = {this->useful_until(submission), this->longest_task(submission.request),
                  size_of(submission.request)};
    auto waiting = std::make_shared<unstarted_submission>();
    item.has_left = [waiting] { return waiting->caller.has_left && waiting->caller.has_left(); };
    item.try_resume = [this, waiting](base::steady_time later) {
        base::steady_time latest_start;
        // Of the first endpoints that are back, only a part of the held requests finds slots.
        if (this->lacks_endpoint(waiting->request)
            || this->check_submission(*waiting, latest_start, later))
            return false;
        this->resume(std::move(*waiting), later);
        return true;
    };
    item.end = [this, waiting](hold_end reason, base::steady_time later) {
        this->end_hold(std::move(*waiting), reason, later);
    };
    if (!this->components.held.hold(item, now))
        return false;
    submission.caller.arrived = submission.submitted;
    *waiting = std::move(submission);
    return true;
}

void job_lifecycle::resume(unstarted_submission submission, base::steady_time now)
{
    // Another submission of the same job may have been admitted here or elsewhere since.
    submission.request.deadline = std::chrono::ceil<milliseconds>(submission.deadline - now);
    this->submit(std::move(submission.request), std::move(submission.caller), now);
}

void job_lifecycle::end_hold(unstarted_submission submission, hold_end reason,
                             base::steady_time now)
{
    submission.caller.hold_ended = true;
    if (reason == hold_end::expired && now < submission.deadline)
        return this->resume(std::move(submission), now);
    auto const text = reason == hold_end::expired ? "the deadline has passed while it was held"
                                                  : reason_text(reason);
    this->refuse_ephemeral(
        std::move(submission),
        policy::make_refusal(base::error_code::unavailable, std::string(text), hold_retry_after),
        now);
}

} // namespace greengagehead::entry
