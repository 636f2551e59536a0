// Admission of start messages: which of them start a task, and that each starts it at most once.

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
    auto const non_idempotent = make_start(0);

    GIVEN("a running task")
    {
        agent.start(non_idempotent);
        REQUIRE(agent.runner.runs.size() == 1);
        // Guards against duplicate runs by duplicated or resent start messages.
        WHEN("the start message arrives again, before and after the end of the run")
        {
            agent.start(non_idempotent);
            agent.now += milliseconds(100);
            agent.succeed(0);
            agent.acknowledge_all("entry.a");
            agent.start(non_idempotent);
            THEN("it runs once and the outcome is resent")
            {
                CHECK(agent.runner.runs.size() == 1);
                CHECK(agent.sender.outcomes("entry.a").size() == 2);
                CHECK(agent.last_outcome().kind == outcome_kind::succeeded);
                CHECK(agent.last_outcome().result == "{\"chairs\":4}");
                CHECK(agent.last_outcome().run_time == milliseconds(100));
            }
        }
        // Guards against reporting a running task as "not run" to an entry.
        WHEN("a further attempt of the non-idempotent task arrives")
        {
            agent.start(make_start(0, false, 2));
            CHECK(agent.sender.outcomes("entry.a").empty());
            agent.succeed(0);
            THEN("it gets the outcome of the first attempt")
            {
                CHECK(agent.runner.runs.size() == 1);
                CHECK(agent.last_outcome().attempt == 2);
                CHECK(agent.last_outcome().kind == outcome_kind::succeeded);
            }
        }
        WHEN("the endpoint proves that it did not run")
        {
            agent.runner.end(0, {outcome_kind::not_run, {}, "busy"}, agent.now);
            agent.start(non_idempotent);
            agent.start(make_start(0, false, 2));
            THEN("a further attempt runs, but a duplicate of the first does not")
            {
                REQUIRE(agent.runner.runs.size() == 2);
                CHECK(agent.runner.runs[1].request.task.attempt == 2);
            }
        }
    }
    GIVEN("a running idempotent task")
    {
        agent.start(make_start(1, true));
        WHEN("a duplicate of the message and a further attempt arrive")
        {
            agent.start(make_start(1, true));
            agent.start(make_start(1, true, 2));
            THEN("only the further attempt runs too")
            {
                CHECK(agent.runner.runs.size() == 2);
            }
        }
    }
    GIVEN("a start that reached the agent after its lease had expired")
    {
        auto const late = agent.batch(agent.entry_a, {non_idempotent});
        agent.advance(milliseconds(1600));
        agent.core.receive("entry.a", late, agent.now);
        REQUIRE(agent.last_outcome().kind == outcome_kind::not_run);
        // Guards against a "not run" answer that becomes false later.
        WHEN("the lease is renewed and the same attempt arrives again")
        {
            agent.update_lease(agent.entry_a, 1);
            agent.start(non_idempotent);
            THEN("it still does not start")
            {
                CHECK(agent.runner.runs.empty());
            }
        }
        // Guards against a false "not run" answer for an attempt that is no longer on record.
        WHEN("a duplicate arrives after the record of the attempt has expired")
        {
            agent.acknowledge_all("entry.a");
            agent.advance(milliseconds(60'200));
            agent.core.receive("entry.a", late, agent.now);
            THEN("the answer is unknown")
            {
                CHECK(agent.last_outcome().kind == outcome_kind::unknown);
            }
        }
    }
}

SCENARIO("Every condition of a start is checked")
{
    agent_fixture agent;
    auto batch = agent.batch(agent.entry_a, {make_start(0)});
    std::string reason;

    WHEN("the zone is out of service")
    {
        agent.update_lease(agent.entry_a, batch.lease.view = 2, {"recife"});
        reason = "zone is out of service";
    }
    WHEN("the entry is no longer live")
    {
        agent.live = {agent.entry_b};
        agent.update_lease(agent.entry_b, batch.lease.view = 2);
        reason = "not part of the view";
    }
    WHEN("another entry already has a higher view")
    {
        agent.update_lease(agent.entry_b, 2);
        reason = "superseded view";
    }
    // Guards against starts under a view that takes this zone out of service, before the agent has
    // adopted that view.
    WHEN("the lease is on a view that has not arrived yet")
    {
        batch.lease.view = 2;
        reason = "not adopted the view of the lease yet";
    }
    WHEN("the endpoint is draining")
    {
        agent.update_lease(agent.entry_a, batch.lease.view = 2, {}, {"chairs-1"});
        reason = "draining";
    }
    WHEN("the endpoint has left")
    {
        REQUIRE(agent.core.leave("chairs-1", agent.now));
        CHECK_FALSE(agent.core.leave("chairs-1", agent.now));
        reason = "unknown or has left";
    }
    WHEN("the endpoint does not offer the kind")
    {
        batch.starts[0].kind = "loan";
        reason = "kind";
    }
    WHEN("no time is left")
    {
        batch.starts[0].remaining = milliseconds(0);
        reason = "deadline";
    }
    WHEN("the stamp belongs to another entry than the sender")
    {
        batch.lease.entry = agent.entry_b;
        reason = "another entry";
    }
    // Guards against stamps made with the clock of a VM that has been restarted since.
    WHEN("the lease expires later than any lease can")
    {
        batch.lease.expires_at += std::chrono::hours(5);
        reason = "expired";
    }
    WHEN("the entry cancelled it before it arrived")
    {
        agent.core.receive("entry.a", protocol::cancel_batch {{{{job_id, 0}, 1}}}, agent.now);
        reason = "cancelled";
    }
    // Guards against a second run by a duplicate that reaches the next incarnation.
    WHEN("the message is addressed to an earlier incarnation")
    {
        batch.agent_incarnation = 76;
        reason = "may have started";
    }
    if (!reason.empty()) {
        agent.core.receive("entry.a", batch, agent.now);
        auto const outcome = agent.last_outcome();
        CHECK(agent.runner.runs.empty());
        CHECK((outcome.kind == outcome_kind::not_run) == (batch.agent_incarnation == 77));
        CHECK_THAT(outcome.message, Catch::Contains(reason));
    }
}

SCENARIO("A task that waited for a slot is checked again before it starts")
{
    agent_fixture agent;
    agent.start(make_start(0));
    agent.start(make_start(1));
    agent.start(make_start(2));
    REQUIRE(agent.runner.runs.size() == 2);
    auto const not_started = [&agent] {
        CHECK(agent.runner.runs.size() == 2);
        CHECK(agent.last_outcome().task.index == 2);
        CHECK(agent.last_outcome().kind == outcome_kind::not_run);
    };

    WHEN("a slot becomes free")
    {
        agent.succeed(0);
        THEN("it starts")
        {
            CHECK(agent.runner.runs.size() == 3);
        }
    }
    WHEN("the queue is full")
    {
        agent.start(make_start(3));
        agent.start(make_start(4));
        THEN("further starts are refused")
        {
            CHECK(agent.last_outcome().task.index == 4);
            CHECK(agent.last_outcome().kind == outcome_kind::not_run);
        }
    }
    // Guards against starts by an agent that was suspended: there is no tick between the receipt
    // and the free slot.
    WHEN("the lease expires while the process is suspended, then a slot becomes free")
    {
        agent.now += milliseconds(5000);
        agent.succeed(0);
        THEN("it does not start")
        {
            CHECK(agent.runner.runs.size() == 2);
            CHECK(agent.sender.outcomes("entry.a").back().kind == outcome_kind::not_run);
        }
    }
    WHEN("the lease is renewed while it waits")
    {
        agent.advance(milliseconds(1400));
        agent.update_lease(agent.entry_a, 1);
        agent.advance(milliseconds(1400));
        agent.succeed(0);
        THEN("it starts with the remaining time")
        {
            REQUIRE(agent.runner.runs.size() == 3);
            CHECK(agent.runner.runs[2].request.timeout == milliseconds(27'200));
            CHECK(agent.runner.runs[2].request.start_before == agent.now + milliseconds(100));
        }
    }
    WHEN("the zone is taken out of service")
    {
        agent.update_lease(agent.entry_b, 2, {"recife"});
        THEN("the start is refused at once")
        {
            not_started();
        }
    }
    WHEN("a new owner takes the job over")
    {
        agent.core.receive("entry.b", protocol::outcome_query {1, {{job_id, 2}}}, agent.now);
        THEN("the report to the new owner includes its refusal, and later starts are refused")
        {
            auto const report = agent.sender.to<protocol::outcome_report>("entry.b").at(0);
            REQUIRE(report.outcomes.size() == 3);
            CHECK(report.outcomes[0].kind == outcome_kind::running);
            CHECK(report.outcomes[2].kind == outcome_kind::not_run);
            agent.succeed(0);
            agent.start(make_start(5));
            CHECK(agent.runner.runs.size() == 2);
        }
    }
    WHEN("the endpoint misses three announcements")
    {
        agent.announces = false;
        agent.advance(milliseconds(3100));
        THEN("the start is refused and the running tasks continue")
        {
            not_started();
            agent.succeed(1);
            CHECK(agent.last_outcome().kind == outcome_kind::succeeded);
            CHECK(agent.sender.to<protocol::agent_report>("entry.a").back().endpoints.empty());
        }
    }
    WHEN("it is cancelled")
    {
        agent.core.receive("entry.a", protocol::cancel_batch {{{{job_id, 2}, 1}}}, agent.now);
        not_started();
        THEN("it does not run")
        {
            agent.succeed(0);
            CHECK(agent.runner.runs.size() == 2);
        }
    }
    // Guards against a shutdown that interrupts requests in progress.
    WHEN("the agent shuts down under load")
    {
        agent.core.begin_shutdown(agent.now);
        not_started();
        agent.start(make_start(3));
        CHECK(agent.last_outcome().kind == outcome_kind::not_run);
        agent.succeed(0);
        agent.succeed(1);
        CHECK(agent.runner.stopped.empty());
        THEN("it is idle once the running tasks' outcomes are acknowledged")
        {
            CHECK_FALSE(agent.core.idle());
            agent.acknowledge_all("entry.a");
            CHECK(agent.core.idle());
        }
    }
}
