// Routes inputs to the components of an entry.

#include "entry/entry_core.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <map>
#include <type_traits>
#include <utility>
#include <variant>

#include "base/log_record.h"
#include "entry/entry_components.h"
#include "entry/job_id.h"
#include "entry/recovery_logger.h"

namespace greengagehead::entry {

namespace {

using std::chrono::milliseconds;

/// Approximate memory limit for copies stored for other entries.
constexpr std::size_t copy_bytes = 256U << 20U;
/// Three missed reports; a silent agent gets no new work.
constexpr milliseconds agent_silence {1000};
constexpr milliseconds cancel_wait {2000};
constexpr milliseconds overload_line_interval {1000};

std::string_view name_of(policy::health_state state)
{
    switch (state) {
    case policy::health_state::healthy:
        return "healthy";
    case policy::health_state::excluded:
        return "excluded";
    case policy::health_state::probing:
        return "probing";
    case policy::health_state::returning:
        return "returning";
    }
    return "unknown";
}

std::unique_ptr<policy::placement_policy> policy_of(entry_settings const& settings,
                                                    policy::speed_learner const& learner)
{
    auto const* const speeds = settings.learn_speed ? &learner.speeds() : nullptr;
    auto created = policy::make_placement_policy(settings.placement, settings.seed, speeds);
    return created ? std::move(created)
                   : policy::make_placement_policy("least_loaded", settings.seed, speeds);
}

} // namespace

entry_components::entry_components(entry_settings initial_settings,
                                   protocol::message_sender& output)
    : settings(std::move(initial_settings)), sender(output, this->counters.messages_sent),
      control(this->settings.id, this->settings.controls, this->sender),
      leases(this->settings, this->sender, this->control, this->agents), claims(this->control),
      shares(this->settings, this->endpoints), overload(this->settings.max_loop_delay),
      placement(policy_of(this->settings, this->learner)), jobs(this->settings.finished_bytes),
      copies(copy_bytes), outbox(this->sender, this->leases, this->agents),
      held(this->settings.recovery_hold, this->counters), dispatch(*this), attempts(*this),
      monitor(*this), lifecycle(*this), remote(*this), resubmitted(*this),
      submission_consent(*this), takeovers(*this)
{
}

struct entry_core::impl : entry_components {
    using entry_components::entry_components;

    void connect();
    /// Reports the use of accounts with renewals, and applies the sums of the fleet.
    void connect_accounts();
    void handle(std::string const& peer, protocol::message const& body, base::steady_time now);
    void update_control_group(protocol::control_group const& group);
    void on_view(base::steady_time now);
    void on_shares(protocol::grant_lease const& grant, base::steady_time now);
    void on_report(protocol::agent_report const& report, base::steady_time now);
    void check_agents(base::steady_time now);
    void run_timers(base::steady_time now);
    /// Whether runs of the job may be in progress that a former incarnation of this entry, under
    /// whose name it is asked, has started.
    [[nodiscard]] bool may_be_of_former_incarnation(std::string const& job, base::steady_time now);
    /// Whether the entry has what it needs to serve callers: its configuration and an endpoint.
    [[nodiscard]] bool state_complete() const;
    [[nodiscard]] state_parts present_parts(base::steady_time now) const;
    /// Whether the submission may have run or may run, here or at another entry.
    [[nodiscard]] bool may_have_started(submission_head const& head, base::steady_time now) const;
    /// Logs, at most once a second, how many requests were refused because the loop runs behind.
    void log_overload(base::steady_time now);
    /// Called after each input: places waiting tasks and sends the collected messages.
    void place_and_send(base::steady_time now);

