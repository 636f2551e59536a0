// Ephemeral submissions that arrive at a second entry while the first one still runs them, as after
// a connection that has broken on the caller's side only.

#include <catch2/catch.hpp>

#include "entry/resubmission_fixture.h"

namespace {

using namespace greengagehead;
using namespace greengagehead::test;
using protocol::job_state;

struct two_entries : linked_fleet {
    two_entries() : linked_fleet({"entry.a", "entry.b"}) { }
};

job_state state_of(simulated_fleet::submission const& submission)
{
    REQUIRE(submission.replies.size() == 1);
    return submission.replies.front().answer.state;
}

} // namespace

SCENARIO("a job is sent to a second entry while the first one runs it", "[entry][resubmission]")
{
    GIVEN("a job whose runs outlast the callers' delay, and whose caller has left unnoticed")
    {
        two_entries fleet;
        fleet.set_run_time(milliseconds(2500));
        fleet.submit("entry.a", make_submission("s1", 2));
        fleet.run(resend_delay);

        WHEN("the job arrives at the other entry")
        {
            auto const second = fleet.submit("entry.b", make_submission("s1", 2));
            fleet.run(milliseconds(4500));
            // Guards against runs that are kept apart by time alone.
            THEN("no task runs twice at the same time, and the caller is answered")
            {
                CHECK(fleet.violations.empty());
                CHECK(state_of(*second) == job_state::complete);
            }
        }
        WHEN("the first entry notices afterwards that its caller has left")
        {
            auto const second = fleet.submit("entry.b", make_submission("s1", 2));
            fleet.run(milliseconds(300));
            fleet.leave("entry.a", "s1");
            fleet.run(milliseconds(4000));
            // Guards against a stopped job that a caller at another entry waits for.
            THEN("the runs go on for the second caller")
            {
                CHECK(fleet.violations.empty());
                CHECK(state_of(*second) == job_state::complete);
                CHECK(fleet.runs.size() == 2);
            }
        }
        WHEN("the deadline of the first submission passes before the runs end")
        {
            fleet.set_run_time(milliseconds(5000));
            fleet.submit("entry.a", make_submission("s2", 1));
            fleet.run(milliseconds(3000));
            auto const second = fleet.submit("entry.b", make_submission("s2", 1));
            fleet.run(milliseconds(4000));
            // Guards against work that is thrown away although its caller waits at another entry.
            THEN("the runs go on for the second caller")
            {
                CHECK(fleet.violations.empty());
                CHECK(state_of(*second) == job_state::complete);
            }
        }
        WHEN("the link between the entries closes while the second one waits")
        {
            auto const second = fleet.submit("entry.b", make_submission("s1", 2));
            fleet.run(milliseconds(100));
            fleet.isolated.insert("entry.a");
            for (auto& [name, agent] : fleet.agents)
                agent.records.clear();
            fleet.close_link("entry.a", "entry.b");
            fleet.set_run_time(milliseconds(100));
            fleet.run(milliseconds(4800));
            // Guards against a caller that waits for an entry that is gone.
            THEN("the job runs there once the runs of the first entry have ended")
            {
                CHECK(fleet.violations.empty());
                CHECK(state_of(*second) == job_state::complete);
            }
        }
        WHEN("the second caller leaves before the first entry has answered")
        {
            bool left = false;
            fleet.isolated.insert("entry.a");
            auto const second = fleet.submit("entry.b", make_submission("s1", 2),
                                             milliseconds(10'000), [&left] { return left; });
            left = true;
            fleet.run(milliseconds(2000));
            // Guards against runs that nobody waits for.
            THEN("nothing starts at the second entry")
            {
                CHECK(second->replies.size() == 1);
                CHECK(fleet.runs.size() == 2);
                CHECK(fleet.entries.at("entry.b")->idle());
            }
        }
    }
    GIVEN("a job that has just been abandoned, and whose cancellation is late at its agents")
    {
        two_entries fleet;
        fleet.set_run_time(milliseconds(2500));
        fleet.submit("entry.a", make_submission("s1", 2));
        fleet.run(milliseconds(100));
        fleet.delay<protocol::cancel_batch>(milliseconds(1500));
        fleet.leave("entry.a", "s1");

        WHEN("the job arrives at the other entry")
        {
            fleet.run(resend_delay);
            auto const second = fleet.submit("entry.b", make_submission("s1", 2));
            fleet.run(milliseconds(4500));
            // Guards against trust in a cancellation that has only been sent.
            THEN("it starts when the first runs have ended")
            {
                CHECK(fleet.violations.empty());
                CHECK(state_of(*second) == job_state::complete);
            }
        }
        WHEN("the job arrives at the same entry again")
        {
            fleet.run(resend_delay);
            auto const second = fleet.submit("entry.a", make_submission("s1", 2));
            fleet.run(milliseconds(4500));
            // Guards against a caller that is told of a cancellation that nobody has asked for.
            THEN("it starts when the first runs have ended")
            {
                CHECK(fleet.violations.empty());
                CHECK(state_of(*second) == job_state::complete);
            }
        }
    }
    GIVEN("an entry that connects when the job has been announced already")
    {
        two_entries fleet;
        fleet.isolated.insert("entry.b");
        fleet.set_run_time(milliseconds(2500));
        fleet.submit("entry.a", make_submission("s1", 1));
        fleet.run(milliseconds(1000));
        fleet.isolated.clear();
        fleet.entries.at("entry.a")->peer_up("entry.b", fleet.now);

        WHEN("the job arrives there")
        {
            fleet.run(milliseconds(300));
            auto const second = fleet.submit("entry.b", make_submission("s1", 1));
            fleet.run(milliseconds(3000));
            // Guards against an announcement that was lost with a link.
            THEN("no task runs twice at the same time")
            {
                CHECK(fleet.violations.empty());
                CHECK(state_of(*second) == job_state::complete);
            }
        }
    }
}

SCENARIO("a job is cancelled at an entry that does not run it", "[entry][resubmission]")
{
    GIVEN("a job that runs at one of two entries")
    {
        two_entries fleet;
        fleet.set_run_time(milliseconds(4000));
        auto const job = fleet.submit("entry.a", make_submission("s1", 2));
        REQUIRE(fleet.run_until([&] { return fleet.running() == 2; }));

        WHEN("it is cancelled at the other entry before it has been announced")
        {
            CHECK_FALSE(fleet.cancel("entry.b", "s1"));
            fleet.run(milliseconds(1000));
            // Guards against a job that goes on after its cancellation was acknowledged.
            THEN("it is stopped")
            {
                CHECK(fleet.running() == 0);
                CHECK(state_of(*job) == job_state::cancelled);
            }
        }
        WHEN("a moment passes after its cancellation at the other entry, before it is announced")
        {
            fleet.cancel("entry.b", "s1");
            fleet.run(milliseconds(20));
            // Guards against a cancellation that waits for an announcement.
            THEN("it has stopped")
            {
                CHECK(fleet.running() == 0);
                CHECK(state_of(*job) == job_state::cancelled);
            }
        }
        WHEN("it is cancelled at the other entry after it has been announced")
        {
            fleet.run(milliseconds(1000));
            CHECK(fleet.cancel("entry.b", "s1"));
            fleet.run(milliseconds(100));
            THEN("it is stopped at once")
            {
                CHECK(fleet.running() == 0);
                CHECK(state_of(*job) == job_state::cancelled);
            }
        }
        WHEN("it is cancelled at the other entry while a second caller waits there")
        {
            fleet.run(milliseconds(1000));
            auto const second = fleet.submit("entry.b", make_submission("s1", 2));
            fleet.run(milliseconds(100));
            CHECK(fleet.cancel("entry.b", "s1"));
            fleet.run(milliseconds(500));
            THEN("both callers are told, and nothing runs")
            {
                CHECK(fleet.running() == 0);
                CHECK(state_of(*job) == job_state::cancelled);
                CHECK(state_of(*second) == job_state::cancelled);
            }
        }
    }
    GIVEN("a job that is cancelled before it arrives")
    {
        two_entries fleet;
        fleet.cancel("entry.b", "s1");

        WHEN("it arrives at the same entry")
        {
            auto const job = fleet.submit("entry.b", make_submission("s1", 1));
            fleet.run(milliseconds(500));
            // Guards against a cancellation that overtakes its submission and is forgotten.
            THEN("none of its tasks starts")
            {
                CHECK(fleet.runs.empty());
                CHECK(state_of(*job) == job_state::cancelled);
            }
        }
        WHEN("it arrives at the other entry")
        {
            fleet.set_run_time(milliseconds(4000));
            auto const job = fleet.submit("entry.a", make_submission("s1", 1));
            fleet.run(milliseconds(1000));
            THEN("it is stopped")
            {
                CHECK(fleet.running() == 0);
                CHECK(state_of(*job) == job_state::cancelled);
            }
        }
    }
}
