// Leases, views and the reaction of the leader to committed commands.

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
              this->settings.clock_drift_percent})
{
    log.take_snapshot = [this] { return this->state.snapshot(); };
    log.committed.connect(sigc::mem_fun(*this, &control_core::on_committed));
    log.restored.connect(sigc::mem_fun(*this, &control_core::on_restored));
    log.leadership_changed.connect(sigc::mem_fun(*this, &control_core::on_leadership));
}

control_core::~control_core()
{
    this->log.take_snapshot = nullptr;
}

void control_core::receive(std::string const& peer, protocol::message const& body,
                           base::steady_time now)
{
    if (auto const* renewal = std::get_if<protocol::renew_lease>(&body))
        this->renew(peer, *renewal, now);
    else if (auto const* request = std::get_if<protocol::control_request>(&body))
        this->request(peer, *request, now);
    else if (auto const* lookup = std::get_if<protocol::directory_request>(&body))
        this->answer_directory(peer, *lookup);
}

/// Every member answers: an agent that reads an older list only learns of an entry later.
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
    this->advance_in_force(now);
    this->remove_lost(now);
    this->take_over_orphans(now);
    this->notify_owners(now);
    this->expire(now);
}

// --- leases ---

void control_core::renew(std::string const& peer, protocol::renew_lease const& renewal,
                         steady_time now)
{
    if (!this->log.leading())
        return this->sender.send(peer, protocol::not_leader {this->log.group(), 0});
    if (!this->authoritative(now))
        return;
    if (!this->state.entries().live(renewal.entry))
        return this->admit(peer, renewal, now);
    if (!this->leases.hear(renewal.entry, renewal.entry_clock, renewal.settled_view))
        return;
    auto& seen = this->seen_takeovers[renewal.entry];
    seen = std::max(seen, renewal.seen_takeover);
    auto const* known = this->state.entries().find(renewal.entry.name);
    if (known->zone != renewal.zone || known->http_address != renewal.http_address
        || known->link_address != renewal.link_address)
        this->join(renewal, now);
    this->advance_in_force(now);
    this->grant(peer, renewal, now);
}

/// Renewal of an incarnation that is not live.
void control_core::admit(std::string const& peer, protocol::renew_lease const& renewal,
                         steady_time now)
{
    auto const* past = this->state.entries().find_past(renewal.entry);
    // A removed entry joins again only after it has applied a view without it, so that it knows
    // that its jobs may have new owners.
    bool const unaware = past != nullptr && renewal.applied_view < past->gone_in;
    if (past == nullptr || (!past->replaced && !unaware))
        return this->join(renewal, now);
    if (past->replaced)
        log_record(log_event::join_refused).with("entry", renewal.entry.name);
    this->sender.send(peer, protocol::view_update {this->state.current_view()});
}

void control_core::join(protocol::renew_lease const& renewal, steady_time now)
{
    if (!this->joining.insert(renewal.entry).second)
        return;
    protocol::join_entry join {renewal.entry, renewal.zone, renewal.http_address,
                               renewal.link_address};
    if (!this->propose(std::move(join), now))
        this->joining.erase(renewal.entry);
}

void control_core::grant(std::string const& peer, protocol::renew_lease const& renewal,
                         steady_time now)
{
    auto const view = this->state.view();
    if (renewal.applied_view < view)
        return this->sender.send(peer, protocol::view_update {this->state.current_view()});
    // A view from the future was committed by a later leader; this member is about to step down.
    if (renewal.applied_view > view)
        return;
    auto const end = this->leases.grant(renewal.entry, renewal.entry_clock, view, now);
    log_record(log_event::lease_granted).with("entry", renewal.entry.name).with("view", view);
    this->sender.send(
        peer, protocol::grant_lease {renewal.entry.incarnation, end, view, this->log.group()});
}

bool control_core::authoritative(steady_time now) const
{
    return this->ready && this->log.leading() && this->log.quorum_contact_recent(now);
}

// --- the log ---

