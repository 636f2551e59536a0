// Ephemeral submissions that reach several entries, in cases that the bounds of `policy` on delays
// do not cover: links between entries that close, announcements that are late, and holds that end.

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "entry/resubmission_fixture.h"

namespace {

using namespace greengagehead;
using namespace greengagehead::test;
using protocol::job_state;

/// Longer than any test.
constexpr milliseconds never {std::chrono::hours(1)};

struct three_entries : linked_fleet {
    three_entries() : linked_fleet({"entry.a", "entry.b", "entry.c"}) { }

    /// Messages between the two processes are late by `time`, in both directions.
    void delay_between(std::string const& a, std::string const& b, milliseconds time)
    {
        this->extra_delay = [=](auto const& from, auto const& to, auto const& /*body*/) {
            return (from == a && to == b) || (from == b && to == a) ? time : milliseconds(0);
        };
    }
    /// The entry and its runs end, and all others notice.
    void lose_entry(std::string const& name)
    {
        this->isolated.insert(name);
        for (auto& [agent_name, agent] : this->agents)
            agent.records.clear();
        for (auto const& [other, core] : this->entries) {
            if (other != name)
                core->peer_down(name, this->now);
        }
    }
};

/// When the stamps expire that an entry has sent to agents, in the time of the fleet.
struct stamp_record {
    stamp_record(simulated_fleet& target, std::string const& entry) : fleet(target)
    {
        this->fleet.on_send
            = [this, entry](auto const& from, auto const& to, protocol::message const& body) {
                  if (from != entry || this->fleet.isolated.contains(entry))
                      return;
                  if (auto const* const batch = std::get_if<protocol::start_batch>(&body))
                      this->add(to, batch->lease);
                  if (auto const* const update = std::get_if<protocol::lease_update>(&body))
                      this->add(to, update->lease);
              };
    }
    void add(std::string const& agent, protocol::lease_stamp const& stamp)
    {
        auto& last = this->expiries[agent];
        auto const offset = this->fleet.agents.at(agent).clock_offset;
        last = std::max(last, base::from_reading(stamp.expires_at) - offset);
    }
    /// How long after `time` the last stamp sent to the agent expires, in milliseconds.
    [[nodiscard]] std::int64_t ms_left(std::string const& agent, steady_time time) const
    {
        return std::chrono::ceil<milliseconds>(this->expiries.at(agent) - time).count();
    }

    simulated_fleet& fleet;
    std::map<std::string, steady_time> expiries; ///< By agent.
};

bool is_complete(simulated_fleet::submission const& submission)
{
    return submission.replies.size() == 1
        && submission.replies.front().answer.state == job_state::complete;
}

} // namespace

SCENARIO("two entries lose sight of each other while one runs a job", "[entry][resubmission]")
{
    GIVEN("a job whose caller has left unnoticed, and a second caller that waits elsewhere")
    {
        three_entries fleet;
        fleet.set_run_time(milliseconds(4500));
        fleet.submit("entry.a", make_submission("s1", 2));
        fleet.run(resend_delay);
        fleet.submit("entry.b", make_submission("s1", 2));
        fleet.run(milliseconds(200));

        WHEN("only the link between the two entries closes")
        {
            fleet.delay_between("entry.a", "entry.b", never);
            fleet.close_link("entry.a", "entry.b");
            fleet.run(milliseconds(3000));
            // Guards against the closed link of an entry being taken for the end of its runs.
            THEN("no task runs twice at the same time")
            {
                CHECK(fleet.violations == std::vector<std::string> {});
            }
        }
        WHEN("the second entry replaces a link whose close the first one has not noticed")
        {
            fleet.entries.at("entry.b")->peer_down("entry.a", fleet.now);
            fleet.run(milliseconds(50));
            fleet.entries.at("entry.b")->peer_up("entry.a", fleet.now);
            fleet.run(milliseconds(3000));
            // Guards against announcements that only the other end of a link can ask for.
            THEN("no task runs twice at the same time")
            {
                CHECK(fleet.violations == std::vector<std::string> {});
            }
        }
    }
}

