// A runner with a simulated worker on virtual time, which has announced itself and accepts work.

#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "agent/leased_runner.h"
#include "agent/simulated_worker.h"

namespace greengagehead::agent::fakes {

struct simulated_worker_fixture {
    static constexpr std::chrono::milliseconds tick_interval {10};

    /// @param time_step in which the worker advances.
    explicit simulated_worker_fixture(std::chrono::milliseconds time_step = tick_interval)
        : step(time_step), runner(worker, {}, 100, [this] { return this->now; })
    {
        this->runner.announced({this->worker.id, this->worker.born}, this->worker.clock);
        // The leases of a former process of the agent expire.
        this->advance(std::chrono::milliseconds(1100));
    }

    /// @param work 0 for a run without end.
    void start(std::string const& name,
               std::chrono::milliseconds work = std::chrono::milliseconds(0))
    {
        run_request request;
        request.task.task = {"job-" + name, 0};
        request.task.name = name;
        request.task.payload = std::to_string(work.count());
        request.start_before = this->now + std::chrono::milliseconds(1000);
        this->runner.start(request, [this, name](run_result result, base::steady_time) {
            this->results.push_back(std::move(result));
            this->ran_at_result = this->worker.runs(name);
        });
    }
    void stop(std::string const& name) { this->runner.stop({}, {"job-" + name, 0}); }
    void advance(std::chrono::milliseconds duration)
    {
        for (auto const end = this->now + duration; this->now < end;) {
            this->now += this->step;
            this->worker.advance(this->step);
            if (this->now.time_since_epoch() % tick_interval == std::chrono::milliseconds(0))
                this->runner.tick();
        }
    }

    std::chrono::milliseconds step;
    base::steady_time now {std::chrono::hours(1)};
    simulated_worker worker;
    leased_runner runner;
    std::vector<run_result> results;
    /// Whether the last run with a result was on the worker then.
    std::optional<bool> ran_at_result;
};

} // namespace greengagehead::agent::fakes
