// Stories of single jobs.

#include <catch2/catch.hpp>

#include <algorithm>

#include "entry/job_id.h"
#include "entry/simulated_fleet.h"

namespace {

using namespace greengagehead;
using namespace greengagehead::test;
using reply_kind = entry::submit_reply::kind;
using protocol::job_state;
using protocol::outcome_kind;
using protocol::ran_extent;

/// Two entries in two zones, one agent in each.
struct small_fleet : simulated_fleet {
    small_fleet() : simulated_fleet(1)
    {
        this->add_entry("entry.a", "recife");
        this->add_entry("entry.b", "fortaleza");
        this->add_agent("agent.1", "recife");
        this->add_agent("agent.2", "fortaleza");
        this->run(milliseconds(500));
    }

    entry::submit_reply const& wait_for(std::shared_ptr<submission> const& job)
    {
        REQUIRE(this->run_until([&] { return !job->replies.empty(); }, milliseconds(9000)));
        return job->replies.front();
    }

    std::string explain(std::string const& at, std::string const& job)
    {
        std::string text;
        this->entries.at(at)->query(
            job, true, milliseconds(0), [&](auto const& reply) { text = reply.explanation; },
            this->now);
        this->run_until([&] { return !text.empty(); });
        return text;
    }

    std::size_t starts_seen = 0;
    void count_starts()
    {
        this->on_send = [this](auto const&, auto const&, auto const& body) {
            if (auto const* batch = std::get_if<protocol::start_batch>(&body))
                this->starts_seen += batch->starts.size();
        };
    }
};

} // namespace

SCENARIO("a submission meets a takeover whose notice is still under way", "[entry]")
{
    GIVEN("a hold that runs for an entry which is lost")
    {
        small_fleet world;
        for (auto& [name, agent] : world.agents)
            agent.run_time = milliseconds(1000);
        auto const request = make_job("s1", 2, false);
        world.submit("entry.a", request);
        REQUIRE(world.run_until([&] { return world.runs.size() == 2; }));
        world.isolated.insert("entry.a");

        WHEN("control has moved the job and its new owner gets the submission again")
        {
            auto& claim = world.control.claims.begin()->second;
            claim.owner = world.control.leases.at("entry.b").entry.id;
            claim.epoch = 2;
            auto const second = world.submit("entry.b", request);
            auto const reply = world.wait_for(second);
            // Guards against the new owner starting the job as if it were its own new claim.
            THEN("the runs of the former owner count and none is added")
            {
                for (auto const& [task, count] : world.runs)
                    CHECK(count == 1);
                CHECK(reply.answer.state == job_state::complete);
                CHECK(world.violations.empty());
            }
        }
    }
}

