#include <catch2/catch.hpp>

#include "agent/agent_fixture.h"

namespace {

using namespace greengagehead;
using namespace greengagehead::agent::fakes;
using protocol::outcome_kind;

} // namespace

SCENARIO("A start message starts its task once")
{
    agent_fixture agent;

    WHEN("a task is started and its run succeeds")
    {
        agent.start(make_start(0));
        REQUIRE(agent.runner.runs.size() == 1);
        agent.now += milliseconds(100);
        agent.succeed(0);
        THEN("the entry gets the outcome at once")
        {
            auto const outcome = agent.last_outcome();
            CHECK(outcome.kind == outcome_kind::succeeded);
            CHECK(outcome.result == "{\"chairs\":4}");
            CHECK(outcome.run_time == milliseconds(100));
        }
    }
}
