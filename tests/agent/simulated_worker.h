// A leased worker with a virtual clock. Orders may be lost or carried out late, and the worker may
// start a new life under its id.

#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

#include "agent/leased_worker.h"
#include "agent/worker_model.h"

namespace greengagehead::agent::fakes {

/// Answers are delivered by `advance`, never during the call.
class simulated_worker : public leased_worker, public worker_model {
public:
    using call_context = leased_worker::call_context;

    /// After this time a call without an answer counts as unanswered.
    static constexpr std::chrono::milliseconds call_timeout {120};

    void start(call_context const& context, worker_run const& run, protocol::task_start const& task,
               worker_clock lease_until, std::function<void(worker_reply const&)> done) override
    {
        this->receive(this->lost_starts, std::move(done), [this, context, run, task, lease_until] {
            return this->carry_out_start(context, run, task, lease_until);
        });
    }
    void stop(call_context const& context, worker_run const& run,
              std::function<void(worker_reply const&)> done) override
    {
        this->receive(this->lost_stops, std::move(done),
                      [this, context, run] { return this->carry_out_stop(context, run); });
    }
    void report(call_context const& context, worker_clock lease_until, std::uint64_t last_seen_end,
                std::chrono::milliseconds /*wait*/,
                std::function<void(worker_report const&)> done) override
    {
        ++this->reports;
        if (this->silent)
            return this->answer(call_timeout, [done = std::move(done)] { done({}); });
        worker_report report;
        if (!this->up)
            report.reply = {worker_answer::not_sent, {}, {}};
        else
            report = worker_model::report(this->begin_report(context, lease_until, last_seen_end),
                                          last_seen_end);
        this->answer({}, [done = std::move(done), report = std::move(report)] { done(report); });
    }

    void advance(std::chrono::milliseconds duration)
    {
        this->advance_to(this->clock + duration);
        for (auto& pending : std::exchange(this->answers, {})) {
            pending.delay -= duration;
            if (pending.delay > std::chrono::milliseconds(0))
                this->answers.push_back(std::move(pending));
            else
                pending.deliver();
        }
    }
    /// Ends everything that runs. Connections are refused until `restart`.
    void crash()
    {
        this->up = false;
        worker_model::crash();
    }
    /// Starts a life under the same id, which knows nothing of the one before.
    void restart(std::uint64_t born_at)
    {
        this->up = true;
        this->reports = 0;
        this->begin_life(born_at);
    }
    /// Carries out the orders that were lost so far, whatever life they were meant for.
    void carry_out_lost_orders()
    {
        for (auto const& order : std::exchange(this->lost, {}))
            (void)order();
    }

    /// Orders of this kind get no answer, and are carried out by `carry_out_lost_orders` only.
    bool lost_starts = false;
    bool lost_stops = false;
    bool silent = false; ///< Reports get no answer and have no effect.
    std::size_t reports = 0; ///< Calls for a report since this life began.

private:
    using order = std::function<worker_answer()>;
    struct pending_answer {
        std::chrono::milliseconds delay;
        std::function<void()> deliver;
    };

    void receive(bool is_lost, std::function<void(worker_reply const&)> done, order received)
    {
        if (!this->up)
            return this->answer({}, [done = std::move(done)] {
                done({worker_answer::not_sent, {}, {}});
            });
        if (is_lost) {
            this->lost.push_back(std::move(received));
            return this->answer(call_timeout, [done = std::move(done)] { done({}); });
        }
        auto const answered = this->reply(received());
        this->answer({}, [done = std::move(done), answered] { done(answered); });
    }
    void answer(std::chrono::milliseconds delay, std::function<void()> deliver)
    {
        this->answers.push_back({delay, std::move(deliver)});
    }

    bool up = true;
    std::vector<order> lost;
    std::vector<pending_answer> answers; ///< Not delivered yet.
};

} // namespace greengagehead::agent::fakes
