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
    // Grants no lease and acknowledges no end.
    this->worker.report({this->fence, announced}, worker_clock(0), 0, std::chrono::milliseconds(0),
                        [this, weak = std::weak_ptr(this->alive), announced, sent = this->fence,
                         done = std::move(done)](worker_report const& report) {
                            if (weak.expired())
                                return;
                            if (report.reply.answer == worker_answer::stale_fence
                                && sent == this->fence)
                                this->raise_fence();
                            done(judge(announced, report.reply));
                        });
}

void leased_runner::announced(worker_incarnation const& current,
                              std::optional<worker_clock> reading)
{
    // Ignores delayed announcements of earlier incarnations.
    if (!this->incarnation.id.empty() && current.born < this->incarnation.born)
        return;
    if (current != this->incarnation) {
        if (!this->incarnation.id.empty())
            this->on_worker_lost("the worker has restarted");
        this->incarnation = current;
        this->clock.reset();
        this->last_seen_end = 0;
        this->next_report = this->now();
    }
    this->record_clock(reading);
}

void leased_runner::on_worker_lost(std::string const& reason)
{
    base::log_record(base::log_event::worker_lost)
        .with("worker", this->incarnation.id)
        .with("born", this->incarnation.born)
        .with("runs", this->runs.size())
        .with("reason", reason);
    this->incarnation = {};
    this->clock.reset();
    this->last_seen_end = 0;
    this->run_numbers.clear();
    this->ended_run_numbers.clear();
    // `done` may start other tasks and so change `runs`.
    auto lost = std::exchange(this->runs, {});
    for (auto& [name, active] : lost)
        std::exchange(active.done, nullptr)({outcome_kind::unknown, {}, reason}, this->now());
}

} // namespace greengagehead::agent
