// An entry starts, or loses its endpoints, and callers send jobs before it has its state back.

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

#include "entry/held_requests.h"
#include "entry/simulated_fleet.h"

namespace {

using namespace greengagehead;
using namespace greengagehead::test;
using reply_kind = entry::submit_reply::kind;
using protocol::job_state;

constexpr milliseconds deadline {1500};

protocol::job_request make_ephemeral(std::string const& submission, std::size_t tasks = 1,
                                     milliseconds expected = milliseconds(200))
{
    auto request = make_job(submission, tasks, false);
    request.ephemeral = true;
    request.deadline = deadline;
    for (auto& task : request.tasks)
        task.expected = expected;
    return request;
}

/// One entry with two agents, of which none has been heard yet.
struct starting_fleet : simulated_fleet {
    explicit starting_fleet(std::size_t max_bytes = 1U << 20U) : simulated_fleet(1)
    {
        this->recovery_hold = {milliseconds(1000), max_bytes};
        this->core = &this->add_entry("entry.a", "recife");
        for (auto const* name : {"agent.1", "agent.2"}) {
            this->add_agent(name, "recife").run_time = milliseconds(200);
            this->isolated.insert(name);
        }
    }

    [[nodiscard]] std::size_t held() const { return this->core->status(this->now).held_requests; }

    entry::entry_core* core = nullptr;
};

/// A table of held requests whose state is back when `state_back` is set.
struct hold_fixture {
    hold_fixture() { this->table.set_started(this->now); }

    void add(std::string const& name, milliseconds time_left)
    {
        entry::held_request item;
        item.needs = {this->now + time_left, milliseconds(60), 100};
        item.has_left = [this, name] { return name == this->left; };
        item.try_resume = [this, name](auto) {
            if (this->state_back)
                this->events.push_back(name);
            return this->state_back;
        };
        item.end = [this, name](entry::hold_end reason, auto) {
            this->events.push_back(
                name + (reason == entry::hold_end::expired ? " expired" : " dropped"));
        };
        REQUIRE(this->table.hold(item, this->now));
    }

    base::steady_time now {std::chrono::hours(1)};
    entry::entry_counters counters;
    entry::held_requests table {{milliseconds(1000), 1000}, counters};
    bool state_back = false;
    std::string left;
    std::vector<std::string> events;
};

} // namespace

SCENARIO("held requests end", "[entry][recovery]")
{
    GIVEN("three held requests")
    {
        hold_fixture hold;
        hold.add("second", milliseconds(1500));
        hold.add("third", milliseconds(1900));
        hold.add("first", milliseconds(1200));

        // Guards against serving requests that can wait before those that cannot.
        THEN("they continue in the order of their deadlines when the state is back")
        {
            hold.state_back = true;
            hold.table.tick(true, hold.now + milliseconds(500));
            CHECK(hold.events == std::vector<std::string> {"first", "second", "third"});
            CHECK(hold.table.bytes() == 0);
        }
        // Guards against a caller that waits for ever, and against a second answer.
        THEN("each ends once when its time is up")
        {
            for (int step = 0; step < 300; ++step)
                hold.table.tick(false, hold.now + milliseconds(10) * step);
            CHECK(hold.events
                  == std::vector<std::string> {"first expired", "second expired", "third expired"});
            CHECK(hold.counters.held_requests_expired == 3);
            CHECK(hold.table.empty());
        }
        // Guards against starting work for a caller that has gone to another entry.
        THEN("a request whose caller has left is dropped and does not continue")
        {
            hold.left = "second";
            hold.state_back = true;
            hold.table.tick(true, hold.now + milliseconds(500));
            CHECK(hold.events == std::vector<std::string> {"first", "second dropped", "third"});
            CHECK(hold.counters.held_requests_left == 1);
        }
        // Guards against a shutdown that waits for the end of a recovery.
        THEN("all end at once when the entry stops, and none is held afterwards")
        {
            hold.table.close(hold.now);
            CHECK(hold.events.size() == 3);
            CHECK_FALSE(hold.table.recovering(hold.now));
        }
    }
}

