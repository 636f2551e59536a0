// Ephemeral tasks at the agent: they need no lease of their entry, and end with it.

#include <catch2/catch.hpp>

#include "agent/agent_fixture.h"
#include "agent/entry_directory.h"

namespace {

using namespace greengagehead;
using namespace greengagehead::agent;
using namespace greengagehead::agent::fakes;
using protocol::outcome_kind;

protocol::task_start ephemeral_start(std::uint32_t index, std::uint32_t slots = 1)
{
    auto start = make_start(index);
    start.ephemeral = true;
    start.slots = slots;
    return start;
}

} // namespace

SCENARIO("an entry of ephemeral tasks is lost", "[agent][ephemeral]")
{
    GIVEN("a running ephemeral task")
    {
        agent_fixture world;
        world.start(ephemeral_start(0));
        REQUIRE(world.runner.runs.size() == 1);

        WHEN("nothing has been heard of the entry for 900 ms")
        {
            world.pass(milliseconds(850));
            REQUIRE(world.runner.stopped.empty());
            world.pass(milliseconds(100));
            // Guards against a run beside that of another entry, to which the caller turned.
            THEN("the task is stopped")
            {
                CHECK(world.runner.stopped.size() == 1);
            }
        }
        WHEN("the link of the entry breaks and does not return")
        {
            world.core.peer_down("entry.a", world.now);
            world.pass(milliseconds(320));
            THEN("the task is stopped")
            {
                CHECK(world.runner.stopped.size() == 1);
            }
        }
        WHEN("the link breaks and returns at once")
        {
            world.core.peer_down("entry.a", world.now);
            world.core.peer_up("entry.a", world.now);
            world.update_lease(world.entry_a, 1);
            world.pass(milliseconds(600));
            THEN("the task goes on")
            {
                CHECK(world.runner.stopped.empty());
            }
        }
        WHEN("a later life of the entry is heard")
        {
            world.update_lease({"entry.a", 12}, 1);
            world.pass(milliseconds(20));
            THEN("the task of the former life is stopped")
            {
                CHECK(world.runner.stopped.size() == 1);
            }
        }
        WHEN("the agent reports")
        {
            world.pass(milliseconds(400));
            // Guards against a run that goes on because its cancellation was lost.
            THEN("the entry is told of the run")
            {
                auto const reports = world.sender.to<protocol::agent_report>("entry.a");
                REQUIRE(reports.back().ephemeral_runs.size() == 1);
                CHECK(world.sender.to<protocol::agent_report>("entry.b")
                          .back()
                          .ephemeral_runs.empty());
            }
        }
    }
}

SCENARIO("an entry without a lease sends starts", "[agent][ephemeral]")
{
    GIVEN("a stamp that only bounds the delay")
    {
        agent_fixture world;
        auto batch = world.batch(world.entry_a, {ephemeral_start(0), make_start(1)});
        batch.lease.leased = false;

        WHEN("the starts arrive in time")
        {
            world.core.receive("entry.a", batch, world.now);
            // Guards against a stored task being started under a lapsed lease.
            THEN("only the ephemeral task starts")
            {
                REQUIRE(world.runner.runs.size() == 1);
                CHECK(world.runner.runs.front().request.task.task.index == 0);
            }
        }
        // Guards against refusals while control is out of reach: the endpoint's runner refuses a
        // start whose stamp has expired.
        WHEN("a lease of the entry has lapsed before")
        {
            world.pass(milliseconds(1600));
            auto later = world.batch(world.entry_a, {ephemeral_start(0)});
            later.lease.leased = false;
            world.core.receive("entry.a", later, world.now);
            THEN("the task starts under the later stamp")
            {
                REQUIRE(world.runner.runs.size() == 1);
                CHECK(world.runner.runs.front().request.start_before > world.now);
            }
        }
        WHEN("the starts arrive late, as after a partition")
        {
            batch.lease.expires_at = base::to_reading(world.now);
            world.core.receive("entry.a", batch, world.now);
            THEN("nothing starts")
            {
                CHECK(world.runner.runs.empty());
            }
        }
        WHEN("the zone of the agent is out")
        {
            world.update_lease(world.entry_b, 2, {"recife"});
            world.core.receive("entry.a", batch, world.now);
            THEN("nothing starts")
            {
                CHECK(world.runner.runs.empty());
            }
        }
    }
}

