// Reports of the worker: when they are requested, and what they mean for each run.

#include <algorithm>
#include <utility>
#include <vector>

#include "agent/leased_runner.h"
#include "base/log_record.h"

namespace greengagehead::agent {

namespace {

using protocol::outcome_kind;
using std::chrono::milliseconds;

/// While the worker holds back a report until the next end, probes detect that the answer was lost.
constexpr milliseconds probe_interval {30};
constexpr milliseconds refused_report_interval {100};
/// Without a run there is no lease to renew, and reports only check that the worker is reachable.
constexpr milliseconds idle_report_interval {300};
/// A run that the worker lists neither as running nor as ended is stopped after this time.
constexpr milliseconds unlisted_until_stopped {500};
/// Until the runner is settled, reports tell whether runs of a former process have ended.
constexpr milliseconds settling_report_interval {30};

} // namespace

void leased_runner::send_report(report_kind kind)
{
    if (this->token.superseded())
        return;
    auto const time = this->now();
    this->next_probe = time + probe_interval;
    auto const number = ++this->reports_sent;
    if (kind == report_kind::renewal)
        this->renewal_in_flight = number;
    bool const long_poll = kind == report_kind::renewal && !this->runs.empty() && this->is_settled;
    auto const wait = long_poll ? this->limits.max_report_wait : milliseconds(0);
    // Until then the worker may run tasks of a former incarnation of this agent, which entries
    // start elsewhere: their lease must lapse. Without a reading of the worker's clock, the end of
    // a lease cannot be told.
    bool const extends = this->is_settled && this->is_taken_over && this->identity.is_heard()
        && this->lease.clock();
    auto const lease_until
        = extends ? this->lease.next_end(this->latest_lease_end(), time) : worker_clock(0);
    auto const before = this->lease.granted();
    if (extends) {
        this->log_withheld_lease();
        this->lease.grant(lease_until, time);
    }
    // An end that was named before extends nothing in this incarnation of the worker, but may in
    // its next one, whose clock starts anew.
    auto const named = lease_until > before.end ? lease_until : worker_clock(0);
    auto const context = this->context();
    this->worker.report(context, named, this->last_seen_end, wait,
                        [this, weak = std::weak_ptr(this->alive), context, number, before,
                         after = this->lease.granted()](worker_report const& report) {
                            if (weak.expired())
                                return;
                            if (report.reply.answer == worker_answer::not_sent)
                                this->on_not_sent(before, after);
                            if (number == this->renewal_in_flight)
                                this->renewal_in_flight = 0;
                            this->process_report(number, context, report);
                        });
}

void leased_runner::send_identity_check(worker_incarnation const& named)
{
    auto const number = ++this->reports_sent;
    call_context const context {this->token.value(), named};
    this->worker.report(
        context, worker_clock(0), 0, milliseconds(0),
        [this, weak = std::weak_ptr(this->alive), context, number](worker_report const& report) {
            if (!weak.expired())
                this->process_report(number, context, report);
        });
}

void leased_runner::log_withheld_lease()
{
    bool const withheld = this->latest_lease_end() <= this->now();
    if (withheld && !this->lease_withheld)
        base::log_record(base::log_event::lease_withheld)
            .with("worker", this->identity.present().id)
            .with("runs", this->runs.size());
    this->lease_withheld = withheld;
}

void leased_runner::process_report(std::uint64_t number, call_context const& context,
                                   worker_report const& report)
{
    auto const idle = this->is_settled ? idle_report_interval : settling_report_interval;
    this->next_report = this->now() + (this->runs.empty() ? idle : report_delay);
    if (!this->is_current(context.incarnation, report.reply))
        return;
    // While the id is denied, a list that names no start may be of any incarnation.
    bool const has_answered = report.reply.answer != worker_answer::not_sent
        && report.reply.answer != worker_answer::no_answer;
    bool const names_nobody = context.incarnation.id.empty() && report.reply.born.value_or(0) == 0;
    if (has_answered && names_nobody && this->identity.is_denied())
        return;
    if (report.reply.answer == worker_answer::stale_fence) {
        this->next_report = this->now();
        return this->on_stale_fence(context.fence);
    }
    if (report.reply.answer == worker_answer::not_sent) {
        this->next_report = this->now() + probe_interval;
        return;
    }
    if (report.reply.answer != worker_answer::accepted) {
        this->next_report = this->now() + refused_report_interval;
        return;
    }
    this->record_clock(report.reply.clock);
    if (report.reply.clock && number > this->restarted_after_report)
        this->lease.on_fenced(*report.reply.clock, this->now());
    this->record_contact();
    for (auto const& ended : report.ended)
        this->on_ended(ended);
    // The worker made the report before it refused the token.
    if (this->token.superseded())
        return;
    this->reconcile_runs(number, report);
}

void leased_runner::on_ended(ended_run const& ended)
{
    this->last_seen_end = std::max(this->last_seen_end, ended.sequence);
    if (this->ended_run_numbers.size() > max_tracked_tasks)
        this->ended_run_numbers.clear();
    auto& highest = this->ended_run_numbers[ended.run.task];
    highest = std::max(highest, ended.run.number);
    this->ends_without_row.check(ended, this->identity.present().id, this->now());
    this->foreign.on_ended(ended.run);
    auto const found = this->runs.find(ended.run.task);
    if (found == this->runs.end() || found->second.run != ended.run)
        return;
    switch (ended.reason) {
    case run_end_reason::done:
        return this->finish_run(ended.run.task, {outcome_kind::succeeded, "null", {}});
    case run_end_reason::failed:
        return this->finish_run(ended.run.task,
                                {outcome_kind::failed, {}, "the worker reported a failure"});
    case run_end_reason::stopped:
        return this->finish_run(ended.run.task,
                                {outcome_kind::cancelled, {}, "stopped on request"});
    case run_end_reason::lease_expired:
        return this->finish_run(ended.run.task,
                                {outcome_kind::cancelled, {}, "the lease of the run expired"});
    case run_end_reason::gang_member_ended:
        return this->finish_run(
            ended.run.task, {outcome_kind::cancelled, {}, "another task of its gang has ended"});
    }
}

void leased_runner::reconcile_runs(std::uint64_t number, worker_report const& report)
{
    this->stop_foreign_runs(report);
    this->settle_by_report(number, report);
    std::vector<std::pair<std::string, end_proof>> ended;
    for (auto& [name, active] : this->runs) {
        auto const& sent_run = active.run;
        auto const listed
            = std::find_if(report.running.begin(), report.running.end(),
                           [&sent_run](auto const& row) { return row.run == sent_run; });
        if (listed != report.running.end()) {
            active.missing_reports = 0;
            active.unlisted_since.reset();
            active.ended_after_report.reset();
            active.listed = true;
            active.worker_restarted = false;
            active.ended_unless_listed = false;
            // The start was carried out although its answer was lost.
            if (active.state == phase::unconfirmed && !active.stop_sent)
                active.state = phase::running;
            if (report.reply.clock)
                this->check_progress(active, listed->percent, *report.reply.clock);
            continue;
        }
        if (number <= active.expected_after_report || active.state == phase::starting)
            continue;
        if (this->ended_with_former_life(active, report.reply)) {
            ended.emplace_back(name, end_proof::later_incarnation);
            continue;
        }
        this->on_unlisted(active);
        // Otherwise the end of the run may be among those that come after the listed ones.
        bool const lists_all_ends = report.ended.size() < this->limits.max_listed_ends;
        auto const proof = report.reply.clock && lists_all_ends
            ? this->proof_of_end(active, *report.reply.clock)
            : std::nullopt;
        if (!proof)
            continue;
        if (!active.ended_after_report)
            active.ended_after_report = this->reports_sent;
        else if (number > *active.ended_after_report)
            ended.emplace_back(name, *proof);
    }
    for (auto const& [name, proof] : ended)
        this->finish_unlisted_run(name, proof);
}

void leased_runner::stop_foreign_runs(worker_report const& report)
{
    auto const reading = report.reply.clock.value_or(worker_clock(0));
    this->foreign.remove_expired(reading, this->lease.latest_end(), this->limits.max_lease);
    bool listed = false;
    for (auto const& [run, percent] : report.running) {
        auto const own_run = this->runs.find(run.task);
        if (own_run != this->runs.end() && own_run->second.run == run)
            continue;
        auto const ended_number = this->ended_run_numbers.find(run.task);
        if (ended_number != this->ended_run_numbers.end() && run.number <= ended_number->second)
            continue;
        listed = true;
        this->foreign.on_listed(run, reading, this->now());
        this->stop_foreign(run);
    }
    if (listed)
        this->next_report = this->now() + report_delay;
}

void leased_runner::on_unlisted(active_run& active)
{
    auto const time = this->now();
    ++active.missing_reports;
    if (!active.unlisted_since)
        active.unlisted_since = time;
    bool const overdue = time >= *active.unlisted_since + unlisted_until_stopped;
    if (!active.stop_sent && (active.state == phase::unconfirmed || overdue))
        this->send_stop(active);
}

std::optional<end_proof> leased_runner::proof_of_end(active_run const& active,
                                                     worker_clock reading) const
{
    // The next incarnation of the worker may run the task under a lease of its own.
    auto const lease_end = this->lease.latest_end();
    if (!active.worker_restarted && lease_end > worker_clock(0) && reading >= lease_end)
        return end_proof::lease_expired;
    // If the start had been carried out before the stop, the worker would list the end by now.
    bool const may_not_have_started = active.state == phase::unconfirmed && !active.listed;
    if (may_not_have_started && active.stop_confirmed_at
        && reading >= *active.stop_confirmed_at + this->limits.longest_stop_wait())
        return end_proof::start_refused;
    return {};
}

bool leased_runner::ended_with_former_life(active_run const& active,
                                           worker_reply const& reply) const
{
    // An order by an earlier id may have reached the present one before its token was raised, which
    // then may leave out of its lists what it is stopping.
    bool const may_be_stopping = active.unanswered > 0 && active.stop_sent;
    return active.ended_unless_listed && !may_be_stopping
        && reply.born == this->identity.present().born;
}

void leased_runner::check_progress(active_run& active, std::uint32_t percent, worker_clock time)
{
    active.progress.update(percent, time);
    if (active.lag_reported || active.stop_requested_at || active.stop_sent)
        return;
    auto const remaining = active.progress.lag(active.task.expected, time);
    if (!remaining)
        return;
    active.lag_reported = true;
    base::log_record(base::log_event::run_lagging)
        .with("task", active.run.task)
        .with("run", active.run.number)
        .with("worker", this->identity.present().id)
        .with("percent", percent)
        .with("expected", active.task.expected)
        .with("remaining", *remaining);
    this->lag_detected.emit({active.task.task, active.task.attempt}, *remaining);
}

} // namespace greengagehead::agent
