// What a worker does with the commands that reach it: runs, run numbers, fencing token, lease,
// ends. Knows nothing of lost or late commands.

#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <iterator>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "agent/leased_worker.h"

namespace greengagehead::agent::fakes {

/// A run on the worker.
struct model_run {
    worker_run run;
    protocol::attempt_ref attempt;
    worker_clock started {0};
    std::chrono::milliseconds work {0}; ///< On the worker's clock; 0 for a run without end.
    std::optional<worker_clock> stopped_at; ///< When a stop will have ended the run.
};

class worker_model {
public:
    using call_context = leased_worker::call_context;

    /// Longest lease that the worker grants, on its own clock.
    static constexpr worker_clock longest_lease {1000};
    /// As the last seen end: no end is later.
    static constexpr std::uint64_t no_end = std::numeric_limits<std::uint64_t>::max();

    worker_answer carry_out_start(call_context const& context, worker_run const& run,
                                  protocol::task_start const& task, worker_clock lease_until)
    {
        if (auto const checked = this->check(context); checked != worker_answer::accepted)
            return checked;
        if (lease_until <= this->clock)
            return worker_answer::command_expired;
        this->extend(lease_until);
        auto const present = this->running.find(run.task);
        if (present != this->running.end() && present->second.run == run)
            return worker_answer::accepted;
        auto const highest = this->barred.find(run.task);
        if (present != this->running.end()
            || (highest != this->barred.end() && run.number <= highest->second))
            return worker_answer::stale_run;
        auto const started
            = this->running
                  .insert_or_assign(
                      run.task,
                      model_run {run, {task.task, task.attempt}, this->clock, work_of(task), {}})
                  .first;
        ++this->starts;
        if (this->run_started)
            this->run_started(started->second);
        return worker_answer::accepted;
    }
    worker_answer carry_out_stop(call_context const& context, worker_run const& run)
    {
        if (auto const checked = this->check(context); checked != worker_answer::accepted)
            return checked;
        this->bar(run);
        auto const present = this->running.find(run.task);
        if (present == this->running.end() || present->second.run.number > run.number)
            return worker_answer::accepted;
        if (this->stop_duration == std::chrono::milliseconds(0))
            this->end(present->first, run_end_reason::stopped);
        else if (!present->second.stopped_at)
            present->second.stopped_at = this->clock + this->stop_duration;
        return worker_answer::accepted;
    }
    /// Checks a report, extends the lease, and forgets the ends that it acknowledges.
    worker_answer begin_report(call_context const& context, worker_clock lease_until,
                               std::uint64_t last_seen_end)
    {
        if (auto const checked = this->check(context); checked != worker_answer::accepted)
            return checked;
        if (lease_until > worker_clock(0))
            this->extend(lease_until);
        std::erase_if(this->ends, [=](auto const& end) { return end.sequence <= last_seen_end; });
        return worker_answer::accepted;
    }
    [[nodiscard]] worker_reply reply(worker_answer answer) const
    {
        return {answer, this->clock,
                this->stated_born ? this->stated_born(this->born) : this->born};
    }
    [[nodiscard]] worker_report report(worker_answer answer, std::uint64_t last_seen_end) const
    {
        worker_report made {this->reply(answer), {}, {}};
        if (answer != worker_answer::accepted)
            return made;
        for (auto const& [task, present] : this->running) {
            bool const left_out = this->is_left_out && this->is_left_out(present);
            if (this->lists_runs && !left_out && (this->lists_stopping_runs || !present.stopped_at))
                made.running.push_back({present.run, this->percent(present)});
        }
        std::copy_if(this->ends.begin(), this->ends.end(), std::back_inserter(made.ended),
                     [=](auto const& end) { return end.sequence > last_seen_end; });
        return made;
    }

