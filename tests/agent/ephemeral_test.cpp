// Ephemeral tasks at the agent: they need no lease of their entry, and end when the entry is lost.

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

SCENARIO("the entry of an ephemeral task is lost", "[agent][ephemeral]")
{
    GIVEN("a running ephemeral task")
    {
        agent_fixture fixture;
        fixture.start(ephemeral_start(0));
        REQUIRE(fixture.runner.runs.size() == 1);

        WHEN("the entry has sent no message for 900 ms")
        {
            fixture.advance(milliseconds(850));
            REQUIRE(fixture.runner.stopped.empty());
            fixture.advance(milliseconds(100));
            // Guards against a run in parallel with that of another entry, to which the caller has
            // resubmitted the job.
            THEN("the task is stopped")
            {
                CHECK(fixture.runner.stopped.size() == 1);
            }
        }
        WHEN("the link of the entry breaks and is not restored")
        {
            fixture.core.peer_down("entry.a", fixture.now);
            fixture.advance(milliseconds(320));
            THEN("the task is stopped")
            {
                CHECK(fixture.runner.stopped.size() == 1);
            }
        }
        WHEN("the link breaks and is restored at once")
        {
            fixture.core.peer_down("entry.a", fixture.now);
            fixture.core.peer_up("entry.a", fixture.now);
            fixture.update_lease(fixture.entry_a, 1);
            fixture.advance(milliseconds(600));
            THEN("the task continues")
            {
                CHECK(fixture.runner.stopped.empty());
            }
        }
        WHEN("a later incarnation of the entry sends a message")
        {
            fixture.update_lease({"entry.a", 12}, 1);
            fixture.advance(milliseconds(20));
            THEN("the task of the previous incarnation is stopped")
            {
                CHECK(fixture.runner.stopped.size() == 1);
            }
        }
        WHEN("the agent reports")
        {
            fixture.advance(milliseconds(400));
            // Guards against a run that continues because its cancellation was lost.
            THEN("the report to its entry lists the run")
            {
                auto const reports = fixture.sender.to<protocol::agent_report>("entry.a");
                REQUIRE(reports.back().ephemeral_runs.size() == 1);
                CHECK(fixture.sender.to<protocol::agent_report>("entry.b")
                          .back()
                          .ephemeral_runs.empty());
            }
        }
    }
}

// Guards against a cancellation that ends a run which it is not about.
SCENARIO("a cancellation of another attempt arrives", "[agent][ephemeral]")
{
    GIVEN("an attempt of a job that was submitted before, with lower attempt numbers")
    {
        agent_fixture fixture;
        auto present = ephemeral_start(0);
        present.attempt = 7;
        auto const cancel = [&fixture](std::string const& entry, std::uint32_t attempt) {
            fixture.core.receive(entry, protocol::cancel_batch {{{{job_id, 0}, attempt}}},
                                 fixture.now);
        };
        WHEN("the cancellation of an earlier attempt arrives before the start")
        {
            cancel("entry.a", 3);
            fixture.start(present);
            THEN("the task starts")
            {
                CHECK(fixture.runner.runs.size() == 1);
                CHECK(fixture.runner.stopped.empty());
            }
        }
        WHEN("the cancellation of an earlier attempt arrives after the start")
        {
            fixture.start(present);
            cancel("entry.a", 3);
            THEN("the run goes on")
            {
                CHECK(fixture.runner.runs.size() == 1);
                CHECK(fixture.runner.stopped.empty());
            }
        }
        WHEN("another entry cancels an attempt of the same number")
        {
            fixture.start(present);
            cancel("entry.b", 7);
            THEN("the run goes on")
            {
                CHECK(fixture.runner.stopped.empty());
            }
        }
        WHEN("the attempt itself is cancelled twice")
        {
            fixture.start(present);
            cancel("entry.a", 7);
            fixture.runner.end(0, {outcome_kind::cancelled, {}, {}}, fixture.now);
            cancel("entry.a", 7);
            THEN("it is stopped once")
            {
                CHECK(fixture.runner.stopped.size() == 1);
                CHECK(fixture.last_outcome().kind == outcome_kind::cancelled);
            }
        }
    }
}

SCENARIO("an entry without a lease sends starts", "[agent][ephemeral]")
{
    GIVEN("a stamp that only bounds the delay")
    {
        agent_fixture fixture;
        auto batch = fixture.batch(fixture.entry_a, {ephemeral_start(0), make_start(1)});
        batch.lease.leased = false;

        WHEN("the starts arrive in time")
        {
            fixture.core.receive("entry.a", batch, fixture.now);
            // Guards against a stored task being started under an expired lease.
            THEN("only the ephemeral task starts")
            {
                REQUIRE(fixture.runner.runs.size() == 1);
                CHECK(fixture.runner.runs.front().request.task.task.index == 0);
            }
        }
        // Guards against refusals while control is unreachable, when the endpoint's runner would
        // refuse a start whose stamp has expired.
        WHEN("a lease of the entry has expired before")
        {
            fixture.advance(milliseconds(1600));
            auto later = fixture.batch(fixture.entry_a, {ephemeral_start(0)});
            later.lease.leased = false;
            fixture.core.receive("entry.a", later, fixture.now);
            THEN("the task starts under the later stamp")
            {
                REQUIRE(fixture.runner.runs.size() == 1);
                CHECK(fixture.runner.runs.front().request.start_before > fixture.now);
            }
        }
        WHEN("the starts arrive late, as after a partition")
        {
            batch.lease.expires_at = base::to_reading(fixture.now);
            fixture.core.receive("entry.a", batch, fixture.now);
            THEN("nothing starts")
            {
                CHECK(fixture.runner.runs.empty());
            }
        }
        WHEN("the zone of the agent is out of service")
        {
            fixture.update_lease(fixture.entry_b, 2, {"recife"});
            fixture.core.receive("entry.a", batch, fixture.now);
            THEN("nothing starts")
            {
                CHECK(fixture.runner.runs.empty());
            }
        }
    }
}