SCENARIO("a job is claimed, placed and answered", "[entry]")
{
    GIVEN("a small fleet")
    {
        small_fleet world;

        WHEN("a job of ten tasks is submitted")
        {
            auto const job = world.submit("entry.a", make_job("s1", 10, false));
            auto const& reply = world.wait_for(job);

            // Guards against a broken path from submission to answer.
            THEN("the answer is complete and each task ran once")
            {
                REQUIRE(reply.status == reply_kind::answered);
                REQUIRE(reply.answer.state == job_state::complete);
                REQUIRE(reply.answer.ran == ran_extent::all);
                REQUIRE(world.runs.size() == 10);
                REQUIRE(world.violations.empty());
            }
            // Guards against decisions that nobody can look up.
            THEN("each decision can be read, also at the other entry")
            {
                auto const text = world.explain("entry.b", reply.answer.job);
                for (auto const* word : {"admitted", "claimed", "placed", "outcome", "finished"})
                    REQUIRE(text.find(word) != std::string::npos);
            }
            // Guards against starts caused by a resubmission.
            THEN("a resubmission anywhere gets the same answer and starts nothing")
            {
                world.count_starts();
                auto const again = world.submit("entry.b", make_job("s1", 10, false));
                REQUIRE(world.wait_for(again).answer.state == job_state::complete);
                REQUIRE(world.wait_for(again).answer.tasks.size() == 10);
                REQUIRE(world.starts_seen == 0);
            }
            // Guards against mixing up two contents under one submission.
            THEN("other content under the same submission is a conflict")
            {
                auto const here = world.submit("entry.a", make_job("s1", 11, false));
                auto const there = world.submit("entry.b", make_job("s1", 11, false));
                REQUIRE(world.wait_for(here).status == reply_kind::conflict);
                REQUIRE(world.wait_for(there).status == reply_kind::conflict);
            }
            // Guards against an invented answer when both copies of it are gone.
            THEN("without owner and backup the claim alone answers")
            {
                world.control.claims.at(reply.answer.job).owner.incarnation = 99;
                world.control.claims.at(reply.answer.job).backup = "entry.b";
                protocol::job_reply lost;
                world.add_entry("entry.b", "fortaleza");
                world.run(milliseconds(500));
                world.entries.at("entry.b")->query(
                    reply.answer.job, false, milliseconds(0),
                    [&](auto const& known) { lost = known; }, world.now);
                world.run(milliseconds(1000));
                REQUIRE(lost.answer->state == job_state::complete);
                REQUIRE(lost.answer->failure->message.find("answer_lost") == 0);
            }
        }
    }
}

SCENARIO("nothing starts before the claim is committed", "[entry]")
{
    GIVEN("a control group that does not answer claims")
    {
        small_fleet world;
        world.control.answers_claims = false;
        world.count_starts();
        auto const job = world.submit("entry.a", make_job("s1", 3, false));
        world.run(milliseconds(1000));
        // Guards against starts that a resubmission elsewhere could repeat.
        REQUIRE(world.starts_seen == 0);

        WHEN("the claim timeout passes and control answers later")
        {
            auto const& reply = world.wait_for(job);
            world.control.answers_claims = true;
            world.run(milliseconds(1000));

            // Guards against a late claim that still starts a refused job.
            THEN("the job was refused, never starts and its claim is finished as refused")
            {
                REQUIRE(reply.status == reply_kind::refused);
                REQUIRE(reply.answer.ran == ran_extent::none);
                REQUIRE(world.starts_seen == 0);
                REQUIRE(world.control.claims.at(reply.answer.job).state == job_state::refused);
            }
            // Guards against submissions that are refused for ever.
            THEN("the submission can be sent again")
            {
                auto const again = world.submit("entry.b", make_job("s1", 3, false));
                REQUIRE(world.wait_for(again).answer.state == job_state::complete);
            }
        }
        WHEN("the other entry cannot be asked either")
        {
            world.isolated = {"control.a", "entry.b"};

            // Guards against "not run" about a job that another entry may have run.
            THEN("the reply does not claim that nothing ran")
            {
                REQUIRE(world.wait_for(job).status == reply_kind::unknown);
                REQUIRE(world.wait_for(job).answer.ran == ran_extent::unknown);
            }
        }
    }
}

