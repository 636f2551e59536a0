// What follows from the data of one held submission alone.

#include "entry/held_submission.h"

#include <algorithm>
#include <utility>

#include "entry/job_id.h"

namespace greengagehead::entry {

namespace {

using std::chrono::milliseconds;

} // namespace

std::optional<std::string_view> held_submission::end_reason(base::steady_time now) const
{
    if (this->submission.caller.has_left && this->submission.caller.has_left())
        return "the caller has left";
    if (now >= this->submission.deadline)
        return "the deadline has passed";
    return {};
}

std::string held_submission::job_at(protocol::process_id const& entry) const
{
    auto const& request = this->submission.request;
    return ephemeral_job_id(request.team, request.submission, entry);
}

bool held_submission::has_asked(std::string const& peer, protocol::job_reply const& reply) const
{
    return peer == this->asked.name && (!reply.answer || reply.answer->job == this->asked_job);
}

protocol::submissions_running::submission held_submission::announcement(base::steady_time now) const
{
    auto const remaining = std::chrono::ceil<milliseconds>(this->submission.deadline - now);
    return {this->submission.key,
            std::chrono::floor<milliseconds>(now - this->submission.submitted),
            std::max(remaining, milliseconds(1)), true};
}

unstarted_submission held_submission::to_start(protocol::process_id const& self,
                                               base::steady_time now) &&
{
    auto started = std::move(this->submission);
    started.request.deadline = std::chrono::ceil<milliseconds>(started.deadline - now);
    started.job = ephemeral_job_id(started.request.team, started.request.submission, self);
    started.earliest_sent = std::min(started.earliest_sent, started.submitted);
    started.latest_start = {};
    started.was_held = true;
    return started;
}

} // namespace greengagehead::entry