SCENARIO("a job arrives before the endpoints of a started entry", "[entry][recovery]")
{
    GIVEN("an entry with its configuration that has not heard any agent")
    {
        starting_fleet fleet;
        fleet.run(milliseconds(300));
        auto const job = fleet.submit("entry.a", make_ephemeral("s1"));
        REQUIRE(job->replies.empty());
        CHECK(fleet.held() == 1);

        // Guards against refusing requests during a recovery that ends in time.
        WHEN("the agents are heard 300 ms later")
        {
            fleet.run(milliseconds(300));
            fleet.isolated.clear();
            THEN("the job runs once and its caller gets the answer before the deadline")
            {
                REQUIRE(fleet.run_until([&] { return !job->replies.empty(); },
                                        deadline - milliseconds(300)));
                CHECK(job->replies.front().answer.state == job_state::complete);
                CHECK(fleet.runs.size() == 1);
                CHECK(fleet.held() == 0);
                CHECK(fleet.violations.empty());
            }
        }
        // Guards against two runs of a submission that was held twice.
        WHEN("the caller sends it again before the agents are heard")
        {
            auto const again = fleet.submit("entry.a", make_ephemeral("s1"));
            fleet.isolated.clear();
            THEN("both get the answer of one run")
            {
                REQUIRE(fleet.run_until(
                    [&] { return !job->replies.empty() && !again->replies.empty(); }));
                CHECK(job->replies.front().answer.state == job_state::complete);
                CHECK(again->replies.front().answer.state == job_state::complete);
                CHECK(fleet.runs.begin()->second == 1);
                CHECK(fleet.violations.empty());
            }
        }
        // Guards against running a submission that was cancelled while it was held.
        WHEN("it is cancelled before the agents are heard")
        {
            fleet.core->cancel_ephemeral(make_ephemeral("s1").team, "s1", fleet.now);
            fleet.isolated.clear();
            THEN("it does not run")
            {
                REQUIRE(fleet.run_until([&] { return !job->replies.empty(); }));
                CHECK(job->replies.front().answer.state == job_state::cancelled);
                CHECK(fleet.runs.empty());
            }
        }
        // Guards against callers that wait although the entry stops.
        WHEN("the entry is told to stop")
        {
            fleet.core->stop_holding(fleet.now);
            THEN("it is refused at once, and nothing has run")
            {
                REQUIRE(job->replies.size() == 1);
                CHECK(job->replies.front().answer.state == job_state::refused);
                CHECK(job->replies.front().answer.ran == protocol::ran_extent::none);
            }
        }
    }
}

SCENARIO("the endpoints of a started entry do not come back", "[entry][recovery]")
{
    GIVEN("an entry that may hold about two jobs")
    {
        starting_fleet fleet(4000);
        fleet.run(milliseconds(300));
        std::vector<std::shared_ptr<simulated_fleet::submission>> jobs;
        for (int i = 0; i < 10; ++i)
            jobs.push_back(fleet.submit("entry.a", make_ephemeral("s" + std::to_string(i))));

        // Guards against an entry that runs out of memory while callers keep sending.
        THEN("those beyond the limit are refused at once")
        {
            auto const held = fleet.held();
            CHECK(held > 0);
            CHECK(held < 4);
            CHECK(fleet.core->status(fleet.now).held_request_bytes <= 4000);
            auto const refused = std::count_if(jobs.begin(), jobs.end(),
                                               [](auto& job) { return job->replies.size() == 1; });
            CHECK(static_cast<std::size_t>(refused) + held == jobs.size());
            CHECK(fleet.core->counters().hold_overflows == static_cast<std::uint64_t>(refused));
        }
        // Guards against holding callers beyond the time of a recovery, and against an answer that
        // does not say why.
        THEN("the others get the reason when the time of a recovery is over")
        {
            fleet.run(milliseconds(720));
            for (auto const& job : jobs) {
                REQUIRE(job->replies.size() == 1);
                auto const& answer = job->replies.front().answer;
                CHECK(answer.state == job_state::refused);
                CHECK(answer.ran == protocol::ran_extent::none);
                CHECK(answer.failure->message.find("no endpoint of kind") == 0);
            }
            CHECK(fleet.held() == 0);
            CHECK(fleet.core->status(fleet.now).held_request_bytes == 0);
            CHECK(fleet.runs.empty());
            CHECK(fleet.violations.empty());
        }
        // Guards against holding every request while no endpoint exists at all.
        THEN("later jobs are refused at once")
        {
            fleet.run(milliseconds(720));
            CHECK(fleet.submit("entry.a", make_ephemeral("late"))->replies.size() == 1);
        }
    }
    // Guards against holding a caller for a task that then ends too late.
    GIVEN("a task that cannot end in time after a recovery")
    {
        starting_fleet fleet;
        fleet.run(milliseconds(300));
        THEN("it is refused at once")
        {
            auto const job = fleet.submit("entry.a", make_ephemeral("s1", 1, milliseconds(900)));
            CHECK(job->replies.size() == 1);
            CHECK(fleet.core->counters().hold_time_refusals == 1);
        }
    }
    // Guards against starting a job for a caller that has gone.
    GIVEN("a caller that leaves while its job is held")
    {
        starting_fleet fleet;
        fleet.run(milliseconds(300));
        bool left = false;
        auto const job = fleet.submit("entry.a", make_ephemeral("s1"), milliseconds(2000),
                                      [&left] { return left; });
        left = true;
        fleet.run(milliseconds(50));
        fleet.isolated.clear();
        fleet.run(milliseconds(500));
        THEN("the job is dropped")
        {
            CHECK(fleet.held() == 0);
            CHECK(fleet.runs.empty());
            CHECK(job->replies.size() == 1);
            CHECK(fleet.core->counters().held_requests_left == 1);
        }
    }
}

