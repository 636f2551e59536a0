// Ephemeral jobs, which are not stored: they are served without control and retried after failures,
// but no task runs twice at the same time.

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

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

SCENARIO("control is unreachable", "[entry][ephemeral]")
{
    GIVEN("an entry whose lease has lapsed")
    {
        ephemeral_fleet fleet;
        fleet.isolated.insert("control.a");
        fleet.run(milliseconds(3000));
        REQUIRE_FALSE(fleet.entries.at("entry.a")->status(fleet.now).lease_valid);

        WHEN("an ephemeral job is submitted")
        {
            auto const job = fleet.submit("entry.a", make_ephemeral("s1", 4));
            fleet.run(milliseconds(300));
            // Guards against a control outage that stops work which needs no record.
            THEN("it is served")
            {
                REQUIRE(job->replies.size() == 1);
                CHECK(job->replies.front().answer.state == job_state::complete);
                CHECK(fleet.violations.empty());
            }
        }
        WHEN("a stored job is submitted")
        {
            fleet.submit("entry.a", make_job("s2", 4, false));
            fleet.run(milliseconds(1000));
            THEN("none of its tasks starts")
            {
                CHECK(fleet.runs.empty());
            }
        }
    }
}

SCENARIO("runs of an ephemeral task fail", "[entry][ephemeral]")
{
    GIVEN("a fleet whose endpoints fail every run")
    {
        ephemeral_fleet fleet;
        for (auto& [name, agent] : fleet.agents)
            agent.result = outcome_kind::failed;

        WHEN("the task may fail three times")
        {
            auto const job = fleet.submit("entry.a", make_ephemeral("s1", 1, 3));
            fleet.run(milliseconds(2000));
            // Guards against more or fewer runs than the limit allows.
            THEN("it runs three times and the job fails")
            {
                REQUIRE(job->replies.size() == 1);
                CHECK(job->replies.front().answer.state == job_state::failed);
                CHECK(job->replies.front().answer.tasks.front().state
                      == protocol::task_state::failed);
                CHECK(fleet.runs.begin()->second == 3);
            }
        }
    }
}

SCENARIO("the agent of an ephemeral task is lost", "[entry][ephemeral]")
{
    GIVEN("a task that runs at an agent which is isolated")
    {
        ephemeral_fleet fleet;
        for (auto& [name, agent] : fleet.agents)
            agent.run_time = milliseconds(2000);
        auto const job = fleet.submit("entry.a", make_ephemeral("s1", 1));
        REQUIRE(fleet.run_until([&] { return fleet.runs.size() == 1; }));
        auto& lost = fleet.agents.at("agent.1").records.empty() ? fleet.agents.at("agent.2")
                                                                : fleet.agents.at("agent.1");
        fleet.isolated.insert(lost.id.name);

        WHEN("the run may still be in progress")
        {
            fleet.run(milliseconds(2500));
            // Guards against a second run while the first one has not been stopped yet.
            THEN("the task is not started elsewhere")
            {
                CHECK(fleet.runs.begin()->second == 1);
            }
        }
        WHEN("its machine is not heard for longer than any permission lasts")
        {
            fleet.run(milliseconds(3500));
            // Guards against a time that is taken for the end of a run: a machine that was
            // suspended goes on with it.
            THEN("the task is not started elsewhere")
            {
                CHECK(fleet.runs.begin()->second == 1);
            }
            AND_WHEN("a later process of the agent is heard")
            {
                lost.restart(fleet);
                fleet.isolated.clear();
                fleet.run(milliseconds(1400));
                THEN("the task runs again")
                {
                    CHECK(fleet.runs.begin()->second == 2);
                    CHECK(fleet.violations.empty());
                }
            }
        }
    }
}

SCENARIO("an ephemeral submission is sent again to the same entry", "[entry][ephemeral]")
{
    GIVEN("a running job")
    {
        ephemeral_fleet fleet;
        auto const first = fleet.submit("entry.a", make_ephemeral("s1", 2));
        fleet.run(milliseconds(10));

        WHEN("the same submission comes again")
        {
            auto const second = fleet.submit("entry.a", make_ephemeral("s1", 2));
            fleet.run(milliseconds(500));
            THEN("both callers get the same answer")
            {
                REQUIRE(first->replies.size() == 1);
                REQUIRE(second->replies.size() == 1);
                for (auto const& [task, count] : fleet.runs)
                    CHECK(count == 1);
            }
        }
    }
}

