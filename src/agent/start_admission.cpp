// The table of checks and their predicates.

#include "agent/start_admission.h"

#include <utility>

#include "agent/early_cancellations.h"
#include "agent/endpoint_list.h"
#include "agent/entry_leases.h"
#include "agent/entry_liveness.h"
#include "agent/outcome_store.h"

namespace greengagehead::agent {

namespace {

constexpr unsigned stage_bit(admission_stage stage)
{
    return 1U << static_cast<unsigned>(stage);
}

constexpr unsigned at_receipt = stage_bit(admission_stage::receipt);
constexpr unsigned at_start = at_receipt | stage_bit(admission_stage::start);
constexpr unsigned always = at_start | stage_bit(admission_stage::waiting);

/// Jobs that a check applies to. Ephemeral jobs need no lease, but their entry must be alive.
enum class job_scope : std::uint8_t { all, stored, ephemeral };

bool applies_to(job_scope jobs, bool ephemeral)
{
    return jobs == job_scope::all || (jobs == job_scope::ephemeral) == ephemeral;
}

} // namespace

struct start_admission::check {
    predicate passes;
    unsigned stages;
    refusal refusal_if_failed;
    job_scope scope = job_scope::all;
};

start_admission::check const start_admission::checks[] = {
    {&start_admission::message_not_outdated,
     at_receipt,
     {"the start message is too old to tell whether the task ran", true}},
    {&start_admission::incarnation_matches,
     at_receipt,
     {"addressed to an earlier incarnation of this agent, which may have started the task", true}},
    {&start_admission::not_cancelled, at_receipt, {"cancelled before it started"}},
    {&start_admission::accepting_starts, always, {"the agent is shutting down"}},
    {&start_admission::sender_matches, at_receipt, {"the lease belongs to another entry"}},
    {&start_admission::stamp_unexpired,
     at_receipt,
     {"the start message is too old"},
     job_scope::ephemeral},
    {&start_admission::entry_alive,
     at_start,
     {"no recent message from the entry"},
     job_scope::ephemeral},
    {&start_admission::view_current,
     at_start,
     {"the lease is on a superseded view"},
     job_scope::stored},
    {&start_admission::lease_view_adopted,
     at_start,
     {"the agent has not adopted the view of the lease yet"},
     job_scope::stored},
    {&start_admission::any_view_adopted, at_start, {"the agent has not adopted any view yet"}},
    {&start_admission::lease_valid, at_start, {"the lease has expired"}, job_scope::stored},
    {&start_admission::entry_in_view,
     always,
     {"the entry is not part of the view"},
     job_scope::stored},
    {&start_admission::zone_available, always, {"the zone is out of service"}},
    {&start_admission::epoch_current, always, {"another owner has taken the job over"}},
    {&start_admission::before_deadline, always, {"the deadline has passed"}},
    {&start_admission::endpoint_present, always, {"the endpoint is unknown or has left"}},
    {&start_admission::endpoint_not_draining, always, {"the endpoint is draining"}},
    {&start_admission::kind_offered, at_receipt, {"the endpoint does not offer the kind"}},
    {&start_admission::capacity_left, at_receipt, {"no free slot and the queue is full"}},
};

start_admission::start_admission(settings values, entry_leases const& lease_source,
                                 outcome_store const& outcome_source,
                                 early_cancellations const& cancellation_source,
                                 endpoint_list& endpoint_source, entry_liveness const& owner_source)
    : config(std::move(values)), leases(lease_source), outcomes(outcome_source),
      cancellations(cancellation_source), endpoints(endpoint_source), liveness(owner_source)
{
}

std::optional<refusal> start_admission::refuse(start_request const& request, admission_stage stage,
                                               base::steady_time now) const
{
    for (auto const& row : start_admission::checks) {
        bool const due
            = (row.stages & stage_bit(stage)) != 0 && applies_to(row.scope, request.task.ephemeral);
        if (due && !(this->*row.passes)(request, now))
            return row.refusal_if_failed;
    }
    return std::nullopt;
}

bool start_admission::message_not_outdated(start_request const& request,
                                           base::steady_time now) const
{
    return base::from_reading(request.stamp.expires_at) + this->config.longest_delay > now;
}

bool start_admission::incarnation_matches(start_request const& request,
                                          base::steady_time /*now*/) const
{
    return request.agent_incarnation == this->config.self.incarnation;
}

bool start_admission::not_cancelled(start_request const& request, base::steady_time /*now*/) const
{
    return !this->cancellations.contains(request.peer, request.task.task, request.task.attempt);
}

bool start_admission::accepting_starts(start_request const& /*request*/,
                                       base::steady_time /*now*/) const
{
    return !this->shutting_down;
}

bool start_admission::sender_matches(start_request const& request, base::steady_time /*now*/) const
{
    return request.stamp.entry.name == request.peer;
}

bool start_admission::lease_valid(start_request const& request, base::steady_time now) const
{
    return request.stamp.leased && this->leases.valid(request.stamp, now);
}

bool start_admission::stamp_unexpired(start_request const& request, base::steady_time now) const
{
    return this->leases.valid(request.stamp, now);
}

bool start_admission::entry_alive(start_request const& request, base::steady_time now) const
{
    return !this->liveness.lost(request.stamp.entry, now);
}

bool start_admission::any_view_adopted(start_request const& /*request*/,
                                       base::steady_time /*now*/) const
{
    return this->leases.adopted_view() > 0;
}

bool start_admission::view_current(start_request const& request, base::steady_time /*now*/) const
{
    return request.stamp.view >= this->leases.highest_view();
}

bool start_admission::lease_view_adopted(start_request const& request,
                                         base::steady_time /*now*/) const
{
    return request.stamp.view == this->leases.adopted_view();
}

bool start_admission::entry_in_view(start_request const& request, base::steady_time /*now*/) const
{
    return this->leases.live(request.stamp.entry);
}

bool start_admission::zone_available(start_request const& /*request*/,
                                     base::steady_time /*now*/) const
{
    return !this->leases.zone_out(this->config.zone);
}

bool start_admission::epoch_current(start_request const& request, base::steady_time /*now*/) const
{
    return request.task.epoch >= this->outcomes.fence(request.task.task.job);
}

bool start_admission::before_deadline(start_request const& request, base::steady_time now) const
{
    return now < request.deadline;
}

bool start_admission::endpoint_present(start_request const& request,
                                       base::steady_time /*now*/) const
{
    return this->endpoints.find_present(request.task.endpoint) != nullptr;
}

bool start_admission::endpoint_not_draining(start_request const& request,
                                            base::steady_time /*now*/) const
{
    return !this->leases.draining(request.task.endpoint)
        && !this->endpoints.find_present(request.task.endpoint)->description().draining;
}

bool start_admission::kind_offered(start_request const& request, base::steady_time /*now*/) const
{
    return this->endpoints.find_present(request.task.endpoint)->offers(request.task.kind);
}

bool start_admission::capacity_left(start_request const& request, base::steady_time /*now*/) const
{
    return this->endpoints.find_present(request.task.endpoint)
        ->can_admit(request.task.slots, request.task.ephemeral);
}

} // namespace greengagehead::agent
