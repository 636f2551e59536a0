// Ephemeral submissions at an entry that may have missed announcements of another one: it looks at
// the agents for runs of that entry before it starts anything.

#include <catch2/catch.hpp>

#include <string>
#include <vector>

#include "entry/resubmission_fixture.h"
#include "policy/remote_submissions.h"

namespace {

using namespace greengagehead;
using namespace greengagehead::test;
using protocol::job_state;

/// Longer than any test.
constexpr milliseconds never {std::chrono::hours(1)};
/// An entry without an answer for this long is asked for at the agents.
constexpr milliseconds silence_limit {policy::contact_limit + policy::contact_interval};

struct contact_fleet : linked_fleet {
    contact_fleet() : linked_fleet({"entry.a", "entry.b"}) { }

    /// Messages between the two entries do not arrive; both go on.
    void cut_entries()
    {
        this->extra_delay = [](auto const& from, auto const& to, auto const& /*body*/) {
            return from.starts_with("entry.") && to.starts_with("entry.") ? never : milliseconds(0);
        };
    }
    [[nodiscard]] std::uint64_t held(std::string const& entry) const
    {
        return this->entries.at(entry)->counters().submissions_held;
    }
    std::size_t runs_of(std::string const& submission) const
    {
        std::size_t count = 0;
        for (auto const& [name, agent] : this->agents) {
            for (auto const& [key, record] : agent.records)
                count += record.name.starts_with(submission + ".")
                        && record.outcome.kind != protocol::outcome_kind::not_run
                    ? 1
                    : 0;
        }
        return count;
    }
};

bool is_complete(simulated_fleet::submission const& submission)
{
    return submission.replies.size() == 1
        && submission.replies.front().answer.state == job_state::complete;
}

} // namespace

SCENARIO("entries hear each other", "[entry][contact]")
{
    GIVEN("two entries whose link is up")
    {
        contact_fleet fleet;
        fleet.set_run_time(milliseconds(500));

        WHEN("jobs arrive at any moment between two queries")
        {
            for (int i = 0; i < 20; ++i) {
                fleet.submit("entry.b", make_submission("s" + std::to_string(i), 1));
                fleet.run(milliseconds(2));
                CHECK(fleet.runs_of("s" + std::to_string(i)) == 1);
                fleet.run(milliseconds(600 + 17 * i));
            }
            // Guards against first submissions that wait for other processes.
            THEN("each one starts at once")
            {
                CHECK(fleet.held("entry.b") == 0);
            }
        }
        WHEN("answers take 0.4 s")
        {
            fleet.extra_delay = [](auto const& from, auto const& to, auto const& /*body*/) {
                bool const between = from.starts_with("entry.") && to.starts_with("entry.");
                return milliseconds(between ? 200 : 0);
            };
            fleet.run(milliseconds(1000));
            fleet.submit("entry.b", make_submission("s1", 1));
            THEN("they count although newer queries have been sent")
            {
                CHECK(fleet.held("entry.b") == 0);
            }
        }
    }
}