SCENARIO("an agent reports a run that the entry does not know", "[entry][ephemeral]")
{
    GIVEN("a cancelled job whose cancellation was lost")
    {
        ephemeral_fleet fleet;
        for (auto& [name, agent] : fleet.agents)
            agent.run_time = milliseconds(3000);
        auto const job = fleet.submit("entry.a", make_ephemeral("s1", 1));
        REQUIRE(fleet.run_until([&] { return fleet.runs.size() == 1; }));

        WHEN("the agent reports a run that the entry does not know")
        {
            std::size_t cancelled = 0;
            fleet.on_send = [&cancelled](auto const&, auto const&, auto const& body) {
                if (auto const* batch = std::get_if<protocol::cancel_batch>(&body))
                    cancelled += batch->attempts.size();
            };
            auto const& agent = fleet.agents.at("agent.1");
            protocol::agent_report report {agent.id,        {}, agent.zone,           {},
                                           agent.seen_view, {}, {{{"unknown", 0}, 7}}};
            report.agent_clock = base::to_reading(fleet.now + agent.clock_offset);
            fleet.entries.at("entry.a")->receive("agent.1", report, fleet.now);
            // Guards against a run that occupies its endpoint although its result is not used.
            THEN("it is cancelled")
            {
                CHECK(cancelled == 1);
            }
        }
    }
}

