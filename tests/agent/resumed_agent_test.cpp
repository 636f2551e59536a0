// An agent that goes on after a pause, while a start that it has sent is unanswered.

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
using std::chrono::milliseconds;

struct paused_agent_fixture {
    paused_agent_fixture() : runner(worker, {}, 100, [this] { return this->now; })
    {
        this->runner.announced({"i-1", 5}, this->worker.clock);
        for (int step = 0; step < 105; ++step) { // Until the agent is settled.
            this->now += milliseconds(10);
            this->worker.advance(milliseconds(10));
            this->runner.tick();
        }
    }

    [[nodiscard]] run_request request(std::string const& name) const
    {
        run_request made;
        made.task.task = {"job", 0};
        made.task.name = name;
        made.start_before = this->now + milliseconds(900);
        return made;
    }
    void start(run_request const& request)
    {
        this->runner.start(request, [this](run_result result, base::steady_time) {
            this->results.push_back(std::move(result));
        });
    }
    /// The agent does nothing meanwhile. The worker's clock is 2% slow.
    void pause(milliseconds duration)
    {
        this->now += duration;
        this->worker.advance_to(this->worker.clock + duration * 98 / 100);
    }

    base::steady_time now {std::chrono::hours(1)};
    simulated_worker worker;
    leased_runner runner;
    std::vector<run_result> results;
};

} // namespace

SCENARIO("an agent is paused while a start is unanswered", "[agent][leased]")
{
    GIVEN("a start that the worker has not received")
    {
        paused_agent_fixture fixture;
        fixture.worker.lost_starts = true;
        WHEN("the agent goes on after the entry of the task has counted as lost")
        {
            auto request = fixture.request("a.0.0.0");
            request.permitted_until = [until = fixture.now + milliseconds(900)] { return until; };
            fixture.start(request);
            fixture.pause(milliseconds(2700));
            fixture.worker.lost_starts = false;
            fixture.runner.tick();
            // Guards against a start with a lease that lies ahead on the worker's slow clock, while
            // the task runs elsewhere.
            THEN("the start is not sent again")
            {
                CHECK(fixture.worker.starts == 0);
            }
        }
        WHEN("the agent goes on after the time before which a stored task had to start")
        {
            fixture.start(fixture.request("a.0.0.0"));
            fixture.pause(milliseconds(2700));
            fixture.worker.lost_starts = false;
            fixture.runner.tick();
            // Guards against a start under a lease of its entry that has expired.
            THEN("the start is not sent again")
            {
                CHECK(fixture.worker.starts == 0);
            }
        }
        WHEN("the agent goes on in time")
        {
            fixture.start(fixture.request("a.0.0.0"));
            fixture.pause(milliseconds(100));
            fixture.worker.lost_starts = false;
            fixture.runner.tick();
            THEN("the start is sent again")
            {
                CHECK(fixture.worker.starts == 1);
            }
        }
    }
}
