// A worker that starts again under its id, and orders that were meant for its former life.

#include <catch2/catch.hpp>

#include <chrono>

#include "agent/simulated_worker_fixture.h"

using namespace greengagehead;
using namespace greengagehead::agent;
using namespace greengagehead::agent::fakes;
using protocol::outcome_kind;
using std::chrono::milliseconds;

SCENARIO("the next life of a worker carries out a start of the one before", "[agent][leased]")
{
    GIVEN("a worker that has ended before it answered a start")
    {
        simulated_worker_fixture fixture;
        fixture.worker.lost_starts = true;
        fixture.start("a.0.0.0");
        fixture.worker.crash();
        fixture.advance(milliseconds(2500));

        WHEN("it starts again under its id, and the start arrives there first")
        {
            fixture.worker.restart(6);
            fixture.worker.carry_out_lost_orders();
            REQUIRE(fixture.worker.runs("a.0.0.0"));
            THEN("the run was not given up before")
            {
                CHECK(fixture.results.empty());
            }
            AND_WHEN("the worker answers again")
            {
                fixture.worker.lost_starts = false;
                while (fixture.worker.runs("a.0.0.0")) {
                    REQUIRE(fixture.results.empty());
                    fixture.advance(milliseconds(10));
                }
                fixture.advance(milliseconds(50));
                THEN("the run is given up once it has ended there")
                {
                    CHECK(fixture.results.size() == 1);
                }
            }
        }
        WHEN("it starts again under its id, and the start arrives after the first call")
        {
            fixture.worker.restart(6);
            fixture.worker.lost_starts = false;
            fixture.advance(milliseconds(500));
            fixture.worker.carry_out_lost_orders();
            THEN("the run does not start, and its outcome is unknown")
            {
                CHECK_FALSE(fixture.worker.runs("a.0.0.0"));
                REQUIRE(fixture.results.size() == 1);
                CHECK(fixture.results.front().kind == outcome_kind::unknown);
            }
        }
        WHEN("it never starts again")
        {
            fixture.advance(milliseconds(60'000));
            THEN("the run is given up, so that the agent can stop")
            {
                CHECK(fixture.results.size() == 1);
            }
        }
    }
    GIVEN("a worker that has answered the start of a run and has ended")
    {
        simulated_worker_fixture fixture;
        fixture.start("a.0.0.0");
        fixture.advance(milliseconds(100));
        fixture.worker.crash();
        WHEN("its lease has expired")
        {
            fixture.advance(milliseconds(2500));
            // Guards against callers that wait for a run that cannot go on.
            THEN("the run is given up")
            {
                REQUIRE(fixture.results.size() == 1);
                CHECK(fixture.results.front().kind == outcome_kind::unknown);
            }
        }
    }
}

SCENARIO("a start that was given up reaches the next life of the worker", "[agent][leased]")
{
    GIVEN("a worker that has not carried out a start, and has confirmed that it will not")
    {
        simulated_worker_fixture fixture;
        fixture.worker.lost_starts = true;
        fixture.start("a.0.0.0");
        fixture.advance(milliseconds(500));
        REQUIRE(fixture.results.size() == 1);

        WHEN("it starts again under its id, and the start arrives after its first report")
        {
            fixture.worker.crash();
            fixture.advance(milliseconds(300));
            fixture.worker.restart(6);
            while (fixture.worker.reports == 0)
                fixture.advance(milliseconds(10));
            fixture.worker.carry_out_lost_orders();
            THEN("the run does not start")
            {
                CHECK_FALSE(fixture.worker.runs("a.0.0.0"));
            }
        }
    }
}
