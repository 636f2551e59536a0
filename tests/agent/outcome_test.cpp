// Delivery and retention of outcomes, cancellation, and state reports.

#include <catch2/catch.hpp>

#include "agent/agent_fixture.h"

namespace {

using namespace greengagehead;
using namespace greengagehead::agent::fakes;
using protocol::outcome_kind;

} // namespace

SCENARIO("Outcomes are resent until they are acknowledged")
{
    agent_fixture agent;
    agent.start(make_start(0));
    agent.succeed(0);
    auto const sent = [&agent](std::string const& peer) {
        return agent.sender.to<protocol::outcome_batch>(peer);
    };
    REQUIRE(sent("entry.a").size() == 1);

    // Guards against answers that are delayed until the deadline because one message was lost.
    WHEN("the acknowledgement is lost")
    {
        agent.advance(milliseconds(250));
        THEN("the batch is resent with the same id until it is acknowledged")
        {
            REQUIRE(sent("entry.a").size() == 2);
            CHECK(sent("entry.a")[0].batch_id == sent("entry.a")[1].batch_id);
            agent.acknowledge_all("entry.a");
            agent.advance(milliseconds(5000));
            CHECK(sent("entry.a").size() == 2);
        }
    }
    WHEN("the acknowledgement is addressed to another incarnation")
    {
        agent.core.receive("entry.a", protocol::outcome_ack {76, sent("entry.a")[0].batch_id},
                           agent.now);
        THEN("the outcome stays unacknowledged")
        {
            CHECK_FALSE(agent.core.idle());
        }
    }
    WHEN("the entry is disconnected and connects again")
    {
        agent.core.peer_down("entry.a", agent.now);
        agent.advance(milliseconds(5000));
        CHECK(sent("entry.a").size() == 1);
        agent.core.peer_up("entry.a", agent.now);
        THEN("it is resent at once")
        {
            CHECK(sent("entry.a").size() == 2);
        }
    }
    // Guards against lost answers after the owner of a job has failed.
    WHEN("a new owner queries the outcomes")
    {
        agent.core.receive("entry.b", protocol::outcome_query {9, {{job_id, 2}}}, agent.now);
        agent.core.receive("entry.a", agent.batch(agent.entry_a, {make_start(0)}), agent.now);
        agent.advance(milliseconds(700));
        THEN("the outcome is in the report and goes to the new owner only")
        {
            auto const report = agent.sender.to<protocol::outcome_report>("entry.b").at(0);
            CHECK(report.query_id == 9);
            CHECK(report.outcomes.at(0).result == "{\"chairs\":4}");
            CHECK(sent("entry.a").size() == 1);
            CHECK(sent("entry.b").size() == 3);
            agent.acknowledge_all("entry.a");
            CHECK_FALSE(agent.core.idle());
            agent.acknowledge_all("entry.b");
            CHECK(agent.core.idle());
        }
    }
}

SCENARIO("A run continues when its job gets a new owner")
{
    agent_fixture agent;
    agent.start(make_start(0));
    agent.core.receive("entry.b", protocol::outcome_query {1, {{job_id, 2}}}, agent.now);

    WHEN("the previous owner cancels it")
    {
        agent.core.receive("entry.a", protocol::cancel_batch {{{{job_id, 0}, 1}}}, agent.now);
        THEN("it continues")
        {
            CHECK(agent.runner.stopped.empty());
        }
    }
    WHEN("it ends")
    {
        agent.succeed(0);
        THEN("the outcome goes to the new owner")
        {
            CHECK(agent.sender.outcomes("entry.a").empty());
            CHECK(agent.last_outcome("entry.b").kind == outcome_kind::succeeded);
        }
    }
}