    /// Ends what ends until `time`, in order.
    void advance_to(worker_clock time)
    {
        for (auto& [task, present] : this->running) {
            if (this->stands_still && this->stands_still(present))
                present.started += time - this->clock;
        }
        this->clock = time;
        for (bool ended = true; ended;) {
            ended = false;
            for (auto const& [task, present] : this->running) {
                auto const done_at = present.started + present.work;
                auto const stopped_at = present.stopped_at.value_or(worker_clock::max());
                bool const done = present.work != std::chrono::milliseconds(0) && done_at <= time
                    && done_at <= this->lease_end && done_at <= stopped_at;
                bool const stopped = !done && stopped_at <= time && stopped_at <= this->lease_end;
                if (!done && !stopped && time < this->lease_end)
                    continue;
                this->end(task,
                          done          ? run_end_reason::done
                              : stopped ? run_end_reason::stopped
                                        : run_end_reason::lease_expired);
                ended = true;
                break;
            }
        }
    }
    /// The work of a run will be done after `duration` at most.
    void finish_within(worker_run const& run, std::chrono::milliseconds duration)
    {
        auto const present = this->running.find(run.task);
        if (present == this->running.end() || present->second.run != run)
            return;
        auto const work = this->clock - present->second.started + duration;
        if (present->second.work == std::chrono::milliseconds(0) || work < present->second.work)
            present->second.work = std::max(work, std::chrono::milliseconds(1));
    }
    /// Ends every other run as done.
    void finish_all_but(std::string const& task)
    {
        std::vector<std::string> finished;
        for (auto const& [name, present] : this->running) {
            if (name != task)
                finished.push_back(name);
        }
        for (auto const& name : finished)
            this->end(name, run_end_reason::done);
    }
    /// Ends everything that runs, without a trace of it.
    void crash() { this->running.clear(); }
    /// Starts a life that knows nothing of the one before.
    void begin_life(std::uint64_t born_at)
    {
        this->born = born_at;
        this->former_id.clear();
        this->clock = worker_clock(0);
        this->lease_end = worker_clock(0);
        this->fence = 0;
        this->last_end = 0;
        this->running.clear();
        this->barred.clear();
        this->ends.clear();
    }
    [[nodiscard]] bool runs(std::string const& task) const { return this->running.contains(task); }
    [[nodiscard]] std::map<std::string, model_run> const& present() const { return this->running; }
    [[nodiscard]] bool ended_after(std::uint64_t last_seen_end) const
    {
        return this->last_end > last_seen_end;
    }

    std::chrono::milliseconds stop_duration {0}; ///< From a stop to the end of the run.
    /// Whether reports list a run that is being stopped. The protocol promises only its end.
    bool lists_stopping_runs = true;
    bool lists_runs = true;
    std::function<bool(model_run const&)> is_left_out; ///< By reports.
    std::function<bool(model_run const&)> stands_still; ///< The run makes no progress.
    /// The worker answers the call as if it were meant for another incarnation.
    std::function<bool(call_context const&)> denies;
    /// What answers say about the start of this life.
    std::function<std::optional<std::uint64_t>(std::uint64_t)> stated_born;
    std::string id = "i-1";
    std::string former_id; ///< The worker answers to it too. Empty for none.
    std::uint64_t born = 5;
    worker_clock clock {10'000};
    worker_clock lease_end {0};
    std::size_t starts = 0; ///< Runs that have started, in all lives.
    std::function<void(model_run const&)> run_started;
    std::function<void(model_run const&, run_end_reason)> run_ended;

private:
    /// The payload of a task is its work in milliseconds, or "{}" if it has no end.
    static std::chrono::milliseconds work_of(protocol::task_start const& task)
    {
        return std::chrono::milliseconds(
            task.payload.empty() || task.payload == "{}" ? 0 : std::stoi(task.payload));
    }
    [[nodiscard]] std::uint32_t percent(model_run const& present) const
    {
        if (present.work == std::chrono::milliseconds(0))
            return 0;
        return static_cast<std::uint32_t>((this->clock - present.started) * 100 / present.work);
    }
    worker_answer check(call_context const& context)
    {
        if (this->denies && this->denies(context))
            return worker_answer::wrong_incarnation;
        auto const& named = context.incarnation.id;
        if (!named.empty() && named != this->id && named != this->former_id)
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
    void bar(worker_run const& run)
    {
        auto& highest = this->barred[run.task];
        highest = std::max(highest, run.number);
    }
    void end(std::string const& task, run_end_reason reason)
    {
        auto const ended = this->running.at(task);
        this->running.erase(ended.run.task);
        this->bar(ended.run);
        this->ends.push_back({++this->last_end, ended.run, reason});
        if (this->run_ended)
            this->run_ended(ended, reason);
    }

    std::uint64_t fence = 0; ///< Highest token that this life has seen.
    std::map<std::string, model_run> running; ///< By task.
    /// Highest run number of each task that has ended or was stopped.
    std::map<std::string, std::uint64_t> barred;
    std::vector<ended_run> ends; ///< Of this life, not acknowledged yet.
    std::uint64_t last_end = 0;
};

} // namespace greengagehead::agent::fakes
