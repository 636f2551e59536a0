// A run on the worker that its agent does not know, while orders to stop it do not arrive.

#include <catch2/catch.hpp>

#include <chrono>

#include "agent/simulated_worker_fixture.h"

using namespace greengagehead;
using namespace greengagehead::agent;
using namespace greengagehead::agent::fakes;
using std::chrono::milliseconds;

SCENARIO("orders to stop an unknown run do not arrive", "[agent][leased]")
{
    GIVEN("a worker with a run of its agent, which no order to stop reaches")
    {
        simulated_worker_fixture fixture;
        fixture.start("a.0.0.0");
        fixture.advance(milliseconds(500));
        REQUIRE(fixture.worker.runs("a.0.0.0"));
        fixture.worker.lost_stops = true;

        WHEN("it carries out a start that the agent has given up")
        {
            (void)fixture.worker.carry_out_start({100, {}}, {"b.0.0.0", 1}, {},
                                                 fixture.worker.clock + milliseconds(500));
            REQUIRE(fixture.worker.runs("b.0.0.0"));
            fixture.advance(milliseconds(1300));
            // Guards against a lease that is renewed for the agent's own run and so for the unknown
            // one, whose task may run elsewhere.
            THEN("the lease has ended that run")
            {
                CHECK_FALSE(fixture.worker.runs("b.0.0.0"));
            }
        }
    }
}
