// Stories of single jobs.

#include <catch2/catch.hpp>

#include "entry/fake_world.h"

using namespace greengagehead;
using namespace greengagehead::test;

SCENARIO("a job is claimed, placed and answered")
{
    GIVEN("two entries and two agents")
    {
        fake_world world(1);
        world.add_entry("entry.a", "recife");
        world.add_entry("entry.b", "fortaleza");
        world.add_agent("agent.1", "recife");
        world.add_agent("agent.2", "fortaleza");
        world.run(milliseconds(500));

        WHEN("a job of ten tasks is submitted")
        {
            auto const job = world.submit("entry.a", make_job("s1", 10, false));
            world.run_until([&] { return !job->replies.empty(); });

            // Guards against a broken path from submission to answer.
            THEN("the answer is complete and each task ran once")
            {
                REQUIRE(job->replies.size() == 1);
                REQUIRE(job->replies[0].what == entry::submit_reply::kind::answered);
                REQUIRE(job->replies[0].answer.state == protocol::job_state::complete);
                REQUIRE(job->replies[0].answer.ran == protocol::ran_extent::all);
                REQUIRE(world.runs.size() == 10);
                REQUIRE(world.violations.empty());
            }
        }
    }
}
