// Jobs in a small fleet: claims, leases, retries, cancellation, takeover and shutdown.

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

SCENARIO("a submission arrives before the notice of its takeover", "[entry]")
{
    GIVEN("a running job whose entry is lost")
    {
        small_fleet fleet;
        for (auto& [name, agent] : fleet.agents)
            agent.run_time = milliseconds(1000);
        auto const request = make_job("s1", 2, false);
        fleet.submit("entry.a", request);
        REQUIRE(fleet.run_until([&] { return fleet.runs.size() == 2; }));
        fleet.isolated.insert("entry.a");

        WHEN("control has moved the job and its new owner receives the same submission")
        {
            auto& claim = fleet.control.claims.begin()->second;
            claim.owner = fleet.control.leases.at("entry.b").entry.id;
            claim.epoch = 2;
            auto const second = fleet.submit("entry.b", request);
            auto const reply = fleet.wait_for(second);
            // Guards against a new owner that treats the job as newly claimed and starts it again.
            THEN("the runs of the former owner are used and no task runs again")
            {
                for (auto const& [task, count] : fleet.runs)
                    CHECK(count == 1);
                CHECK(reply.answer.state == job_state::complete);
                CHECK(fleet.violations.empty());
            }
        }
    }
}

SCENARIO("a job is claimed, placed and answered", "[entry]")
{
    GIVEN("a small fleet")
    {
        small_fleet fleet;

        WHEN("a job of ten tasks is submitted")
        {
            auto const job = fleet.submit("entry.a", make_job("s1", 10, false));
            auto const& reply = fleet.wait_for(job);

            // Guards against a fault anywhere between submission and answer.
            THEN("the answer is complete and each task ran once")
            {
                REQUIRE(reply.status == reply_kind::answered);
                REQUIRE(reply.answer.state == job_state::complete);
                REQUIRE(reply.answer.ran == ran_extent::all);
                REQUIRE(fleet.runs.size() == 10);
                REQUIRE(fleet.violations.empty());
            }
            // Guards against decisions that are missing from the explanation, also at another
            // entry.
            THEN("the other entry explains all decisions")
            {
                auto const text = fleet.explain("entry.b", reply.answer.job);
                for (auto const* word : {"admitted", "claimed", "placed", "outcome", "finished"})
                    REQUIRE(text.find(word) != std::string::npos);
            }
            // Guards against starts caused by a resubmission.
            THEN("a resubmission to the other entry gets the same answer and starts nothing")
            {
                fleet.count_starts();
                auto const again = fleet.submit("entry.b", make_job("s1", 10, false));
                REQUIRE(fleet.wait_for(again).answer.state == job_state::complete);
                REQUIRE(fleet.wait_for(again).answer.tasks.size() == 10);
                REQUIRE(fleet.starts_seen == 0);
            }
            // Guards against answering a submission with the result of different content.
            THEN("different content under the same submission is a conflict")
            {
                auto const here = fleet.submit("entry.a", make_job("s1", 11, false));
                auto const there = fleet.submit("entry.b", make_job("s1", 11, false));
                REQUIRE(fleet.wait_for(here).status == reply_kind::conflict);
                REQUIRE(fleet.wait_for(there).status == reply_kind::conflict);
            }
            // Guards against an invented answer when the owner and the backup have lost theirs.
            THEN("the answer is made from the claim alone")
            {
                fleet.control.claims.at(reply.answer.job).owner.incarnation = 99;
                fleet.control.claims.at(reply.answer.job).backup = "entry.b";
                protocol::job_reply lost;
                fleet.add_entry("entry.b", "fortaleza");
                fleet.run(milliseconds(500));
                fleet.entries.at("entry.b")->query(
                    reply.answer.job, false, milliseconds(0),
                    [&](auto const& known) { lost = known; }, fleet.now);
                fleet.run(milliseconds(1000));
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
        small_fleet fleet;
        fleet.control.answers_claims = false;
        fleet.count_starts();
        auto const job = fleet.submit("entry.a", make_job("s1", 3, false));
        fleet.run(milliseconds(1000));
        // Guards against starts that a resubmission to another entry could repeat.
        REQUIRE(fleet.starts_seen == 0);

        WHEN("the claim timeout passes and control answers later")
        {
            auto const& reply = fleet.wait_for(job);
            fleet.control.answers_claims = true;
            fleet.run(milliseconds(1000));

            // Guards against a late claim that still starts a refused job.
            THEN("the job was refused, never starts and its claim is finished as refused")
            {
                REQUIRE(reply.status == reply_kind::refused);
                REQUIRE(reply.answer.ran == ran_extent::none);
                REQUIRE(fleet.starts_seen == 0);
                REQUIRE(fleet.control.claims.at(reply.answer.job).state == job_state::refused);
            }
            // Guards against submissions that can never be sent again after a refusal.
            THEN("the submission can be sent again")
            {
                auto const again = fleet.submit("entry.b", make_job("s1", 3, false));
                REQUIRE(fleet.wait_for(again).answer.state == job_state::complete);
            }
        }
        WHEN("control and the other entry are unreachable")
        {
            fleet.isolated = {"control.a", "entry.b"};

            // Guards against reporting "not run" for a job that another entry may have run.
            THEN("the reply does not claim that nothing ran")
            {
                REQUIRE(fleet.wait_for(job).status == reply_kind::unknown);
                REQUIRE(fleet.wait_for(job).answer.ran == ran_extent::unknown);
            }
        }
    }
}

SCENARIO("tasks start only under a valid lease", "[entry]")
{
    GIVEN("a small fleet")
    {
        small_fleet fleet;

        WHEN("a zone is taken out")
        {
            fleet.control.view.zones_out = {"recife"};
            fleet.control.new_view(fleet);
            auto const number = fleet.control.view.number;
            fleet.run_until([&] { return fleet.control.settled["entry.a"] == number; });

            // Guards against starts in a zone after operators were told that it is out.
            THEN("the view settles soon and no task starts in the zone")
            {
                REQUIRE(fleet.control.settled["entry.a"] == number);
                auto const job = fleet.submit("entry.a", make_job("s1", 8, false));
                REQUIRE(fleet.wait_for(job).answer.state == job_state::complete);
                REQUIRE(fleet.agents.at("agent.1").records.empty());
            }
        }
        WHEN("an agent with a stamp cannot acknowledge the new view")
        {
            fleet.isolated.insert("agent.1");
            fleet.control.new_view(fleet);
            auto const number = fleet.control.view.number;
            fleet.run(milliseconds(500));

            // Guards against acknowledging a change while an isolated agent may still start tasks.
            THEN("the view settles only when the stamp has expired")
            {
                REQUIRE(fleet.control.settled["entry.a"] < number);
                fleet.run(milliseconds(1500));
                REQUIRE(fleet.control.settled["entry.a"] == number);
            }
        }
        WHEN("the entry loses its lease")
        {
            auto const status = [&] { return fleet.entries.at("entry.a")->status(fleet.now); };
            fleet.isolated.insert("control.a");
            fleet.run(milliseconds(1600));

            // Guards against starts without a lease.
            THEN("the lease is invalid until control is reachable again")
            {
                REQUIRE_FALSE(status().lease_valid);
                fleet.isolated.clear();
                fleet.run(milliseconds(500));
                REQUIRE(status().lease_valid);
            }
        }
    }
}

SCENARIO("outcomes determine further attempts", "[entry]")
{
    GIVEN("a small fleet with one faulty endpoint")
    {
        small_fleet fleet;
        auto& broken = fleet.agents.at("agent.1");

        WHEN("its outcomes are unknown")
        {
            broken.result = outcome_kind::unknown;

            // Guards against failing a job although a retry is allowed.
            THEN("idempotent tasks run elsewhere")
            {
                auto const job = fleet.submit("entry.a", make_job("s1", 4, true));
                REQUIRE(fleet.wait_for(job).answer.state == job_state::complete);
                REQUIRE(fleet.entries.at("entry.a")->counters().retries > 0);
            }
            // Guards against second runs of tasks that must run at most once.
            THEN("the job fails when a task that is not idempotent may have run")
            {
                auto const job = fleet.submit("entry.a", make_job("s2", 4, false));
                REQUIRE(fleet.wait_for(job).answer.state == job_state::failed);
                REQUIRE(fleet.wait_for(job).answer.ran == ran_extent::unknown);
                REQUIRE(fleet.violations.empty());
            }
        }
        WHEN("it refuses every start")
        {
            broken.slots = 4;
            broken.seen_view = 1000;

            // Guards against losing a task whose start was refused.
            THEN("the tasks run elsewhere")
            {
                auto const job = fleet.submit("entry.a", make_job("s1", 4, false));
                REQUIRE(fleet.wait_for(job).answer.state == job_state::complete);
            }
        }
        WHEN("it restarts while a task that must run once is running")
        {
            broken.run_time = milliseconds(3000);
            fleet.agents.at("agent.2").run_time = milliseconds(3000);
            auto const job = fleet.submit("entry.a", make_job("s1", 6, false));
            fleet.run(milliseconds(300));
            auto const before = fleet.now;
            broken.restart(fleet);

            // Guards against waiting for an outcome that can no longer arrive.
            THEN("the job fails at once and may have run")
            {
                REQUIRE(fleet.wait_for(job).answer.state == job_state::failed);
                REQUIRE(fleet.wait_for(job).answer.ran == ran_extent::unknown);
                REQUIRE(fleet.now - before < milliseconds(1200));
            }
        }
        WHEN("it is silent for a while")
        {
            auto const job = fleet.submit("entry.a", make_job("s1", 6, false));
            fleet.run(milliseconds(15));
            fleet.isolated.insert("agent.1");
            fleet.run(milliseconds(3500));
            fleet.isolated.clear();

            // Guards against failing tasks whose outcome the agent still has.
            THEN("its outcomes complete the job after its return")
            {
                REQUIRE(fleet.wait_for(job).answer.state == job_state::complete);
                REQUIRE(fleet.violations.empty());
            }
        }
        WHEN("it becomes slow after run times are known")
        {
            for (int i = 0; i < 20; ++i)
                fleet.wait_for(fleet.submit("entry.a", make_job(std::to_string(i), 4, true)));
            broken.run_time = milliseconds(4000);

            // Guards against one slow endpoint that delays a whole job.
            THEN("a hedge completes the job before the slow attempt ends")
            {
                auto const before = fleet.now;
                auto const job = fleet.submit("entry.a", make_job("slow", 2, true));
                REQUIRE(fleet.wait_for(job).answer.state == job_state::complete);
                REQUIRE(fleet.now - before < milliseconds(1000));
                REQUIRE(fleet.entries.at("entry.a")->counters().hedges > 0);
            }
        }
    }
}

SCENARIO("jobs end early", "[entry]")
{
    GIVEN("a long-running job with more tasks than slots")
    {
        small_fleet fleet;
        for (auto& [name, agent] : fleet.agents)
            agent.run_time = milliseconds(60'000);
        auto const job = fleet.submit("entry.a", make_job("s1", 20, false));
        fleet.run(milliseconds(100));
        auto const id = fleet.control.claims.begin()->first;

        WHEN("it is cancelled at the other entry")
        {
            std::optional<protocol::job_answer> cancelled;
            fleet.entries.at("entry.b")->cancel(
                id, [&](auto const& reply) { cancelled = reply.answer; }, fleet.now);
            fleet.run(milliseconds(1000));

            // Guards against cancellations that leave tasks waiting or running.
            THEN("waiting tasks do not run and running tasks are stopped")
            {
                REQUIRE(cancelled->state == job_state::cancelled);
                REQUIRE(cancelled->ran == ran_extent::some);
                REQUIRE(fleet.wait_for(job).answer.state == job_state::cancelled);
                REQUIRE(fleet.agents.at("agent.1").running() == 0);
                fleet.run(milliseconds(500));
                REQUIRE(fleet.runs.size() == 8);
            }
        }
        WHEN("its deadline passes")
        {
            auto const& answer = fleet.wait_for(job).answer;

            // Guards against reporting "not run" or "run" for tasks whose outcome is unknown.
            THEN("it fails and reports which tasks may have run")
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

SCENARIO("the backup takes over the jobs of a lost entry", "[entry]")
{
    GIVEN("a running job at an entry that is isolated")
    {
        small_fleet fleet;
        auto const idempotent = GENERATE(true, false);
        fleet.agents.at("agent.1").run_time = milliseconds(400);
        fleet.submit("entry.a", make_job("s1", 12, idempotent));
        fleet.run(milliseconds(200));
        fleet.isolated.insert("entry.a");
        auto const lost_at = fleet.now;
        auto const again = fleet.submit("entry.b", make_job("s1", 12, idempotent));

        // Guards against jobs that are lost with their entry, and against second runs.
        THEN("the backup completes it within five seconds")
        {
            REQUIRE(fleet.wait_for(again).answer.state == job_state::complete);
            REQUIRE(fleet.now - lost_at < milliseconds(5000));
            REQUIRE(fleet.violations.empty());
        }
    }
}

// Guards against an entry that loses its routes, or takes them for those of another version, when
// control leaves out a document that the entry has.
SCENARIO("an entry gets views without the text of the document", "[entry]")
{
    simulated_fleet fleet(1);
    auto& core = fleet.add_entry("entry.a", "recife");
    fleet.control.view.routing = {7, "seven"};
    fleet.control.new_view(fleet);
    fleet.run(milliseconds(500));
    REQUIRE(core.applied_view().routing.text == "seven");
    auto next = core.applied_view();
    ++next.number;
    next.routing.text.clear();

    WHEN("the version is the one that it has")
    {
        core.receive("control.a", protocol::view_update {next}, fleet.now);
        THEN("it acts on the view and keeps the text")
        {
            CHECK(core.applied_view().number == next.number);
            CHECK(core.applied_view().routing.text == "seven");
        }
    }
    WHEN("the version is another one")
    {
        next.routing.version = 8;
        core.receive("control.a", protocol::view_update {next}, fleet.now);
        THEN("it keeps acting on the view before")
        {
            CHECK(core.applied_view().number == next.number - 1);
            CHECK(core.applied_view().routing.version == 7);
        }
    }
}

SCENARIO("an entry shuts down", "[entry]")
{
    GIVEN("an entry with a running job")
    {
        small_fleet fleet;
        auto const job = fleet.submit("entry.a", make_job("s1", 10, false));
        fleet.run(milliseconds(5));
        fleet.entries.at("entry.a")->begin_shutdown(fleet.now, milliseconds(0));

        // Guards against a shutdown that interrupts an accepted job.
        THEN("new jobs are refused and the accepted one completes")
        {
            auto const refused = fleet.submit("entry.a", make_job("s2", 1, false));
            REQUIRE(fleet.wait_for(refused).status == reply_kind::refused);
            REQUIRE_FALSE(fleet.entries.at("entry.a")->idle());
            REQUIRE(fleet.wait_for(job).answer.state == job_state::complete);
            REQUIRE(fleet.run_until([&] { return fleet.entries.at("entry.a")->idle(); }));
        }
    }
}
