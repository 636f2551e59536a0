// Handling of start messages, runs, cancellations and queries.

#include "agent/agent_parts.h"

#include <algorithm>
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

agent_core::parts::parts(agent_settings wanted, protocol::message_sender& messages,
                         endpoint_runner& tasks)
    : settings(std::move(wanted)), sender(messages), runner(tasks),
      leases(this->settings.longest_lease),
      outcomes({this->settings.outcome_retention, this->settings.refusal_memory,
                this->settings.outcome_bytes}),
      cancellations(this->settings.refusal_memory),
      endpoints(this->settings.announcement_interval, this->settings.queue),
      owners(this->settings.entry_silence, this->settings.entry_link_grace),
      admission({this->settings.id, this->settings.zone,
                 // An attempt may end a whole lease before its stamp does.
                 this->settings.refusal_memory - this->settings.longest_lease},
                this->leases, this->outcomes, this->cancellations, this->endpoints, this->owners),
      deliveries(this->settings.id, messages, this->outcomes),
      reports(this->settings.report_interval, messages)
{
    this->deliveries.uses = [this](std::string const& entry) { return this->uses(entry); };
}

void agent_core::parts::receive(std::string const& peer, protocol::message const& body,
                                base::steady_time now)
{
    std::visit(
        [&](auto const& message) {
            if constexpr (handled<std::remove_cvref_t<decltype(message)>>)
                this->handle(peer, message, now);
        },
        body);
}

void agent_core::parts::settle(base::steady_time now)
{
    this->review_queues(now);
    for (auto const& endpoint : this->endpoints.names())
        this->start_waiting(endpoint, now);
    this->deliveries.flush(now);
    this->report_if_due(now);
}

void agent_core::parts::peer_up(std::string const& peer, base::steady_time now)
{
    this->deliveries.peer_up(peer, now);
    this->reports.peer_up(peer);
    // An entry can state a lease in this agent's clock only after a report.
    this->sender.send(peer, this->report(peer, now));
}

void agent_core::parts::handle(std::string const& peer, protocol::start_batch const& batch,
                               base::steady_time now)
{
    this->owners.heard(batch.lease.entry, now);
    this->leases.note(batch.lease, now);
    for (auto const& task : batch.starts)
        this->handle_start({peer, batch.lease, batch.agent_incarnation, task, now + task.remaining,
                            now + task.start_within},
                           now);
}

void agent_core::parts::handle(std::string const& /*peer*/, protocol::lease_update const& update,
                               base::steady_time now)
{
    this->owners.heard(update.lease.entry, now);
    this->leases.note(update, now);
}

void agent_core::parts::handle(std::string const& peer, protocol::cancel_batch const& batch,
                               base::steady_time now)
{
    for (auto const& attempt : batch.attempts)
        this->cancel(peer, attempt, now);
}

void agent_core::parts::handle(std::string const& peer, protocol::outcome_query const& query,
                               base::steady_time now)
{
    for (auto const& item : query.jobs)
        this->outcomes.raise_fence(item.job, item.epoch, now);
    // Waiting attempts of lower epochs are refused before the report says what is known.
    this->review_queues(now);
    protocol::outcome_report report {this->settings.id, query.query_id, {}};
    for (auto const& item : query.jobs) {
        bool const current = item.epoch >= this->outcomes.fence(item.job);
        for (auto const& key : this->outcomes.of_job(item.job)) {
            if (current)
                this->redirect(key, peer);
            report.outcomes.push_back(this->outcomes.outcome(key));
        }
    }
    this->sender.send(peer, report);
}

void agent_core::parts::redirect(attempt_key const& key, std::string const& peer)
{
    auto const* const record = this->outcomes.find(key);
    if (!record->details || record->details->owner == peer)
        return;
    this->outcomes.assign(key, peer);
    if (record->phase == attempt_phase::finished && !record->acknowledged)
        this->deliveries.enqueue(key);
}

void agent_core::parts::handle(std::string const& peer, protocol::outcome_ack const& ack,
                               base::steady_time /*now*/)
{
    if (ack.agent_incarnation == this->settings.id.incarnation)
        this->deliveries.acknowledge(peer, ack.batch_id);
}