// The load: tasks of 200 ms with a target of 380 ms, whose callers use no answer after 1,140 ms.
SCENARIO("a held job with a target", "[entry][recovery]")
{
    GIVEN("an entry that has not heard any agent, and a job that is held")
    {
        starting_fleet fleet;
        fleet.run(milliseconds(200));
        auto request = make_ephemeral("s1");
        request.target_stretch_percent = 160;
        request.target_extra = milliseconds(60);
        auto const arrived = fleet.now;
        auto const job = fleet.submit("entry.a", request);
        REQUIRE(fleet.held() == 1);

        // Guards against refusing a job that misses its target although its answer is of use.
        WHEN("the agents are heard 500 ms later")
        {
            fleet.run(milliseconds(500));
            fleet.isolated.clear();
            THEN("it completes while its answer is of use")
            {
                REQUIRE(fleet.run_until([&] { return !job->replies.empty(); }, milliseconds(1000)));
                CHECK(job->replies.front().answer.state == job_state::complete);
                CHECK(fleet.now - arrived < milliseconds(1140));
            }
        }
    }
    // Guards against holding jobs whose answers will be of no use.
    GIVEN("a job with a target of 124 ms, just after the start of the entry")
    {
        starting_fleet fleet;
        fleet.run(milliseconds(200));
        auto request = make_ephemeral("s1", 1, milliseconds(40));
        request.target_stretch_percent = 160;
        request.target_extra = milliseconds(60);
        auto const job = fleet.submit("entry.a", request);
        THEN("it is refused at once")
        {
            CHECK(job->replies.size() == 1);
            CHECK(fleet.core->counters().hold_time_refusals == 1);
        }
    }
    // Guards against jobs whose answers nobody uses, and which take slots from others.
    GIVEN("more held jobs than the endpoints can run in time")
    {
        starting_fleet fleet;
        fleet.run(milliseconds(200));
        auto const arrived = fleet.now;
        std::vector<std::shared_ptr<simulated_fleet::submission>> jobs;
        for (int i = 0; i < 60; ++i) {
            auto request = make_ephemeral("s" + std::to_string(i));
            request.target_stretch_percent = 160;
            request.target_extra = milliseconds(60);
            jobs.push_back(fleet.submit("entry.a", request));
        }
        fleet.run(milliseconds(500));
        fleet.isolated.clear();
        THEN("no job completes after its answer is of use")
        {
            auto const complete = [&jobs] {
                return std::count_if(jobs.begin(), jobs.end(), [](auto const& job) {
                    return !job->replies.empty()
                        && job->replies.front().answer.state == job_state::complete;
                });
            };
            auto const useful_until = arrived + milliseconds(1140);
            fleet.run(std::chrono::duration_cast<milliseconds>(useful_until - fleet.now));
            auto const in_time = complete();
            CHECK(in_time >= 8);
            fleet.run(milliseconds(1000));
            CHECK(complete() == in_time);
        }
    }
}

// Guards against a burst of held requests that runs too late, and against refusing most of them
// because the first endpoint that is heard has few slots: 60 jobs of 200 ms arrive within 300 ms
// before the agents, which have eight slots, are heard.
SCENARIO("many jobs were held when the endpoints come back", "[entry][recovery]")
{
    GIVEN("more held jobs than the endpoints can run in time")
    {
        starting_fleet fleet;
        fleet.run(milliseconds(300));
        std::vector<std::shared_ptr<simulated_fleet::submission>> jobs;
        for (int i = 0; i < 60; ++i) {
            jobs.push_back(fleet.submit("entry.a", make_ephemeral("s" + std::to_string(i))));
            fleet.run(milliseconds(5));
        }
        WHEN("the agents are heard, the second one 150 ms after the first")
        {
            fleet.isolated.erase("agent.1");
            fleet.run(milliseconds(150));
            fleet.isolated.clear();
            fleet.run(milliseconds(2500));
            THEN("all are answered, those that run complete in time, and none runs twice")
            {
                std::size_t complete = 0;
                for (auto const& job : jobs) {
                    REQUIRE(job->replies.size() == 1);
                    auto const state = job->replies.front().answer.state;
                    complete += state == job_state::complete ? 1 : 0;
                    CHECK((state == job_state::complete || state == job_state::refused));
                }
                // If the slots of the first endpoint decided about all held jobs, 14 would
                // complete.
                CHECK(complete >= 25);
                CHECK(fleet.runs.size() == complete);
                for (auto const& [task, count] : fleet.runs)
                    CHECK(count == 1);
                CHECK(fleet.violations.empty());
            }
        }
    }
}
