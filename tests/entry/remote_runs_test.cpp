// A submission whose entry can no longer be asked: what proves that its runs have ended.

#include <catch2/catch.hpp>

#include <optional>
#include <string>

#include "entry/resubmission_fixture.h"

namespace {

using namespace greengagehead;
using namespace greengagehead::test;
using protocol::job_state;

/// Longer than any test.
constexpr milliseconds never {std::chrono::hours(1)};
constexpr milliseconds deadline {20'000};
/// A run has ended this long after the last stamp for it at the latest, less 10 ms for a tick.
constexpr milliseconds longest_run_after_stamp {1090};

/// Entry `entry.b` runs a job at `agent`, and is cut off from control and from `entry.a`, where the
/// job arrives again. All agents hear `entry.b`.
struct cut_off_entry : linked_fleet {
    cut_off_entry() : linked_fleet({"entry.a", "entry.b"})
    {
        this->extra_delay = [this](auto const& from, auto const& to, auto const& /*body*/) {
            auto const between = [&](auto const& a, auto const& b) {
                return (from == a && to == b) || (from == b && to == a);
            };
            bool const lost
                = (this->cut_off
                   && (between("entry.a", "entry.b") || between("control.a", "entry.b")))
                || between("entry.a", this->unheard);
            return lost ? never : milliseconds(0);
        };
        this->on_send = [this](auto const& from, auto const& to, protocol::message const& body) {
            auto const* const sent = std::get_if<protocol::outcome_query>(&body);
            if (from == "entry.a" && to == this->unheard && sent != nullptr)
                this->query_id = sent->query_id;
        };
    }
    void start_job()
    {
        this->set_run_time(never);
        this->submit("entry.b", this->request(), deadline);
        this->run(resend_delay);
        REQUIRE(this->running() == 1);
        this->agent = this->agents.at("agent.1").running() > 0 ? "agent.1" : "agent.2";
        this->set_run_time(milliseconds(30));
    }
    void cut_off_and_submit_again()
    {
        this->cut_off = true;
        this->close_link("entry.a", "entry.b");
        this->submit_again();
    }
    void submit_again() { this->second = this->submit("entry.a", this->request(), deadline); }
    /// Lets the time pass until control has removed the entry.
    void wait_for_view()
    {
        REQUIRE(this->run_until([this] { return this->control.view.entries.size() == 1; }));
    }
    [[nodiscard]] static protocol::job_request request()
    {
        auto made = make_submission("s1", 1);
        made.deadline = deadline;
        return made;
    }
    [[nodiscard]] bool answered() const
    {
        return this->second->replies.size() == 1
            && this->second->replies.front().answer.state == job_state::complete;
    }
    void answer(protocol::process_id const& from, std::uint64_t query)
    {
        this->entries.at("entry.a")->receive(from.name, protocol::outcome_report {from, query, {}},
                                             this->now);
        this->run(milliseconds(200));
    }

    bool cut_off = false;
    std::string agent; ///< Runs the job.
    std::string unheard; ///< An agent without messages from and to `entry.a`; empty for none.
    std::optional<std::uint64_t> query_id; ///< Of the last query to the unheard agent.
    std::shared_ptr<submission> second;
};

} // namespace

SCENARIO("an entry that only its agents hear has run a job", "[entry][remote_runs]")
{
    GIVEN("a job that arrives at another entry")
    {
        cut_off_entry fleet;

        WHEN("all agents answer")
        {
            fleet.start_job();
            fleet.cut_off_and_submit_again();
            fleet.wait_for_view();
            // Guards against jobs of a lost entry that wait for longer than the agents take to
            // answer, and against runs that are not stopped.
            THEN("its run is stopped, and it starts at once")
            {
                CHECK(fleet.run_until([&fleet] { return fleet.answered(); }, milliseconds(300)));
                CHECK(fleet.violations == std::vector<std::string> {});
            }
        }
        WHEN("an order of the first entry to start it once more arrives after the agents' answers")
        {
            std::optional<protocol::start_batch> order;
            fleet.on_send = [&order](auto const& from, auto const&, protocol::message const& body) {
                auto const* const sent = std::get_if<protocol::start_batch>(&body);
                if (from == "entry.b" && sent != nullptr)
                    order = *sent;
            };
            fleet.start_job();
            fleet.cut_off_and_submit_again();
            fleet.set_run_time(never);
            fleet.wait_for_view();
            fleet.run(milliseconds(300));
            REQUIRE(fleet.running() == 1);
            REQUIRE(order);
            for (auto& [name, agent] : fleet.agents) {
                order->agent_incarnation = agent.id.incarnation;
                order->lease.expires_at
                    = base::to_reading(fleet.now + agent.clock_offset + milliseconds(500));
                ++order->starts.front().attempt;
                agent.receive(fleet, "entry.b", *order);
            }
            // Guards against an agent that has stated that it has no run, and starts one later.
            THEN("no agent carries it out")
            {
                CHECK(fleet.running() == 1);
                CHECK(fleet.violations == std::vector<std::string> {});
            }
        }
        WHEN("the agent that runs it is heard by the first entry only")
        {
            fleet.start_job();
            fleet.unheard = fleet.agent;
            fleet.cut_off_and_submit_again();
            fleet.wait_for_view();
            fleet.run(milliseconds(8000));

            // Guards against an agent that counts as without runs because it does not answer.
            THEN("it does not start")
            {
                CHECK(fleet.running() == 1);
                CHECK(fleet.violations == std::vector<std::string> {});
            }
            // Guards against callers that wait for a machine that may not come back.
            THEN("its caller has been told that its state is not known")
            {
                REQUIRE(fleet.second->replies.size() == 1);
                CHECK(fleet.second->replies.front().status == entry::submit_reply::kind::unknown);
            }
            AND_WHEN("the agent is heard again when the job arrives once more")
            {
                fleet.unheard.clear();
                fleet.submit_again();
                THEN("its run is stopped, and it starts")
                {
                    CHECK(
                        fleet.run_until([&fleet] { return fleet.answered(); }, milliseconds(500)));
                    CHECK(fleet.violations == std::vector<std::string> {});
                }
            }
            AND_WHEN("answers arrive that are not those of this agent to a query")
            {
                auto const id = fleet.agents.at(fleet.agent).id;
                fleet.query_id.reset();
                fleet.submit_again();
                fleet.run(milliseconds(20));
                REQUIRE(fleet.query_id);
                fleet.answer(id, *fleet.query_id + 1'000'000);
                fleet.answer({id.name, id.incarnation + 1}, *fleet.query_id);
                auto const other = fleet.agent == "agent.1" ? "agent.2" : "agent.1";
                fleet.answer(fleet.agents.at(other).id, *fleet.query_id);
                // Guards against a statement that is counted for another agent or query.
                THEN("it does not start")
                {
                    CHECK(fleet.running() == 1);
                    CHECK_FALSE(fleet.answered());
                    CHECK(fleet.violations == std::vector<std::string> {});
                }
            }
            AND_WHEN("another incarnation of the agent is heard")
            {
                auto const restarted = fleet.now;
                fleet.agents.at(fleet.agent).restart(fleet);
                fleet.unheard.clear();
                fleet.submit_again();
                fleet.run(resend_delay);
                fleet.submit_again();
                // Guards against an incarnation that cannot know the runs of the former one.
                THEN("it starts after the last run of the former one")
                {
                    REQUIRE(
                        fleet.run_until([&fleet] { return fleet.answered(); }, milliseconds(3000)));
                    CHECK(fleet.now - restarted >= longest_run_after_stamp);
                }
            }
        }
        WHEN("another agent has been silent since before the job began")
        {
            fleet.add_agent("agent.3", "recife").slots = 0;
            fleet.run(milliseconds(500));
            fleet.isolated.insert("agent.3");
            fleet.run(milliseconds(3000));
            fleet.start_job();
            fleet.cut_off_and_submit_again();
            fleet.wait_for_view();
            // Guards against jobs that wait for agents which have been gone for long.
            THEN("it starts without it")
            {
                CHECK(fleet.run_until([&fleet] { return fleet.answered(); }, milliseconds(300)));
                CHECK(fleet.violations == std::vector<std::string> {});
            }
        }
        WHEN("the first entry is heard again while an agent is not")
        {
            fleet.start_job();
            fleet.unheard = fleet.agent;
            fleet.cut_off_and_submit_again();
            fleet.wait_for_view();
            fleet.run(milliseconds(500));
            fleet.cut_off = false;
            fleet.connect_entries();
            fleet.leave("entry.b", "s1");
            // Guards against a search that goes on, or an entry that stays out of contact for good.
            THEN("the entry is asked, and the job starts when its run has ended")
            {
                CHECK(fleet.run_until([&fleet] { return fleet.answered(); }, milliseconds(8000)));
                CHECK(fleet.violations == std::vector<std::string> {});
            }
        }
    }
}
