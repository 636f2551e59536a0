// The table of checks.

#include "agent/start_admission.h"

#include <utility>

#include "agent/cancellation_book.h"
#include "agent/endpoint_list.h"
#include "agent/lease_book.h"
#include "agent/outcome_store.h"
#include "agent/owner_watch.h"

namespace greengagehead::agent {

namespace {

constexpr unsigned stage_bit(admission_stage stage)
{
    return 1U << static_cast<unsigned>(stage);
}

constexpr unsigned at_receipt = stage_bit(admission_stage::receipt);
constexpr unsigned at_start = at_receipt | stage_bit(admission_stage::start);
constexpr unsigned always = at_start | stage_bit(admission_stage::waiting);

/// Jobs whose starts a check is for. Ephemeral ones need no lease, but their entry must be heard.
enum class jobs : std::uint8_t { all, stored, ephemeral };

bool concerns(jobs which, bool ephemeral)
{
    return which == jobs::all || (which == jobs::ephemeral) == ephemeral;
}

} // namespace

struct start_admission::check {
    predicate passes;
    unsigned stages;
    refusal otherwise;
    jobs of = jobs::all;
};

start_admission::check const start_admission::checks[] = {
    {&start_admission::message_recent,
     at_receipt,
     {"the start message is too old to tell whether the task ran", true}},
    {&start_admission::incarnation_matches,
     at_receipt,
     {"addressed to an earlier incarnation of this agent, which may have started it", true}},
    {&start_admission::not_cancelled, at_receipt, {"cancelled before it started"}},
    {&start_admission::serving, always, {"the agent shuts down"}},
    {&start_admission::sender_matches, at_receipt, {"the lease belongs to another entry"}},
    {&start_admission::arrived_in_time,
     at_receipt,
     {"the start message is too old"},
     jobs::ephemeral},
    {&start_admission::owner_heard,
     at_start,
     {"the entry has not been heard for too long"},
     jobs::ephemeral},
    {&start_admission::view_current, at_start, {"the lease is on a superseded view"}, jobs::stored},
    {&start_admission::view_known,
     at_start,
     {"the view of the lease is not known here yet"},
     jobs::stored},
    {&start_admission::zones_known, at_start, {"no view is known here yet"}},
    {&start_admission::lease_valid, at_start, {"the lease has expired"}, jobs::stored},
    {&start_admission::entry_live, always, {"the entry is not part of the view"}, jobs::stored},
    {&start_admission::zone_in, always, {"the zone is out"}},
    {&start_admission::epoch_current, always, {"another owner has taken the job over"}},
    {&start_admission::deadline_ahead, always, {"the deadline has passed"}},
    {&start_admission::endpoint_present, always, {"the endpoint is unknown or gone"}},
    {&start_admission::endpoint_staying, always, {"the endpoint is draining"}},
    {&start_admission::kind_offered, at_receipt, {"the endpoint does not offer the kind"}},
    {&start_admission::room_left, at_receipt, {"no slot and no place in the queue is free"}},
};

start_admission::start_admission(settings wanted, lease_book const& lease_source,
                                 outcome_store const& outcome_source,
                                 cancellation_book const& cancellation_source,
                                 endpoint_list& endpoint_source, owner_watch const& owner_source)
    : own(std::move(wanted)), leases(lease_source), outcomes(outcome_source),
      cancellations(cancellation_source), endpoints(endpoint_source), owners(owner_source)
{
}

std::optional<refusal> start_admission::refuse(start_request const& request, admission_stage stage,
                                               base::steady_time now) const
{
    for (auto const& item : start_admission::checks) {
        bool const due
            = (item.stages & stage_bit(stage)) != 0 && concerns(item.of, request.task.ephemeral);
        if (due && !(this->*item.passes)(request, now))
            return item.otherwise;
    }
    return std::nullopt;
}

bool start_admission::message_recent(start_request const& request, base::steady_time now) const
{
    return base::from_reading(request.stamp.expires_at) + this->own.longest_delay > now;
}

bool start_admission::incarnation_matches(start_request const& request,
                                          base::steady_time /*now*/) const
{
    return request.agent_incarnation == this->own.self.incarnation;
}

bool start_admission::not_cancelled(start_request const& request, base::steady_time /*now*/) const
{
    return !this->cancellations.contains(request.peer, request.task.task, request.task.attempt);
}

bool start_admission::serving(start_request const& /*request*/, base::steady_time /*now*/) const
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

bool start_admission::arrived_in_time(start_request const& request, base::steady_time now) const
{
    return this->leases.valid(request.stamp, now);
}

bool start_admission::owner_heard(start_request const& request, base::steady_time now) const
{
    return !this->owners.lost(request.stamp.entry, now);
}

bool start_admission::zones_known(start_request const& /*request*/, base::steady_time /*now*/) const
{
    return this->leases.known_view() > 0;
}

bool start_admission::view_current(start_request const& request, base::steady_time /*now*/) const
{
    return request.stamp.view >= this->leases.highest_view();
}

bool start_admission::view_known(start_request const& request, base::steady_time /*now*/) const
{
    return request.stamp.view == this->leases.known_view();
}

bool start_admission::entry_live(start_request const& request, base::steady_time /*now*/) const
{
    return this->leases.live(request.stamp.entry);
}

bool start_admission::zone_in(start_request const& /*request*/, base::steady_time /*now*/) const
{
    return !this->leases.zone_out(this->own.zone);
}

bool start_admission::epoch_current(start_request const& request, base::steady_time /*now*/) const
{
    return request.task.epoch >= this->outcomes.fence(request.task.task.job);
}

bool start_admission::deadline_ahead(start_request const& request, base::steady_time now) const
{
    return now < request.deadline;
}

bool start_admission::endpoint_present(start_request const& request,
                                       base::steady_time /*now*/) const
{
    return this->endpoints.present(request.task.endpoint) != nullptr;
}

bool start_admission::endpoint_staying(start_request const& request,
                                       base::steady_time /*now*/) const
{
    return !this->leases.draining(request.task.endpoint)
        && !this->endpoints.present(request.task.endpoint)->description().draining;
}

bool start_admission::kind_offered(start_request const& request, base::steady_time /*now*/) const
{
    return this->endpoints.present(request.task.endpoint)->offers(request.task.kind);
}

bool start_admission::room_left(start_request const& request, base::steady_time /*now*/) const
{
    return this->endpoints.present(request.task.endpoint)
        ->can_admit(request.task.slots, request.task.ephemeral);
}

} // namespace greengagehead::agent
