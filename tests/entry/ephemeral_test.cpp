// Jobs that are not stored: served without control, repeated after failures, never beside
// themselves.

#include <catch2/catch.hpp>

#include "entry/simulated_fleet.h"

namespace {

using namespace greengagehead;
using namespace greengagehead::test;
using reply_kind = entry::submit_reply::kind;
using protocol::job_state;
using protocol::outcome_kind;

protocol::job_request make_ephemeral(std::string const& submission, std::size_t tasks,
                                     std::uint32_t max_attempts = 3)
{
    auto request = make_job(submission, tasks, false);
    request.ephemeral = true;
    for (auto& task : request.tasks)
        task.max_attempts = max_attempts;
    return request;
}

struct ephemeral_fleet : simulated_fleet {
    ephemeral_fleet() : simulated_fleet(1)
    {
        this->add_entry("entry.a", "recife");
        this->add_agent("agent.1", "recife");
        this->add_agent("agent.2", "fortaleza");
        this->run(milliseconds(500));
    }
};

} // namespace

SCENARIO("control is out of reach", "[entry][ephemeral]")
{
    GIVEN("an entry whose lease has lapsed")
    {
        ephemeral_fleet world;
        world.isolated.insert("control.a");
        world.run(milliseconds(3000));
        REQUIRE_FALSE(world.entries.at("entry.a")->status(world.now).lease_valid);

        WHEN("an ephemeral job is submitted")
        {
            auto const job = world.submit("entry.a", make_ephemeral("s1", 4));
            world.run(milliseconds(300));
            // Guards against an outage of control stopping work that needs no record.
            THEN("it is served")
            {
                REQUIRE(job->replies.size() == 1);
                CHECK(job->replies.front().answer.state == job_state::complete);
                CHECK(world.violations.empty());
            }
        }
        WHEN("a stored job is submitted")
        {
            world.submit("entry.a", make_job("s2", 4, false));
            world.run(milliseconds(1000));
            THEN("nothing of it starts")
            {
                CHECK(world.runs.empty());
            }
        }
    }
}

SCENARIO("runs of an ephemeral task fail", "[entry][ephemeral]")
{
    GIVEN("a fleet whose endpoints fail everything")
    {
        ephemeral_fleet world;
        for (auto& [name, agent] : world.agents)
            agent.result = outcome_kind::failed;

        WHEN("the task may fail three times")
        {
            auto const job = world.submit("entry.a", make_ephemeral("s1", 1, 3));
            world.run(milliseconds(2000));
            // Guards against a task being tried beyond its limit, or given up before it.
            THEN("it runs three times and the job fails")
            {
                REQUIRE(job->replies.size() == 1);
                CHECK(job->replies.front().answer.state == job_state::failed);
                CHECK(job->replies.front().answer.tasks.front().state
                      == protocol::task_state::failed);
                CHECK(world.runs.begin()->second == 3);
            }
        }
    }
}

SCENARIO("the agent of an ephemeral task is lost", "[entry][ephemeral]")
{
    GIVEN("a task that runs at an agent which is cut off")
    {
        ephemeral_fleet world;
        for (auto& [name, agent] : world.agents)
            agent.run_time = milliseconds(2000);
        auto const job = world.submit("entry.a", make_ephemeral("s1", 1));
        REQUIRE(world.run_until([&] { return world.runs.size() == 1; }));
        auto& lost = world.agents.at("agent.1").records.empty() ? world.agents.at("agent.2")
                                                                : world.agents.at("agent.1");
        world.isolated.insert(lost.id.name);

        WHEN("the agent may still hold the run")
        {
            world.run(milliseconds(2500));
            // Guards against a second run beside the first, which the agent has not stopped yet.
            THEN("the task is not started elsewhere")
            {
                CHECK(world.runs.begin()->second == 1);
            }
        }
        WHEN("the agent and its worker have ended the run")
        {
            world.run(milliseconds(1500));
            lost.records.clear();
            world.run(milliseconds(3400));
            THEN("the task runs elsewhere")
            {
                CHECK(world.runs.begin()->second == 2);
                CHECK(world.violations.empty());
            }
        }
    }
}

