// Placement by learned speeds when an endpoint becomes slow or quick again, when it is replaced,
// and when the entry restarts. Load: jobs of 2 to 12 tasks of 30 ms on four endpoints of four
// slots, of which one takes 75 ms.

#include <catch2/catch.hpp>

#include <string>
#include <variant>

#include "entry/simulated_fleet.h"

namespace {

using namespace greengagehead;
using namespace greengagehead::test;

constexpr milliseconds usual_time {30};
constexpr milliseconds slow_time {75};

struct uneven_fleet : simulated_fleet {
    uneven_fleet() : simulated_fleet(1)
    {
        this->learn_speed = true;
        this->add_entry("entry.a", "recife");
        for (auto const* name : {"agent.1", "agent.2", "agent.3", "agent.4"})
            this->add_agent(name, "recife").run_time = usual_time;
        this->on_send = [this](auto const&, auto const& to, auto const& body) {
            auto const* const batch = std::get_if<protocol::start_batch>(&body);
            if (batch != nullptr && to == "agent.1")
                this->slow_starts += batch->starts.size();
        };
        this->run(milliseconds(500));
    }

    /// Submits a job whose target is 1.6 times its longest task plus 20 ms; a slow endpoint misses
    /// it.
    auto submit_urgent(std::size_t tasks)
    {
        auto request = make_job("s" + std::to_string(++this->submissions), tasks, false);
        request.ephemeral = true;
        request.target_stretch_percent = 160;
        request.target_extra = milliseconds(20);
        for (auto& task : request.tasks)
            task.expected = usual_time;
        return this->submit("entry.a", request);
    }
    /// Submits a job that has seconds to end.
    void submit_with_slack(std::size_t tasks)
    {
        auto request = make_job("s" + std::to_string(++this->submissions), tasks, false);
        request.ephemeral = true;
        for (auto& task : request.tasks)
            task.expected = usual_time;
        this->submit("entry.a", request);
    }
    void load(int jobs)
    {
        for (int count = 0; count < jobs; ++count) {
            this->submit_with_slack(12);
            this->run(milliseconds(100));
        }
    }
    double speed_of(std::string const& agent)
    {
        for (auto const& endpoint : this->entries.at("entry.a")->status(this->now).endpoints)
            if (endpoint.agent == agent)
                return endpoint.speed;
        return 0;
    }

    std::size_t slow_starts = 0; ///< Starts sent to agent.1.

private:
    int submissions = 0;
};

} // namespace

SCENARIO("an endpoint becomes slow", "[entry][speed]")
{
    GIVEN("an entry that has learned that one endpoint in four is slow")
    {
        uneven_fleet fleet;
        fleet.agents.at("agent.1").run_time = slow_time;
        fleet.load(20);
        REQUIRE(fleet.speed_of("agent.1") < 0.6);
        for (auto const* name : {"agent.2", "agent.3", "agent.4"})
            REQUIRE(fleet.speed_of(name) == 1);

        // Guards against short urgent tasks on a slow endpoint while fast ones have free slots.
        WHEN("urgent jobs arrive")
        {
            fleet.slow_starts = 0;
            for (int count = 0; count < 20; ++count) {
                auto const job = fleet.submit_urgent(2);
                fleet.run(milliseconds(50));
                REQUIRE(job->replies.size() == 1);
                CHECK(job->replies.front().answer.state == protocol::job_state::complete);
            }
            THEN("none of their tasks starts on the slow endpoint")
            {
                CHECK(fleet.slow_starts == 0);
            }
        }
        // Guards against a slow endpoint that stays idle while work waits that it runs in time.
        WHEN("more tasks with slack arrive than the fast endpoints have slots")
        {
            fleet.slow_starts = 0;
            fleet.submit_with_slack(16);
            fleet.run(milliseconds(20));
            THEN("the slow endpoint gets some of them")
            {
                CHECK(fleet.slow_starts == 4);
            }
        }
        // Guards against an endpoint that is avoided after its slowness has ended.
        WHEN("the endpoint is quick again")
        {
            fleet.agents.at("agent.1").run_time = usual_time;
            fleet.load(10);
            THEN("it is ordinary")
            {
                CHECK(fleet.speed_of("agent.1") == 1);
            }
        }
        // Guards against a new machine that is judged by the one it replaces.
        WHEN("another incarnation of the agent reports the endpoint")
        {
            fleet.agents.at("agent.1").restart(fleet);
            fleet.run(milliseconds(700));
            THEN("it is unknown and gets urgent tasks")
            {
                CHECK(fleet.speed_of("agent.1") == 1);
                fleet.slow_starts = 0;
                fleet.submit_urgent(12);
                fleet.run(milliseconds(50));
                CHECK(fleet.slow_starts > 0);
            }
        }
        // Guards against a restart that needs the lost speeds to place tasks.
        WHEN("the entry restarts")
        {
            fleet.entries.erase("entry.a");
            fleet.add_entry("entry.a", "recife");
            fleet.run(milliseconds(1000));
            THEN("all endpoints are ordinary and jobs are served")
            {
                CHECK(fleet.speed_of("agent.1") == 1);
                auto const job = fleet.submit_urgent(2);
                fleet.run(milliseconds(200));
                REQUIRE(job->replies.size() == 1);
                CHECK(job->replies.front().answer.state == protocol::job_state::complete);
                CHECK(fleet.violations.empty());
            }
        }
    }
}