SCENARIO("tasks take several slots", "[agent][slots]")
{
    GIVEN("an endpoint with two slots and a task that takes both")
    {
        agent_fixture fixture;
        fixture.start(ephemeral_start(0, 2));
        fixture.start(ephemeral_start(1, 1));

        // Guards against an endpoint being filled beyond its capacity.
        THEN("the next task waits until they are free")
        {
            REQUIRE(fixture.runner.runs.size() == 1);
            fixture.succeed(0);
            CHECK(fixture.runner.runs.size() == 2);
        }
        WHEN("a task needs more than the endpoint has")
        {
            fixture.start(ephemeral_start(2, 3));
            THEN("it is refused at once")
            {
                auto const outcomes = fixture.sender.outcomes("entry.a");
                REQUIRE(outcomes.size() == 1);
                CHECK(outcomes.front().kind == outcome_kind::not_run);
            }
        }
    }
}

SCENARIO("tasks with different targets wait at one endpoint", "[agent][queue]")
{
    GIVEN("a full endpoint and two waiting tasks that must start within half a second")
    {
        agent_fixture fixture;
        auto const start = [&fixture](std::uint32_t index, milliseconds start_within) {
            auto task = ephemeral_start(index, 2);
            task.start_within = start_within;
            fixture.start(task);
        };
        start(0, milliseconds(500));
        start(1, milliseconds(500));
        start(2, milliseconds(400));
        REQUIRE(fixture.runner.runs.size() == 1);
        auto const started
            = [&fixture] { return fixture.runner.runs.back().request.task.task.index; };

        // Guards against refusing a task until its slack is used up, because tasks with more slack
        // fill the queue.
        WHEN("a task arrives that must start within 80 ms")
        {
            start(3, milliseconds(80));
            THEN("it is admitted and starts first, the others in the order of their latest start")
            {
                CHECK(fixture.sender.outcomes("entry.a").empty());
                fixture.succeed(0);
                CHECK(started() == 3);
                fixture.succeed(1);
                CHECK(started() == 2);
                fixture.succeed(2);
                CHECK(started() == 1);
            }
        }
        // Guards against late answers because too many tasks wait for the same slots.
        WHEN("more tasks arrive than may wait")
        {
            start(3, milliseconds(80));
            start(4, milliseconds(80));
            start(5, milliseconds(80));
            THEN("the last one is refused at once")
            {
                REQUIRE(fixture.sender.outcomes("entry.a").size() == 1);
                CHECK(fixture.last_outcome().task.index == 5);
                CHECK(fixture.last_outcome().kind == outcome_kind::not_run);
            }
        }
        // Guards against a longer queue for stored tasks, which are not ordered by urgency.
        WHEN("a task without a target arrives")
        {
            fixture.start(make_start(3));
            THEN("it is refused at once")
            {
                CHECK(fixture.last_outcome().kind == outcome_kind::not_run);
            }
        }
    }
}

SCENARIO("an agent asks the control group for the entries", "[agent][directory]")
{
    GIVEN("a directory that knows two control members")
    {
        recording_sender sender;
        entry_directory directory({"agent.1", 1}, {"control.a", "control.b"}, sender);
        std::vector<std::string> found;
        directory.entry_found.connect(
            [&found](std::string const& name, std::string const& link_address) {
                found.push_back(name + "@" + link_address);
            });
        base::steady_time now {std::chrono::hours(1)};
        directory.tick(now);
        REQUIRE(sender.sent.size() == 1);
        auto const first = sender.sent.back().first;

        WHEN("the member does not answer")
        {
            now += milliseconds(600);
            directory.tick(now);
            // Guards against an agent that keeps waiting for a failed member.
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
            // Guards against an agent without work while other members know entries.
            THEN("the other one is asked 100 ms later")
            {
                CHECK(sender.sent.size() == 2);
                CHECK(sender.sent.back().first != first);
            }
        }
        // Guards against an agent that never learns of the entries, because the answer to a former
        // process of its name, which knew them, came in over its link.
        WHEN("an answer without entries comes, to a request that named the latest view")
        {
            directory.receive({4, {}, {}}, now);
            now += milliseconds(100);
            directory.tick(now);
            THEN("the entries are still asked for, and used")
            {
                REQUIRE(sender.sent.size() == 2);
                CHECK(std::get<protocol::directory_request>(sender.sent.back().second).known_view
                      == 0);
                directory.receive({4, {{{"entry.a", 9}, "recife", "", "10.0.0.1:7000"}}, {}}, now);
                CHECK(found == std::vector<std::string> {"entry.a@10.0.0.1:7000"});
            }
        }
        WHEN("it answers with an entry")
        {
            protocol::directory const answer {4,
                                              {{{"entry.a", 9}, "recife", "", "10.0.0.1:7000"}},
                                              {2, 1, {}, {{"control.c", "10.0.0.9:1"}}}};
            directory.receive(answer, now);
            THEN("the entry is reported once, and the current members are asked from now on")
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
                THEN("it is reported again")
                {
                    CHECK(found.size() == 2);
                }
            }
        }
    }
}
