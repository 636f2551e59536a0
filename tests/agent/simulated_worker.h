// A leased worker with a virtual clock. Orders may be lost or carried out late, and the worker may
// start a new life under its id.

#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <iterator>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "agent/leased_worker.h"

namespace greengagehead::agent::fakes {

/// Answers are delivered by `advance`, never during the call.
class simulated_worker : public leased_worker {
public:
    /// Longest lease that the worker grants, on its own clock.
    static constexpr worker_clock longest_lease {1000};
    /// After this time a call without an answer counts as unanswered.
    static constexpr std::chrono::milliseconds call_timeout {120};

    void start(call_context const& context, worker_run const& run,
               protocol::task_start const& /*task*/, worker_clock lease_until,
               std::function<void(worker_reply const&)> done) override
    {
        this->receive(this->lost_starts, std::move(done), [this, context, run, lease_until] {
            return this->carry_out_start(context, run, lease_until);
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
        worker_report report;
        if (!this->up) {
            report.reply = {worker_answer::not_sent, {}, {}};
            return this->answer({}, [done = std::move(done), report] { done(report); });
        }
        report.reply = this->reply(this->check(context));
        if (report.reply.answer == worker_answer::accepted) {
            if (lease_until > worker_clock(0))
                this->extend(lease_until);
            for (auto const& [task, number] : this->running)
                report.running.push_back({{task, number}, 0});
            std::copy_if(this->ends.begin(), this->ends.end(), std::back_inserter(report.ended),
                         [=](auto const& end) { return end.sequence > last_seen_end; });
        }
        this->answer({}, [done = std::move(done), report = std::move(report)] { done(report); });
    }

    void advance(std::chrono::milliseconds duration)
    {
        this->clock += duration;
        if (this->clock >= this->lease_end)
            this->end_all(run_end_reason::lease_expired);
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
        this->running.clear();
    }
    /// Starts a life under the same id, which knows nothing of the one before.
    void restart(std::uint64_t born_at)
    {
        this->up = true;
        this->reports = 0;
        this->born = born_at;
        this->clock = worker_clock(0);
        this->lease_end = worker_clock(0);
        this->fence = 0;
        this->running.clear();
        this->barred.clear();
        this->ends.clear();
    }
    /// Carries out the orders that were lost so far, whatever life they were meant for.
    void carry_out_lost_orders()
    {
        for (auto const& order : std::exchange(this->lost, {}))
            (void)order();
    }
    [[nodiscard]] bool runs(std::string const& task) const { return this->running.contains(task); }
    /// Ends every other run as done.
    void finish_all_but(std::string const& task)
    {
        for (auto const& [name, number] : std::map(this->running)) {
            if (name != task)
                this->end(name, run_end_reason::done);
        }
    }

    std::string id = "i-1";
    std::uint64_t born = 5;
    worker_clock clock {10'000};
    worker_clock lease_end {0};
    /// Orders of this kind get no answer, and are carried out by `carry_out_lost_orders` only.
    bool lost_starts = false;
    bool lost_stops = false;
    std::size_t starts = 0; ///< Runs that have started, in all lives.
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
    [[nodiscard]] worker_reply reply(worker_answer answer) const
    {
        return {answer, this->clock, this->born};
    }
    worker_answer check(call_context const& context)
    {
        if (!context.incarnation.id.empty() && context.incarnation.id != this->id)
            return worker_answer::wrong_incarnation;
        if (context.fence < this->fence)
            return worker_answer::stale_fence;
        this->fence = context.fence;
        return worker_answer::accepted;
    }
    void extend(worker_clock lease_until)
    {
        this->lease_end
            = std::max(this->lease_end, std::min(lease_until, this->clock + longest_lease));
    }
    worker_answer carry_out_start(call_context const& context, worker_run const& run,
                                  worker_clock lease_until)
    {
        if (auto const checked = this->check(context); checked != worker_answer::accepted)
            return checked;
        if (lease_until <= this->clock)
            return worker_answer::command_expired;
        this->extend(lease_until);
        auto const present = this->running.find(run.task);
        if (present != this->running.end() && present->second == run.number)
            return worker_answer::accepted;
        auto const highest = this->barred.find(run.task);
        if (present != this->running.end()
            || (highest != this->barred.end() && run.number <= highest->second))
            return worker_answer::stale_run;
        this->running[run.task] = run.number;
        ++this->starts;
        return worker_answer::accepted;
    }
    worker_answer carry_out_stop(call_context const& context, worker_run const& run)
    {
        if (auto const checked = this->check(context); checked != worker_answer::accepted)
            return checked;
        auto& highest = this->barred[run.task];
        highest = std::max(highest, run.number);
        auto const present = this->running.find(run.task);
        if (present != this->running.end() && present->second <= run.number)
            this->end(present->first, run_end_reason::stopped);
        return worker_answer::accepted;
    }
    void end(std::string const task, run_end_reason reason)
    {
        auto const number = this->running.at(task);
        this->running.erase(task);
        auto& highest = this->barred[task];
        highest = std::max(highest, number);
        this->ends.push_back({this->ends.size() + 1, {task, number}, reason});
    }
    void end_all(run_end_reason reason)
    {
        while (!this->running.empty())
            this->end(this->running.begin()->first, reason);
    }

    bool up = true;
    std::uint64_t fence = 0; ///< Highest token that this life has seen.
    std::map<std::string, std::uint64_t> running; ///< Run number, by task.
    /// Highest run number of each task that has ended or was stopped.
    std::map<std::string, std::uint64_t> barred;
    std::vector<ended_run> ends; ///< Of this life.
    std::vector<order> lost;
    std::vector<pending_answer> answers; ///< Not delivered yet.
};

} // namespace greengagehead::agent::fakes
