// Which incarnation of the worker the runner works with.

#include <optional>
#include <utility>

#include "agent/leased_runner.h"
#include "base/log_record.h"

namespace greengagehead::agent {

namespace {

/// A worker on the same VM answers within a few milliseconds.
constexpr std::chrono::milliseconds identity_check_interval {10};

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

/// The clock of another life starts anew. If it goes on, a start was misstated, and nothing ended.
bool clock_goes_on(std::optional<worker_clock> reading, std::optional<worker_clock> known)
{
    return reading && known && *reading >= *known;
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
    this->discount_pause();
    this->resume_if_due();
    // Ignores delayed announcements of earlier incarnations.
    auto const present = this->identity.present();
    bool const same_id = current.id == present.id;
    if (same_id && current.born < present.born)
        return;
    if (this->identity.is_present(current)) {
        bool const before = this->available();
        this->identity.rename(current.id);
        this->emit_if_changed(before);
    } else if (present == worker_incarnation {}) {
        // Answers that came while no incarnation was known may be from an earlier one.
        this->forget_worker_state();
        this->identity.replace(current);
        this->next_report = this->now();
    } else {
        bool const other_life = !same_id && current.born > present.born
            && !clock_goes_on(reading, this->lease.clock());
        this->on_life_ended(current,
                            other_life ? former_orders::refused : former_orders::may_arrive);
    }
    this->identity.on_announced();
    this->record_clock(reading);
    this->update_availability(this->is_reachable, true);
}

bool leased_runner::is_current(worker_incarnation const& named, worker_reply const& reply)
{
    this->discount_pause();
    if (reply.answer == worker_answer::accepted)
        this->on_token_accepted();
    bool const before = this->available();
    bool const was_denied = this->identity.is_denied();
    switch (this->identity.judge(named, reply)) {
    case answer_origin::unknown:
        return false;
    case answer_origin::denied:
        this->emit_if_changed(before);
        this->on_denied();
        return false;
    case answer_origin::other_life: {
        bool const later = *reply.born > named.born;
        bool const has_other_id = named.id.empty() && was_denied && later
            && !clock_goes_on(reply.clock, this->lease.clock());
        this->on_life_ended(this->identity.answering(named.id, *reply.born),
                            has_other_id ? former_orders::answered_only
                                         : former_orders::may_arrive);
        return true;
    }
    case answer_origin::present:
        break;
    }
    this->emit_if_changed(before);
    return true;
}

void leased_runner::on_denied()
{
    base::log_record(base::log_event::incarnation_denied)
        .with("worker", this->identity.present().id)
        .with("born", this->identity.present().born)
        .with("runs", this->runs.size());
    this->check_identity();
}

void leased_runner::check_identity()
{
    if (this->token.superseded())
        return;
    this->next_identity_check = this->now() + identity_check_interval;
    auto const present = this->identity.present();
    this->send_identity_check({{}, present.born});
    this->send_identity_check(present);
}

void leased_runner::on_life_ended(worker_incarnation const& next, former_orders orders)
{
    auto const former = this->identity.present();
    base::log_record(next.id == former.id ? base::log_event::worker_restarted
                                          : base::log_event::worker_lost)
        .with("worker", former.id)
        .with("born", former.born)
        .with("next", next.id)
        .with("next_born", next.born)
        .with("runs", this->runs.size());
    bool const before = this->available();
    this->identity.replace(next);
    this->is_announced = this->identity.is_announced();
    this->forget_worker_state();
    this->lease.on_restarted(this->now());
    this->restarted_after_report = this->reports_sent;
    // Commands that were sent to the previous incarnation may still arrive. The new one refuses
    // them once it has seen a higher token.
    this->token.advance();
    for (auto& [name, active] : this->runs)
        this->await_confirmation(active, orders);
    this->send_report(report_kind::probe);
    this->emit_if_changed(before);
}

void leased_runner::await_confirmation(active_run& active, former_orders orders)
{
    active.worker_restarted = true;
    active.ended_unless_listed = orders == former_orders::refused
        || (orders == former_orders::answered_only && active.unanswered == 0);
    active.stop_sent = false;
    active.stop_confirmed = false;
    active.stop_confirmed_at.reset();
    active.listed = false;
    active.missing_reports = 0;
    active.unlisted_since.reset();
    active.ended_after_report.reset();
    active.progress = {};
    if (orders == former_orders::refused || active.state != phase::starting
        || active.in_flight == 0)
        active.state = phase::unconfirmed;
    active.expected_after_report = this->reports_sent;
    if (active.stop_requested_at)
        this->send_stop(active);
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
    this->emit_if_changed(before);
}

void leased_runner::emit_if_changed(bool before)
{
    if (this->available() != before)
        this->availability_changed.emit(!before);
}

} // namespace greengagehead::agent
