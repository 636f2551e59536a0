// Reports of the worker: when they are asked for, and what they say about each run.

#include <algorithm>
#include <utility>
#include <vector>

#include "agent/leased_runner.h"
#include "base/log_record.h"

namespace greengagehead::agent {

namespace {

using protocol::outcome_kind;
using std::chrono::milliseconds;

/// While a report waits for an end at the worker, its answer may also be lost.
constexpr milliseconds probe_interval {30};
constexpr milliseconds refused_report_interval {100};
/// Without a run there is no lease to renew; the worker is asked now and then whether it is there.
constexpr milliseconds idle_report_interval {300};

} // namespace

void leased_runner::send_report(report_kind kind)
{
    auto const time = this->now();
    this->next_probe = time + probe_interval;
    this->report_open |= kind == report_kind::renewal;
    auto const number = ++this->reports_sent;
    bool const waits = kind == report_kind::renewal && !this->runs.empty() && this->is_settled;
    auto const wait = waits ? this->limits.report_wait : milliseconds(0);
    auto const until = this->lease_end();
    auto const longest = this->limits.longest * (100 + this->limits.clock_drift_percent) / 100;
    // A command that is carried out late extends no lease beyond this: the end is absolute.
    if (!this->runs.empty())
        this->leases_over = std::max(this->leases_over, time + longest);
    this->worker.report(
        this->terms(), until, this->seen_end, wait,
        [this, weak = std::weak_ptr(this->alive), number, kind](worker_report const& report) {
            if (!weak.expired())
                this->on_report(number, kind, report);
        });
}

void leased_runner::on_report(std::uint64_t number, report_kind kind, worker_report const& report)
{
    if (kind == report_kind::renewal)
        this->report_open = false;
    this->take_report(number, report);
}

void leased_runner::take_report(std::uint64_t number, worker_report const& report)
{
    this->next_report = this->now() + (this->runs.empty() ? idle_report_interval : report_gap);
    if (report.reply.answer == worker_answer::wrong_incarnation)
        return this->lose_life("the worker has restarted");
    if (report.reply.answer == worker_answer::stale_fence) {
        this->next_report = this->now();
        return this->raise_fence();
    }
    if (report.reply.answer != worker_answer::accepted) {
        this->next_report = this->now() + refused_report_interval;
        return;
    }
    this->note_clock(report.reply.clock);
    this->note_contact();
    for (auto const& ended : report.ended)
        this->on_ended(ended);
    this->check_listed(number, report);
}

void leased_runner::on_ended(ended_run const& ended)
{
    this->seen_end = std::max(this->seen_end, ended.number);
    if (this->ended_numbers.size() > most_numbers)
        this->ended_numbers.clear();
    auto& highest = this->ended_numbers[ended.run.task];
    highest = std::max(highest, ended.run.number);
    auto const found = this->runs.find(ended.run.task);
    if (found == this->runs.end() || found->second.run != ended.run)
        return;
    switch (ended.how) {
    case run_end_reason::done:
        return this->end(ended.run.task, {outcome_kind::succeeded, "null", {}});
    case run_end_reason::failed:
        return this->end(ended.run.task,
                         {outcome_kind::failed, {}, "the worker reports a failure"});
    case run_end_reason::stopped:
        return this->end(ended.run.task, {outcome_kind::cancelled, {}, "stopped"});
    case run_end_reason::lease_expired:
        return this->end(ended.run.task, {outcome_kind::cancelled, {}, "its lease has lapsed"});
    case run_end_reason::dependency_ended:
        return this->end(ended.run.task, {outcome_kind::cancelled, {}, "broken off"});
    }
}

void leased_runner::check_listed(std::uint64_t number, worker_report const& report)
{
    bool foreign = false;
    for (auto const& [run, percent] : report.running) {
        auto const known = this->runs.find(run.task);
        if (known != this->runs.end() && known->second.run == run)
            continue;
        auto const over = this->ended_numbers.find(run.task);
        if (over != this->ended_numbers.end() && run.number <= over->second)
            continue;
        foreign = true;
        this->stop_foreign(run);
    }
    if (foreign)
        this->next_report = this->now() + report_gap;
    if (!foreign && !std::exchange(this->is_settled, true))
        base::log_record(base::log_event::worker_settled).with("reason", "nothing runs");
    std::vector<std::string> over;
    for (auto& [name, item] : this->runs) {
        auto const& wanted = item.run;
        auto const listed = std::find_if(report.running.begin(), report.running.end(),
                                         [&wanted](auto const& row) { return row.run == wanted; });
        if (listed != report.running.end()) {
            item.missing = 0;
            // The start has arrived although its answer was lost.
            if (item.state == phase::doubtful && !item.stop_sent)
                item.state = phase::running;
            if (report.reply.clock)
                this->check_progress(item, listed->percent, *report.reply.clock);
            continue;
        }
        if (item.state == phase::doubtful && !item.stop_sent && number > item.known_since)
            this->send_stop(item);
        bool const expected = item.state == phase::running || item.stop_answered;
        if (expected && number > item.known_since && ++item.missing >= missing_reports_until_over)
            over.push_back(name);
    }
    for (auto const& name : over)
        this->end(name, {outcome_kind::cancelled, {}, "the worker does not list the run"});
}

void leased_runner::check_progress(open_run& item, std::uint32_t percent, worker_clock time)
{
    item.progress.update(percent, time);
    if (item.lag_reported || item.stop_wanted || item.stop_sent)
        return;
    auto const remaining = item.progress.lag(item.task.expected, time);
    if (!remaining)
        return;
    item.lag_reported = true;
    base::log_record(base::log_event::run_lagging)
        .with("task", item.run.task)
        .with("run", item.run.number)
        .with("worker", this->incarnation.id)
        .with("percent", percent)
        .with("expected", item.task.expected)
        .with("remaining", *remaining);
    this->lag_detected.emit({item.task.task, item.task.attempt}, *remaining);
}

} // namespace greengagehead::agent