void control_core::on_leadership(bool leading, steady_time now)
{
    this->ready = leading;
    this->in_force = 0;
    this->joining.clear();
    this->removing.clear();
    this->taking_over.clear();
    this->expiring = false;
    this->seen_takeovers.clear();
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
    this->leases.start(live, now);
    this->next_notice = now;
    this->next_takeover_check = now;
    this->push_view();
    for (auto const& [origin, body] : std::exchange(this->waiting, {}))
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
        // All members skip the same entry, so that their states stay equal.
        log_record(log_event::state_damaged)
            .with("index", entry.index)
            .with("reason", command.error().message);
        result = command.error();
    }
    consensus::log_position const position {entry.index, entry.term};
    auto const origin = this->requests.committed(position);
    for (auto const& lost : this->requests.overwritten(position))
        this->redirect(lost);
    if (command && this->ready)
        this->after_commit(command.value(), result, view_before, now);
    if (origin)
        this->complete(*origin, result);
    else if (this->appending)
        this->early.push_back({position, std::move(result)});
}

void control_core::after_commit(protocol::command const& command,
                                protocol::control_result const& result,
                                protocol::view_number view_before, steady_time now)
{
    std::visit(
        [&](auto const& request) {
            if constexpr (requires { this->after(request, result, now); })
                this->after(request, result, now);
        },
        command.body);
    if (this->state.view() == view_before)
        return;
    log_record(log_event::view_committed).with("view", this->state.view());
    this->push_view();
    this->advance_in_force(now);
}

void control_core::after(protocol::join_entry const& request,
                         protocol::control_result const& result, steady_time now)
{
    this->joining.erase(request.entry);
    if (std::holds_alternative<base::error>(result))
        return;
    log_record(log_event::entry_joined)
        .with("entry", request.entry.name)
        .with("incarnation", request.entry.incarnation)
        .with("zone", request.zone);
    this->leases.keep_only_live(this->state.entries().list());
    this->leases.add(request.entry, now);
}

void control_core::after(protocol::remove_entry const& request,
                         protocol::control_result const& /*result*/, steady_time /*now*/)
{
    this->removing.erase(request.entry);
    this->seen_takeovers.erase(request.entry);
    this->leases.keep_only_live(this->state.entries().list());
    log_record(log_event::entry_removed)
        .with("entry", request.entry.name)
        .with("incarnation", request.entry.incarnation);
}

void control_core::after(protocol::take_over const& request,
                         protocol::control_result const& /*result*/, steady_time now)
{
    this->taking_over.erase(request.lost);
    log_record(log_event::takeover_committed).with("lost", request.lost.name);
    this->next_notice = now;
    this->notify_owners(now);
}

void control_core::after(protocol::expire_claims const& /*request*/,
                         protocol::control_result const& /*result*/, steady_time /*now*/)
{
    this->expiring = false;
}

bool control_core::propose(protocol::command_body body, steady_time now)
{
    return this->append(std::move(body), now).has_value();
}

base::result<consensus::log_position> control_core::append(protocol::command_body body,
                                                           steady_time now)
{
    this->early.clear();
    this->appending = true;
    auto position = this->log.propose(
        protocol::encode(protocol::command {this->wall_at(now), std::move(body)}));
    this->appending = false;
    return position;
}

protocol::wall_time control_core::wall_at(steady_time now) const
{
    if (now <= this->tick_time)
        return this->tick_wall;
    return this->tick_wall + std::chrono::duration_cast<protocol::wall_time>(now - this->tick_time);
}

// --- views ---

void control_core::push_view()
{
    protocol::view_update const update {this->state.current_view()};
    for (auto const& entry : update.current.entries)
        this->sender.send(entry.id.name, update);
}

void control_core::advance_in_force(steady_time now)
{
    auto const reached = this->leases.in_force(this->state.view(), now);
    if (reached == this->in_force)
        return;
    this->in_force = reached;
    log_record(log_event::view_in_force).with("view", reached);
    for (auto const& [origin, result] : this->requests.release(reached))
        this->answer(origin, result);
}

} // namespace greengagehead::control