SCENARIO("an entry hears too late of a job elsewhere", "[entry][resubmission]")
{
    GIVEN("a slow link between two entries")
    {
        three_entries fleet;
        fleet.set_run_time(milliseconds(2500));
        fleet.delay_between("entry.a", "entry.b", milliseconds(1000));

        WHEN("the second one gets a job that the first one has run for a while")
        {
            fleet.submit("entry.a", make_submission("s1", 2));
            fleet.run(resend_delay);
            fleet.submit("entry.b", make_submission("s1", 2));
            fleet.run(milliseconds(4000));
            // Guards against announcements that are assumed to arrive within 900 ms.
            THEN("no task runs twice at the same time")
            {
                CHECK(fleet.violations == std::vector<std::string> {});
            }
        }
    }
}

SCENARIO("an entry that the view does not contain gets a job of another one",
         "[entry][resubmission]")
{
    GIVEN("an entry that control has removed from the view, and that serves callers")
    {
        three_entries fleet;
        fleet.set_run_time(milliseconds(2500));
        fleet.delay_between("entry.b", "control.a", never);
        fleet.run(milliseconds(3500));
        REQUIRE(fleet.control.view.entries.size() == 2);

        WHEN("it gets a job that another entry has run for a while")
        {
            fleet.submit("entry.a", make_submission("s1", 2));
            fleet.run(resend_delay);
            auto const second = fleet.submit("entry.b", make_submission("s1", 2));
            fleet.run(milliseconds(4000));
            // Guards against announcements to the entries of the view only.
            THEN("no task runs twice at the same time")
            {
                CHECK(fleet.violations == std::vector<std::string> {});
                CHECK(is_complete(*second));
            }
        }
    }
    GIVEN("an entry that connects before the view of the other one contains it")
    {
        three_entries fleet;
        fleet.set_run_time(milliseconds(4500));
        fleet.submit("entry.a", make_submission("s1", 2));
        fleet.run(milliseconds(1000));
        fleet.add_entry("entry.d", "recife");
        fleet.entries.at("entry.a")->peer_up("entry.d", fleet.now);
        fleet.entries.at("entry.d")->peer_up("entry.a", fleet.now);
        fleet.run(milliseconds(500));

        WHEN("it gets a job that was announced before")
        {
            fleet.submit("entry.d", make_submission("s1", 2));
            fleet.run(milliseconds(4000));
            // Guards against a link that is up before the view names its peer.
            THEN("no task runs twice at the same time")
            {
                CHECK(fleet.violations == std::vector<std::string> {});
            }
        }
    }
}

SCENARIO("two entries hold the same submission", "[entry][resubmission]")
{
    GIVEN("a job that a second caller waits for at another entry")
    {
        three_entries fleet;
        auto request = make_submission("s1", 2);
        request.deadline = milliseconds(8000);
        fleet.set_run_time(milliseconds(7000));
        fleet.submit("entry.a", request);
        fleet.run(resend_delay);
        auto const second = fleet.submit("entry.b", request);
        fleet.run(resend_delay);

        WHEN("the first entry is lost while a third caller waits at a third entry")
        {
            auto const third = fleet.submit("entry.c", request);
            fleet.run(milliseconds(100));
            fleet.lose_entry("entry.a");
            fleet.set_run_time(milliseconds(1500));
            fleet.run(milliseconds(6000));
            // Guards against holds that end at the same time without notice of each other.
            THEN("no task runs twice at the same time, and both are answered")
            {
                CHECK(fleet.violations == std::vector<std::string> {});
                CHECK(is_complete(*second));
                CHECK(is_complete(*third));
            }
        }
        WHEN("the third submission arrives just after the second entry has started the job")
        {
            fleet.lose_entry("entry.a");
            fleet.set_run_time(milliseconds(1500));
            REQUIRE(fleet.run_until([&] { return fleet.running() == 2; }));
            fleet.run(milliseconds(100));
            fleet.submit("entry.c", request);
            fleet.run(milliseconds(3000));
            // Guards against an age that is counted from the end of the hold, not from the arrival.
            THEN("no task runs twice at the same time")
            {
                CHECK(fleet.violations == std::vector<std::string> {});
            }
        }
    }
    GIVEN("an abandoned job whose cancellation is late, and that two callers send again")
    {
        three_entries fleet;
        fleet.set_run_time(milliseconds(3500));
        fleet.submit("entry.a", make_submission("s1", 2));
        fleet.run(milliseconds(600));
        fleet.delay<protocol::cancel_batch>(milliseconds(1800));
        fleet.leave("entry.a", "s1");
        fleet.run(resend_delay);
        auto const second = fleet.submit("entry.a", make_submission("s1", 2));
        fleet.submit("entry.b", make_submission("s1", 2));

        WHEN("the end of its runs is confirmed")
        {
            fleet.run(milliseconds(5000));
            THEN("no task runs twice at the same time")
            {
                CHECK(fleet.violations == std::vector<std::string> {});
            }
        }
    }
}