SCENARIO("two entries that both go on do not hear each other", "[entry][contact]")
{
    GIVEN("a link between two entries that delivers nothing")
    {
        contact_fleet fleet;
        fleet.set_run_time(milliseconds(2500));
        fleet.cut_entries();
        fleet.run(silence_limit + milliseconds(50));

        WHEN("a job arrives that no entry has seen before")
        {
            auto const job = fleet.submit("entry.b", make_submission("s1", 2));
            fleet.run(milliseconds(10));
            // Guards against callers that wait for an entry that does not answer.
            THEN("it starts as soon as the agents have answered")
            {
                CHECK(fleet.held("entry.b") == 1);
                CHECK(fleet.running() == 2);
            }
        }
        WHEN("a job arrives that the other entry runs")
        {
            fleet.submit("entry.a", make_submission("s1", 2));
            fleet.run(resend_delay);
            auto const second = fleet.submit("entry.b", make_submission("s1", 2));
            fleet.run(milliseconds(4000));
            // Guards against a start without knowledge of the other entry.
            THEN("it runs here, and no task runs twice at the same time")
            {
                CHECK(fleet.violations == std::vector<std::string> {});
                CHECK(is_complete(*second));
            }
        }
        WHEN("a job arrives of which some tasks still wait at the other entry")
        {
            for (auto& [name, agent] : fleet.agents)
                agent.slots = 1;
            fleet.run(milliseconds(200));
            auto request = make_submission("s1", 4);
            request.deadline = milliseconds(20'000);
            fleet.submit("entry.a", request, milliseconds(20'000));
            fleet.run(resend_delay);
            REQUIRE(fleet.running() == 2);
            fleet.submit("entry.b", request, milliseconds(20'000));
            fleet.run(milliseconds(10'000));
            // Guards against tasks that the other entry starts after the agents have been asked.
            THEN("no task runs twice at the same time")
            {
                CHECK(fleet.violations == std::vector<std::string> {});
            }
        }
        WHEN("a job goes from one entry to the other and back")
        {
            auto request = make_submission("s1", 2);
            request.deadline = milliseconds(20'000);
            fleet.set_run_time(milliseconds(6000));
            fleet.submit("entry.a", request, milliseconds(20'000));
            fleet.run(resend_delay);
            fleet.submit("entry.b", request, milliseconds(20'000));
            fleet.run(resend_delay);
            fleet.submit("entry.a", request, milliseconds(20'000));
            fleet.run(milliseconds(8000));
            // Guards against a former job that goes on for a later caller.
            THEN("no task runs twice at the same time")
            {
                CHECK(fleet.violations == std::vector<std::string> {});
            }
        }
        WHEN("an agent that has stopped its runs late is asked repeatedly")
        {
            fleet.submit("entry.a", make_submission("s1", 2));
            fleet.run(resend_delay);
            fleet.extra_delay = [](auto const& from, auto const& to,
                                   protocol::message const& body) {
                if (from.starts_with("entry.") && to.starts_with("entry."))
                    return never;
                return milliseconds(std::holds_alternative<protocol::cancel_batch>(body) ? 900 : 0);
            };
            auto const second = fleet.submit("entry.b", make_submission("s1", 2));
            fleet.run(milliseconds(800));
            CHECK(fleet.running() == 2);
            fleet.run(milliseconds(4000));
            // Guards against a start beside runs that were only asked to stop.
            THEN("the job starts when the runs have ended")
            {
                CHECK(fleet.violations == std::vector<std::string> {});
                CHECK(is_complete(*second));
            }
        }
        WHEN("the two hear each other again while the runs of the first one are stopped")
        {
            fleet.submit("entry.a", make_submission("s1", 2));
            fleet.run(resend_delay);
            fleet.extra_delay
                = [](auto const& from, auto const& to, protocol::message const& body) {
                      if (from.starts_with("entry.") && to.starts_with("entry."))
                          return never;
                      auto const cancels = std::holds_alternative<protocol::cancel_batch>(body);
                      return milliseconds(cancels ? 900 : 0);
                  };
            auto const second = fleet.submit("entry.b", make_submission("s1", 2));
            fleet.run(milliseconds(100));
            fleet.delay<protocol::cancel_batch>(milliseconds(900));
            fleet.set_run_time(milliseconds(1000));
            fleet.run(milliseconds(3500));
            // Guards against a caller that waits for a job whose agents have been told to refuse
            // it.
            THEN("the job runs at the second one")
            {
                CHECK(fleet.violations == std::vector<std::string> {});
                CHECK(is_complete(*second));
            }
        }
        WHEN("an agent does not answer and still counts as reachable")
        {
            fleet.submit("entry.a", make_submission("s1", 2));
            fleet.run(resend_delay);
            fleet.extra_delay
                = [](auto const& from, auto const& to, protocol::message const& body) {
                      if (from.starts_with("entry.") && to.starts_with("entry."))
                          return never;
                      bool const answer = from == "agent.1"
                          && std::holds_alternative<protocol::outcome_report>(body);
                      return answer ? milliseconds(1500) : milliseconds(0);
                  };
            fleet.submit("entry.b", make_submission("s1", 2));
            fleet.run(milliseconds(4000));
            // Guards against an agent without an answer that is taken for one without runs.
            THEN("no task runs twice at the same time")
            {
                CHECK(fleet.violations == std::vector<std::string> {});
            }
        }
    }
}

SCENARIO("an entry goes on after a pause", "[entry][contact]")
{
    GIVEN("a job that runs elsewhere, and an entry that has been paused")
    {
        contact_fleet fleet;
        fleet.set_run_time(milliseconds(3000));
        fleet.submit("entry.a", make_submission("s1", 2));
        fleet.run(milliseconds(300));
        fleet.frozen.insert("entry.b");
        fleet.run(resend_delay);

        WHEN("it reads the job of a caller that has returned before its other messages")
        {
            auto const second = fleet.submit("entry.b", make_submission("s1", 2));
            fleet.run(milliseconds(1));
            fleet.thaw("entry.b");
            fleet.run(milliseconds(4000));
            // Guards against work that is stopped although its entry would have answered at once.
            THEN("the caller gets the result of the first runs")
            {
                CHECK(is_complete(*second));
                CHECK(fleet.runs_of("s1") == 2);
            }
        }
    }
}

SCENARIO("an entry is lost, and callers send their jobs to another one", "[entry][contact]")
{
    GIVEN("an entry that has ended a second ago and is still in the view")
    {
        contact_fleet fleet;
        fleet.set_run_time(milliseconds(300));
        fleet.run(milliseconds(200));
        fleet.isolated.insert("entry.a");
        fleet.close_link("entry.a", "entry.b");
        fleet.run(milliseconds(1000));

        WHEN("a job arrives at the other entry")
        {
            auto const job = fleet.submit("entry.b", make_submission("s1", 2));
            fleet.run(milliseconds(10));
            // Guards against seconds without service after the loss of each entry.
            THEN("it starts as soon as the agents have answered")
            {
                CHECK(fleet.running() == 2);
            }
        }
        WHEN("a job arrives, and an agent was lost with the entry")
        {
            fleet.isolated.insert("agent.1");
            fleet.run(milliseconds(1100));
            auto const job = fleet.submit("entry.b", make_submission("s1", 2));
            fleet.run(milliseconds(400));
            THEN("it runs at the agent that is left")
            {
                CHECK(is_complete(*job));
            }
        }
        WHEN("a job arrives after the entry has left the view and its runs have ended")
        {
            fleet.run(milliseconds(4500));
            REQUIRE(fleet.control.view.entries.size() == 1);
            fleet.submit("entry.b", make_submission("s1", 1));
            THEN("nobody is asked")
            {
                CHECK(fleet.held("entry.b") == 0);
            }
        }
    }
}

SCENARIO("an entry starts tasks of a job that may have gone elsewhere", "[entry][contact]")
{
    GIVEN("two entries that do not hear each other, and a job that finds no room at the first one")
    {
        contact_fleet fleet;
        for (auto& [name, agent] : fleet.agents)
            agent.slots = 1;
        fleet.set_run_time(milliseconds(2900));
        fleet.cut_entries();
        fleet.run(silence_limit + milliseconds(50));
        auto request = make_submission("s1", 2);
        request.deadline = milliseconds(20'000);
        fleet.submit("entry.a", make_submission("s0", 2));
        fleet.run(milliseconds(200));
        REQUIRE(fleet.running() == 2);
        fleet.set_run_time(milliseconds(1500));
        auto const first = fleet.submit("entry.a", request, milliseconds(20'000));
        fleet.run(resend_delay);
        REQUIRE(first->replies.empty());
        REQUIRE(fleet.runs_of("s1") == 0);

        WHEN("it is sent to the second one, and then there is room")
        {
            auto const second = fleet.submit("entry.b", request, milliseconds(20'000));
            fleet.run(milliseconds(100));
            for (auto& [name, agent] : fleet.agents)
                agent.slots = 4;
            fleet.run(milliseconds(8000));
            // Guards against a job without any run, of which the agents know nothing, that starts
            // at both entries.
            THEN("only the second one starts it")
            {
                CHECK(fleet.violations == std::vector<std::string> {});
                CHECK(is_complete(*second));
                CHECK(fleet.runs_of("s1") == 2);
            }
        }
        WHEN("the two hear each other again, and it was not sent elsewhere")
        {
            fleet.extra_delay = {};
            fleet.run(milliseconds(4500));
            // Guards against a job that is held back for longer than necessary.
            THEN("it runs at the first one")
            {
                CHECK(fleet.runs_of("s1") == 2);
            }
        }
    }
    GIVEN("an entry that was cut off from all others, and whose starts have been lost")
    {
        contact_fleet fleet;
        fleet.set_run_time(milliseconds(6000));
        auto request = make_submission("s1", 2);
        request.deadline = milliseconds(20'000);
        fleet.extra_delay
            = [](auto const& from, auto const& /*to*/, protocol::message const& body) {
                  bool const lost
                      = from == "entry.a" && std::holds_alternative<protocol::start_batch>(body);
                  return lost ? never : milliseconds(0);
              };
        fleet.submit("entry.a", request, milliseconds(20'000));
        fleet.run(milliseconds(50));
        fleet.isolated.insert("entry.a");
        fleet.close_link("entry.a", "entry.b");
        fleet.run(resend_delay);
        fleet.submit("entry.b", request, milliseconds(20'000));
        fleet.run(milliseconds(1000));
        REQUIRE(fleet.running() == 2);

        WHEN("it reaches the agents again, and not yet the other entry")
        {
            fleet.cut_entries();
            fleet.isolated.clear();
            fleet.run(milliseconds(3000));
            // Guards against starts that are sent again for a job that runs elsewhere by now.
            THEN("no task runs twice at the same time")
            {
                CHECK(fleet.violations == std::vector<std::string> {});
            }
        }
    }
}
