// A runner with a simulated worker on virtual time, which has announced itself and accepts work.

#pragma once

#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "agent/leased_runner.h"
#include "agent/simulated_worker.h"

namespace greengagehead::agent::fakes {

struct simulated_worker_fixture {
    simulated_worker_fixture() : runner(worker, {}, 100, [this] { return this->now; })
    {
        this->runner.announced({this->worker.id, this->worker.born}, this->worker.clock);
        // The leases of a former process of the agent expire.
        this->advance(std::chrono::milliseconds(1050));
    }

    /// @param work 0 for a run without end.
    void start(std::string const& name, std::chrono::milliseconds work)
    {
        run_request request;
        request.task.task = {"job-" + name, 0};
        request.task.name = name;
        request.task.payload = std::to_string(work.count());
        request.start_before = this->now + std::chrono::milliseconds(1000);
        this->runner.start(request, [this](run_result result, base::steady_time) {
            this->results.push_back(std::move(result));
        });
    }
    void advance(std::chrono::milliseconds duration)
    {
        constexpr std::chrono::milliseconds step {10};
        for (auto const end = this->now + duration; this->now < end;) {
            this->now += step;
            this->worker.advance(step);
            this->runner.tick();
        }
    }

    base::steady_time now {std::chrono::hours(1)};
    simulated_worker worker;
    leased_runner runner;
    std::vector<run_result> results;
};

} // namespace greengagehead::agent::fakes