void agent_core::parts::handle_start(start_request request, base::steady_time now)
{
    auto const key = key_of(request.task);
    if (auto* const known = this->outcomes.find(key); known != nullptr)
        return this->repeat(*known, key, request.peer);
    auto const repeatable = request.task.idempotent || request.task.ephemeral;
    if (auto const* const run = this->outcomes.find_run(request.task.task, repeatable);
        run != nullptr)
        return this->follow({request.task.task, run->epoch, run->attempt}, request, now);

    auto const refused = this->admission.refuse(request, admission_stage::receipt, now);
    auto& record = this->outcomes.add(key, repeatable);
    record.details->owner = request.peer;
    record.details->endpoint = request.task.endpoint;
    if (request.task.ephemeral)
        record.details->ends_with = request.stamp.entry;
    if (refused)
        return this->refuse(key, *refused, now);
    this->outcomes.raise_fence(key.task.job, key.epoch, now);
    auto const endpoint = request.task.endpoint;
    auto const slots = request.task.slots;
    auto const start_by = request.start_by;
    record.details->request = std::make_unique<start_request>(std::move(request));
    this->endpoints.present(endpoint)->enqueue(key, slots, start_by);
    this->start_waiting(endpoint, now);
}

void agent_core::parts::repeat(attempt_record const& known, attempt_key const& key,
                               std::string const& peer)
{
    // What is not acknowledged is resent anyway. A copy of a former owner's message must not take
    // the outcome away from the present owner.
    if (!known.acknowledged || key.epoch < this->outcomes.fence(key.task.job))
        return;
    this->outcomes.reopen(key, peer);
    this->deliveries.enqueue(key);
}

void agent_core::parts::follow(attempt_key const& run, start_request const& request,
                               base::steady_time now)
{
    auto const key = key_of(request.task);
    auto& record = this->outcomes.add(key, request.task.idempotent);
    record.phase = attempt_phase::following;
    record.details->owner = request.peer;
    record.details->endpoint = request.task.endpoint;
    auto const* const leader = this->outcomes.find(run);
    if (leader->phase != attempt_phase::finished)
        return;
    auto known = this->outcomes.outcome(run);
    this->finish(key, {known.kind, std::move(known.result), std::move(known.message)}, now);
}

void agent_core::parts::cancel(std::string const& peer, protocol::attempt_ref const& attempt,
                               base::steady_time now)
{
    bool known = false;
    for (auto const& key : this->outcomes.of_job(attempt.task.job)) {
        if (key.task != attempt.task || key.attempt != attempt.attempt)
            continue;
        auto const* const record = this->outcomes.find(key);
        // Only the entry that gets the outcome may cancel: a former owner may not.
        known = known || !record->details || record->details->owner == peer;
        if (record->details && record->details->owner == peer)
            this->cancel(key, now);
    }
    if (!known)
        this->cancellations.add(peer, attempt, now);
}

void agent_core::parts::cancel(attempt_key const& key, base::steady_time now)
{
    auto const* record = this->outcomes.find(key);
    auto target = key;
    if (record->phase == attempt_phase::following) {
        record = this->outcomes.find_run(key.task, false);
        target = {key.task, record->epoch, record->attempt};
    }
    if (record->phase == attempt_phase::running)
        return this->stop(target);
    if (record->phase != attempt_phase::waiting)
        return;
    this->endpoints.find(record->details->endpoint)->remove(target);
    this->refuse(target, {"cancelled before it started"}, now);
}