    view_signal view_applied;
    controls_signal control_group_changed;
    recovery_logger recovery;
    /// Rows of accounts in the last renewal, until it is answered.
    std::vector<protocol::account_use> unanswered_uses;
    bool control_linked = false; ///< A link to a control member was ready.
    std::uint64_t logged_overload_refusals = 0; ///< Counter value when it was logged last.
    base::steady_time next_overload_line;
    base::steady_time started;
    base::steady_time next_agent_check;
    base::steady_time next_expiry;
};

void entry_core::impl::connect()
{
    this->leases.demand = [this](base::steady_time now) { return this->shares.demand(now); };
    if (this->settings.fair_accounts)
        this->connect_accounts();
    this->leases.view_applied.connect([this](base::steady_time now) { this->on_view(now); });
    this->leases.ownership_in_doubt.connect(
        [this](base::steady_time now) { this->lifecycle.check_ownership(now); });
    this->claims.claim_decided.connect(
        [this](std::string const& job, protocol::claim_result const& result,
               base::steady_time now) { this->lifecycle.on_claim_decided(job, result, now); });
    this->claims.claim_failed.connect(
        [this](std::string const& job, base::error const& failure, base::steady_time now) {
            this->lifecycle.on_claim_failed(job, failure, now);
        });
    this->claims.finish_committed.connect([this](std::string const& job, base::steady_time now) {
        this->lifecycle.on_finish_committed(job, now);
    });
    this->claims.agent_joined.connect([this](protocol::process_id const& agent, base::steady_time) {
        if (auto* record = this->agents.find(agent))
            record->registered = true;
        this->endpoints.set_agent_registered(agent);
        this->dispatch.capacity_changed();
    });
}

void entry_core::impl::connect_accounts()
{
    this->shares.account_uses = [this] {
        this->accounts.restore(std::exchange(this->unanswered_uses, {}));
        this->unanswered_uses = this->accounts.take_rows();
        return this->unanswered_uses;
    };
    this->shares.shares_received.connect([this](protocol::capacity_shares const& received) {
        this->unanswered_uses.clear();
        this->accounts.apply(received.accounts);
    });
}

void entry_core::impl::update_control_group(protocol::control_group const& group)
{
    if (this->control.update_group(group))
        this->control_group_changed.emit(this->control.group());
}

void entry_core::impl::on_view(base::steady_time now)
{
    auto const& view = this->leases.applied();
    this->view_applied.emit(view);
    this->teams.apply(view.settings, this->queue);
    this->accounts.set_limits(this->teams.account_limits());
    this->endpoints.set_zones_out(view.zones_out);
    this->endpoints.set_draining(view.draining_endpoints);
    std::vector<std::string> entry_names;
    for (auto const& item : view.entries)
        entry_names.push_back(item.id.name);
    this->shares.on_view(std::move(entry_names));
    this->submission_consent.on_view(now);
    this->resubmitted.on_view(now);
    this->dispatch.capacity_changed();
}

void entry_core::impl::on_shares(protocol::grant_lease const& grant, base::steady_time now)
{
    if (grant.incarnation != this->settings.id.incarnation)
        return;
    this->shares.set_lease_valid(this->leases.valid(now));
    this->shares.on_grant(grant);
    this->dispatch.capacity_changed();
}

void entry_core::impl::on_report(protocol::agent_report const& report, base::steady_time now)
{
    auto const previous = this->agents.find(report.agent.name) != nullptr
        ? this->agents.slot_of(this->agents.find(report.agent.name)->id)
        : std::nullopt;
    auto const kind = this->agents.on_report(report, now);
    if (kind == report_kind::outdated)
        return;
    if (kind == report_kind::replacement)
        this->endpoints.remove_agent(report.agent.name);
    this->endpoints.update(report, now);
    auto& record = *this->agents.find(report.agent.name);
    bool const other = kind == report_kind::first || kind == report_kind::replacement;
    if (record.registered)
        this->endpoints.set_agent_registered(report.agent);
    else if (other)
        this->claims.join_agent(report.agent, report.zone, now);
    if (kind == report_kind::replacement && previous)
        this->monitor.on_agent_replaced(*previous, now);
    if (kind == report_kind::returned)
        this->monitor.query_attempts(*this->agents.slot_of(report.agent));
    this->monitor.cancel_unknown_runs(report, *this->agents.slot_of(report.agent));
    this->leases.on_report(record, now);
    this->dispatch.capacity_changed();
}

void entry_core::impl::check_agents(base::steady_time now)
{
    if (now < this->next_agent_check)
        return;
    this->next_agent_check = now + milliseconds(100);
    auto const changed = this->agents.update_liveness(agent_silence, now);
    for (auto const slot : changed.silent)
        this->endpoints.remove_agent(this->agents.at(slot).id.name);
    for (auto const slot : changed.lost)
        this->monitor.on_agent_lost(slot, now);
}

void entry_core::impl::run_timers(base::steady_time now)
{
    while (auto const due = this->timers.take_due(now)) {
        switch (due->kind) {
        case timer_kind::attempt_check:
            this->monitor.on_check(*due, now);
            break;
        case timer_kind::requeue:
            this->monitor.on_requeue(*due);
            break;
        case timer_kind::replaced_attempt_expired:
            this->monitor.on_replaced_attempt_expired(*due, now);
            break;
        case timer_kind::announcement:
            if (auto const* job = this->jobs.find(due->job))
                this->resubmitted.announce(*job);
            break;
        case timer_kind::held_submission:
            this->resubmitted.on_timer(due->job, now);
            break;
        case timer_kind::submission_claim:
            this->submission_consent.on_timer(due->job, now);
            break;
        case timer_kind::attachment:
            this->remote.on_timer(due->job, now);
            break;
        default:
            this->lifecycle.on_timer(*due, now);
        }
    }
}

bool entry_core::impl::may_be_of_former_incarnation(std::string const& job, base::steady_time now)
{
    return !job.empty() && now < this->started + policy::longest_run_end
        && this->jobs.find(job) == nullptr && this->copies.find(job) == nullptr;
}

bool entry_core::impl::state_complete() const
{
    return this->leases.applied().number > 0 && this->endpoints.usable_endpoints() > 0;
}

state_parts entry_core::impl::present_parts(base::steady_time now) const
{
    return {this->control_linked, !this->control.leader().empty(), this->leases.valid(now),
            this->leases.applied().number > 0, this->endpoints.usable_endpoints() > 0};
}

bool entry_core::impl::may_have_started(submission_head const& head, base::steady_time now) const
{
    auto const key = job_id_of(head.team, head.submission);
    return this->resubmitted.is_known(key, now) || this->submission_consent.contains(key)
        || this->submission_consent.has_granted(key)
        || this->jobs.find(ephemeral_job_id(head.team, head.submission, this->settings.id))
        != nullptr;
}

void entry_core::impl::log_overload(base::steady_time now)
{
    auto const refused = this->counters.overload_refusals;
    if (refused == this->logged_overload_refusals || now < this->next_overload_line)
        return;
    this->next_overload_line = now + overload_line_interval;
    auto const count = refused - std::exchange(this->logged_overload_refusals, refused);
    auto const delay = std::chrono::duration_cast<milliseconds>(this->overload.delay());
    base::log_record(base::log_event::overload_refusals)
        .with("count", count)
        .with("delay_ms", delay.count())
        .with("accepted_percent", std::lround(this->overload.accepted_part(0) * 100));
}

void entry_core::impl::place_and_send(base::steady_time now)
{
    this->dispatch.run(now);
    this->resubmitted.ask_before_starts(now);
    this->outbox.flush(now);
    this->claims.flush(now);
}

void entry_core::impl::handle(std::string const& peer, protocol::message const& body,
                              base::steady_time now)
{
    std::visit(
        [&](auto const& message) {
            using type = std::decay_t<decltype(message)>;
            if constexpr (std::is_same_v<type, protocol::grant_lease>) {
                this->leases.on_grant(peer, message, now);
                this->on_shares(message, now);
                this->update_control_group(message.group);
            } else if constexpr (std::is_same_v<type, protocol::view_update>) {
                this->control.record_leader(peer, now);
                this->leases.on_view(message, now);
            } else if constexpr (std::is_same_v<type, protocol::not_leader>) {
                this->update_control_group(message.group);
                if (message.request_id == 0)
                    this->leases.on_not_leader(now);
                this->control.on_not_leader(peer, message, now);
            } else if constexpr (std::is_same_v<type, protocol::control_reply>) {
                this->control.on_reply(peer, message, now);
            } else if constexpr (std::is_same_v<type, protocol::takeover_notice>) {
                if (message.new_owner == this->settings.id)
                    this->leases.record_takeover(message.sequence);
                this->takeovers.on_notice(message, now);
            } else if constexpr (std::is_same_v<type, protocol::job_copy>) {
                if (this->copies.store(message, now))
                    this->sender.send(peer, protocol::job_copy_ack {message.job, message.epoch});
            } else if constexpr (std::is_same_v<type, protocol::job_copy_ack>) {
                this->lifecycle.on_copy_ack(message, now);
            } else if constexpr (std::is_same_v<type, protocol::job_finished_copy>) {
                if (this->copies.store(message, now))
                    this->sender.send(
                        peer, protocol::job_finished_ack {message.answer.job, message.epoch});
            } else if constexpr (std::is_same_v<type, protocol::job_finished_ack>) {
                this->lifecycle.on_finished_ack(message, now);
            } else if constexpr (std::is_same_v<type, protocol::job_query>) {
                // No answer is correct then: "not known" would be taken for the end of the runs.
                if (!this->may_be_of_former_incarnation(message.job, now)
                    && !this->resubmitted.on_query(peer, message, now)
                    && !this->submission_consent.on_query(peer, message))
                    this->remote.on_query(peer, message, now);
            } else if constexpr (std::is_same_v<type, protocol::job_reply>) {
                if (!this->resubmitted.on_reply(peer, message, now))
                    this->remote.on_reply(peer, message, now);
            } else if constexpr (std::is_same_v<type, protocol::job_cancel>) {
                if (auto* job = this->jobs.find(message.job))
                    this->lifecycle.cancel(*job, now);
                else
                    this->resubmitted.on_cancelled_elsewhere(peer, message.job, now);
            } else if constexpr (std::is_same_v<type, protocol::outcome_batch>) {
                auto batch = message;
                this->attempts.on_batch(peer, batch, now);
            } else if constexpr (std::is_same_v<type, protocol::outcome_report>) {
                auto report = message;
                this->resubmitted.on_report(message, now);
                if (!this->takeovers.on_report(report, now))
                    this->attempts.on_report(report, now);
            } else if constexpr (std::is_same_v<type, protocol::agent_report>) {
                this->on_report(message, now);
            } else if constexpr (std::is_same_v<type, protocol::lagging_run>) {
                this->monitor.on_lagging(message, now);
            } else if constexpr (std::is_same_v<type, protocol::submissions_running>) {
                this->resubmitted.on_announcement(peer, message, now);
            } else if constexpr (std::is_same_v<type, protocol::submission_claim>) {
                this->submission_consent.on_claim(peer, message, now);
            } else if constexpr (std::is_same_v<type, protocol::claim_verdict>) {
                this->submission_consent.on_verdict(peer, message, now);
            } else if constexpr (std::is_same_v<type, protocol::claim_release>) {
                this->submission_consent.on_release(peer, message);
            } else if constexpr (std::is_same_v<type, protocol::claims_held>) {
                this->submission_consent.on_claims_held(peer, message, now);
            }
        },
        body);
}

entry_core::entry_core(entry_settings settings, protocol::message_sender& sender,
                       base::steady_time now)
    : pimpl(std::make_unique<impl>(std::move(settings), sender))
{
    this->pimpl->started = now;
    this->pimpl->submission_consent.set_started(now);
    this->pimpl->held.set_started(now);
    this->pimpl->recovery.set_started(now);
    this->pimpl->connect();
    this->pimpl->view_applied.connect(
        [this](protocol::view const& view) { this->view_applied.emit(view); });
    this->pimpl->control_group_changed.connect(
        [this](auto const& group) { this->control_group_changed.emit(group); });
    this->pimpl->leases.tick(now);
}

entry_core::~entry_core()
{
    this->pimpl->restarts.log();
}

void entry_core::submit(protocol::job_request request, milliseconds wait,
                        std::function<void(submit_reply const&)> reply, base::steady_time now,
                        std::function<bool()> caller_left, std::optional<base::steady_time> arrived)
{
    waiter caller;
    caller.wait_until = now + wait;
    caller.on_submit = std::move(reply);
    caller.has_left = std::move(caller_left);
    caller.arrived = arrived;
    this->pimpl->lifecycle.submit(std::move(request), std::move(caller), now);
    this->pimpl->place_and_send(now);
}

bool entry_core::runs_behind() const
{
    return this->pimpl->overload.behind();
}

std::optional<std::chrono::seconds> entry_core::refuse_overloaded(submission_head const& head,
                                                                  base::steady_time now)
{
    auto& overload = this->pimpl->overload;
    // A recovery may hold another request of the submission.
    if (!overload.behind() || this->recovering(now))
        return std::nullopt;
    bool const refused
        = overload.misses(head.deadline, {}, now) || overload.refuse_next(head.team, head.priority);
    if (!refused || this->pimpl->may_have_started(head, now))
        return std::nullopt;
    ++this->pimpl->counters.overload_refusals;
    this->count_refusal(head.team, policy::refusal_cause::other);
    return overload.next_retry_after();
}

bool entry_core::recovering(base::steady_time now) const
{
    return this->pimpl->held.recovering(now);
}

bool entry_core::hold(held_request& request, base::steady_time now)
{
    return this->pimpl->held.hold(request, now);
}

void entry_core::stop_holding(base::steady_time now)
{
    this->pimpl->held.close(now);
}

void entry_core::query(std::string const& job, bool explain, milliseconds wait,
                       std::function<void(protocol::job_reply const&)> reply, base::steady_time now)
{
    waiter caller;
    caller.wait_until = now + wait;
    caller.explain = explain;
    caller.on_query = std::move(reply);
    if (auto* existing = this->pimpl->jobs.find(job))
        this->pimpl->lifecycle.attach(*existing, std::move(caller), now);
    else
        this->pimpl->remote.attach(job, std::nullopt, std::move(caller), false, now);
    this->pimpl->place_and_send(now);
}

void entry_core::cancel(std::string const& job,
                        std::function<void(protocol::job_reply const&)> reply,
                        base::steady_time now)
{
    waiter caller;
    caller.wait_until = now + cancel_wait;
    caller.on_query = std::move(reply);
    if (auto* existing = this->pimpl->jobs.find(job)) {
        this->pimpl->lifecycle.attach(*existing, std::move(caller), now);
        if (auto* remaining_job = this->pimpl->jobs.find(job))
            this->pimpl->lifecycle.cancel(*remaining_job, now);
    } else {
        this->pimpl->remote.attach(job, std::nullopt, std::move(caller), true, now);
    }
    this->pimpl->place_and_send(now);
}

void entry_core::abandon(std::string const& job, base::steady_time now)
{
    if (auto* existing = this->pimpl->jobs.find(job))
        this->pimpl->lifecycle.stop_abandoned(*existing, now);
    this->pimpl->place_and_send(now);
}

bool entry_core::cancel_ephemeral(std::string const& team, std::string const& submission,
                                  base::steady_time now)
{
    auto* const existing = this->pimpl->jobs.find(this->ephemeral_id(team, submission));
    bool const running_here = existing != nullptr && !existing->is_final();
    if (existing != nullptr)
        this->pimpl->lifecycle.cancel_submission(*existing, now);
    bool const known_elsewhere = this->pimpl->resubmitted.cancel(team, submission, now);
    this->pimpl->place_and_send(now);
    return running_here || known_elsewhere;
}

void entry_core::control(protocol::control_request_body body, milliseconds timeout,
                         std::function<void(protocol::control_result const&)> reply,
                         base::steady_time now)
{
    this->pimpl->control.request(
        std::move(body), timeout,
        [reply = std::move(reply)](protocol::control_result const& result, base::steady_time) {
            reply(result);
        },
        now);
}

void entry_core::set_configured_controls(std::vector<std::string> peers)
{
    this->pimpl->control.set_configured(std::move(peers));
}

void entry_core::receive(std::string const& peer, protocol::message const& body,
                         base::steady_time now)
{
    this->pimpl->handle(peer, body, now);
    this->pimpl->place_and_send(now);
}

void entry_core::tick(base::steady_time now)
{
    this->pimpl->overload.record_tick(now);
    this->pimpl->log_overload(now);
    this->pimpl->leases.tick(now);
    this->pimpl->shares.set_lease_valid(this->pimpl->leases.valid(now));
    this->pimpl->control.tick(now);
    this->pimpl->check_agents(now);
    this->pimpl->run_timers(now);
    this->pimpl->resubmitted.tick(now);
    this->pimpl->submission_consent.tick(now);
    this->pimpl->takeovers.tick(now);
    this->pimpl->recovery.tick(this->pimpl->present_parts(now), now);
    this->pimpl->held.tick(this->pimpl->state_complete(), now);
    this->pimpl->accounts.tick(now);
    // An excluded endpoint becomes usable again after a time, without any message.
    this->pimpl->dispatch.capacity_changed();
    if (now >= this->pimpl->next_expiry) {
        this->pimpl->next_expiry = now + std::chrono::seconds(1);
        auto const oldest = now - this->pimpl->settings.answer_retention;
        this->pimpl->jobs.expire_before(oldest);
        this->pimpl->copies.expire_before(oldest);
    }
    this->pimpl->place_and_send(now);
}

void entry_core::peer_up(std::string const& peer, base::steady_time now)
{
    this->pimpl->agents.on_up(peer, now);
    this->pimpl->control.on_peer_up(peer);
    if (peer.starts_with("control."))
        this->pimpl->control_linked = true;
    this->pimpl->resubmitted.peer_up(peer, now);
    this->pimpl->submission_consent.peer_up(peer, now);
    if (!this->pimpl->leases.valid(now))
        this->pimpl->leases.renew_soon();
    if (auto const* agent = this->pimpl->agents.find(peer))
        this->pimpl->monitor.query_attempts(*this->pimpl->agents.slot_of(agent->id));
    this->pimpl->place_and_send(now);
}

void entry_core::peer_down(std::string const& peer, base::steady_time now)
{
    this->pimpl->agents.on_down(peer);
    this->pimpl->control.on_peer_down(peer, now);
    this->pimpl->resubmitted.peer_down(peer, now);
}

void entry_core::begin_shutdown(base::steady_time now, std::chrono::milliseconds remaining)
{
    this->pimpl->held.close(now);
    this->pimpl->lifecycle.begin_shutdown(now + remaining);
}

void entry_core::answer_all_waiters(base::steady_time now)
{
    this->pimpl->lifecycle.answer_all_waiters(now);
    this->pimpl->resubmitted.answer_all();
    this->pimpl->place_and_send(now);
}

bool entry_core::idle() const
{
    return this->pimpl->jobs.unfinished() == 0 && this->pimpl->held.empty()
        && this->pimpl->remote.idle() && this->pimpl->resubmitted.idle()
        && this->pimpl->claims.idle() && this->pimpl->control.idle();
}

bool entry_core::has_endpoints() const
{
    return this->pimpl->endpoints.usable_endpoints() > 0;
}

entry_status entry_core::status(base::steady_time now) const
{
    auto const& components = *this->pimpl;
    entry_status status;
    status.id = components.settings.id;
    status.leader = components.control.leader();
    status.lease_valid = components.leases.valid(now);
    status.applied_view = components.leases.applied().number;
    status.settled_view = components.leases.settled();
    status.running_jobs = components.jobs.unfinished();
    status.held_requests = components.held.size();
    status.held_request_bytes = components.held.bytes();
    status.shares = components.shares.status(now);
    status.learns_speed = components.settings.learn_speed;
    for (auto const& [name, settings] : components.teams.all())
        status.teams.push_back(
            {name, components.queue.size(name), components.queue.in_progress(name)});
    for (auto const& [name, endpoint] : components.endpoints.all())
        status.endpoints.push_back({name, endpoint.agent.name, endpoint.zone,
                                    std::string(name_of(components.health.state(name))),
                                    endpoint.state.slots, endpoint.state.used_slots,
                                    endpoint.state.draining, endpoint.entry_share,
                                    components.learner.speeds().speed(name, endpoint.agent, now)});
    return status;
}

entry_counters const& entry_core::counters() const
{
    return this->pimpl->counters;
}

restart_counts const& entry_core::restarts() const
{
    return this->pimpl->restarts;
}

account_metrics entry_core::accounts() const
{
    std::map<std::string, std::size_t> waiting;
    for (auto const& [number, job] : this->pimpl->jobs.all()) {
        auto const tasks = std::count_if(job->tasks.begin(), job->tasks.end(),
                                         [](auto const& task) { return task.queued; });
        if (tasks > 0)
            waiting[job->team] += static_cast<std::size_t>(tasks);
    }
    return this->pimpl->accounts.metrics(waiting);
}

void entry_core::count_refusal(std::string const& team, policy::refusal_cause cause)
{
    this->pimpl->accounts.record_refusal(team, cause);
}

std::string entry_core::ephemeral_id(std::string const& team, std::string const& submission) const
{
    return ephemeral_job_id(team, submission, this->pimpl->settings.id);
}

protocol::view const& entry_core::applied_view() const
{
    return this->pimpl->leases.applied();
}

} // namespace greengagehead::entry
