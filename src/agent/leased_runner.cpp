// Commands to the worker, their lease, and the ends of runs. Reports are in leased_reports.cpp, and
// the incarnations of the worker in leased_identity.cpp.

#include "agent/leased_runner.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "base/log_record.h"

namespace greengagehead::agent {

namespace {

using protocol::outcome_kind;
using std::chrono::milliseconds;

/// A worker on the same VM answers within a few milliseconds. Commands are resent with the same run
/// number, so resending has no effect if the first one was carried out.
constexpr milliseconds stop_resend_interval {30};
/// A run that has not ended this long after its first stop is logged.
constexpr milliseconds long_stop {300};
constexpr milliseconds start_resend_interval {20};
constexpr std::uint32_t max_unanswered_starts = 3;
/// An order without an answer may be carried out this long after it was sent.
constexpr std::chrono::seconds longest_order_delay {30};
constexpr milliseconds unreachable_timeout {700};
/// A longer time without a call is a pause of this process. Ticks come every 10 ms.
constexpr milliseconds min_pause {200};
/// When the permission of a run has ended, orders to stop have this long before the lease ends all
/// runs of the worker. With the validity of a stamp (780 ms) it must stay below 1.3 s, after which
/// a caller may hand its job in at another entry.
constexpr milliseconds stop_allowance {300};
/// The same for a run that a living entry has cancelled. With the validity of a stamp, during which
/// the cancellation may be on its way, it must stay below `policy::unconfirmed_run_limit`.
constexpr milliseconds cancelled_stop_allowance {1000};
/// The lease ends a run that the worker has listed neither as running nor as ended for this time.
constexpr milliseconds longest_unlisted {1000};
/// A start with a shorter lease is refused.
constexpr milliseconds shortest_lease {200};
/// The run numbers of earlier incarnations of this agent are unknown. When the
/// worker rejects a number as too low, it is raised in growing steps, so that a few attempts
/// suffice: the last step is 2^32, because a task that comes from another entry may have had any
/// attempt number as its run number.
constexpr std::uint32_t max_start_attempts = 6;
constexpr std::uint64_t first_run_number_step = 16;
constexpr std::uint64_t run_number_step_factor = 128;

/// The latest time of the clock stands for "never" and is kept.
base::steady_time add(base::steady_time time, milliseconds duration)
{
    return time == base::steady_time::max() ? time : time + duration;
}

std::uint64_t run_number_step(std::uint32_t start_attempts)
{
    auto step = first_run_number_step;
    for (std::uint32_t attempt = 1; attempt < start_attempts; ++attempt)
        step *= run_number_step_factor;
    return step;
}

std::string_view text_of(worker_answer answer)
{
    static constexpr std::string_view texts[] = {"accepted",
                                                 "fencing token too low",
                                                 "run number too low",
                                                 "the lease had ended on arrival",
                                                 "not enough free capacity",
                                                 "the worker is unhealthy",
                                                 "restarted",
                                                 "rejected",
                                                 "the command was not sent",
                                                 "no answer"};
    return texts[static_cast<std::size_t>(answer)];
}

} // namespace

leased_runner::leased_runner(leased_worker& target, lease_limits worker_limits,
                             std::uint64_t initial_fence, clock_source time_source)
    : worker(target), limits(worker_limits), now(std::move(time_source)), created(this->now()),
      token(initial_fence, this->created), last_contact(this->created), last_call(this->created),
      lease(worker_limits, this->created), alive(std::make_shared<bool>(true))
{
}

leased_runner::~leased_runner()
{
    this->ends_without_row.log_summary(this->now());
}

std::string leased_runner::name_of(protocol::task_start const& task)
{
    return task.name.empty() ? task.task.job + "." + std::to_string(task.task.index) : task.name;
}

void leased_runner::start(run_request const& request, callback done)
{
    this->discount_pause();
    auto const name = name_of(request.task);
    if (auto const reason = this->reason_not_to_start(request, name); !reason.empty())
        return done({outcome_kind::not_run, {}, std::string(reason)}, this->now());
    auto& active = this->runs[name];
    active.serial = ++this->last_serial;
    active.task = request.task;
    active.start_before = request.start_before;
    active.permitted_until = request.permitted_until;
    active.done = std::move(done);
    auto& number = this->run_numbers[name];
    number = std::max<std::uint64_t>(number + 1, request.task.attempt);
    active.run = {name, number};
    this->send_start(active);
}

std::string_view leased_runner::reason_not_to_start(run_request const& request,
                                                    std::string const& name) const
{
    auto const time = this->now();
    if (this->token.superseded())
        return "another process of this agent has taken over the worker";
    if (this->runs.contains(name))
        return "another run of the task has not ended yet";
    if (this->identity.is_denied())
        return "the worker says that it is another incarnation";
    if (!this->is_announced || !this->is_settled || !this->lease.clock()
        || time >= request.start_before)
        return "the worker is not ready, or the lease or the deadline has passed";
    if (this->latest_lease_end() < time + shortest_lease)
        return "the worker's lease is not extended, because another run must end";
    if (request.permitted_until
        && this->lease.granted().named_until > request.permitted_until() + stop_allowance)
        return "the worker's lease ends later than the run may";
    return {};
}

bool leased_runner::may_start_now(active_run const& active) const
{
    auto const time = this->now();
    // The former incarnation of the worker may have carried out a start without an answer.
    if (active.worker_restarted)
        return false;
    return !this->token.superseded() && !this->identity.is_denied() && this->lease.clock()
        && time < active.start_before && this->latest_lease_end() >= time + shortest_lease;
}

void leased_runner::send_start(active_run& active)
{
    ++active.start_attempts;
    ++active.unanswered;
    ++active.in_flight;
    active.last_start_attempt = this->now();
    active.next_start_attempt = active.last_start_attempt + start_resend_interval;
    this->ends_without_row.forget(active.run);
    auto const context = this->context();
    auto const time = this->now();
    auto const lease_until = this->lease.next_end(this->latest_lease_end(), time);
    auto const before = this->lease.grant(lease_until, time);
    this->worker.start(context, active.run, active.task, lease_until,
                       [this, weak = std::weak_ptr(this->alive), context, name = active.run.task,
                        serial = active.serial, before,
                        after = this->lease.granted()](worker_reply const& reply) {
                           if (weak.expired())
                               return;
                           if (reply.answer == worker_answer::not_sent)
                               this->on_not_sent(before, after);
                           this->on_started(name, serial, context, reply);
                       });
}

leased_runner::active_run* leased_runner::find_run(std::string const& name, std::uint64_t serial)
{
    auto const found = this->runs.find(name);
    return found != this->runs.end() && found->second.serial == serial ? &found->second : nullptr;
}

void leased_runner::on_started(std::string const& name, std::uint64_t serial,
                               call_context const& context, worker_reply const& reply)
{
    bool const current = this->is_current(context.incarnation, reply);
    if (current)
        this->record_clock(reply.clock);
    auto* const found = this->find_run(name, serial);
    if (found == nullptr)
        return;
    auto& active = *found;
    --active.in_flight;
    // An answer about an earlier incarnation does not tell what the present one does with the
    // command.
    bool const answered = current && reply.answer != worker_answer::no_answer;
    active.unanswered -= answered ? 1 : 0;
    if (answered && reply.answer == worker_answer::accepted)
        this->start_lease_end = this->now() + this->limits.max_lease
            + this->limits.max_lease * this->limits.clock_drift_percent / 100;
    // Another attempt has already been answered.
    if (active.state != phase::starting)
        return;
    if (!answered)
        return this->on_start_unanswered(active);
    switch (reply.answer) {
    case worker_answer::accepted:
        return this->on_accepted(active, reply.clock);
    case worker_answer::stale_run:
        // An unanswered attempt may have run and ended by now. A report will list its end.
        if (active.unanswered > 0)
            break;
        if (active.start_attempts >= max_start_attempts || !this->may_start_now(active))
            break;
        active.run.number += run_number_step(active.start_attempts);
        this->run_numbers[name] = active.run.number;
        return this->send_start(active);
    case worker_answer::stale_fence:
        this->on_stale_fence(context.fence);
        if (active.start_attempts >= max_start_attempts || !this->is_announced
            || !this->may_start_now(active))
            break;
        return this->send_start(active);
    case worker_answer::no_answer:
    case worker_answer::wrong_incarnation:
    case worker_answer::command_expired:
    case worker_answer::no_capacity:
    case worker_answer::unhealthy:
    case worker_answer::rejected:
    case worker_answer::not_sent:
        break;
    }
    // An unanswered attempt may still be carried out, so the run is stopped before it counts as not
    // run.
    if (active.unanswered > 0) {
        this->on_unconfirmed(active);
        if (!active.stop_sent)
            this->send_stop(active);
        return;
    }
    this->finish_run(name,
                     {outcome_kind::not_run,
                      {},
                      "the worker refused the start: " + std::string(text_of(reply.answer))});
}

void leased_runner::on_start_unanswered(active_run& active)
{
    base::log_record(base::log_event::start_unanswered)
        .with("task", active.run.task)
        .with("run", active.run.number)
        .with("worker", this->identity.present().id);
    if (active.in_flight == 0)
        this->on_unconfirmed(active);
}

void leased_runner::on_accepted(active_run& active, std::optional<worker_clock> clock)
{
    this->record_contact();
    active.state = phase::running;
    if (clock)
        active.progress.start(*clock);
    active.expected_after_report = this->reports_sent;
    if (active.stop_requested_at)
        this->send_stop(active);
    if (this->renewal_in_flight == 0)
        this->next_report = std::min(this->next_report, this->now() + report_delay);
}

void leased_runner::on_unconfirmed(active_run& active)
{
    active.state = phase::unconfirmed;
    active.expected_after_report = this->reports_sent;
    if (active.stop_requested_at)
        this->send_stop(active);
    else
        this->send_report(report_kind::probe);
}

void leased_runner::stop(std::string const& /*url*/, protocol::task_ref const& task)
{
    for (auto& [name, active] : this->runs) {
        if (active.task.task != task)
            continue;
        if (!active.stop_requested_at)
            active.stop_requested_at = this->now();
        if (active.state == phase::running)
            this->send_stop(active);
        return;
    }
}

void leased_runner::send_stop(active_run& active)
{
    if (!std::exchange(active.stop_sent, true))
        active.first_stop = this->now();
    active.next_stop = this->now() + stop_resend_interval;
    if (this->token.superseded())
        return;
    auto const context = this->context();
    this->worker.stop(context, active.run,
                      [this, weak = std::weak_ptr(this->alive), context, name = active.run.task,
                       serial = active.serial](worker_reply const& reply) {
                          if (!weak.expired())
                              this->on_stopped(name, serial, context, reply);
                      });
}

void leased_runner::on_stopped(std::string const& name, std::uint64_t serial,
                               call_context const& context, worker_reply const& reply)
{
    if (!this->is_current(context.incarnation, reply))
        return;
    this->record_clock(reply.clock);
    if (reply.answer == worker_answer::stale_fence)
        return this->on_stale_fence(context.fence);
    auto* const stopped = this->find_run(name, serial);
    if (reply.answer != worker_answer::accepted || stopped == nullptr)
        return;
    this->record_contact();
    // Without a reading the answer cannot prove anything later, so the order is repeated.
    stopped->stop_confirmed = reply.clock.has_value();
    if (!stopped->stop_confirmed_at)
        stopped->stop_confirmed_at = reply.clock;
    if (this->renewal_in_flight == 0)
        this->next_report = this->now();
}

void leased_runner::stop_foreign(worker_run const& run)
{
    base::log_record(base::log_event::foreign_run_stopped)
        .with("task", run.task)
        .with("run", run.number)
        .with("worker", this->identity.present().id);
    auto& number = this->run_numbers[run.task];
    number = std::max(number, run.number);
    this->worker.stop(this->context(), run, [](worker_reply const&) {});
}

void leased_runner::record_clock(std::optional<worker_clock> reading)
{
    if (reading)
        this->lease.record_clock(*reading, this->now());
}

base::steady_time leased_runner::latest_lease_end() const
{
    auto latest = base::steady_time::max();
    // A task that waits fits into the lease when it starts.
    if (this->waiting_permitted_until)
        latest = add(this->waiting_permitted_until(), stop_allowance);
    for (auto const& [name, active] : this->runs)
        latest = std::min(latest, this->latest_lease_end(active));
    if (auto const since = this->foreign.since())
        latest = std::min(latest, *since + stop_allowance);
    return latest;
}

base::steady_time leased_runner::latest_lease_end(active_run const& active) const
{
    auto latest = base::steady_time::max();
    if (active.unlisted_since)
        latest = *active.unlisted_since + longest_unlisted;
    if (!active.permitted_until)
        return latest;
    latest = std::min(latest, add(active.permitted_until(), stop_allowance));
    return active.stop_requested_at
        ? std::min(latest, *active.stop_requested_at + cancelled_stop_allowance)
        : latest;
}

void leased_runner::on_not_sent(worker_lease::grants const& before,
                                worker_lease::grants const& after)
{
    this->lease.withdraw(before, after);
    // The first call that reaches the next incarnation then makes it refuse starts for the former
    // one.
    if (!std::exchange(this->restart_expected, true))
        this->token.advance();
}

void leased_runner::discount_pause()
{
    auto const time = this->now();
    auto const pause = time - std::exchange(this->last_call, time);
    if (pause < min_pause)
        return;
    this->lease.on_paused(pause);
    this->last_contact += pause;
    this->start_lease_end += pause;
}

void leased_runner::record_contact()
{
    this->last_contact = this->now();
    this->restart_expected = false;
    this->update_availability(true, this->is_announced);
}

void leased_runner::tick()
{
    this->discount_pause();
    if (this->token.superseded())
        return;
    auto const time = this->now();
    // Before that, another process may go on renewing the lease.
    if (!this->is_settled && this->is_taken_over && this->lease.expired(time))
        this->settle("leases have lapsed");
    if (this->renewal_in_flight == 0 && time >= this->next_report)
        this->send_report(report_kind::renewal);
    if (this->is_reachable && !this->runs.empty() && time >= this->next_probe)
        this->send_report(report_kind::probe);
    if (this->identity.is_denied() && time >= this->next_identity_check)
        this->check_identity();
    this->resend_commands(time);
    if (this->is_reachable && time - this->last_contact > unreachable_timeout) {
        base::log_record(base::log_event::worker_unreachable)
            .with("worker", this->identity.present().id);
        this->update_availability(false, this->is_announced);
    }
    // Before the worker has accepted a call of this process, another one may extend the lease.
    if (!this->is_reachable && this->is_taken_over && this->lease.expired(time))
        this->finish_expired_runs(time);
}

bool leased_runner::may_start_late(active_run const& active, base::steady_time time)
{
    return active.unanswered > 0 && time < active.last_start_attempt + longest_order_delay;
}

void leased_runner::finish_expired_runs(base::steady_time time)
{
    std::vector<std::string> names;
    for (auto const& [name, active] : this->runs) {
        if (!may_start_late(active, time) && time >= this->start_lease_end)
            names.push_back(name);
    }
    for (auto const& name : names) {
        this->record_inferred_end(this->runs.at(name), end_proof::lease_expired);
        this->finish_run(name, {outcome_kind::unknown, {}, "the worker does not answer"});
    }
}

void leased_runner::resend_commands(base::steady_time time)
{
    for (auto& [name, active] : this->runs) {
        bool const stopping = active.stop_sent && !active.stop_confirmed;
        if (stopping && time >= active.next_stop)
            this->send_stop(active);
        log_stop_delay(active, time);
        bool const starting = active.state == phase::starting && !active.stop_requested_at;
        if (starting && this->available() && time >= active.next_start_attempt
            && active.start_attempts < max_unanswered_starts && this->may_start_now(active))
            this->send_start(active);
    }
}

void leased_runner::log_stop_delay(active_run& active, base::steady_time time)
{
    if (!active.stop_sent || active.stop_delay_logged || time - active.first_stop < long_stop)
        return;
    active.stop_delay_logged = true;
    base::log_record(base::log_event::stop_unconfirmed)
        .with("task", active.run.task)
        .with("run", active.run.number)
        .with("ms", std::chrono::duration_cast<milliseconds>(time - active.first_stop).count());
}

void leased_runner::finish_run(std::string const& name, run_result result)
{
    auto const found = this->runs.find(name);
    if (found == this->runs.end())
        return;
    auto const done = std::move(found->second.done);
    this->runs.erase(found);
    if (this->run_numbers.size() > max_tracked_tasks)
        this->run_numbers.clear();
    done(std::move(result), this->now());
}

void leased_runner::record_inferred_end(active_run const& active, end_proof proof)
{
    inferred_end end {active.run, proof, active.missing_reports, {}};
    if (active.stop_sent)
        end.first_stop = active.first_stop;
    this->ends_without_row.record(end, this->identity.present().id, this->now());
}

void leased_runner::finish_unlisted_run(std::string const& name, end_proof proof)
{
    bool const restarted = this->runs.at(name).worker_restarted;
    this->record_inferred_end(this->runs.at(name), proof);
    if (restarted)
        // The incarnation that has ended may have run the task without listing its end.
        this->finish_run(name, {outcome_kind::unknown, {}, "the worker has restarted"});
    else if (proof == end_proof::lease_expired)
        this->finish_run(name, {outcome_kind::unknown, {}, "the lease of the worker has expired"});
    else
        this->finish_run(name, {outcome_kind::cancelled, {}, "the worker refuses the start"});
}

} // namespace greengagehead::agent
