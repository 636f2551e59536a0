// Runs that an entry gives up without their outcome, to start their tasks elsewhere: what must have
// happened before at the worker.

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "entry/resubmission_fixture.h"

namespace {

using namespace greengagehead;
using namespace greengagehead::test;
using protocol::job_state;

/// Longest time from the end of the permission of a run until its worker has ended it: the lease is
/// not extended beyond 300 ms after the permission, and the worker's clock may be 2% slow.
constexpr milliseconds longest_run_after_permission {306};
/// Longer than any test.
constexpr milliseconds never {std::chrono::hours(1)};

/// One entry and two agents; records how long the agents are permitted to go on with its runs.
struct permitted_fleet : linked_fleet {
    permitted_fleet() : linked_fleet({"entry.a"})
    {
        this->on_send = [this](auto const& from, auto const& to, protocol::message const& body) {
            if (from != "entry.a" || !this->agents.contains(to))
                return;
            if (auto const* const batch = std::get_if<protocol::start_batch>(&body))
                this->permit(to, batch->lease);
            if (auto const* const update = std::get_if<protocol::lease_update>(&body))
                this->permit(to, update->lease);
        };
        this->run(milliseconds(500));
    }
    void permit(std::string const& agent, protocol::lease_stamp const& stamp)
    {
        auto& until = this->permitted_until[agent];
        until = std::max(
            until, base::from_reading(stamp.expires_at) - this->agents.at(agent).clock_offset);
    }
    /// Starts a job with one task. Returns the name of its agent.
    std::string start_task()
    {
        this->set_run_time(milliseconds(60'000));
        auto request = make_submission("s1", 1);
        request.deadline = milliseconds(20'000);
        this->job = this->submit("entry.a", request, milliseconds(20'000));
        REQUIRE(this->run_until([this] { return this->running() == 1; }));
        return this->agents.at("agent.1").running() > 0 ? "agent.1" : "agent.2";
    }
    /// Whether the permission of the run has ended so long ago that its worker would have ended it
    /// if its clock had gone on.
    bool permission_has_ended(std::string const& first)
    {
        return this->now - this->permitted_until.at(first) >= longest_run_after_permission;
    }
    /// Whether no other run is started within 8 s, and this one goes on.
    bool only_first_run_goes_on(std::string const& first)
    {
        this->run(milliseconds(8000));
        std::size_t attempts = 0;
        for (auto const& [name, agent] : this->agents)
            attempts += agent.records.size();
        return attempts == 1 && this->agents.at(first).running() == 1;
    }
    protocol::agent_report report_of(std::string const& agent)
    {
        auto const& source = this->agents.at(agent);
        protocol::agent_report report {source.id, {}, source.zone, {}, source.seen_view, {}, {}};
        report.agent_clock = base::to_reading(this->now + source.clock_offset);
        return report;
    }

    std::map<std::string, steady_time> permitted_until; ///< By agent, in the time of the fleet.
    std::shared_ptr<submission> job;
};

} // namespace

SCENARIO("an entry gives up the runs of an agent", "[entry][given_up]")
{
    GIVEN("a task that runs")
    {
        permitted_fleet fleet;
        auto const first = fleet.start_task();

        WHEN("another machine reports under the name of its agent")
        {
            auto report = fleet.report_of(first);
            report.agent.incarnation += 1;
            fleet.isolated.insert(first);
            auto const permitted = fleet.permitted_until.at(first);
            fleet.entries.at("entry.a")->receive(first, report, fleet.now);
            REQUIRE(fleet.run_until([&] { return fleet.running() == 2; }));
            // Guards against trust in a new incarnation that has a worker of its own: the former
            // agent and its worker may go on.
            THEN("the task starts elsewhere when the run is no longer permitted")
            {
                CHECK(fleet.now - permitted >= longest_run_after_permission);
            }
        }
        WHEN("the former agent of a replaced one reports late")
        {
            auto const late = fleet.report_of(first);
            auto report = late;
            report.agent.incarnation += 1;
            fleet.isolated.insert(first);
            auto const permitted = fleet.permitted_until.at(first);
            fleet.entries.at("entry.a")->receive(first, report, fleet.now);
            fleet.run(milliseconds(100));
            fleet.entries.at("entry.a")->receive(first, late, fleet.now);
            REQUIRE(fleet.run_until([&] { return fleet.running() == 2; }));
            auto const second_run = fleet.now;
            fleet.run(milliseconds(3000));
            // Guards against a replaced incarnation that becomes the present one again.
            THEN("the task starts elsewhere once")
            {
                CHECK(second_run - permitted >= longest_run_after_permission);
                CHECK(fleet.running() == 2);
            }
        }
        WHEN("its agent was lost, and its machine reports under another name")
        {
            fleet.isolated.insert(first);
            fleet.run(milliseconds(300));
            fleet.add_agent("agent.3", "recife").run_time = milliseconds(10'000);
            // Guards against a new name that is taken for the end of the former agent.
            THEN("the task does not start elsewhere")
            {
                CHECK(fleet.only_first_run_goes_on(first));
                CHECK(fleet.permission_has_ended(first));
            }
        }
        WHEN("its agent was lost, and an old report of it arrives over a former link")
        {
            auto const late = fleet.report_of(first);
            // Later reports have arrived, or it is the newest one.
            auto const overtaken = GENERATE(false, true);
            fleet.run(milliseconds(overtaken ? 300 : 0));
            fleet.isolated.insert(first);
            auto const delay = GENERATE(1500, 2500, 3200);
            fleet.run(milliseconds(delay));
            fleet.entries.at("entry.a")->receive(first, late, fleet.now);
            INFO("the report is " << delay << " ms late, overtaken: " << overtaken);
            // Guards against a time without reports that is taken for the end of a run: a machine
            // that was suspended goes on with it.
            THEN("the task does not start elsewhere")
            {
                CHECK(fleet.only_first_run_goes_on(first));
                CHECK(fleet.permission_has_ended(first));
            }
            AND_WHEN("the agent is heard again")
            {
                fleet.run(milliseconds(4000));
                fleet.isolated.clear();
                for (auto& [key, record] : fleet.agents.at(first).records)
                    record.ends = fleet.now;
                fleet.run(milliseconds(500));
                // Guards against work that is thrown away although its machine was only silent.
                THEN("its run counts")
                {
                    REQUIRE(fleet.job->replies.size() == 1);
                    CHECK(fleet.job->replies.front().answer.state == job_state::complete);
                    CHECK(fleet.violations == std::vector<std::string> {});
                }
            }
        }
        WHEN("control is unreachable, and its agent is lost")
        {
            fleet.isolated.insert("control.a");
            fleet.run(milliseconds(3000));
            REQUIRE_FALSE(fleet.entries.at("entry.a")->status(fleet.now).lease_valid);
            fleet.isolated.insert(first);
            // Guards against an agent that is given up because nobody permits its run any more.
            THEN("the task does not start elsewhere")
            {
                CHECK(fleet.only_first_run_goes_on(first));
                CHECK(fleet.permission_has_ended(first));
            }
        }
        WHEN("the entry is paused and looks at its timers before its messages")
        {
            fleet.frozen.insert("entry.a");
            fleet.run(milliseconds(5000));
            auto const woken = fleet.now;
            fleet.entries.at("entry.a")->tick(fleet.now);
            fleet.thaw("entry.a");
            fleet.run(milliseconds(4000));
            // Guards against agents that count as lost because the entry has not read their
            // reports.
            THEN("the run goes on")
            {
                CHECK(fleet.now > woken);
                CHECK(fleet.violations == std::vector<std::string> {});
                CHECK(fleet.running() == 1);
            }
        }
        WHEN("its agent is lost and returns while the entry is paused")
        {
            fleet.isolated.insert(first);
            fleet.run(milliseconds(2500));
            fleet.frozen.insert("entry.a");
            fleet.run(milliseconds(3000));
            fleet.isolated.clear();
            fleet.run(milliseconds(500));
            fleet.entries.at("entry.a")->tick(fleet.now);
            fleet.thaw("entry.a");
            // Guards against a limit that a pause lets pass while the agent goes on.
            THEN("the run goes on")
            {
                CHECK(fleet.only_first_run_goes_on(first));
            }
        }
    }
}

SCENARIO("a run is cancelled and its worker does not stop it", "[entry][given_up]")
{
    GIVEN("an abandoned job whose run goes on, while its agent reports it")
    {
        permitted_fleet fleet;
        auto const first = fleet.start_task();
        auto& agent = fleet.agents.at(first);
        agent.lists_runs = true;
        fleet.delay<protocol::cancel_batch>(never);
        fleet.leave("entry.a", "s1");

        WHEN("the job arrives again after the longest time of an unconfirmed run")
        {
            auto const pause = GENERATE(3000, 8000);
            fleet.run(milliseconds(pause));
            auto const second = fleet.submit("entry.a", make_submission("s1", 1));
            fleet.run(milliseconds(1500));
            // Guards against a limit on runs that the agent still permits, because it hears its
            // entry.
            THEN("it does not start beside the run")
            {
                INFO("after " << pause << " ms");
                CHECK(fleet.violations == std::vector<std::string> {});
            }
            // Guards against callers that wait for what may not come.
            THEN("its caller is told soon that the state of the job is not known")
            {
                REQUIRE(second->replies.size() == 1);
                CHECK(second->replies.front().status == entry::submit_reply::kind::unknown);
            }
            AND_WHEN("the run ends and the job arrives once more")
            {
                for (auto& [key, record] : agent.records)
                    record.ends = fleet.now;
                fleet.set_run_time(milliseconds(100));
                fleet.run(milliseconds(100));
                auto const third = fleet.submit("entry.a", make_submission("s1", 1));
                fleet.run(milliseconds(1000));
                THEN("the job is served")
                {
                    REQUIRE(third->replies.size() == 1);
                    CHECK(third->replies.front().answer.state == job_state::complete);
                }
            }
        }
    }
}