void agent_core::parts::stop(attempt_key const& key)
{
    auto& details = *this->outcomes.find(key)->details;
    details.stop_requested = true;
    // The endpoint knows tasks by job and index only, so that the request would also stop another
    // attempt of the task.
    for (auto const& other : this->outcomes.of_job(key.task.job)) {
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

void agent_core::parts::refuse(attempt_key const& key, refusal const& reason, base::steady_time now)
{
    log_refusal(key, reason.reason);
    auto const kind = reason.may_have_run ? outcome_kind::unknown : outcome_kind::not_run;
    this->finish(key, {kind, {}, std::string(reason.reason)}, now);
}

void agent_core::parts::review_queues(base::steady_time now)
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

void agent_core::parts::start_waiting(std::string const& endpoint, base::steady_time now)
{
    auto* const slots = this->endpoints.present(endpoint);
    if (slots == nullptr)
        return;
    while (auto const key = slots->pop_startable()) {
        auto& request = *this->outcomes.find(*key)->details->request;
        // The entry may have renewed its lease while the task waited. A stamp of a lease that has
        // lapsed since must not replace a later one without a lease.
        auto const renewed = this->leases.latest(request.stamp.entry);
        if (renewed && renewed->expires_at > request.stamp.expires_at)
            request.stamp = *renewed;
        auto const refused = this->admission.refuse(request, admission_stage::start, now);
        if (refused)
            this->refuse(*key, *refused, now);
        else
            this->run(*key, *slots, now);
    }
}

void agent_core::parts::run(attempt_key const& key, endpoint_slots& slots, base::steady_time now)
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
    run_request const order {
        details.url, std::move(request->task),
        limit == milliseconds(0) ? remaining : std::min(limit, remaining),
        std::min(base::from_reading(request->stamp.expires_at), request->deadline)};
    this->runner.start(
        order, [weak = this->weak_from_this(), key](run_result result, base::steady_time finished) {
            if (auto const self = weak.lock())
                self->finish_run(key, std::move(result), finished);
        });
}

void agent_core::parts::finish_run(attempt_key const& key, run_result result, base::steady_time now)
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
        this->stop(key); // It may still use the endpoint, and nobody waits for it any more.
    this->endpoints.find(details.endpoint)->release(key);
    if (result.kind == outcome_kind::not_run)
        log_refusal(key, result.message);
    this->finish(key, result, now);
    this->settle(now);
}

void agent_core::parts::finish(attempt_key const& key, run_result const& result,
                               base::steady_time now)
{
    base::log_record(base::log_event::outcome_recorded)
        .with("job", key.task.job)
        .with("task", key.task.index)
        .with("attempt", key.attempt)
        .with("outcome", name_of(result.kind))
        .with("message", result.message);
    this->outcomes.finish(key, result.kind, result.result, result.message, now);
    this->deliveries.enqueue(key);
    for (auto const& other : this->outcomes.of_job(key.task.job)) {
        auto const* const record = this->outcomes.find(other);
        if (record->phase != attempt_phase::following || other.task != key.task)
            continue;
        this->outcomes.finish(other, result.kind, result.result, result.message, now);
        this->deliveries.enqueue(other);
    }
}

void agent_core::parts::report_if_due(base::steady_time now)
{
    state_reporter::notable_state current {this->leases.known_view(), this->endpoints.levels()};
    if (this->reports.due(current, now))
        this->reports.send(
            [this, now](std::string const& entry) { return this->report(entry, now); },
            std::move(current), now);
}

std::vector<protocol::endpoint_use> agent_core::parts::uses(std::string const& entry)
{
    std::vector<protocol::endpoint_use> all;
    for (auto const& state : this->states(entry))
        all.push_back({state.name, state.used_slots, state.queued, state.held_by_receiver});
    return all;
}

std::vector<protocol::endpoint_state> agent_core::parts::states(std::string const& entry)
{
    return this->endpoints.states(this->leases, [this, &entry](attempt_key const& key) {
        auto const* const record = this->outcomes.find(key);
        return record != nullptr && record->details && record->details->owner == entry;
    });
}

protocol::agent_report agent_core::parts::report(std::string const& entry, base::steady_time now)
{
    return {this->settings.id,          this->settings.region,     this->settings.zone,
            base::to_reading(now),      this->leases.known_view(), this->states(entry),
            this->ephemeral_runs(entry)};
}

std::vector<protocol::attempt_ref> agent_core::parts::ephemeral_runs(std::string const& entry)
{
    std::vector<protocol::attempt_ref> runs;
    for (auto const& key : this->endpoints.unfinished()) {
        auto const* const record = this->outcomes.find(key);
        if (record != nullptr && record->details && record->details->ends_with
            && record->details->owner == entry)
            runs.push_back({key.task, key.attempt});
    }
    return runs;
}

void agent_core::parts::stop_orphans(base::steady_time now)
{
    for (auto const& key : this->endpoints.unfinished()) {
        auto const* const record = this->outcomes.find(key);
        if (record == nullptr || !record->details || !record->details->ends_with
            || record->details->stop_requested
            || !this->owners.lost(*record->details->ends_with, now))
            continue;
        this->cancel(key, now);
    }
}

} // namespace greengagehead::agent
