// What an entry concludes when a message, a list or a record lacks something: a run that an agent's
// message does not name, a job that an entry has no record of, an entry that a view does not list.

#include <catch2/catch.hpp>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "entry/resubmission_fixture.h"

namespace {

using namespace greengagehead;
using namespace greengagehead::test;
using protocol::job_state;

/// Longer than any test.
constexpr milliseconds never {std::chrono::hours(1)};

/// One entry and two agents, one of which runs a task. Records the queries of the entry.
struct running_task : linked_fleet {
    running_task() : linked_fleet({"entry.a"})
    {
        this->on_send = [this](auto const& from, auto const& to, protocol::message const& body) {
            auto const* const query = std::get_if<protocol::outcome_query>(&body);
            if (from == "entry.a" && query != nullptr)
                this->query = {to, query->query_id};
        };
        this->set_run_time(milliseconds(60'000));
        auto request = make_submission("s1", 1);
        request.deadline = milliseconds(60'000);
        this->submit("entry.a", request, milliseconds(60'000));
        REQUIRE(this->run_until([this] { return this->running() == 1; }));
        this->agent = this->agents.at("agent.1").running() > 0 ? "agent.1" : "agent.2";
    }
    protocol::agent_report report(milliseconds age = milliseconds(0))
    {
        auto const& source = this->agents.at(this->agent);
        protocol::agent_report made {source.id, {}, source.zone, {}, source.seen_view, {}, {}};
        made.agent_clock = base::to_reading(this->now + source.clock_offset - age);
        return made;
    }
    protocol::attempt_ref run_of_agent()
    {
        auto const& outcome = this->agents.at(this->agent).records.begin()->second.outcome;
        return {outcome.task, outcome.attempt};
    }
    void receive(protocol::message const& body)
    {
        this->entries.at("entry.a")->receive(this->agent, body, this->now);
    }
    /// Number of attempts that the agents have got.
    [[nodiscard]] std::size_t attempts() const
    {
        return this->agents.at("agent.1").records.size()
            + this->agents.at("agent.2").records.size();
    }

    struct sent_query {
        std::string agent;
        std::uint64_t id = 0;
    };
    std::optional<sent_query> query;
    std::string agent; ///< Runs the task.
};

/// Two entries that are linked, and two agents.
struct two_entries : linked_fleet {
    two_entries() : linked_fleet({"entry.a", "entry.b"}) { }
    /// Messages from and to the entry are lost, other than those that agents exchange with it.
    void cut_off_from_entries_and_control(std::string const& entry)
    {
        this->extra_delay = [entry](auto const& from, auto const& to, auto const& /*body*/) {
            auto const other = from == entry ? to : from;
            bool const between = (from == entry || to == entry) && !other.starts_with("agent.");
            return between ? never : milliseconds(0);
        };
    }
};

} // namespace

SCENARIO("a message of an agent does not name a run", "[entry][absence]")
{
    GIVEN("a task that runs, and another agent with room")
    {
        running_task fleet;
        // Guards against a run that is taken as ended, and started elsewhere, because a message of
        // its agent lacks it: it may have been made before the run began.
        WHEN("reports list neither the run nor its endpoint")
        {
            for (int i = 0; i < 30; ++i) {
                fleet.receive(fleet.report());
                fleet.run(milliseconds(100));
            }
            THEN("the task does not start again")
            {
                CHECK(fleet.attempts() == 1);
            }
        }
        WHEN("a report from before its start arrives")
        {
            fleet.receive(fleet.report(milliseconds(5000)));
            fleet.run(milliseconds(3000));
            THEN("the task does not start again")
            {
                CHECK(fleet.attempts() == 1);
            }
        }
        WHEN("the answers to queries lack it")
        {
            for (int i = 0; i < 3; ++i) {
                fleet.query.reset();
                REQUIRE(fleet.run_until([&fleet] { return fleet.query.has_value(); }));
                REQUIRE(fleet.query->agent == fleet.agent);
                fleet.receive(protocol::outcome_report {
                    fleet.agents.at(fleet.agent).id, fleet.query->id, {}});
                fleet.run(milliseconds(10));
            }
            fleet.run(milliseconds(3000));
            THEN("the task does not start again")
            {
                CHECK(fleet.attempts() == 1);
            }
        }
        WHEN("it lags, and its end is not reported")
        {
            fleet.delay<protocol::cancel_batch>(never);
            fleet.receive(protocol::lagging_run {fleet.agents.at(fleet.agent).id,
                                                 fleet.run_of_agent(), milliseconds(120'000)});
            fleet.run(milliseconds(5000));
            THEN("the task does not start again")
            {
                CHECK(fleet.attempts() == 1);
            }
        }
        WHEN("its worker is no longer listed, and the agent reports for the first time since then")
        {
            fleet.entries.at("entry.a")->peer_down(fleet.agent, fleet.now);
            fleet.entries.at("entry.a")->peer_up(fleet.agent, fleet.now);
            fleet.receive(fleet.report());
            fleet.run(milliseconds(3000));
            THEN("the task does not start again")
            {
                CHECK(fleet.attempts() == 1);
            }
        }
    }
}

SCENARIO("a notice of a takeover arrives after its job has been forgotten", "[entry][absence]")
{
    GIVEN("a job that an entry has taken over, run once and forgotten")
    {
        simulated_fleet fleet(1);
        fleet.finished_bytes = 1;
        fleet.add_entry("entry.a", "recife");
        fleet.add_entry("entry.b", "fortaleza");
        fleet.add_agent("agent.1", "recife");
        fleet.add_agent("agent.2", "fortaleza");
        fleet.run(milliseconds(500));
        std::optional<protocol::takeover_notice> notice;
        fleet.on_send = [&notice](auto const&, auto const& to, protocol::message const& body) {
            auto const* const sent = std::get_if<protocol::takeover_notice>(&body);
            if (to == "entry.b" && sent != nullptr && !notice)
                notice = *sent;
        };
        // The first owner starts nothing before it is lost.
        fleet.extra_delay = [](auto const& from, auto const&, protocol::message const& body) {
            return from == "entry.a" && std::holds_alternative<protocol::start_batch>(body)
                ? never
                : milliseconds(0);
        };
        auto request = make_job("s1", 1, false);
        request.deadline = milliseconds(20'000);
        auto const job = fleet.submit("entry.a", request);
        fleet.run(milliseconds(100));
        fleet.isolated.insert("entry.a");
        REQUIRE(fleet.run_until([&] { return fleet.runs.size() == 1; }, milliseconds(10'000)));
        REQUIRE(notice);
        auto const id = notice->claims.front().job;
        REQUIRE(fleet.run_until([&] { return fleet.control.claims.at(id).finished; }));
        auto const other = fleet.submit("entry.b", make_job("s2", 1, false));
        REQUIRE(fleet.run_until([&] { return other->replies.size() == 1; }));
        fleet.run(milliseconds(500));

        WHEN("a notice from before its end arrives, and the endpoint of the run has no room")
        {
            for (auto& [name, agent] : fleet.agents) {
                bool const has_run
                    = std::any_of(agent.records.begin(), agent.records.end(),
                                  [&](auto const& item) { return std::get<0>(item.first) == id; });
                agent.slots = has_run ? 0 : agent.slots;
            }
            fleet.run(milliseconds(500));
            fleet.entries.at("entry.b")->receive("control.a", *notice, fleet.now);
            fleet.run(milliseconds(3000));
            // Guards against a job that counts as never run because the entry has no record of it.
            THEN("its task does not run again")
            {
                CHECK(fleet.violations == std::vector<std::string> {});
                CHECK(fleet.runs.at({id, 0}) == 1);
            }
        }
    }
}

SCENARIO("an entry asks others for a job that a lost one has run", "[entry][absence]")
{
    GIVEN("a job that an entry has run without a copy, before it was restarted")
    {
        simulated_fleet fleet(1);
        fleet.claim_timeout = milliseconds(500);
        fleet.add_entry("entry.a", "recife");
        fleet.add_entry("entry.b", "fortaleza");
        fleet.add_agent("agent.1", "recife");
        fleet.run(milliseconds(500));
        fleet.extra_delay = [](auto const&, auto const&, protocol::message const& body) {
            bool const copy = std::holds_alternative<protocol::job_copy>(body)
                || std::holds_alternative<protocol::job_finished_copy>(body);
            return copy ? never : milliseconds(0);
        };
        auto const first = fleet.submit("entry.b", make_job("s1", 1, false));
        REQUIRE(fleet.run_until([&] { return first->replies.size() == 1; }));
        REQUIRE(first->replies.front().answer.state == job_state::complete);
        fleet.add_entry("entry.b", "fortaleza");
        fleet.run(milliseconds(500));

        WHEN("it arrives at the other entry while control confirms no claims")
        {
            fleet.control.answers_claims = false;
            auto const second = fleet.submit("entry.a", make_job("s1", 1, false));
            REQUIRE(fleet.run_until([&] { return second->replies.size() == 1; }));
            // Guards against entries whose present incarnation knows nothing of it, which are taken
            // for a proof that it has not run.
            THEN("the caller is not told that it has not run")
            {
                CHECK(fleet.violations == std::vector<std::string> {});
                CHECK(second->replies.front().answer.ran != protocol::ran_extent::none);
            }
        }
    }
}

SCENARIO("an entry is asked for a job of its former incarnation", "[entry][absence]")
{
    GIVEN("a job that an entry has announced, and a new incarnation under its name")
    {
        two_entries fleet;
        fleet.set_run_time(milliseconds(10'000));
        fleet.submit("entry.b", make_submission("s1", 1));
        fleet.run(resend_delay);
        REQUIRE(fleet.running() == 1);
        // A link that replaces another one is no new link to its user.
        auto const lost = fleet.now;
        fleet.add_entry("entry.b", "recife").peer_up("entry.a", fleet.now);
        fleet.run(milliseconds(10));

        WHEN("the job arrives at another entry")
        {
            fleet.submit("entry.a", make_submission("s1", 1));
            fleet.run_until([&fleet] { return fleet.running() == 2; }, milliseconds(4000));
            // Guards against the answer of an incarnation that cannot know the run. The agents have
            // ended it 1.09 s after the last stamp.
            THEN("it does not start before its run has ended at the agents")
            {
                CHECK(fleet.now - lost >= milliseconds(1090));
            }
        }
    }
}

SCENARIO("a former incarnation of an agent is heard after the present one", "[entry][absence]")
{
    GIVEN("an entry that has heard only the present incarnation of its only agent")
    {
        simulated_fleet fleet(1);
        auto& entry = fleet.add_entry("entry.a", "recife");
        auto& agent = fleet.add_agent("agent.1", "recife");
        fleet.run(milliseconds(500));

        WHEN("one report of another incarnation arrives")
        {
            protocol::agent_report late {
                {agent.id.name, agent.id.incarnation + 5}, {}, agent.zone, {}, 0, {}, {}};
            late.agent_clock = base::to_reading(fleet.now + agent.clock_offset);
            entry.receive(agent.id.name, late, fleet.now);
            fleet.run(milliseconds(4000));
            auto const job = fleet.submit("entry.a", make_submission("s1", 1));
            fleet.run(milliseconds(2000));
            // Guards against an agent that counts as gone for good while it goes on reporting.
            THEN("the agent is used again once the other incarnation is lost")
            {
                REQUIRE(job->replies.size() == 1);
                CHECK(job->replies.front().answer.state == job_state::complete);
            }
        }
    }
}
SCENARIO("an entry is neither linked nor in the view", "[entry][absence]")
{
    GIVEN("an entry that runs a job, and is cut off from control and the other entry")
    {
        two_entries fleet;
        fleet.set_run_time(milliseconds(20'000));
        auto request = make_submission("s1", 1);
        request.deadline = milliseconds(20'000);
        fleet.submit("entry.b", request, milliseconds(20'000));
        fleet.run(resend_delay);
        fleet.cut_off_from_entries_and_control("entry.b");
        fleet.close_link("entry.a", "entry.b");

        WHEN("the job arrives at the other entry, and the view lists the first one no longer")
        {
            fleet.submit("entry.a", request, milliseconds(20'000));
            fleet.run(milliseconds(8000));
            // Guards against an entry that is taken as gone because nobody but its agents hears it.
            THEN("no task runs twice at the same time")
            {
                CHECK(fleet.violations == std::vector<std::string> {});
            }
        }
    }
}
