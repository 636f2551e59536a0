// Control core: leases, views and what the leader does after a command is committed.

#include "control/control_core.h"

#include <utility>
#include <variant>

#include "base/log_record.h"
#include "protocol/codec.h"

namespace greengagehead::control {

using base::log_event;
using base::log_record;

control_core::control_core(control_settings settings, protocol::message_sender& sender,
                           consensus::replicated_log& log)
    : settings(std::move(settings)), sender(sender), log(log),
      leases({this->settings.lease_duration, this->settings.entry_loss_timeout,
              this->settings.clock_drift_percent}),
      views(sender)
{
    log.take_snapshot = [this] { return this->state.snapshot(); };
    log.committed.connect(sigc::mem_fun(*this, &control_core::on_committed));
    log.restored.connect(sigc::mem_fun(*this, &control_core::on_restored));
    log.leadership_changed.connect(sigc::mem_fun(*this, &control_core::on_leadership_changed));
}

control_core::~control_core()
{
    this->log.take_snapshot = nullptr;
}

void control_core::receive(std::string const& peer, protocol::message const& body,
                           base::steady_time now)
{
    if (auto const* renewal = std::get_if<protocol::renew_lease>(&body))
        this->handle_renewal(peer, *renewal, now);
    else if (auto const* request = std::get_if<protocol::control_request>(&body))
        this->handle_request(peer, *request, now);
    else if (auto const* lookup = std::get_if<protocol::directory_request>(&body))
        this->answer_directory(peer, *lookup);
}

/// Every member answers, not only the leader: with an older list, an agent only learns of an entry
/// later.
void control_core::answer_directory(std::string const& peer,
                                    protocol::directory_request const& request)
{
    auto const view = this->state.view();
    protocol::directory answer {view, {}, this->log.group()};
    if (request.known_view < view)
        answer.entries = this->state.entries().list();
    this->sender.send(peer, answer);
}

void control_core::tick(base::steady_time now, protocol::wall_time wall)
{
    this->tick_time = now;
    this->tick_wall = wall;
    if (!this->ready && !this->log.leading())
        this->redirect_all();
    if (!this->authoritative(now))
        return;
    this->advance_view_in_force(now);
    this->remove_lost_entries(now);
    this->take_over_orphaned_jobs(now);
    this->send_takeover_notices(now);
    this->propose_claim_expiry(now);
}

// --- leases ---

void control_core::handle_renewal(std::string const& peer, protocol::renew_lease const& renewal,
                                  steady_time now)
{
    if (!this->log.leading())
        return this->sender.send(peer, protocol::not_leader {this->log.group(), 0});
    if (!this->authoritative(now))
        return;
    this->views.record_applied(renewal.entry, renewal.applied_view);
    if (!this->state.entries().live(renewal.entry))
        return this->join_if_allowed(peer, renewal, now);
    if (!this->leases.record_renewal(renewal.entry, renewal.entry_clock, renewal.settled_view))
        return;
    auto& seen = this->seen_takeovers[renewal.entry];
    seen = std::max(seen, renewal.seen_takeover);
    auto const* registered = this->state.entries().find(renewal.entry.name);
    if (registered->zone != renewal.zone || registered->http_address != renewal.http_address
        || registered->link_address != renewal.link_address)
        this->propose_join(renewal, now);
    this->demands.record(renewal.entry, renewal.demand, now);
    this->demands.update(this->state.entries().list(), now);
    this->advance_view_in_force(now);
    this->send_grant(peer, renewal, now);
}

/// Handles a renewal of an incarnation that is not live: proposes that it joins, or sends it the
/// current view when it may not join (yet).
void control_core::join_if_allowed(std::string const& peer, protocol::renew_lease const& renewal,
                                   steady_time now)
{
    auto const* past = this->state.entries().find_retired(renewal.entry);
    // A removed entry may only rejoin after it has applied a view without itself, so that it knows
    // that its jobs may have new owners.
    bool const missed_removal = past != nullptr && renewal.applied_view < past->retired_in_view;
    if (past == nullptr || (!past->replaced && !missed_removal))
        return this->propose_join(renewal, now);
    if (past->replaced)
        log_record(log_event::join_refused).with("entry", renewal.entry.name);
    this->views.send(renewal.entry, peer, this->state.current_view(), now);
}

void control_core::propose_join(protocol::renew_lease const& renewal, steady_time now)
{
    if (!this->pending_joins.insert(renewal.entry).second)
        return;
    protocol::join_entry join {renewal.entry, renewal.zone, renewal.http_address,
                               renewal.link_address};
    if (!this->propose(std::move(join), now))
        this->pending_joins.erase(renewal.entry);
}

void control_core::send_grant(std::string const& peer, protocol::renew_lease const& renewal,
                              steady_time now)
{
    auto const view = this->state.view();
    if (renewal.applied_view < view)
        return this->views.send(renewal.entry, peer, this->state.current_view(), now);
    // A later leader committed a view that this member does not have; this member will step down.
    if (renewal.applied_view > view)
        return;
    auto const end = this->leases.grant(renewal.entry, renewal.entry_clock, view, now);
    log_record(log_event::lease_granted).with("entry", renewal.entry.name).with("view", view);
    this->sender.send(peer,
                      protocol::grant_lease {renewal.entry.incarnation, end, view,
                                             this->log.group(),
                                             this->demands.answer_to(renewal.demand, now)});
}

bool control_core::authoritative(steady_time now) const
{
    return this->ready && this->log.leading() && this->log.quorum_contact_recent(now);
}

// --- replicated log ---

void control_core::on_leadership_changed(bool leading, steady_time now)
{
    this->ready = leading;
    this->view_in_force = 0;
    this->pending_joins.clear();
    this->pending_removals.clear();
    this->pending_takeovers.clear();
    this->claim_expiry_pending = false;
    this->seen_takeovers.clear();
    this->views.reset();
    this->demands.reset(this->log.term());
    if (!leading) {
        log_record(log_event::leadership_lost).with("leader", this->log.leader());
        return this->redirect_all();
    }
    log_record(log_event::leadership_gained)
        .with("term", this->log.term())
        .with("view", this->state.view());
    std::vector<protocol::process_id> live;
    for (auto const& entry : this->state.entries().list())
        live.push_back(entry.id);
    this->leases.reset(live, now);
    this->next_notice_time = now;
    this->next_takeover_check_time = now;
    this->views.send_to_all(this->state.current_view(), now);
    for (auto const& [origin, body] : std::exchange(this->waiting_requests, {}))
        this->serve(origin, body, now);
}

void control_core::on_restored(std::string const& snapshot)
{
    auto const restored = this->state.restore(snapshot);
    if (restored)
        log_record(log_event::state_restored).with("view", this->state.view());
    else
        log_record(log_event::state_damaged).with("reason", restored.error().message);
}

void control_core::on_committed(protocol::log_entry const& entry, steady_time now)
{
    if (entry.kind != protocol::log_entry_kind::command)
        return;
    auto const command = protocol::decode_command(entry.data);
    auto const view_before = this->state.view();
    protocol::control_result result;
    if (command)
        result = this->state.apply(command.value());
    else {
        // Every member skips an entry that cannot be decoded, so that their states stay equal.
        log_record(log_event::state_damaged)
            .with("index", entry.index)
            .with("reason", command.error().message);
        result = command.error();
    }
    consensus::log_position const position {entry.index, entry.term};
    auto const origin = this->requests.take_committed(position);
    for (auto const& overwritten : this->requests.take_overwritten(position))
        this->redirect(overwritten);
    if (command && this->ready)
        this->after_commit(command.value(), result, view_before, now);
    if (origin)
        this->complete(*origin, result);
    else if (this->proposing)
        this->early_commits.push_back({position, std::move(result)});
}

void control_core::after_commit(protocol::command const& command,
                                protocol::control_result const& result,
                                protocol::view_number view_before, steady_time now)
{
    std::visit(
        [&](auto const& request) {
            if constexpr (requires { this->on_applied(request, result, now); })
                this->on_applied(request, result, now);
        },
        command.body);
    if (this->state.view() == view_before)
        return;
    log_record(log_event::view_committed).with("view", this->state.view());
    this->views.send_to_all(this->state.current_view(), now);
    this->advance_view_in_force(now);
}

void control_core::on_applied(protocol::join_entry const& request,
                              protocol::control_result const& result, steady_time now)
{
    this->pending_joins.erase(request.entry);
    if (std::holds_alternative<base::error>(result))
        return;
    log_record(log_event::entry_joined)
        .with("entry", request.entry.name)
        .with("incarnation", request.entry.incarnation)
        .with("zone", request.zone);
    this->leases.update_live(this->state.entries().list());
    this->leases.add(request.entry, now);
}

void control_core::on_applied(protocol::remove_entry const& request,
                              protocol::control_result const& /*result*/, steady_time /*now*/)
{
    this->pending_removals.erase(request.entry);
    this->views.forget(request.entry);
    this->seen_takeovers.erase(request.entry);
    this->leases.update_live(this->state.entries().list());
    log_record(log_event::entry_removed)
        .with("entry", request.entry.name)
        .with("incarnation", request.entry.incarnation);
}

void control_core::on_applied(protocol::take_over const& request,
                              protocol::control_result const& /*result*/, steady_time now)
{
    this->pending_takeovers.erase(request.lost);
    log_record(log_event::takeover_committed).with("lost", request.lost.name);
    this->next_notice_time = now;
    this->send_takeover_notices(now);
}

void control_core::on_applied(protocol::expire_claims const& /*request*/,
                              protocol::control_result const& /*result*/, steady_time /*now*/)
{
    this->claim_expiry_pending = false;
}

bool control_core::propose(protocol::command_body body, steady_time now)
{
    return this->append(std::move(body), now).has_value();
}

base::result<consensus::log_position> control_core::append(protocol::command_body body,
                                                           steady_time now)
{
    this->early_commits.clear();
    this->proposing = true;
    auto position = this->log.propose(
        protocol::encode(protocol::command {this->wall_at(now), std::move(body)}));
    this->proposing = false;
    return position;
}

protocol::wall_time control_core::wall_at(steady_time now) const
{
    if (now <= this->tick_time)
        return this->tick_wall;
    return this->tick_wall + std::chrono::duration_cast<protocol::wall_time>(now - this->tick_time);
}

// --- views ---

void control_core::advance_view_in_force(steady_time now)
{
    auto const highest = this->leases.view_in_force(this->state.view(), now);
    if (highest == this->view_in_force)
        return;
    this->view_in_force = highest;
    log_record(log_event::view_in_force).with("view", highest);
    for (auto const& [origin, result] : this->requests.release(highest))
        this->answer(origin, result);
}

} // namespace greengagehead::control
