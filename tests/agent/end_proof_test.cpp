// What proves the end of a run that the worker leaves out of its reports. Each scenario fails if
// one proof is weakened, which the simulation does not find in a few hundred seeds
// (docs/incidents/absence-taken-for-an-end.md, "Broken variants").

#include <catch2/catch.hpp>

#include <chrono>

#include "agent/simulated_worker_fixture.h"

using namespace greengagehead;
using namespace greengagehead::agent;
using namespace greengagehead::agent::fakes;
using std::chrono::milliseconds;

SCENARIO("a run is never listed again, and no stop reaches it", "[agent][leased]")
{
    GIVEN("a run that the worker does not list, and orders to stop that are lost")
    {
        simulated_worker_fixture fixture(milliseconds(1));
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
        simulated_worker_fixture fixture(milliseconds(1));
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
