// Which incarnation of the worker the runner works with.

#include <utility>

#include "agent/leased_runner.h"
#include "base/log_record.h"

namespace greengagehead::agent {

namespace {

using protocol::outcome_kind;

incarnation_answer judge(worker_incarnation const& announced, worker_reply const& reply)
{
    if (reply.answer == worker_answer::wrong_incarnation)
        return incarnation_answer::refuted;
    if (reply.answer != worker_answer::accepted)
        return incarnation_answer::unanswered;
    // A worker that restarts under its id accepts calls to all of its incarnations.
    return reply.born.value_or(announced.born) == announced.born ? incarnation_answer::confirmed
                                                                 : incarnation_answer::refuted;
}

} // namespace

void leased_runner::ask_incarnation(worker_incarnation const& announced,
                                    std::function<void(incarnation_answer)> done)
{
    this->resume_if_due();
    if (this->token.superseded())
        return done(incarnation_answer::unanswered);
    // Grants no lease and acknowledges no end.
    auto const sent = this->token.value();
    this->worker.report({sent, announced}, worker_clock(0), 0, std::chrono::milliseconds(0),
                        [this, weak = std::weak_ptr(this->alive), announced, sent,
                         done = std::move(done)](worker_report const& report) {
                            if (weak.expired())
                                return;
                            if (report.reply.answer == worker_answer::accepted)
                                this->on_token_accepted();
                            if (report.reply.answer == worker_answer::stale_fence)
                                this->on_stale_fence(sent);
                            done(judge(announced, report.reply));
                        });
}

void leased_runner::announced(worker_incarnation const& current,
                              std::optional<worker_clock> reading)
{
    this->resume_if_due();
    // Ignores delayed announcements of earlier incarnations.
    bool const same_id = current.id == this->incarnation.id;
    if (same_id && current.born < this->incarnation.born)
        return;
    if (same_id && current.born > this->incarnation.born)
        this->on_restarted(current.born);
    if (current != this->incarnation) {
        if (!this->incarnation.id.empty())
            this->on_worker_lost("the worker has restarted");
        // Answers that came while no incarnation was known may be from an earlier one.
        this->forget_worker_state();
        this->incarnation = current;
        this->next_report = this->now();
    }
    this->record_clock(reading);
    this->update_availability(this->is_reachable, true);
}

bool leased_runner::is_current(worker_incarnation const& addressed, worker_reply const& reply)
{
    if (reply.answer == worker_answer::accepted)
        this->on_token_accepted();
    if (reply.answer == worker_answer::wrong_incarnation) {
        // A call to an earlier incarnation tells nothing about the present one.
        if (!addressed.id.empty() && addressed == this->incarnation)
            this->on_worker_lost("the worker has restarted");
        return false;
    }
    if (addressed.id != this->incarnation.id)
        return false;
    // While no incarnation is known, whichever answers is the present one.
    if (addressed.id.empty())
        return true;
    if (this->incarnation.born != 0 && reply.born.value_or(0) > this->incarnation.born)
        this->on_restarted(*reply.born);
    return reply.born.value_or(addressed.born) == this->incarnation.born;
}

void leased_runner::on_restarted(std::uint64_t born)
{
    base::log_record(base::log_event::worker_restarted)
        .with("worker", this->incarnation.id)
        .with("born", born)
        .with("runs", this->runs.size());
    this->incarnation.born = born;
    this->forget_worker_state();
    this->lease.on_restarted(this->now());
    this->restarted_after_report = this->reports_sent;
    // Commands that were sent to the previous incarnation may still arrive. The new one refuses
    // them once it has seen a higher token.
    this->token.advance();
    for (auto& [name, active] : this->runs) {
        active.worker_restarted = true;
        active.stop_sent = false;
        active.stop_confirmed = false;
        active.stop_confirmed_at.reset();
        active.listed = false;
        active.missing_reports = 0;
        active.unlisted_since.reset();
        active.ended_after_report.reset();
        active.progress = {};
        if (active.state != phase::starting || active.in_flight == 0)
            active.state = phase::unconfirmed;
        active.expected_after_report = this->reports_sent;
        if (active.stop_requested_at)
            this->send_stop(active);
    }
    this->send_report(report_kind::probe);
    this->update_availability(this->is_reachable, false);
}

void leased_runner::forget_worker_state()
{
    this->lease.reset();
    this->foreign.clear();
    this->last_seen_end = 0;
    this->renewal_in_flight = 0;
    this->ended_run_numbers.clear();
}

void leased_runner::update_availability(bool reachable, bool announced)
{
    bool const before = this->available();
    this->is_reachable = reachable;
    this->is_announced = announced;
    if (this->available() != before)
        this->availability_changed.emit(!before);
}

void leased_runner::on_worker_lost(std::string const& reason)
{
    base::log_record(base::log_event::worker_lost)
        .with("worker", this->incarnation.id)
        .with("born", this->incarnation.born)
        .with("runs", this->runs.size())
        .with("reason", reason);
    for (auto const& [name, active] : this->runs)
        this->record_inferred_end(active, end_proof::later_incarnation);
    this->incarnation = {};
    // A later incarnation may have the same id, and refuses late starts for this one.
    this->token.advance();
    this->forget_worker_state();
    this->run_numbers.clear();
    auto lost = std::exchange(this->runs, {});
    // Before the results: `done` may ask for other starts, which must be refused.
    this->update_availability(this->is_reachable, false);
    for (auto& [name, active] : lost)
        std::exchange(active.done, nullptr)({outcome_kind::unknown, {}, reason}, this->now());
}

} // namespace greengagehead::agent
