// Dispatch of commands to the tables.

#include "state/control_state.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace greengagehead::state {

namespace {

base::error conflict(protocol::process_id const& id)
{
    return {base::error_code::conflict, base::error_step::replicate, id.name,
            "a newer incarnation has taken this name"};
}

} // namespace

control_state::control_state(claim_limits limits) : limits(limits), jobs(limits) { }

protocol::control_result control_state::apply(protocol::command const& command)
{
    this->latest = std::max(this->latest, command.proposed_at);
    return std::visit([this](auto const& request) { return this->on(request); }, command.body);
}

template <typename Outcome> protocol::change_result control_state::after(Outcome outcome)
{
    if (outcome.changed)
        ++this->number;
    return std::move(outcome.result);
}

protocol::control_result control_state::on(protocol::put_setting const& request)
{
    return this->after(this->tree.put(request, this->latest, this->number + 1));
}

protocol::control_result control_state::on(protocol::put_zone_state const& request)
{
    auto result = this->after(this->zones.put(request, this->number));
    // Zones are not declared anywhere, so a misspelt name can only be pointed out, not refused.
    if (result.message.empty() && !this->known_agents.any_in_zone(request.zone))
        result.message = "no registered agent is in zone " + request.zone;
    return result;
}

protocol::control_result control_state::on(protocol::put_endpoint_drain const& request)
{
    return this->after(this->zones.put(request, this->number));
}

protocol::control_result control_state::on(protocol::join_entry const& request)
{
    auto const outcome = this->live.join(request, this->number + 1);
    if (outcome == entry_table::join_outcome::refused)
        return conflict(request.entry);
    if (outcome == entry_table::join_outcome::changed)
        ++this->number;
    return this->view_now();
}

protocol::control_result control_state::on(protocol::remove_entry const& request)
{
    if (this->live.remove(request.entry, this->number + 1))
        ++this->number;
    return this->view_now();
}

protocol::control_result control_state::on(protocol::claim_jobs const& request)
{
    protocol::claim_results results;
    results.claims.reserve(request.claims.size());
    for (auto const& wanted : request.claims) {
        auto claimed = this->claim(wanted, request.request_id);
        if (!claimed)
            return claimed.error();
        results.claims.push_back(std::move(claimed).value());
    }
    return results;
}

base::result<protocol::claim_result> control_state::claim(protocol::job_claim const& wanted,
                                                          std::uint64_t request_id)
{
    if (!this->live.live(wanted.owner))
        return protocol::claim_result {protocol::claim_status::not_live, wanted};
    return this->jobs.claim(wanted, request_id, this->latest);
}

protocol::control_result control_state::on(protocol::finish_jobs const& request)
{
    for (auto const& job : request.jobs)
        this->jobs.finish(job, this->latest);
    return this->view_now();
}

protocol::control_result control_state::on(protocol::take_over const& request)
{
    if (!this->live.live(request.lost))
        this->jobs.take_over(request, this->live);
    return this->view_now();
}

protocol::control_result control_state::on(protocol::expire_claims const& request)
{
    this->jobs.expire(request, this->latest);
    this->known_agents.forget(this->forget_agents_before(request.before));
    return this->view_now();
}

/// A new owner must be able to ask every agent that may have started a task of a running job,
/// however old the job is.
protocol::wall_time control_state::forget_agents_before(protocol::wall_time before) const
{
    return std::min(before, this->jobs.oldest_running().value_or(before));
}

protocol::control_result control_state::on(protocol::join_agent const& request)
{
    if (!this->known_agents.join(request, this->latest))
        return conflict(request.agent);
    return this->view_now();
}

protocol::control_result control_state::on(protocol::remove_agent const& request)
{
    this->known_agents.remove(request.agent, this->latest);
    return this->view_now();
}

protocol::control_result control_state::on(protocol::put_document const& request)
{
    if (request.wanted.version > this->routing.version) {
        this->routing = request.wanted;
        ++this->number;
    }
    return protocol::document_result {this->routing, this->number};
}

protocol::control_result control_state::on(protocol::confirm_document const& /*request*/)
{
    return protocol::document_result {this->routing, this->number};
}

protocol::control_result control_state::view_now() const
{
    return protocol::view_result {this->number};
}

protocol::view control_state::current_view() const
{
    return {this->number,           this->tree.list("/"), this->zones.zones_out(),
            this->zones.draining(), this->live.list(),    this->routing};
}

protocol::view_number control_state::view() const
{
    return this->number;
}

settings_tree const& control_state::settings() const
{
    return this->tree;
}

entry_table const& control_state::entries() const
{
    return this->live;
}

agent_table const& control_state::agents() const
{
    return this->known_agents;
}

claim_table const& control_state::claims() const
{
    return this->jobs;
}

bool control_state::has_expirable(protocol::wall_time before,
                                  protocol::wall_time tombstones_before) const
{
    return this->jobs.has_expirable(before, tombstones_before)
        || this->known_agents.has_expired(this->forget_agents_before(before));
}

} // namespace greengagehead::state
