// Applies commands by passing them to the tables.

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

control_state::control_state(claim_limits limits) : limits(limits), job_claims(limits) { }

protocol::control_result control_state::apply(protocol::command const& command)
{
    this->latest_time = std::max(this->latest_time, command.proposed_at);
    return std::visit([this](auto const& request) { return this->on(request); }, command.body);
}

template <typename Outcome> protocol::change_result control_state::update_view(Outcome outcome)
{
    if (outcome.changed)
        ++this->current_view_number;
    return std::move(outcome.result);
}

protocol::control_result control_state::on(protocol::put_setting const& request)
{
    return this->update_view(
        this->stored_settings.put(request, this->latest_time, this->current_view_number + 1));
}

protocol::control_result control_state::on(protocol::put_zone_state const& request)
{
    auto result = this->update_view(this->zones.put(request, this->current_view_number));
    // Zones are not declared anywhere, so a misspelt name cannot be rejected. The message points it
    // out instead.
    if (result.message.empty() && !this->known_agents.any_in_zone(request.zone))
        result.message = "no registered agent is in zone " + request.zone;
    return result;
}

protocol::control_result control_state::on(protocol::put_endpoint_drain const& request)
{
    return this->update_view(this->zones.put(request, this->current_view_number));
}

protocol::control_result control_state::on(protocol::join_entry const& request)
{
    auto const outcome = this->live_entries.join(request, this->current_view_number + 1);
    if (outcome == entry_table::join_outcome::refused)
        return conflict(request.entry);
    if (outcome == entry_table::join_outcome::changed)
        ++this->current_view_number;
    return this->current_view_result();
}

protocol::control_result control_state::on(protocol::remove_entry const& request)
{
    if (this->live_entries.remove(request.entry, this->current_view_number + 1))
        ++this->current_view_number;
    return this->current_view_result();
}

protocol::control_result control_state::on(protocol::claim_jobs const& request)
{
    protocol::claim_results results;
    results.claims.reserve(request.claims.size());
    for (auto const& requested : request.claims) {
        auto claimed = this->claim(requested, request.request_id);
        if (!claimed)
            return claimed.error();
        results.claims.push_back(std::move(claimed).value());
    }
    return results;
}

base::result<protocol::claim_result> control_state::claim(protocol::job_claim const& requested,
                                                          std::uint64_t request_id)
{
    if (!this->live_entries.live(requested.owner))
        return protocol::claim_result {protocol::claim_status::not_live, requested};
    return this->job_claims.claim(requested, request_id, this->latest_time);
}

protocol::control_result control_state::on(protocol::finish_jobs const& request)
{
    for (auto const& job : request.jobs)
        this->job_claims.finish(job, this->latest_time);
    return this->current_view_result();
}

protocol::control_result control_state::on(protocol::take_over const& request)
{
    if (!this->live_entries.live(request.lost))
        this->job_claims.take_over(request, this->live_entries);
    return this->current_view_result();
}

protocol::control_result control_state::on(protocol::expire_claims const& request)
{
    this->job_claims.expire(request, this->latest_time);
    this->known_agents.drop_expired(this->agent_expiry_time(request.before));
    return this->current_view_result();
}

/// Agents that were retired before the returned time may be dropped. Agents that may have started a
/// task of a running job are kept, however old the job is, because an owner that takes the job over
/// must ask them for outcomes.
protocol::wall_time control_state::agent_expiry_time(protocol::wall_time before) const
{
    return std::min(before, this->job_claims.oldest_running().value_or(before));
}

protocol::control_result control_state::on(protocol::join_agent const& request)
{
    if (!this->known_agents.join(request, this->latest_time))
        return conflict(request.agent);
    return this->current_view_result();
}

protocol::control_result control_state::on(protocol::remove_agent const& request)
{
    this->known_agents.remove(request.agent, this->latest_time);
    return this->current_view_result();
}

protocol::control_result control_state::on(protocol::put_document const& request)
{
    if (request.wanted.version > this->routing.version) {
        this->routing = request.wanted;
        ++this->current_view_number;
    }
    return protocol::document_result {this->routing, this->current_view_number};
}

protocol::control_result control_state::on(protocol::confirm_document const& /*request*/)
{
    return protocol::document_result {this->routing, this->current_view_number};
}

protocol::control_result control_state::current_view_result() const
{
    return protocol::view_result {this->current_view_number};
}

protocol::view control_state::current_view() const
{
    return {this->current_view_number, this->stored_settings.list("/"), this->zones.zones_out(),
            this->zones.draining(),    this->live_entries.list(),       this->routing};
}

protocol::view_number control_state::view() const
{
    return this->current_view_number;
}

settings_tree const& control_state::settings() const
{
    return this->stored_settings;
}

entry_table const& control_state::entries() const
{
    return this->live_entries;
}

agent_table const& control_state::agents() const
{
    return this->known_agents;
}

claim_table const& control_state::claims() const
{
    return this->job_claims;
}

bool control_state::has_expirable(protocol::wall_time before,
                                  protocol::wall_time tombstones_before) const
{
    return this->job_claims.has_expirable(before, tombstones_before)
        || this->known_agents.has_expired(this->agent_expiry_time(before));
}

} // namespace greengagehead::state