SCENARIO("an ephemeral submission is sent again to the same entry", "[entry][ephemeral]")
{
    GIVEN("a running job")
    {
        ephemeral_fleet world;
        auto const first = world.submit("entry.a", make_ephemeral("s1", 2));
        world.run(milliseconds(10));

        WHEN("the same submission comes again")
        {
            auto const second = world.submit("entry.a", make_ephemeral("s1", 2));
            world.run(milliseconds(500));
            THEN("both callers get the one answer")
            {
                REQUIRE(first->replies.size() == 1);
                REQUIRE(second->replies.size() == 1);
                for (auto const& [task, count] : world.runs)
                    CHECK(count == 1);
            }
        }
    }
}

SCENARIO("an agent holds a run that nobody waits for", "[entry][ephemeral]")
{
    GIVEN("a cancelled job whose cancellation was lost")
    {
        ephemeral_fleet world;
        for (auto& [name, agent] : world.agents)
            agent.run_time = milliseconds(3000);
        auto const job = world.submit("entry.a", make_ephemeral("s1", 1));
        REQUIRE(world.run_until([&] { return world.runs.size() == 1; }));

        WHEN("the agent reports a run that the entry does not know")
        {
            std::size_t cancelled = 0;
            world.on_send = [&cancelled](auto const&, auto const&, auto const& body) {
                if (auto const* batch = std::get_if<protocol::cancel_batch>(&body))
                    cancelled += batch->attempts.size();
            };
            auto const& agent = world.agents.at("agent.1");
            protocol::agent_report report {agent.id,        {}, agent.zone,           {},
                                           agent.seen_view, {}, {{{"unknown", 0}, 7}}};
            report.agent_clock = base::to_reading(world.now + agent.clock_offset);
            world.entries.at("entry.a")->receive("agent.1", report, world.now);
            // Guards against a run that blocks its endpoint, beside a run elsewhere.
            THEN("it is cancelled")
            {
                CHECK(cancelled == 1);
            }
        }
    }
}