SCENARIO("leases decide whether tasks start", "[entry]")
{
    GIVEN("a small fleet")
    {
        small_fleet world;

        WHEN("a zone is taken out")
        {
            world.control.view.zones_out = {"recife"};
            world.control.new_view(world);
            auto const number = world.control.view.number;
            world.run_until([&] { return world.control.settled["entry.a"] == number; });

            // Guards against starts in a zone that operators were told is out.
            THEN("the view settles soon and no task starts in the zone")
            {
                REQUIRE(world.control.settled["entry.a"] == number);
                auto const job = world.submit("entry.a", make_job("s1", 8, false));
                REQUIRE(world.wait_for(job).answer.state == job_state::complete);
                REQUIRE(world.agents.at("agent.1").records.empty());
            }
        }
        WHEN("an agent with a stamp cannot acknowledge the new view")
        {
            world.isolated.insert("agent.1");
            world.control.new_view(world);
            auto const number = world.control.view.number;
            world.run(milliseconds(500));

            // Guards against acknowledging a change while a cut-off agent may still start tasks.
            THEN("the view settles only when the stamp has expired")
            {
                REQUIRE(world.control.settled["entry.a"] < number);
                world.run(milliseconds(1500));
                REQUIRE(world.control.settled["entry.a"] == number);
            }
        }
        WHEN("the entry loses its lease")
        {
            auto const status = [&] { return world.entries.at("entry.a")->status(world.now); };
            world.isolated.insert("control.a");
            world.run(milliseconds(1600));

            // Guards against starts without a lease.
            THEN("the lease is invalid and comes back with control")
            {
                REQUIRE_FALSE(status().lease_valid);
                world.isolated.clear();
                world.run(milliseconds(500));
                REQUIRE(status().lease_valid);
            }
        }
    }
}

SCENARIO("outcomes decide about further attempts", "[entry]")
{
    GIVEN("a small fleet with one endpoint that does not work")
    {
        small_fleet world;
        auto& broken = world.agents.at("agent.1");

        WHEN("its outcomes are unknown")
        {
            broken.result = outcome_kind::unknown;

            // Guards against failed jobs where a retry is allowed.
            THEN("idempotent tasks run elsewhere")
            {
                auto const job = world.submit("entry.a", make_job("s1", 4, true));
                REQUIRE(world.wait_for(job).answer.state == job_state::complete);
                REQUIRE(world.entries.at("entry.a")->counters().retries > 0);
            }
            // Guards against second runs of tasks that must run at most once.
            THEN("other tasks fail the job as possibly run")
            {
                auto const job = world.submit("entry.a", make_job("s2", 4, false));
                REQUIRE(world.wait_for(job).answer.state == job_state::failed);
                REQUIRE(world.wait_for(job).answer.ran == ran_extent::unknown);
                REQUIRE(world.violations.empty());
            }
        }
        WHEN("it refuses every start")
        {
            broken.slots = 4;
            broken.seen_view = 1000;

            // Guards against tasks that are lost with a refusal.
            THEN("the tasks run elsewhere")
            {
                auto const job = world.submit("entry.a", make_job("s1", 4, false));
                REQUIRE(world.wait_for(job).answer.state == job_state::complete);
            }
        }
        WHEN("it restarts while a task that must run once is running")
        {
            broken.run_time = milliseconds(3000);
            world.agents.at("agent.2").run_time = milliseconds(3000);
            auto const job = world.submit("entry.a", make_job("s1", 6, false));
            world.run(milliseconds(300));
            auto const before = world.now;
            broken.restart(world);

            // Guards against waiting for an outcome that is lost for good.
            THEN("the job fails at once as possibly run")
            {
                REQUIRE(world.wait_for(job).answer.state == job_state::failed);
                REQUIRE(world.wait_for(job).answer.ran == ran_extent::unknown);
                REQUIRE(world.now - before < milliseconds(1200));
            }
        }
        WHEN("it is silent for a while")
        {
            auto const job = world.submit("entry.a", make_job("s1", 6, false));
            world.run(milliseconds(15));
            world.isolated.insert("agent.1");
            world.run(milliseconds(3500));
            world.isolated.clear();

            // Guards against giving up tasks whose outcome the agent still has.
            THEN("its outcomes complete the job after its return")
            {
                REQUIRE(world.wait_for(job).answer.state == job_state::complete);
                REQUIRE(world.violations.empty());
            }
        }
        WHEN("it is slow although run times are known")
        {
            for (int i = 0; i < 20; ++i)
                world.wait_for(world.submit("entry.a", make_job(std::to_string(i), 4, true)));
            broken.run_time = milliseconds(4000);

            // Guards against one straggler that holds up a whole job.
            THEN("a hedge ends the job before the straggler")
            {
                auto const before = world.now;
                auto const job = world.submit("entry.a", make_job("slow", 2, true));
                REQUIRE(world.wait_for(job).answer.state == job_state::complete);
                REQUIRE(world.now - before < milliseconds(1000));
                REQUIRE(world.entries.at("entry.a")->counters().hedges > 0);
            }
        }
    }
}

