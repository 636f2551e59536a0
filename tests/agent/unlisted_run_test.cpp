// Runs that the worker leaves out of its reports before they have ended.

#include <catch2/catch.hpp>

#include <chrono>

#include "agent/simulated_worker_fixture.h"

namespace {

using namespace greengagehead;
using namespace greengagehead::agent;
using namespace greengagehead::agent::fakes;
using std::chrono::milliseconds;

struct unlisted_run_fixture : simulated_worker_fixture {
    unlisted_run_fixture() : simulated_worker_fixture(milliseconds(1))
    {
        this->worker.stop_duration = milliseconds(50);
        this->worker.lists_stopping_runs = false;
    }
};

} // namespace

SCENARIO("a worker does not list a run that it is stopping", "[agent][leased]")
{
    GIVEN("a worker that takes 50 ms to stop a run")
    {
        unlisted_run_fixture fixture;
        fixture.start("a.0.0.0");
        fixture.advance(milliseconds(100));
        REQUIRE(fixture.worker.runs("a.0.0.0"));

        WHEN("the run is stopped")
        {
            fixture.stop("a.0.0.0");
            fixture.advance(milliseconds(200));

            // Guards against a task that is started elsewhere while its run is being stopped.
            THEN("its outcome is reported once it has ended")
            {
                REQUIRE(fixture.results.size() == 1);
                CHECK(fixture.results.front().message == "stopped on request");
                CHECK_FALSE(*fixture.ran_at_result);
            }
        }
    }
}

SCENARIO("a worker does not list a run that was started without an answer", "[agent][leased]")
{
    GIVEN("a start that is carried out without an answer")
    {
        unlisted_run_fixture fixture;
        fixture.worker.lost_starts = true;
        fixture.start("a.0.0.0");
        fixture.advance(milliseconds(100));
        fixture.worker.carry_out_lost_orders();
        REQUIRE(fixture.worker.runs("a.0.0.0"));

        WHEN("the run is stopped")
        {
            fixture.stop("a.0.0.0");
            fixture.advance(milliseconds(400));

            // Guards against a confirmed stop that is taken for the end of the run.
            THEN("its outcome is reported once it has ended")
            {
                REQUIRE(fixture.results.size() == 1);
                CHECK_FALSE(*fixture.ran_at_result);
            }
        }
    }
}

SCENARIO("a worker leaves a run out of its reports", "[agent][leased]")
{
    GIVEN("a run that the worker does not list")
    {
        unlisted_run_fixture fixture;
        fixture.start("a.0.0.0");
        fixture.advance(milliseconds(50));
        fixture.worker.lists_runs = false;

        WHEN("the worker lists it again after 100 ms")
        {
            fixture.advance(milliseconds(100));
            fixture.worker.lists_runs = true;
            fixture.advance(milliseconds(50));
            // Guards against a task that is started elsewhere while its run goes on.
            THEN("the run goes on")
            {
                CHECK(fixture.results.empty());
                CHECK(fixture.worker.runs("a.0.0.0"));
            }
        }
        WHEN("the worker never lists it again")
        {
            fixture.advance(milliseconds(5000));
            // Guards against a caller that waits for a run that nothing ends.
            THEN("its outcome is reported once it has ended")
            {
                REQUIRE(fixture.results.size() == 1);
                CHECK_FALSE(*fixture.ran_at_result);
            }
        }
    }
}

SCENARIO("an agent starts while its worker stops a run that it does not list", "[agent][leased]")
{
    GIVEN("a worker that is stopping a run of the former incarnation of its agent")
    {
        base::steady_time now {std::chrono::hours(1)};
        simulated_worker worker;
        worker.stop_duration = milliseconds(50);
        worker.lists_stopping_runs = false;
        (void)worker.carry_out_start({100, {}}, {"a.0.0.0", 1}, {},
                                     worker.clock + milliseconds(900));
        (void)worker.carry_out_stop({100, {}}, {"a.0.0.0", 1});

        WHEN("the agent starts and counts as settled")
        {
            leased_runner runner(worker, {}, 200, [&now] { return now; });
            runner.announced({"i-1", 5}, worker.clock);
            while (!runner.settled()) {
                now += milliseconds(10);
                worker.advance(milliseconds(10));
                runner.tick();
            }
            // Guards against entries that start the task elsewhere while the run goes on.
            THEN("the run has ended")
            {
                CHECK_FALSE(worker.runs("a.0.0.0"));
            }
        }
    }
}