SCENARIO("a run stands still", "[entry][ephemeral]")
{
    GIVEN("a fleet that has served the kind before, and an endpoint that has stopped working")
    {
        ephemeral_fleet world;
        for (int i = 0; i < 20; ++i)
            world.submit("entry.a", make_ephemeral("warm" + std::to_string(i), 2));
        world.run(milliseconds(2000));
        for (auto& [name, agent] : world.agents)
            agent.run_time = milliseconds(60'000);
        auto const job = world.submit("entry.a", make_ephemeral("s1", 1));
        world.run(milliseconds(50));
        for (auto& [name, agent] : world.agents)
            agent.run_time = milliseconds(30);

        WHEN("the run takes far longer than others of its kind")
        {
            world.run(milliseconds(1500));
            // Guards against a caller that waits for a run which never ends.
            THEN("it is stopped, and the task runs elsewhere, never at the same time")
            {
                REQUIRE(job->replies.size() == 1);
                CHECK(job->replies.front().answer.state == job_state::complete);
                CHECK(world.violations.empty());
            }
        }
    }
}

SCENARIO("callers use their open connections while an entry shuts down", "[entry][ephemeral]")
{
    GIVEN("an entry that must have ended in one second")
    {
        ephemeral_fleet world;
        world.entries.at("entry.a")->begin_shutdown(world.now, milliseconds(1000));

        // Guards against refusals of work that the entry has time for.
        WHEN("a short job comes")
        {
            auto request = make_ephemeral("s1", 2);
            for (auto& task : request.tasks)
                task.expected = milliseconds(30);
            auto const job = world.submit("entry.a", request);
            world.run(milliseconds(300));
            THEN("it is served")
            {
                REQUIRE(job->replies.size() == 1);
                CHECK(job->replies.front().answer.state == job_state::complete);
            }
        }
        // Guards against connections that are closed without an answer when the process ends.
        WHEN("a job takes far longer than expected")
        {
            for (auto& [_, agent] : world.agents)
                agent.run_time = milliseconds(3000);
            auto request = make_ephemeral("s3", 2);
            for (auto& task : request.tasks)
                task.expected = milliseconds(30);
            auto const job = world.submit("entry.a", request);
            world.run(milliseconds(900));
            world.entries.at("entry.a")->answer_all_waiters(world.now);
            THEN("its caller is answered before the process ends, and not told that it has not run")
            {
                REQUIRE(job->replies.size() == 1);
                CHECK(job->replies.front().status == reply_kind::running);
                auto const again = world.submit("entry.a", request);
                CHECK(again->replies.size() == 1);
            }
        }
        WHEN("a job is admitted and nothing of it starts")
        {
            auto request = make_ephemeral("s4", 2);
            for (auto& task : request.tasks)
                task.expected = milliseconds(30);
            for (auto const& [name, _] : world.agents)
                world.isolated.insert(name);
            auto const job = world.submit("entry.a", request);
            world.run(milliseconds(900));
            world.entries.at("entry.a")->answer_all_waiters(world.now);
            THEN("its caller is answered before the process ends")
            {
                CHECK(job->replies.size() == 1);
            }
        }
        // Guards against jobs that are cut by the end of the process.
        WHEN("a job comes that may take longer")
        {
            auto request = make_ephemeral("s2", 2);
            request.tasks.back().expected = milliseconds(700);
            auto const job = world.submit("entry.a", request);
            THEN("it is refused at once and has not run")
            {
                REQUIRE(job->replies.size() == 1);
                CHECK(job->replies.front().status == reply_kind::refused);
                CHECK(world.runs.empty());
            }
        }
    }
}

SCENARIO("an agent sees that a run lags", "[entry][ephemeral]")
{
    GIVEN("a task that runs, and a free endpoint elsewhere")
    {
        ephemeral_fleet world;
        for (auto& [name, agent] : world.agents)
            agent.run_time = milliseconds(3000);
        auto request = make_ephemeral("s1", 1);
        request.tasks.front().expected = milliseconds(100);
        auto const job = world.submit("entry.a", request);
        REQUIRE(world.run_until([&] { return world.runs.size() == 1; }));
        auto& slow = world.agents.at("agent.1").records.empty() ? world.agents.at("agent.2")
                                                                : world.agents.at("agent.1");
        auto& other = &slow == &world.agents.at("agent.1") ? world.agents.at("agent.2")
                                                           : world.agents.at("agent.1");
        auto const& outcome = slow.records.begin()->second.outcome;
        protocol::lagging_run const notice {
            slow.id, {outcome.task, outcome.attempt}, milliseconds(2000)};

        // Guards against answers that wait for a slow endpoint while others are free.
        WHEN("the other endpoint has room")
        {
            other.run_time = milliseconds(50);
            world.post(slow.id.name, "entry.a", notice);
            world.run(milliseconds(200));
            THEN("the run is stopped, and the task ends elsewhere")
            {
                REQUIRE(job->replies.size() == 1);
                CHECK(job->replies.front().answer.state == job_state::complete);
                CHECK(world.violations.empty());
            }
        }
        // Guards against work that is thrown away for a place in the queue.
        WHEN("the other endpoint has none")
        {
            other.slots = 0;
            world.run(milliseconds(400));
            world.post(slow.id.name, "entry.a", notice);
            world.run(milliseconds(200));
            THEN("the run goes on")
            {
                CHECK(slow.running() == 1);
                CHECK(world.runs.begin()->second == 1);
                CHECK(job->replies.empty());
            }
        }
    }
}