SCENARIO("jobs end early", "[entry]")
{
    GIVEN("a job with more tasks than slots, of which none ends soon")
    {
        small_fleet world;
        for (auto& [name, agent] : world.agents)
            agent.run_time = milliseconds(60'000);
        auto const job = world.submit("entry.a", make_job("s1", 20, false));
        world.run(milliseconds(100));
        auto const id = world.control.claims.begin()->first;

        WHEN("it is cancelled at the other entry")
        {
            std::optional<protocol::job_answer> cancelled;
            world.entries.at("entry.b")->cancel(
                id, [&](auto const& reply) { cancelled = reply.answer; }, world.now);
            world.run(milliseconds(1000));

            // Guards against cancellations that leave tasks waiting or running.
            THEN("what waited did not run and what ran is stopped")
            {
                REQUIRE(cancelled->state == job_state::cancelled);
                REQUIRE(cancelled->ran == ran_extent::some);
                REQUIRE(world.wait_for(job).answer.state == job_state::cancelled);
                REQUIRE(world.agents.at("agent.1").running() == 0);
                world.run(milliseconds(500));
                REQUIRE(world.runs.size() == 8);
            }
        }
        WHEN("its deadline passes")
        {
            auto const& answer = world.wait_for(job).answer;

            // Guards against a claim about tasks whose outcome is open.
            THEN("it fails and says what may have run")
            {
                REQUIRE(answer.state == job_state::failed);
                REQUIRE(answer.ran == ran_extent::unknown);
                auto const not_run
                    = std::count_if(answer.tasks.begin(), answer.tasks.end(), [](auto const& task) {
                          return task.state == protocol::task_state::not_run;
                      });
                REQUIRE(not_run == 12);
            }
        }
    }
}

SCENARIO("the jobs of a lost entry go on", "[entry]")
{
    GIVEN("a job under way at an entry that is cut off")
    {
        small_fleet world;
        auto const idempotent = GENERATE(true, false);
        world.agents.at("agent.1").run_time = milliseconds(400);
        world.submit("entry.a", make_job("s1", 12, idempotent));
        world.run(milliseconds(200));
        world.isolated.insert("entry.a");
        auto const lost_at = world.now;
        auto const again = world.submit("entry.b", make_job("s1", 12, idempotent));

        // Guards against jobs that are lost with their entry, and against second runs.
        THEN("the backup completes it within five seconds")
        {
            REQUIRE(world.wait_for(again).answer.state == job_state::complete);
            REQUIRE(world.now - lost_at < milliseconds(5000));
            REQUIRE(world.violations.empty());
        }
    }
}

SCENARIO("an entry shuts down", "[entry]")
{
    GIVEN("an entry with a job under way")
    {
        small_fleet world;
        auto const job = world.submit("entry.a", make_job("s1", 10, false));
        world.run(milliseconds(5));
        world.entries.at("entry.a")->begin_shutdown(world.now, milliseconds(0));

        // Guards against a shutdown that interrupts an accepted job.
        THEN("new jobs are refused and the accepted one ends")
        {
            auto const refused = world.submit("entry.a", make_job("s2", 1, false));
            REQUIRE(world.wait_for(refused).status == reply_kind::refused);
            REQUIRE_FALSE(world.entries.at("entry.a")->idle());
            REQUIRE(world.wait_for(job).answer.state == job_state::complete);
            REQUIRE(world.run_until([&] { return world.entries.at("entry.a")->idle(); }));
        }
    }
}