SCENARIO("Outcomes are kept within a memory budget")
{
    agent::agent_settings settings;
    settings.max_outcome_bytes = 4500;
    agent_fixture agent(settings);
    auto const run = [&agent](std::uint32_t index, bool idempotent) {
        agent.start(make_start(index, idempotent));
        agent.runner.end(agent.runner.runs.size() - 1,
                         {outcome_kind::succeeded, '"' + std::string(1000, 'x') + '"', {}},
                         agent.now);
    };
    auto const reported = [&agent] {
        agent.core.receive("entry.a", protocol::outcome_query {1, {{job_id, 1}}}, agent.now);
        return agent.sender.to<protocol::outcome_report>("entry.a").back().outcomes;
    };
    run(0, false);
    run(1, true);

    WHEN("acknowledged results exceed the budget")
    {
        agent.acknowledge_all("entry.a");
        run(2, false);
        run(3, false);
        THEN("the oldest results are dropped, but the records that the tasks ran are kept")
        {
            auto const outcomes = reported();
            CHECK(outcomes[0].kind == outcome_kind::unknown);
            CHECK(outcomes[3].kind == outcome_kind::succeeded);
            agent.start(make_start(0, false, 2));
            CHECK(agent.runner.runs.size() == 4);
        }
        // Guards against an answer without the result: the start may be a resend after a lost
        // outcome.
        THEN("a repeated start of the same attempt is answered unknown, not succeeded")
        {
            agent.start(make_start(0, false));
            agent.advance(milliseconds(100));
            CHECK(agent.runner.runs.size() == 4);
            auto const repeated = agent.last_outcome();
            CHECK(repeated.task.index == 0);
            CHECK(repeated.kind == outcome_kind::unknown);
            CHECK(reported()[0].kind == outcome_kind::unknown);
        }
    }
    WHEN("unacknowledged results exceed the budget")
    {
        run(2, false);
        run(3, false);
        THEN("the oldest outcome becomes unknown, not \"not run\"")
        {
            CHECK(reported()[0].kind == outcome_kind::unknown);
            CHECK(reported()[3].kind == outcome_kind::succeeded);
        }
    }
    // Guards against a second run after a resubmission within the retention.
    WHEN("the retention of refusals passes, and then that of outcomes")
    {
        agent.acknowledge_all("entry.a");
        run(2, false);
        run(3, false);
        agent.advance(milliseconds(61'000));
        CHECK(reported().size() == 3);
        agent.update_lease(agent.entry_a, 1);
        agent.start(make_start(0, false, 3));
        CHECK(agent.runner.runs.size() == 4);
        agent.now += milliseconds(1'500'000);
        agent.advance(milliseconds(100));
        THEN("idempotent runs are removed first")
        {
            CHECK(reported().empty());
        }
    }
}

SCENARIO("A running task is stopped on request")
{
    agent_fixture agent;
    agent.start(make_start(0, true));
    protocol::cancel_batch const cancel {{{{job_id, 0}, 1}}};

    WHEN("it is cancelled")
    {
        agent.core.receive("entry.a", cancel, agent.now);
        REQUIRE(agent.runner.stopped.size() == 1);
        THEN("a failure after that counts as cancelled")
        {
            agent.runner.end(0, {outcome_kind::failed, {}, "stopped"}, agent.now);
            CHECK(agent.last_outcome().kind == outcome_kind::cancelled);
        }
        THEN("a success after that stays a success")
        {
            agent.succeed(0);
            CHECK(agent.last_outcome().kind == outcome_kind::succeeded);
        }
    }
    // Guards against stopping a hedge together with the cancelled attempt.
    WHEN("another attempt of it runs on the same endpoint")
    {
        agent.start(make_start(0, true, 2));
        agent.core.receive("entry.a", cancel, agent.now);
        THEN("the endpoint is not asked to stop")
        {
            CHECK(agent.runner.stopped.empty());
        }
    }
    WHEN("its answer is lost")
    {
        agent.runner.end(0, {outcome_kind::unknown, {}, "no answer"}, agent.now);
        THEN("the outcome is unknown and the endpoint is asked to stop")
        {
            CHECK(agent.last_outcome().kind == outcome_kind::unknown);
            CHECK(agent.runner.stopped.size() == 1);
        }
    }
}

SCENARIO("The agent reports its state")
{
    agent_fixture agent;
    agent.advance(milliseconds(1000));
    auto const reports = [&agent] { return agent.sender.to<protocol::agent_report>("entry.a"); };
    auto const before = reports().size();

    WHEN("nothing happens for three intervals")
    {
        agent.advance(milliseconds(900));
        THEN("three reports are sent")
        {
            CHECK(reports().size() == before + 3);
        }
    }
    // Guards against delaying a zone evacuation until the next regular report.
    WHEN("a new view arrives")
    {
        agent.update_lease(agent.entry_b, 2, {"recife"});
        THEN("it is acknowledged at once")
        {
            CHECK(reports().back().seen_view == 2);
        }
    }
    WHEN("the endpoint becomes full and stays full")
    {
        agent.advance(milliseconds(100));
        auto const sent = reports().size();
        agent.update_lease(agent.entry_a, 1);
        agent.start(make_start(0));
        agent.start(make_start(1));
        THEN("the change is reported at once")
        {
            CHECK(reports().size() == sent + 1);
            CHECK(reports().back().endpoints.at(0).used_slots == 2);
        }
    }
    auto const change_levels_for_a_second = [&agent] {
        for (std::uint32_t index = 0; index < 100; ++index) {
            agent.update_lease(agent.entry_a, 1);
            agent.start(make_start(2 * index, true));
            agent.start(make_start(2 * index + 1, true));
            agent.advance(milliseconds(10));
            agent.succeed(2 * index);
            agent.succeed(2 * index + 1);
        }
    };
    // Guards against refused starts when many entries learn of the same free slot at the same time,
    // and against the load that the reports put on them.
    WHEN("ten entries get reports of an endpoint that becomes full and free with every task")
    {
        for (int number = 3; number <= 10; ++number)
            agent.core.peer_up("entry." + std::to_string(number), agent.now);
        change_levels_for_a_second();
        THEN("at most one report per 170 ms is sent")
        {
            CHECK(reports().size() <= before + 7);
        }
    }
    // Guards against a flood of reports at full load.
    WHEN("the endpoint becomes full and free again with every task")
    {
        change_levels_for_a_second();
        THEN("at most one report per 50 ms is sent")
        {
            CHECK(reports().size() <= before + 21);
        }
    }
}