SCENARIO("an entry starts a job again after another one has taken it over", "[entry][resubmission]")
{
    GIVEN("an entry that was cut off, whose runs its agents have stopped, and whose job has a long "
          "deadline")
    {
        three_entries fleet;
        fleet.set_run_time(milliseconds(6000));
        auto request = make_submission("s1", 2);
        request.deadline = milliseconds(20'000);
        fleet.submit("entry.a", request, milliseconds(20'000));
        fleet.run(resend_delay);
        fleet.submit("entry.b", request, milliseconds(20'000));
        fleet.run(milliseconds(100));
        fleet.isolated.insert("entry.a");
        fleet.run(milliseconds(1000));
        for (auto& [name, agent] : fleet.agents) {
            for (auto& [key, record] : agent.records)
                record.outcome.kind = protocol::outcome_kind::cancelled;
        }
        fleet.run(milliseconds(1000));
        fleet.close_link("entry.a", "entry.b");
        fleet.close_link("entry.a", "entry.c");
        fleet.run(milliseconds(2000));
        REQUIRE(fleet.running() == 2);

        WHEN("it is connected again before it has noticed that its caller has left")
        {
            fleet.isolated.clear();
            for (auto const* other : {"entry.b", "entry.c"}) {
                fleet.entries.at("entry.a")->peer_up(other, fleet.now);
                fleet.entries.at(other)->peer_up("entry.a", fleet.now);
            }
            fleet.run(milliseconds(3000));
            // Guards against retries of a job that another entry runs by now.
            THEN("no task runs twice at the same time")
            {
                CHECK(fleet.violations == std::vector<std::string> {});
            }
        }
    }
}

SCENARIO("a cancelled job arrives at an entry that was not told", "[entry][resubmission]")
{
    GIVEN("a job that is cancelled at its entry before it has been announced")
    {
        three_entries fleet;
        fleet.set_run_time(milliseconds(4000));
        fleet.submit("entry.a", make_submission("s1", 1));
        fleet.run(milliseconds(200));
        REQUIRE(fleet.cancel("entry.a", "s1"));
        fleet.run(milliseconds(100));
        REQUIRE(fleet.runs.size() == 1);

        WHEN("it arrives at another entry")
        {
            fleet.run(resend_delay);
            fleet.submit("entry.b", make_submission("s1", 1));
            fleet.run(milliseconds(500));
            // Guards against a cancellation that only one entry remembers.
            THEN("none of its tasks starts")
            {
                CHECK(fleet.runs.size() == 1);
            }
        }
    }
    GIVEN("a job that was cancelled at its entry, and which a late request hands in again")
    {
        three_entries fleet;
        fleet.set_run_time(milliseconds(4000));
        fleet.submit("entry.a", make_submission("s1", 1));
        fleet.run(milliseconds(200));
        REQUIRE(fleet.cancel("entry.a", "s1"));
        fleet.run(milliseconds(500));
        REQUIRE(fleet.runs.size() == 1);
        auto const arrives = GENERATE("entry.a", "entry.b");

        WHEN("the request arrives some seconds or a minute after the cancellation")
        {
            auto const delay = GENERATE(4000, 6000, 20'000, 60'000);
            fleet.run(milliseconds(delay));
            auto const late = fleet.submit(arrives, make_submission("s1", 1));
            fleet.run(milliseconds(500));
            // Guards against a cancellation that is forgotten after 5 s.
            THEN("nothing starts, and the caller is told that the job was cancelled")
            {
                INFO("after " << delay << " ms at " << arrives);
                CHECK(fleet.runs.size() == 1);
                REQUIRE(late->replies.size() == 1);
                CHECK(late->replies.front().answer.state == job_state::cancelled);
            }
        }
        WHEN("an entry has started again before")
        {
            auto const restarted = GENERATE("entry.a", "entry.b");
            fleet.run(milliseconds(5500));
            for (auto const* const other : {"entry.a", "entry.b", "entry.c"}) {
                if (std::string(other) != restarted)
                    fleet.close_link(restarted, other);
            }
            fleet.add_entry(restarted, "recife");
            fleet.connect_entries();
            auto const delay = GENERATE(100, 3000);
            fleet.run(milliseconds(delay));
            auto const late = fleet.submit(arrives, make_submission("s1", 1));
            fleet.run(milliseconds(1000));
            // Guards against an entry that has forgotten a cancellation and starts the job.
            THEN("nothing starts")
            {
                INFO(restarted << " restarted, late request at " << arrives << " after " << delay);
                CHECK(fleet.runs.size() == 1);
                REQUIRE(late->replies.size() == 1);
                CHECK(late->replies.front().answer.state != job_state::complete);
            }
        }
    }
    GIVEN("a job that is cancelled at its entry while the link to another one is closed")
    {
        three_entries fleet;
        fleet.set_run_time(milliseconds(4000));
        fleet.delay_between("entry.a", "entry.b", never);
        fleet.close_link("entry.a", "entry.b");
        fleet.submit("entry.a", make_submission("s1", 1));
        fleet.run(milliseconds(200));
        REQUIRE(fleet.cancel("entry.a", "s1"));
        fleet.run(milliseconds(100));

        WHEN("it arrives at the other one when they are connected again")
        {
            fleet.extra_delay = {};
            fleet.entries.at("entry.a")->peer_up("entry.b", fleet.now);
            fleet.entries.at("entry.b")->peer_up("entry.a", fleet.now);
            fleet.run(resend_delay);
            fleet.submit("entry.b", make_submission("s1", 1));
            fleet.run(milliseconds(500));
            // Guards against a cancellation that is lost with a link.
            THEN("none of its tasks starts")
            {
                CHECK(fleet.runs.size() == 1);
            }
        }
    }
    GIVEN("an announced job that is cancelled after its caller has left")
    {
        three_entries fleet;
        fleet.set_run_time(milliseconds(4000));
        fleet.submit("entry.a", make_submission("s1", 1));
        fleet.run(milliseconds(700));
        fleet.leave("entry.a", "s1");
        fleet.run(milliseconds(50));
        fleet.cancel("entry.a", "s1");

        WHEN("it arrives at another entry")
        {
            fleet.run(resend_delay);
            fleet.submit("entry.b", make_submission("s1", 1));
            fleet.run(milliseconds(500));
            // Guards against a cancellation that has no effect on an abandoned job.
            THEN("none of its tasks starts")
            {
                CHECK(fleet.runs.size() == 1);
            }
        }
    }
}

SCENARIO("a submission is held although nothing runs", "[entry][resubmission]")
{
    GIVEN("an abandoned job whose agents report, before its end, that their runs are over")
    {
        three_entries fleet;
        fleet.set_run_time(milliseconds(1000));
        for (auto& [name, agent] : fleet.agents)
            agent.result = protocol::outcome_kind::unknown;
        fleet.submit("entry.a", make_submission("s1", 1));
        fleet.run(milliseconds(700));
        // The run ends with an unknown outcome before the cancellation arrives, as when the agent
        // gives up a worker that does not answer.
        fleet.delay<protocol::cancel_batch>(milliseconds(2000));
        fleet.leave("entry.a", "s1");
        fleet.run(milliseconds(400));
        REQUIRE(fleet.running() == 0);
        fleet.extra_delay = {};
        fleet.set_run_time(milliseconds(100));
        for (auto& [name, agent] : fleet.agents)
            agent.result = protocol::outcome_kind::succeeded;
        fleet.run(resend_delay - milliseconds(400));
        auto request = make_submission("s1", 1);
        request.deadline = milliseconds(1500);

        WHEN("the job arrives at the same entry")
        {
            auto const second = fleet.submit("entry.a", request, milliseconds(2500));
            fleet.run(milliseconds(3000));
            // Guards against runs that have ended and count as unconfirmed.
            THEN("it is served")
            {
                CHECK(is_complete(*second));
            }
        }
        WHEN("the job arrives at another entry")
        {
            auto const second = fleet.submit("entry.b", request, milliseconds(2500));
            fleet.run(milliseconds(3000));
            THEN("it is served")
            {
                CHECK(is_complete(*second));
            }
        }
    }
}

SCENARIO("an abandoned job whose agent is lost is submitted again", "[entry][resubmission]")
{
    GIVEN("an abandoned job whose agent is lost")
    {
        three_entries fleet;
        fleet.set_run_time(milliseconds(4000));
        fleet.submit("entry.a", make_submission("s1", 1));
        fleet.run(milliseconds(700));
        auto const lost = fleet.agents.at("agent.1").running() > 0 ? "agent.1" : "agent.2";
        fleet.isolated.insert(lost);
        fleet.leave("entry.a", "s1");
        fleet.run(milliseconds(1000));
        fleet.agents.at(lost).records.clear();

        WHEN("the job is submitted again after every permission of its run has ended")
        {
            fleet.run(milliseconds(1600));
            fleet.set_run_time(milliseconds(100));
            auto request = make_submission("s1", 1);
            request.deadline = milliseconds(1500);
            auto const at = GENERATE("entry.a", "entry.b");
            auto const second = fleet.submit(at, request, milliseconds(2500));
            fleet.run(milliseconds(1000));
            // Guards against a machine that was suspended and goes on with the run, and against
            // callers that wait for it.
            THEN("it does not start, and its caller is told that its state is not known")
            {
                REQUIRE(second->replies.size() == 1);
                CHECK(second->replies.front().status == entry::submit_reply::kind::unknown);
                CHECK(fleet.runs.size() == 1);
            }
            AND_WHEN("the agent is heard again and has no run of it")
            {
                fleet.isolated.clear();
                fleet.run(milliseconds(1000));
                auto const third = fleet.submit(at, request, milliseconds(2500));
                fleet.run(milliseconds(1000));
                THEN("it is served")
                {
                    CHECK(is_complete(*third));
                    CHECK(fleet.violations.empty());
                }
            }
        }
    }
}

SCENARIO("a job that nobody waits for any more", "[entry][resubmission]")
{
    GIVEN("a held submission, and a job that ends without an answer at its entry")
    {
        three_entries fleet;
        fleet.set_run_time(milliseconds(3000));
        fleet.submit("entry.a", make_submission("s1", 1));
        fleet.run(milliseconds(700));
        fleet.delay<protocol::cancel_batch>(milliseconds(1800));
        fleet.leave("entry.a", "s1");
        fleet.run(resend_delay);

        WHEN("its caller leaves during the last query")
        {
            bool left = false;
            fleet.submit("entry.b", make_submission("s1", 1), milliseconds(10'000),
                         [&left] { return left; });
            auto const runs = [&fleet] {
                std::uint32_t count = 0;
                for (auto const& [task, number] : fleet.runs)
                    count += number;
                return count;
            };
            REQUIRE(runs() == 1);
            // The caller leaves when the reply that ends the hold is on its way.
            fleet.on_send = [&left](auto const&, auto const& to, protocol::message const& body) {
                auto const* const reply = std::get_if<protocol::job_reply>(&body);
                left = left
                    || (to == "entry.b" && reply != nullptr && reply->answer
                        && !reply->answer->tasks.empty()
                        && reply->answer->tasks.front().state == protocol::task_state::cancelled);
            };
            fleet.run(milliseconds(2500));
            REQUIRE(left);
            // Guards against a start without a look at the caller when a hold ends.
            THEN("nothing starts")
            {
                CHECK(runs() == 1);
            }
        }
    }
}

SCENARIO("callers of a job leave at two entries", "[entry][resubmission]")
{
    GIVEN("a job whose first caller has left while a second one waited at another entry")
    {
        three_entries fleet;
        fleet.set_run_time(milliseconds(8000));
        auto request = make_submission("s1", 1);
        request.deadline = milliseconds(10'000);
        fleet.submit("entry.a", request);
        fleet.run(resend_delay);
        bool left = false;
        fleet.submit("entry.b", request, milliseconds(10'000), [&left] { return left; });
        fleet.run(milliseconds(100));
        fleet.leave("entry.a", "s1");

        WHEN("the second one leaves too")
        {
            left = true;
            fleet.leave("entry.b", "s1");
            fleet.run(milliseconds(3000));
            // Guards against a notice of a caller's leaving that is used up while another waits.
            THEN("the job is stopped")
            {
                CHECK(fleet.running() == 0);
            }
        }
    }
    GIVEN("a job that a caller waits for at another entry")
    {
        three_entries fleet;
        fleet.set_run_time(milliseconds(4000));
        fleet.submit("entry.a", make_submission("s1", 1));
        fleet.run(resend_delay);
        auto const second = fleet.submit("entry.b", make_submission("s1", 1));

        WHEN("the first entry notices between two queries that its caller has left")
        {
            // The first query waits for 1 s, and the next one is sent 50 ms later.
            fleet.run(milliseconds(1030));
            fleet.leave("entry.a", "s1");
            fleet.run(milliseconds(4500));
            // Guards against work that is lost in the pause between two queries.
            THEN("the run goes on for the second caller")
            {
                CHECK(is_complete(*second));
                CHECK(fleet.runs.size() == 1);
            }
        }
    }
}

SCENARIO("an entry is cut off before it has announced a job", "[entry][resubmission]")
{
    GIVEN("an entry that announces its jobs at intervals")
    {
        three_entries fleet;
        fleet.set_run_time(milliseconds(4000));
        stamp_record stamps(fleet, "entry.a");
        fleet.submit("entry.a", make_submission("s0", 1));
        fleet.run(milliseconds(20));
        auto const submitted = fleet.now;
        fleet.submit("entry.a", make_submission("s1", 1));

        WHEN("it is cut off just before it announces a job")
        {
            fleet.run(milliseconds(470));
            fleet.submit("entry.a", make_submission("s2", 4));
            fleet.run(milliseconds(5));
            fleet.isolated.insert("entry.a");
            fleet.run(resend_delay - milliseconds(475));
            // Guards against a job that is not announced yet and whose runs outlast the delay of
            // its caller.
            THEN("its runs have ended when the job arrives elsewhere")
            {
                CHECK(stamps.ms_left("agent.1", submitted + resend_delay) <= 0);
                CHECK(stamps.ms_left("agent.2", submitted + resend_delay) <= 0);
            }
        }
    }
}

SCENARIO("an agent is lost again shortly after it has returned", "[entry][resubmission]")
{
    GIVEN("an entry without a lease, and an agent that it has lost once")
    {
        three_entries fleet;
        fleet.set_run_time(milliseconds(20'000));
        stamp_record stamps(fleet, "entry.a");
        fleet.isolated.insert("control.a");
        fleet.run(milliseconds(2000));
        auto request = make_submission("s1", 1);
        request.deadline = milliseconds(20'000);
        fleet.submit("entry.a", request, milliseconds(20'000));
        REQUIRE(fleet.run_until([&] { return fleet.running() == 1; }));
        std::string const lost = fleet.agents.at("agent.1").running() > 0 ? "agent.1" : "agent.2";
        auto const cut = [&](auto const& from, auto const& to, auto const& /*body*/) {
            return from == lost && to == "entry.a" ? never : milliseconds(0);
        };
        fleet.extra_delay = cut;
        fleet.run(milliseconds(1200));

        WHEN("the entry hears it again for a moment")
        {
            fleet.run(milliseconds(500));
            fleet.extra_delay = {};
            fleet.run(milliseconds(110));
            fleet.extra_delay = cut;
            std::string const other = lost == "agent.1" ? "agent.2" : "agent.1";
            fleet.run(milliseconds(8000));
            // Guards against a time without reports that is taken for the end of a run.
            THEN("the task does not start elsewhere, although the last stamp has expired")
            {
                CHECK(stamps.ms_left(lost, fleet.now) <= 0);
                CHECK(fleet.agents.at(other).running() == 0);
                CHECK(fleet.running() == 1);
            }
        }
    }
}

SCENARIO("an entry that is shutting down gets a job that another one runs", "[entry][resubmission]")
{
    GIVEN("an entry that has answered all callers because its time is up")
    {
        three_entries fleet;
        fleet.set_run_time(milliseconds(4000));
        fleet.submit("entry.a", make_submission("s1", 1));
        fleet.run(resend_delay);
        fleet.entries.at("entry.b")->begin_shutdown(fleet.now, milliseconds(100));
        fleet.entries.at("entry.b")->answer_all_waiters(fleet.now);

        WHEN("a job arrives that another entry runs")
        {
            auto const second = fleet.submit("entry.b", make_submission("s1", 1));
            fleet.run(milliseconds(100));
            // Guards against a caller that is held until the process ends.
            THEN("the caller is answered at once")
            {
                CHECK(second->replies.size() == 1);
                CHECK(fleet.entries.at("entry.b")->idle());
            }
        }
    }
}

SCENARIO("a hold ends in the last millisecond of its deadline", "[entry][resubmission]")
{
    GIVEN("an abandoned job whose cancellation is late")
    {
        // The moment at which the hold ends depends on the timers of both entries.
        for (int deadline = 520; deadline < 560; ++deadline) {
            three_entries fleet;
            fleet.set_run_time(milliseconds(3500));
            fleet.submit("entry.a", make_submission("s1", 1));
            fleet.run(milliseconds(600));
            fleet.delay<protocol::cancel_batch>(milliseconds(1800));
            fleet.leave("entry.a", "s1");
            fleet.run(resend_delay);
            milliseconds longest {0};
            fleet.on_send
                = [&longest](auto const& from, auto const& /*to*/, protocol::message const& body) {
                      auto const* const batch = std::get_if<protocol::start_batch>(&body);
                      if (from == "entry.b" && batch != nullptr)
                          longest = std::max(longest, batch->starts.front().remaining);
                  };
            auto request = make_submission("s1", 1);
            request.deadline = milliseconds(deadline);
            fleet.submit("entry.b", request);
            fleet.run(milliseconds(1000));
            // Guards against a remaining time of 0 that counts as no deadline.
            INFO("deadline " << deadline << " ms");
            CHECK(longest <= request.deadline);
        }
    }
}

SCENARIO("a second caller waits for longer than one query after the first deadline",
         "[entry][resubmission]")
{
    GIVEN("a job whose runs take longer than its first caller waits")
    {
        three_entries fleet;
        fleet.set_run_time(milliseconds(3500));
        auto request = make_submission("s1", 1);
        request.deadline = milliseconds(1500);
        fleet.submit("entry.a", request, milliseconds(2500));
        fleet.run(resend_delay);

        WHEN("the second caller waits until the run ends")
        {
            request.deadline = milliseconds(4000);
            auto const second = fleet.submit("entry.b", request);
            fleet.run(milliseconds(4000));
            // Guards against a deadline that moves to the end of one query, before the next one.
            THEN("the run goes on for the second caller")
            {
                CHECK(is_complete(*second));
                CHECK(fleet.runs.size() == 1);
            }
        }
    }
}
