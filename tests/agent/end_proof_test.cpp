// What proves the end of a run that the worker leaves out of its reports. Each scenario fails if
// one proof is weakened, which the simulation does not find in a few hundred seeds
// (docs/incidents/absence-taken-for-an-end.md, "Broken variants").

#include <catch2/catch.hpp>

#include <chrono>
#include <optional>
#include <string>

#include "agent/leased_runner.h"
#include "agent/simulated_worker.h"

namespace {

using namespace greengagehead;
using namespace greengagehead::agent;
using namespace greengagehead::agent::fakes;
using std::chrono::milliseconds;

struct end_proof_fixture {
    end_proof_fixture() : runner(worker, {}, 100, [this] { return this->now; })
    {
        this->runner.announced({"i-1", 5}, this->worker.clock);
        this->advance(milliseconds(1100));
    }

    void advance(milliseconds duration)
    {
        constexpr milliseconds step {1};
        constexpr milliseconds tick_interval {10};
        for (auto const end = this->now + duration; this->now < end;) {
            this->now += step;
            this->worker.advance(step);
            if (this->now.time_since_epoch() % tick_interval == milliseconds(0))
                this->runner.tick();
        }
    }
    void start(std::string const& name)
    {
        run_request request;
        request.task.task = {"job", 0};
        request.task.name = name;
        request.start_before = this->now + milliseconds(1000);
        this->runner.start(request, [this, name](run_result const&, base::steady_time) {
            this->ran_at_result = this->worker.runs(name);
        });
    }

    base::steady_time now {std::chrono::hours(1)};
    simulated_worker worker;
    leased_runner runner;
    std::optional<bool> ran_at_result; ///< Empty until the run has a result.
};

} // namespace

SCENARIO("a run is never listed again, and no stop reaches it", "[agent][leased]")
{
    GIVEN("a run that the worker does not list, and orders to stop that are lost")
    {
        end_proof_fixture fixture;
        fixture.start("a.0.0.0");
        fixture.advance(milliseconds(50));
        fixture.worker.lists_runs = false;
        fixture.worker.lost_stops = true;

        WHEN("the worker goes on to answer reports")
        {
            fixture.advance(milliseconds(5000));
            // Guards against a lease that is renewed without end for a run that nothing else ends.
            THEN("the lease ends the run, and its outcome is reported after that")
            {
                REQUIRE(fixture.ran_at_result);
                CHECK_FALSE(*fixture.ran_at_result);
            }
        }
    }
}

SCENARIO("an unknown run is missing from some lists", "[agent][leased]")
{
    GIVEN("a worker with a run of its agent and an unknown one, which no order to stop reaches")
    {
        end_proof_fixture fixture;
        fixture.start("a.0.0.0");
        fixture.advance(milliseconds(100));
        fixture.worker.lost_stops = true;
        (void)fixture.worker.carry_out_start({100, {}}, {"b.0.0.0", 1}, {},
                                             fixture.worker.clock + milliseconds(500));
        REQUIRE(fixture.worker.runs("b.0.0.0"));

        WHEN("lists are empty for 40 ms in each 200 ms")
        {
            constexpr int gaps = 7;
            for (int gap = 0; gap < gaps; ++gap) {
                fixture.advance(milliseconds(160));
                fixture.worker.lists_runs = false;
                fixture.advance(milliseconds(40));
                fixture.worker.lists_runs = true;
            }
            // Guards against an empty list that is taken for the end of unknown runs: their time
            // would start again with each list that has them.
            THEN("the lease has ended the unknown run")
            {
                CHECK_FALSE(fixture.worker.runs("b.0.0.0"));
            }
        }
    }
}