SCENARIO("a run makes no progress", "[entry][ephemeral]")
{
    GIVEN("a fleet that has served the kind before, and an endpoint that has stopped working")
    {
        ephemeral_fleet fleet;
        for (int i = 0; i < 20; ++i)
            fleet.submit("entry.a", make_ephemeral("warm" + std::to_string(i), 2));
        fleet.run(milliseconds(2000));
        for (auto& [name, agent] : fleet.agents)
            agent.run_time = milliseconds(60'000);
        auto const job = fleet.submit("entry.a", make_ephemeral("s1", 1));
        fleet.run(milliseconds(50));
        for (auto& [name, agent] : fleet.agents)
            agent.run_time = milliseconds(30);

        WHEN("the run takes far longer than others of its kind")
        {
            fleet.run(milliseconds(1500));
            // Guards against a caller that waits for a run that never ends.
            THEN("it is stopped, and then the task runs elsewhere")
            {
                REQUIRE(job->replies.size() == 1);
                CHECK(job->replies.front().answer.state == job_state::complete);
                CHECK(fleet.violations.empty());
            }
        }
    }
}

SCENARIO("jobs are submitted while an entry shuts down", "[entry][ephemeral]")
{
    GIVEN("an entry that must end within one second")
    {
        ephemeral_fleet fleet;
        fleet.entries.at("entry.a")->begin_shutdown(fleet.now, milliseconds(1000));

        // Guards against refusing work that the entry has time for.
        WHEN("a short job is submitted")
        {
            auto request = make_ephemeral("s1", 2);
            for (auto& task : request.tasks)
                task.expected = milliseconds(30);
            auto const job = fleet.submit("entry.a", request);
            fleet.run(milliseconds(300));
            THEN("it is served")
            {
                REQUIRE(job->replies.size() == 1);
                CHECK(job->replies.front().answer.state == job_state::complete);
            }
        }
        // Guards against connections that are closed without an answer when the process ends.
        WHEN("a job takes far longer than expected")
        {
            for (auto& [_, agent] : fleet.agents)
                agent.run_time = milliseconds(3000);
            auto request = make_ephemeral("s3", 2);
            for (auto& task : request.tasks)
                task.expected = milliseconds(30);
            auto const job = fleet.submit("entry.a", request);
            fleet.run(milliseconds(900));
            fleet.entries.at("entry.a")->answer_all_waiters(fleet.now);
            THEN("its caller is answered before the process ends, without a claim that it has not "
                 "run")
            {
                REQUIRE(job->replies.size() == 1);
                CHECK(job->replies.front().status == reply_kind::running);
                auto const again = fleet.submit("entry.a", request);
                CHECK(again->replies.size() == 1);
            }
        }
        WHEN("a job is admitted and none of its tasks starts")
        {
            auto request = make_ephemeral("s4", 2);
            for (auto& task : request.tasks)
                task.expected = milliseconds(30);
            for (auto const& [name, _] : fleet.agents)
                fleet.isolated.insert(name);
            auto const job = fleet.submit("entry.a", request);
            fleet.run(milliseconds(900));
            fleet.entries.at("entry.a")->answer_all_waiters(fleet.now);
            THEN("its caller is answered before the process ends")
            {
                CHECK(job->replies.size() == 1);
            }
        }
        // Guards against jobs that are interrupted by the end of the process.
        WHEN("a job is submitted that may take longer")
        {
            auto request = make_ephemeral("s2", 2);
            request.tasks.back().expected = milliseconds(700);
            auto const job = fleet.submit("entry.a", request);
            THEN("it is refused at once and has not run")
            {
                REQUIRE(job->replies.size() == 1);
                CHECK(job->replies.front().status == reply_kind::refused);
                CHECK(fleet.runs.empty());
            }
        }
    }
}

SCENARIO("an agent reports that a run lags", "[entry][ephemeral]")
{
    GIVEN("a task that runs, and a free endpoint elsewhere")
    {
        ephemeral_fleet fleet;
        for (auto& [name, agent] : fleet.agents)
            agent.run_time = milliseconds(3000);
        auto request = make_ephemeral("s1", 1);
        request.tasks.front().expected = milliseconds(100);
        auto const job = fleet.submit("entry.a", request);
        REQUIRE(fleet.run_until([&] { return fleet.runs.size() == 1; }));
        auto& slow = fleet.agents.at("agent.1").records.empty() ? fleet.agents.at("agent.2")
                                                                : fleet.agents.at("agent.1");
        auto& other = &slow == &fleet.agents.at("agent.1") ? fleet.agents.at("agent.2")
                                                           : fleet.agents.at("agent.1");
        auto const& outcome = slow.records.begin()->second.outcome;
        protocol::lagging_run const notice {
            slow.id, {outcome.task, outcome.attempt}, milliseconds(2000)};

        // Guards against waiting for a slow endpoint while others are free.
        WHEN("the other endpoint has room")
        {
            other.run_time = milliseconds(50);
            fleet.post(slow.id.name, "entry.a", notice);
            fleet.run(milliseconds(200));
            THEN("the run is stopped, and the task ends elsewhere")
            {
                REQUIRE(job->replies.size() == 1);
                CHECK(job->replies.front().answer.state == job_state::complete);
                CHECK(fleet.violations.empty());
            }
        }
        // Guards against cancelling a run when the task could only be queued again.
        WHEN("the other endpoint has no room")
        {
            other.slots = 0;
            fleet.run(milliseconds(400));
            fleet.post(slow.id.name, "entry.a", notice);
            fleet.run(milliseconds(200));
            THEN("the run continues")
            {
                CHECK(slow.running() == 1);
                CHECK(fleet.runs.begin()->second == 1);
                CHECK(job->replies.empty());
            }
        }
    }
}

// Guards against tasks that run twice at the same time: after a pause of the entry, a caller may
// have sent the job to another entry before the event of its closed connection is handled.
SCENARIO("the caller of an ephemeral job leaves unnoticed", "[entry][ephemeral]")
{
    GIVEN("a job that waits for a free endpoint")
    {
        ephemeral_fleet fleet;
        bool left = false;
        std::vector<std::shared_ptr<simulated_fleet::submission>> others;
        for (auto& [name, agent] : fleet.agents)
            agent.run_time = milliseconds(400);
        for (auto const* name : {"s1", "s2"})
            others.push_back(fleet.submit("entry.a", make_ephemeral(name, 4)));
        auto const job = fleet.submit("entry.a", make_ephemeral("s3", 2), milliseconds(10'000),
                                      [&left] { return left; });
        fleet.run(milliseconds(100));
        REQUIRE(fleet.runs.size() == 8);
        REQUIRE(job->replies.empty());

        WHEN("the caller has left when an endpoint becomes free")
        {
            left = true;
            fleet.run(milliseconds(1000));
            THEN("none of its tasks starts")
            {
                CHECK(fleet.runs.size() == 8);
                REQUIRE(job->replies.size() == 1);
                CHECK(job->replies.front().answer.state == job_state::cancelled);
            }
        }
        WHEN("the caller still waits")
        {
            fleet.run(milliseconds(1000));
            THEN("the job is served")
            {
                REQUIRE(job->replies.size() == 1);
                CHECK(job->replies.front().answer.state == job_state::complete);
            }
        }
        WHEN("one of two callers has left")
        {
            left = true;
            auto const second = fleet.submit("entry.a", make_ephemeral("s3", 2));
            fleet.run(milliseconds(1000));
            THEN("the job is served")
            {
                REQUIRE(second->replies.size() == 1);
                CHECK(second->replies.front().answer.state == job_state::complete);
            }
        }
    }
    GIVEN("a job whose run has ended without a result")
    {
        ephemeral_fleet fleet;
        bool left = false;
        for (auto& [name, agent] : fleet.agents)
            agent.result = outcome_kind::failed;
        auto const job = fleet.submit("entry.a", make_ephemeral("s1", 1, 3), milliseconds(10'000),
                                      [&left] { return left; });
        fleet.run(milliseconds(10));
        REQUIRE(fleet.runs.begin()->second == 1);
        WHEN("the caller has left in the meantime")
        {
            left = true;
            fleet.run(milliseconds(1000));
            THEN("the task is not started again")
            {
                CHECK(fleet.runs.begin()->second == 1);
            }
        }
    }
}

// Guards against a task that is started again beside its run: an agent that wakes from a pause
// reports its run of an earlier submission of the same job, whose attempts have the same numbers.
SCENARIO("an agent reports the outcome of an earlier submission", "[entry][ephemeral]")
{
    GIVEN("a job that runs")
    {
        ephemeral_fleet fleet;
        for (auto& [name, agent] : fleet.agents)
            agent.run_time = milliseconds(500);
        auto const job = fleet.submit("entry.a", make_ephemeral("s1", 1));
        REQUIRE(fleet.run_until([&] { return fleet.runs.size() == 1; }));
        auto const& first = fleet.agents.at("agent.1");
        auto const& second = fleet.agents.at("agent.2");
        auto const& other = first.records.empty() ? first : second;
        protocol::task_outcome late;
        late.task = {fleet.runs.begin()->first.first, 0};
        late.endpoint = "endpoint";

        for (auto const kind : {outcome_kind::cancelled, outcome_kind::succeeded}) {
            WHEN("another agent reports an outcome of the same attempt number: "
                 + std::to_string(static_cast<int>(kind)))
            {
                late.kind = kind;
                late.result = "1";
                fleet.post(other.id.name, "entry.a",
                           protocol::outcome_batch {other.id, 99, {late}, {}});
                fleet.run(milliseconds(300));
                THEN("the run goes on, and its own outcome is used")
                {
                    CHECK(job->replies.empty());
                    CHECK(fleet.runs.begin()->second == 1);
                    fleet.run(milliseconds(500));
                    REQUIRE(job->replies.size() == 1);
                    CHECK(job->replies.front().answer.state == job_state::complete);
                    CHECK(fleet.runs.begin()->second == 1);
                }
            }
        }
    }
}

// Guards against statements about an earlier submission that have an effect on the present one:
// both have the same job id, and attempts were numbered from 1 for each of them.
SCENARIO("statements about an earlier submission of a job arrive late", "[entry][ephemeral]")
{
    GIVEN("a job that was cancelled and forgotten, was submitted again, and runs at the same agent")
    {
        ephemeral_fleet fleet;
        auto& agent = fleet.agents.at("agent.1");
        auto& other = fleet.agents.at("agent.2");
        other.slots = 0;
        agent.run_time = milliseconds(2000);
        fleet.run(milliseconds(200));
        auto request = make_ephemeral("s1", 1);
        request.tasks.front().expected = milliseconds(100);
        auto const first = fleet.submit("entry.a", request);
        REQUIRE(fleet.run_until([&] { return agent.running() == 1; }));
        auto const former = agent.records.begin()->second.outcome;
        fleet.entries.at("entry.a")->cancel(
            former.task.job, [](auto const&) {}, fleet.now);
        fleet.run(milliseconds(6000));
        REQUIRE(first->replies.size() == 1);
        REQUIRE(first->replies.front().answer.state == job_state::cancelled);
        agent.records.clear();
        auto const second = fleet.submit("entry.a", request);
        REQUIRE(fleet.run_until([&] { return agent.running() == 1; }, milliseconds(500)));
        REQUIRE(fleet.runs.size() == 1);
        auto const present
            = std::find_if(agent.records.begin(), agent.records.end(), [](auto const& record) {
                  return record.second.outcome.kind == outcome_kind::running;
              })->second.outcome;
        REQUIRE(present.task == former.task);
        std::vector<protocol::attempt_ref> cancelled;
        fleet.on_send = [&cancelled](auto const&, auto const&, auto const& body) {
            if (auto const* batch = std::get_if<protocol::cancel_batch>(&body))
                cancelled.insert(cancelled.end(), batch->attempts.begin(), batch->attempts.end());
        };
        auto const run_ends_as_usual = [&] {
            fleet.run(milliseconds(3000));
            CHECK(fleet.runs.begin()->second == 2);
            REQUIRE(second->replies.size() == 1);
            CHECK(second->replies.front().answer.state == job_state::complete);
            CHECK(fleet.violations.empty());
        };

        THEN("no attempt number is used twice")
        {
            CHECK(present.attempt != former.attempt);
            run_ends_as_usual();
            CHECK(cancelled.empty());
        }
        for (auto const kind : {outcome_kind::cancelled, outcome_kind::succeeded}) {
            WHEN("an outcome of the earlier one arrives: " + std::to_string(static_cast<int>(kind)))
            {
                auto late = former;
                late.kind = kind;
                late.result = "1";
                fleet.post(agent.id.name, "entry.a",
                           protocol::outcome_batch {agent.id, 99, {late}, {}});
                THEN("the run goes on")
                {
                    run_ends_as_usual();
                    CHECK(cancelled.empty());
                }
            }
        }
        WHEN("the earlier run is reported as lagging")
        {
            other.slots = 4;
            fleet.run(milliseconds(200));
            fleet.post(agent.id.name, "entry.a",
                       protocol::lagging_run {
                           agent.id, {former.task, former.attempt}, milliseconds(10'000)});
            THEN("the run goes on")
            {
                run_ends_as_usual();
                CHECK(cancelled.empty());
            }
        }
        WHEN("the earlier run is listed as running")
        {
            protocol::agent_report report {
                agent.id,
                {},
                agent.zone,
                {},
                agent.seen_view,
                {},
                {{former.task, former.attempt}, {present.task, present.attempt}}};
            report.agent_clock = base::to_reading(fleet.now + agent.clock_offset);
            fleet.entries.at("entry.a")->receive(agent.id.name, report, fleet.now);
            THEN("it is cancelled, and the present run goes on")
            {
                run_ends_as_usual();
                REQUIRE(cancelled.size() == 1);
                CHECK(cancelled.front().attempt == former.attempt);
            }
        }
    }
}

// Guards against a start that the agent takes for a repeated one, so that it answers with the
// outcome of the earlier submission.
SCENARIO("an agent still has the record of an earlier submission", "[entry][ephemeral]")
{
    GIVEN("a job that was cancelled, and that its entry has forgotten")
    {
        ephemeral_fleet fleet;
        auto& agent = fleet.agents.at("agent.1");
        fleet.agents.at("agent.2").slots = 0;
        fleet.run(milliseconds(200));
        agent.run_time = milliseconds(1000);
        auto const first = fleet.submit("entry.a", make_ephemeral("s1", 1));
        REQUIRE(fleet.run_until([&] { return agent.running() == 1; }));
        fleet.entries.at("entry.a")->cancel(
            agent.records.begin()->second.outcome.task.job, [](auto const&) {}, fleet.now);
        fleet.run(milliseconds(6000));
        REQUIRE(first->replies.size() == 1);

        WHEN("it is submitted again")
        {
            auto const second = fleet.submit("entry.a", make_ephemeral("s1", 1));
            fleet.run(milliseconds(1200));
            THEN("it runs once more")
            {
                CHECK(fleet.runs.begin()->second == 2);
                REQUIRE(second->replies.size() == 1);
                CHECK(second->replies.front().answer.state == job_state::complete);
            }
        }
    }
}

// Guards against statements of an agent that have an effect on a run of another agent.
SCENARIO("an agent makes a statement about a run that it does not have", "[entry][ephemeral]")
{
    GIVEN("a task that runs at one of two agents")
    {
        ephemeral_fleet fleet;
        for (auto& [name, agent] : fleet.agents)
            agent.run_time = milliseconds(1500);
        auto request = make_ephemeral("s1", 1);
        request.tasks.front().expected = milliseconds(100);
        auto const job = fleet.submit("entry.a", request);
        REQUIRE(fleet.run_until([&] { return fleet.runs.size() == 1; }));
        bool const at_first = !fleet.agents.at("agent.1").records.empty();
        auto& runner = fleet.agents.at(at_first ? "agent.1" : "agent.2");
        auto& other = fleet.agents.at(at_first ? "agent.2" : "agent.1");
        auto const& outcome = runner.records.begin()->second.outcome;
        protocol::attempt_ref const run {outcome.task, outcome.attempt};
        std::vector<std::string> cancelled_at;
        fleet.on_send = [&cancelled_at](auto const&, auto const& to, auto const& body) {
            if (std::holds_alternative<protocol::cancel_batch>(body))
                cancelled_at.push_back(to);
        };
        auto const report_of = [&fleet, &run](fake_agent const& agent) {
            protocol::agent_report report {agent.id,        {}, agent.zone, {},
                                           agent.seen_view, {}, {run}};
            report.agent_clock = base::to_reading(fleet.now + agent.clock_offset);
            return report;
        };
        auto const run_ends_as_usual = [&] {
            fleet.run(milliseconds(2500));
            CHECK(fleet.runs.begin()->second == 1);
            REQUIRE(job->replies.size() == 1);
            CHECK(job->replies.front().answer.state == job_state::complete);
        };
        // The tests below would prove nothing if a notice had no effect in any case.
        WHEN("its own agent reports twice that it lags")
        {
            protocol::lagging_run const notice {runner.id, run, milliseconds(10'000)};
            fleet.post(runner.id.name, "entry.a", notice);
            fleet.post(runner.id.name, "entry.a", notice);
            other.run_time = milliseconds(50);
            fleet.run(milliseconds(300));
            THEN("it is moved once")
            {
                CHECK(fleet.runs.begin()->second == 2);
                REQUIRE(job->replies.size() == 1);
                CHECK(job->replies.front().answer.state == job_state::complete);
                CHECK(fleet.violations.empty());
            }
        }
        WHEN("the other agent reports that it lags")
        {
            fleet.post(other.id.name, "entry.a",
                       protocol::lagging_run {other.id, run, milliseconds(10'000)});
            THEN("the run goes on")
            {
                run_ends_as_usual();
                CHECK(cancelled_at.empty());
            }
        }
        WHEN("another incarnation of its agent reports that it lags")
        {
            auto former = runner.id;
            --former.incarnation;
            fleet.post(runner.id.name, "entry.a",
                       protocol::lagging_run {former, run, milliseconds(10'000)});
            THEN("the run goes on")
            {
                run_ends_as_usual();
                CHECK(cancelled_at.empty());
            }
        }
        WHEN("the other agent lists it")
        {
            fleet.entries.at("entry.a")->receive(other.id.name, report_of(other), fleet.now);
            THEN("it is cancelled there, and the run at its own agent goes on")
            {
                run_ends_as_usual();
                CHECK(cancelled_at == std::vector {other.id.name});
            }
        }
        WHEN("its own agent lists it")
        {
            fleet.entries.at("entry.a")->receive(runner.id.name, report_of(runner), fleet.now);
            THEN("the run goes on")
            {
                run_ends_as_usual();
                CHECK(cancelled_at.empty());
            }
        }
    }
}
