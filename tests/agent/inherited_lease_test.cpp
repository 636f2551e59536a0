// A start for a former life of the worker that its next life carries out, under a lease of its own.

#include <catch2/catch.hpp>

#include <chrono>
#include <optional>

#include "agent/leased_runner.h"
#include "agent/simulated_worker.h"

namespace {

using namespace greengagehead;
using namespace greengagehead::agent;
using namespace greengagehead::agent::fakes;
using std::chrono::milliseconds;

/// The run may go on for 300 ms, and the agent grants no longer lease. The start names a time on
/// the clock of the former life, which the next one takes for its longest lease.
struct inherited_lease_fixture {
    inherited_lease_fixture() : runner(worker, {}, 100, [this] { return this->now; })
    {
        // Keeps the leases of the former life short, as a waiting task does.
        this->runner.waiting_permitted_until = [this] { return this->now; };
        this->runner.announced({"i-1", 5}, this->worker.clock);
        this->advance(milliseconds(1100));
        this->permitted_until = this->now;
        this->worker.crash();
        this->worker.restart(6);
        run_request request;
        request.task.task = {"job", 0};
        request.task.name = "a.0.0.0";
        request.start_before = this->now + milliseconds(1000);
        request.permitted_until = [this] { return this->permitted_until; };
        this->runner.start(request, [this](run_result, base::steady_time) {
            this->ran_at_result = this->worker.runs("a.0.0.0");
        });
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

    base::steady_time now {std::chrono::hours(1)};
    base::steady_time permitted_until;
    simulated_worker worker;
    leased_runner runner;
    std::optional<bool> ran_at_result; ///< Empty until the run has a result.
};

} // namespace

SCENARIO("a start for a former life of the worker is carried out by its next one",
         "[agent][leased]")
{
    GIVEN("a worker whose next life runs a task under its longest lease")
    {
        inherited_lease_fixture fixture;
        fixture.advance(milliseconds(2));
        REQUIRE(fixture.worker.runs("a.0.0.0"));

        WHEN("the worker answers nothing from then on")
        {
            fixture.worker.silent = true;
            fixture.worker.lost_stops = true;
            fixture.advance(milliseconds(3000));
            // Guards against an end that is concluded from the lease that the agent has named. Seed
            // 1250 of the simulation, without two processes of the agent at a time.
            THEN("the run has ended when its outcome is reported")
            {
                REQUIRE(fixture.ran_at_result);
                CHECK_FALSE(*fixture.ran_at_result);
            }
        }
        WHEN("reports leave the run out when the lease that the agent has granted ends")
        {
            fixture.worker.lost_stops = true;
            fixture.advance(milliseconds(200));
            fixture.worker.lists_runs = false;
            fixture.advance(milliseconds(3000));
            // Guards against a reading of the worker's clock that is compared with the leases of
            // this agent only.
            THEN("the run has ended when its outcome is reported")
            {
                REQUIRE(fixture.ran_at_result);
                CHECK_FALSE(*fixture.ran_at_result);
            }
        }
    }
}
