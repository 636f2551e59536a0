// What a runner has learnt from a worker before the worker's first announcement to it.

#include <catch2/catch.hpp>

#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "agent/leased_runner.h"
#include "agent/simulated_worker.h"

namespace {

using namespace greengagehead;
using namespace greengagehead::agent;
using namespace greengagehead::agent::fakes;
using protocol::outcome_kind;
using std::chrono::milliseconds;

/// Shorter than the longest lease of the worker.
constexpr milliseconds longest_lease {800};

/// A runner that has just started. Its worker has ended a run of an earlier agent before.
struct started_agent_fixture {
    started_agent_fixture() : runner(worker, {longest_lease}, 100, [this] { return this->now; })
    {
        (void)this->worker.carry_out_start({}, {"old.0.0.0", 1}, {},
                                           this->worker.clock + milliseconds(500));
        (void)this->worker.carry_out_stop({}, {"old.0.0.0", 1});
        this->advance(milliseconds(50));
    }

    void start(std::string const& name, milliseconds work)
    {
        run_request request;
        request.task.task = {"job", 0};
        request.task.name = name;
        request.task.payload = std::to_string(work.count());
        request.start_before = this->now + milliseconds(1000);
        this->runner.start(request, [this](run_result result, base::steady_time) {
            this->results.push_back(std::move(result));
        });
    }
    void advance(milliseconds duration)
    {
        constexpr milliseconds step {10};
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

} // namespace

SCENARIO("a worker restarts before it has announced itself to a new agent", "[agent][leased]")
{
    GIVEN("an agent that has started, and a worker that has restarted under its id since")
    {
        started_agent_fixture fixture;
        fixture.worker.crash();
        fixture.advance(milliseconds(500));
        fixture.worker.restart(6);
        fixture.advance(milliseconds(500));
        fixture.runner.announced({"i-1", 6}, fixture.worker.clock);
        fixture.advance(milliseconds(50));

        WHEN("a run ends there")
        {
            fixture.start("a.0.0.0", milliseconds(100));
            fixture.advance(milliseconds(500));
            // Guards against ends of the new life that are taken as known, because the former one
            // had numbered others so: the task would run again.
            THEN("its outcome is that of the worker")
            {
                REQUIRE(fixture.results.size() == 1);
                CHECK(fixture.results.front().kind == outcome_kind::succeeded);
            }
        }
        WHEN("a run goes on")
        {
            fixture.start("a.0.0.0", milliseconds(5000));
            fixture.advance(milliseconds(100));
            // Guards against a clock reading of the former life, which lies ahead: leases would end
            // later than the agent has counted.
            THEN("its lease ends as early as the agent has granted it")
            {
                REQUIRE(fixture.worker.runs("a.0.0.0"));
                CHECK(fixture.worker.lease_end <= fixture.worker.clock + longest_lease);
            }
        }
    }
}
