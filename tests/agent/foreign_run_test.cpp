// A run on the worker that its agent does not know, while orders to stop it do not arrive.

#include <catch2/catch.hpp>

#include <chrono>

#include "agent/leased_runner.h"
#include "agent/simulated_worker.h"

namespace {

using namespace greengagehead;
using namespace greengagehead::agent;
using namespace greengagehead::agent::fakes;
using std::chrono::milliseconds;

struct foreign_run_fixture {
    foreign_run_fixture() : runner(worker, {}, 100, [this] { return this->now; })
    {
        this->runner.announced({"i-1", 5}, this->worker.clock);
        this->advance(milliseconds(1050));
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
};

} // namespace

SCENARIO("orders to stop an unknown run do not arrive", "[agent][leased]")
{
    GIVEN("a worker with a run of its agent, which no order to stop reaches")
    {
        foreign_run_fixture fixture;
        run_request request;
        request.task.task = {"job", 0};
        request.task.name = "a.0.0.0";
        request.start_before = fixture.now + milliseconds(1000);
        fixture.runner.start(request, [](run_result const&, base::steady_time) {});
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