SCENARIO("tasks take several slots", "[agent][slots]")
{
    GIVEN("an endpoint with two slots and a task that takes both")
    {
        agent_fixture world;
        world.start(ephemeral_start(0, 2));
        world.start(ephemeral_start(1, 1));

        // Guards against an endpoint being filled beyond its size.
        THEN("the next task waits until they are free")
        {
            REQUIRE(world.runner.runs.size() == 1);
            world.succeed(0);
            CHECK(world.runner.runs.size() == 2);
        }
        WHEN("a task needs more than the endpoint has")
        {
            world.start(ephemeral_start(2, 3));
            THEN("it is refused at once")
            {
                auto const outcomes = world.sender.outcomes("entry.a");
                REQUIRE(outcomes.size() == 1);
                CHECK(outcomes.front().kind == outcome_kind::not_run);
            }
        }
    }
}

SCENARIO("tasks with different targets wait at one endpoint", "[agent][queue]")
{
    GIVEN("a full endpoint and two waiting tasks that have half a second")
    {
        agent_fixture world;
        auto const start = [&world](std::uint32_t index, milliseconds start_within) {
            auto task = ephemeral_start(index, 2);
            task.start_within = start_within;
            world.start(task);
        };
        start(0, milliseconds(500));
        start(1, milliseconds(500));
        start(2, milliseconds(400));
        REQUIRE(world.runner.runs.size() == 1);
        auto const started = [&world] { return world.runner.runs.back().request.task.task.index; };

        // Guards against a task that is refused until its slack is gone because tasks with more
        // time hold the places in the queue.
        WHEN("a task comes that has 80 ms")
        {
            start(3, milliseconds(80));
            THEN("it is admitted and starts first, the others by their latest start")
            {
                CHECK(world.sender.outcomes("entry.a").empty());
                world.succeed(0);
                CHECK(started() == 3);
                world.succeed(1);
                CHECK(started() == 2);
                world.succeed(2);
                CHECK(started() == 1);
            }
        }
        // Guards against late answers of tasks that wait behind each other for too long.
        WHEN("more tasks come than may wait")
        {
            start(3, milliseconds(80));
            start(4, milliseconds(80));
            start(5, milliseconds(80));
            THEN("the last one is refused at once")
            {
                REQUIRE(world.sender.outcomes("entry.a").size() == 1);
                CHECK(world.last_outcome().task.index == 5);
                CHECK(world.last_outcome().kind == outcome_kind::not_run);
            }
        }
        // Guards against a longer wait of stored tasks, which have no order.
        WHEN("a task without a target comes")
        {
            world.start(make_start(3));
            THEN("it is refused at once")
            {
                CHECK(world.last_outcome().kind == outcome_kind::not_run);
            }
        }
    }
}

SCENARIO("an agent asks control for the entries", "[agent][directory]")
{
    GIVEN("a directory that knows two control members")
    {
        recording_sender sender;
        entry_directory directory({"agent.1", 1}, {"control.a", "control.b"}, sender);
        std::vector<std::string> found;
        directory.entry_found.connect([&found](std::string const& name, std::string const& place) {
            found.push_back(name + "@" + place);
        });
        base::steady_time now {std::chrono::hours(1)};
        directory.tick(now);
        REQUIRE(sender.sent.size() == 1);
        auto const first = sender.sent.back().first;

        WHEN("the member does not answer")
        {
            now += milliseconds(600);
            directory.tick(now);
            // Guards against an agent that waits for a member which is gone.
            THEN("the other one is asked")
            {
                CHECK(sender.sent.back().first != first);
            }
        }
        WHEN("the member has lost its disk and knows no entry")
        {
            directory.receive({0, {}, {}}, now);
            now += milliseconds(100);
            directory.tick(now);
            // Guards against an agent that stays without work while other members know entries.
            THEN("the other one is asked soon")
            {
                CHECK(sender.sent.size() == 2);
                CHECK(sender.sent.back().first != first);
            }
        }
        WHEN("it answers with an entry")
        {
            protocol::directory const answer {4,
                                              {{{"entry.a", 9}, "recife", "", "10.0.0.1:7000"}},
                                              {2, 1, {}, {{"control.c", "10.0.0.9:1"}}}};
            directory.receive(answer, now);
            THEN("the entry is announced once, and the present members are asked from now on")
            {
                directory.receive(answer, now);
                CHECK(found == std::vector<std::string> {"entry.a@10.0.0.1:7000"});
                now += milliseconds(600);
                directory.tick(now);
                CHECK(sender.sent.back().first == "control.c");
            }
            AND_WHEN("the entry restarts at another address")
            {
                directory.receive({5, {{{"entry.a", 10}, "recife", "", "10.0.0.2:7000"}}, {}}, now);
                THEN("it is announced again")
                {
                    CHECK(found.size() == 2);
                }
            }
        }
    }
}
