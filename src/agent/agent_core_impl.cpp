// Handling of start messages, runs, cancellations and queries.

#include "agent/agent_core_impl.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <variant>

#include "base/log_record.h"

namespace greengagehead::agent {

namespace {

using protocol::outcome_kind;
using std::chrono::milliseconds;

template <typename T>
concept handled = std::is_same_v<T, protocol::start_batch> || std::is_same_v<
    T, protocol::lease_update> || std::is_same_v<T, protocol::cancel_batch> || std::
    is_same_v<T, protocol::outcome_query> || std::is_same_v<T, protocol::outcome_ack>;

std::string_view name_of(outcome_kind kind)
{
    static constexpr std::string_view names[]
        = {"running", "succeeded", "failed", "not_run", "unknown", "cancelled"};
    return names[static_cast<std::size_t>(kind)];
}

void log_refusal(attempt_key const& key, std::string_view reason)
{
    base::log_record(base::log_event::start_refused)
        .with("job", key.task.job)
        .with("task", key.task.index)
        .with("attempt", key.attempt)
        .with("reason", reason);
}

} // namespace

agent_core::implementation::implementation(agent_settings agent_config,
                                           protocol::message_sender& message_sink,
                                           endpoint_runner& task_runner)
    : settings(std::move(agent_config)), sender(message_sink), runner(task_runner),
      leases(this->settings.max_lease),
      outcomes({this->settings.outcome_retention, this->settings.refusal_retention,
                this->settings.max_outcome_bytes}),
      cancellations(this->settings.refusal_retention),
      endpoints(this->settings.announcement_interval, this->settings.queue),
      liveness(this->settings.entry_timeout, this->settings.entry_link_grace,
               this->settings.max_lease),
      admission({this->settings.id, this->settings.zone,
                 // The stamp of an attempt may expire up to one lease after the attempt has ended.
                 this->settings.refusal_retention - this->settings.max_lease},
                this->leases, this->outcomes, this->cancellations, this->endpoints, this->liveness),
      outcome_delivery(this->settings.id, message_sink, this->outcomes),
      reports(this->settings.id.name, this->settings.report_interval, message_sink)
{
    this->runner.waiting_permitted_until = [this] { return this->waiting_permitted_until(); };
    this->outcome_delivery.usage = [this](std::string const& entry) { return this->usage(entry); };
}

void agent_core::implementation::receive(std::string const& peer, protocol::message const& body,
                                         base::steady_time now)
{
    std::visit(
        [&](auto const& message) {
            if constexpr (handled<std::remove_cvref_t<decltype(message)>>)
                this->handle(peer, message, now);
        },
        body);
}

void agent_core::implementation::run_due_work(base::steady_time now)
{
    this->refuse_ineligible_waiting(now);
    for (auto const& endpoint : this->endpoints.names())
        this->start_waiting(endpoint, now);
    this->outcome_delivery.flush(now);
    this->report_if_due(now);
}

void agent_core::implementation::peer_up(std::string const& peer, base::steady_time now)
{
    this->outcome_delivery.peer_up(peer, now);
    this->reports.peer_up(peer);
    // An entry needs a report to convert the end of its lease to this agent's clock.
    this->sender.send(peer, this->report(peer, now));
}

void agent_core::implementation::handle(std::string const& peer, protocol::start_batch const& batch,
                                        base::steady_time now)
{
    this->liveness.heard(batch.lease, now);
    this->leases.record(batch.lease, now);
    for (auto const& task : batch.starts)
        this->handle_start({peer, batch.lease, batch.agent_incarnation, task, now + task.remaining,
                            now + task.start_within},
                           now);
}

void agent_core::implementation::handle(std::string const& /*peer*/,
                                        protocol::lease_update const& update, base::steady_time now)
{
    this->liveness.heard(update.lease, now);
    this->leases.record(update, now);
}

void agent_core::implementation::handle(std::string const& peer,
                                        protocol::cancel_batch const& batch, base::steady_time now)
{
    for (auto const& attempt : batch.attempts)
        this->cancel(peer, attempt, now);
}

void agent_core::implementation::handle(std::string const& peer,
                                        protocol::outcome_query const& query, base::steady_time now)
{
    for (auto const& queried : query.jobs)
        this->outcomes.raise_fence(queried.job, queried.epoch, now);
    // Refuses waiting attempts of lower epochs first, so that the report includes their outcomes.
    this->refuse_ineligible_waiting(now);
    protocol::outcome_report report {this->settings.id, query.query_id, {}};
    for (auto const& queried : query.jobs) {
        bool const current = queried.epoch >= this->outcomes.fence(queried.job);
        for (auto const& key : this->outcomes.attempts_of(queried.job)) {
            if (current)
                this->redirect(key, peer);
            report.outcomes.push_back(this->outcomes.outcome(key));
        }
    }
    this->sender.send(peer, report);
}

void agent_core::implementation::redirect(attempt_key const& key, std::string const& peer)
{
    auto const* const record = this->outcomes.find(key);
    if (!record->details || record->details->owner == peer)
        return;
    this->outcomes.set_owner(key, peer);
    if (record->phase == attempt_phase::finished && !record->acknowledged)
        this->outcome_delivery.enqueue(key);
}

void agent_core::implementation::handle(std::string const& peer, protocol::outcome_ack const& ack,
                                        base::steady_time /*now*/)
{
    if (ack.agent_incarnation == this->settings.id.incarnation)
        this->outcome_delivery.acknowledge(peer, ack.batch_id);
}

void agent_core::implementation::handle_start(start_request request, base::steady_time now)
{
    auto const key = key_of(request.task);
    if (auto* const duplicate = this->outcomes.find(key); duplicate != nullptr)
        return this->resend_outcome(*duplicate, key, request.peer);
    auto const repeatable = request.task.idempotent || request.task.ephemeral;
    if (auto const* const run = this->outcomes.find_blocking_run(request.task.task, repeatable);
        run != nullptr)
        return this->attach_to_run({request.task.task, run->epoch, run->attempt}, request, now);

    auto const refused = this->admission.refuse(request, admission_stage::receipt, now);
    auto& record = this->outcomes.add(key, repeatable);
    record.details->owner = request.peer;
    record.details->endpoint = request.task.endpoint;
    if (request.task.ephemeral)
        record.details->bound_entry = request.stamp.entry;
    if (refused)
        return this->refuse(key, *refused, now);
    this->outcomes.raise_fence(key.task.job, key.epoch, now);
    auto const endpoint = request.task.endpoint;
    auto const slots = request.task.slots;
    auto const start_by = request.start_by;
    record.details->request = std::make_unique<start_request>(std::move(request));
    this->endpoints.find_present(endpoint)->enqueue(key, slots, start_by);
    this->start_waiting(endpoint, now);
}

void agent_core::implementation::resend_outcome(attempt_record const& duplicate_of,
                                                attempt_key const& key, std::string const& peer)
{
    // An unacknowledged outcome is resent in any case. A delayed message of a previous owner must
    // not redirect the outcome away from the current owner.
    if (!duplicate_of.acknowledged || key.epoch < this->outcomes.fence(key.task.job))
        return;
    this->outcomes.reopen(key, peer);
    this->outcome_delivery.enqueue(key);
}

void agent_core::implementation::attach_to_run(attempt_key const& run, start_request const& request,
                                               base::steady_time now)
{
    auto const key = key_of(request.task);
    auto& record = this->outcomes.add(key, request.task.idempotent);
    record.phase = attempt_phase::attached;
    record.details->owner = request.peer;
    record.details->endpoint = request.task.endpoint;
    auto const* const run_record = this->outcomes.find(run);
    if (run_record->phase != attempt_phase::finished)
        return;
    auto run_outcome = this->outcomes.outcome(run);
    this->finish(key,
                 {run_outcome.kind, std::move(run_outcome.result), std::move(run_outcome.message)},
                 now);
}

void agent_core::implementation::cancel(std::string const& peer,
                                        protocol::attempt_ref const& attempt, base::steady_time now)
{
    bool on_record = false;
    for (auto const& key : this->outcomes.attempts_of(attempt.task.job)) {
        if (key.task != attempt.task || key.attempt != attempt.attempt)
            continue;
        auto const* const record = this->outcomes.find(key);
        // Only the entry that gets the outcome may cancel, not a previous owner.
        on_record = on_record || !record->details || record->details->owner == peer;
        if (record->details && record->details->owner == peer)
            this->cancel(key, now);
    }
    if (!on_record)
        this->cancellations.add(peer, attempt, now);
}

void agent_core::implementation::cancel(attempt_key const& key, base::steady_time now)
{
    auto const* record = this->outcomes.find(key);
    auto target = key;
    if (record->phase == attempt_phase::attached) {
        record = this->outcomes.find_blocking_run(key.task, false);
        target = {key.task, record->epoch, record->attempt};
    }
    if (record->phase == attempt_phase::running)
        return this->stop(target);
    if (record->phase != attempt_phase::waiting)
        return;
    this->endpoints.find(record->details->endpoint)->remove(target);
    this->refuse(target, {"cancelled before it started"}, now);
}

void agent_core::implementation::stop(attempt_key const& key)
{
    auto& details = *this->outcomes.find(key)->details;
    details.stop_requested = true;
    // The endpoint identifies tasks by job and index only, so the request would also stop another
    // attempt of the task.
    for (auto const& other : this->outcomes.attempts_of(key.task.job)) {
        auto const* const record = this->outcomes.find(other);
        if (other.task == key.task && other != key && record->phase == attempt_phase::running
            && record->details->url == details.url)
            return;
    }
    base::log_record(base::log_event::stop_requested)
        .with("job", key.task.job)
        .with("task", key.task.index)
        .with("attempt", key.attempt)
        .with("endpoint", details.endpoint);
    auto const url = details.url;
    this->runner.stop(url, key.task);
}

void agent_core::implementation::refuse(attempt_key const& key, refusal const& reason,
                                        base::steady_time now)
{
    log_refusal(key, reason.reason);
    auto const kind = reason.may_have_run ? outcome_kind::unknown : outcome_kind::not_run;
    this->finish(key, {kind, {}, std::string(reason.reason)}, now);
}

void agent_core::implementation::refuse_ineligible_waiting(base::steady_time now)
{
    for (auto const& [endpoint, key] : this->endpoints.waiting()) {
        auto const* const record = this->outcomes.find(key);
        auto const refused
            = this->admission.refuse(*record->details->request, admission_stage::waiting, now);
        if (!refused)
            continue;
        this->endpoints.find(endpoint)->remove(key);
        this->refuse(key, *refused, now);
    }
}

void agent_core::implementation::start_waiting(std::string const& endpoint, base::steady_time now)
{
    auto* const slots = this->endpoints.find_present(endpoint);
    if (slots == nullptr)
        return;
    while (auto const key = slots->pop_startable()) {
        auto& request = *this->outcomes.find(*key)->details->request;
        // The entry may have renewed its lease while the task waited. The stamp of a lease that has
        // expired since must not replace a later stamp without a lease.
        auto const renewed = this->leases.latest(request.stamp.entry);
        if (renewed && renewed->expires_at > request.stamp.expires_at)
            request.stamp = *renewed;
        // An ephemeral task needs no lease: it may start as long as its entry counts as alive.
        if (request.task.ephemeral)
            request.stamp.expires_at
                = std::max(request.stamp.expires_at,
                           base::to_reading(this->liveness.alive_until(request.stamp.entry)));
        auto const refused = this->admission.refuse(request, admission_stage::start, now);
        if (refused)
            this->refuse(*key, *refused, now);
        else
            this->run(*key, *slots, now);
    }
}

void agent_core::implementation::run(attempt_key const& key, endpoint_slots& slots,
                                     base::steady_time now)
{
    auto& record = *this->outcomes.find(key);
    auto& details = *record.details;
    auto const request = std::move(details.request);
    auto const remaining = std::chrono::ceil<milliseconds>(request->deadline - now);
    auto const limit = request->task.timeout;
    record.phase = attempt_phase::running;
    details.url = slots.description().url;
    details.started = now;
    slots.acquire(key, request->task.slots);
    base::log_record(base::log_event::start_admitted)
        .with("job", key.task.job)
        .with("task", key.task.index)
        .with("attempt", key.attempt)
        .with("endpoint", details.endpoint);
    run_request outgoing {
        details.url,
        std::move(request->task),
        limit == milliseconds(0) ? remaining : std::min(limit, remaining),
        std::min(base::from_reading(request->stamp.expires_at), request->deadline),
        {}};
    if (details.bound_entry)
        outgoing.permitted_until = [weak = this->weak_from_this(), entry = *details.bound_entry] {
            auto const self = weak.lock();
            return self ? self->liveness.alive_until(entry) : base::steady_time::min();
        };
    this->runner.start(
        outgoing,
        [weak = this->weak_from_this(), key](run_result result, base::steady_time finished) {
            if (auto const self = weak.lock())
                self->finish_run(key, std::move(result), finished);
        });
}

void agent_core::implementation::finish_run(attempt_key const& key, run_result result,
                                            base::steady_time now)
{
    auto* const record = this->outcomes.find(key);
    if (record == nullptr || record->phase != attempt_phase::running)
        return;
    auto& details = *record->details;
    details.run_time = std::chrono::duration_cast<std::chrono::microseconds>(now - details.started);
    if (details.stop_requested
        && (result.kind == outcome_kind::failed || result.kind == outcome_kind::unknown))
        result.kind = outcome_kind::cancelled;
    else if (result.kind == outcome_kind::unknown)
        this->stop(key); // It may still occupy the endpoint, and its result is no longer needed.
    this->endpoints.find(details.endpoint)->release(key);
    if (result.kind == outcome_kind::not_run)
        log_refusal(key, result.message);
    this->finish(key, result, now);
    this->run_due_work(now);
}

void agent_core::implementation::finish(attempt_key const& key, run_result const& result,
                                        base::steady_time now)
{
    base::log_record(base::log_event::outcome_recorded)
        .with("job", key.task.job)
        .with("task", key.task.index)
        .with("attempt", key.attempt)
        .with("outcome", name_of(result.kind))
        .with("message", result.message);
    this->outcomes.finish(key, result.kind, result.result, result.message, now);
    this->outcome_delivery.enqueue(key);
    for (auto const& other : this->outcomes.attempts_of(key.task.job)) {
        auto const* const record = this->outcomes.find(other);
        if (record->phase != attempt_phase::attached || other.task != key.task)
            continue;
        this->outcomes.finish(other, result.kind, result.result, result.message, now);
        this->outcome_delivery.enqueue(other);
    }
}

void agent_core::implementation::report_if_due(base::steady_time now)
{
    state_reporter::reported_state current {this->leases.adopted_view(), this->endpoints.levels()};
    auto const receivers = this->reports.due(current, now);
    if (receivers != state_reporter::audience::none)
        this->reports.send(
            receivers, [this, now](std::string const& entry) { return this->report(entry, now); },
            std::move(current), now);
}

std::vector<protocol::endpoint_use> agent_core::implementation::usage(std::string const& entry)
{
    std::vector<protocol::endpoint_use> endpoint_uses;
    for (auto const& state : this->states(entry))
        endpoint_uses.push_back(
            {state.name, state.used_slots, state.queued, state.held_by_receiver});
    return endpoint_uses;
}

std::vector<protocol::endpoint_state> agent_core::implementation::states(std::string const& entry)
{
    return this->endpoints.states(this->leases, [this, &entry](attempt_key const& key) {
        auto const* const record = this->outcomes.find(key);
        return record != nullptr && record->details && record->details->owner == entry;
    });
}

protocol::agent_report agent_core::implementation::report(std::string const& entry,
                                                          base::steady_time now)
{
    return {this->settings.id,          this->settings.region,       this->settings.zone,
            base::to_reading(now),      this->leases.adopted_view(), this->states(entry),
            this->ephemeral_runs(entry)};
}

std::vector<protocol::attempt_ref>
agent_core::implementation::ephemeral_runs(std::string const& entry)
{
    std::vector<protocol::attempt_ref> runs;
    for (auto const& key : this->endpoints.unfinished()) {
        auto const* const record = this->outcomes.find(key);
        if (record != nullptr && record->details && record->details->bound_entry
            && record->details->owner == entry)
            runs.push_back({key.task, key.attempt});
    }
    return runs;
}

base::steady_time agent_core::implementation::waiting_permitted_until()
{
    auto earliest = base::steady_time::max();
    for (auto const& [endpoint, key] : this->endpoints.waiting()) {
        auto const* const record = this->outcomes.find(key);
        if (record != nullptr && record->details && record->details->bound_entry)
            earliest
                = std::min(earliest, this->liveness.alive_until(*record->details->bound_entry));
    }
    return earliest;
}

void agent_core::implementation::stop_orphaned_runs(base::steady_time now)
{
    std::map<std::string, std::size_t> stopped_runs; // By entry.
    for (auto const& key : this->endpoints.unfinished()) {
        auto const* const record = this->outcomes.find(key);
        if (record == nullptr || !record->details || !record->details->bound_entry
            || record->details->stop_requested
            || !this->liveness.lost(*record->details->bound_entry, now))
            continue;
        ++stopped_runs[record->details->bound_entry->name];
        this->cancel(key, now);
    }
    for (auto const& [entry, runs] : stopped_runs)
        base::log_record(base::log_event::entry_lost).with("entry", entry).with("runs", runs);
}

} // namespace greengagehead::agent
