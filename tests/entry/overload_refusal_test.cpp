// Refusals of an entry whose event loop runs behind, before the content of a request is read.

#include <catch2/catch.hpp>

#include <chrono>
#include <string>

#include "entry/resubmission_fixture.h"

namespace {

using namespace greengagehead;
using namespace greengagehead::test;

/// More than the distance between two accepted requests of a kind.
constexpr int attempts = 100;
constexpr milliseconds long_deadline {60'000};

struct overloaded_entries {
    overloaded_entries() : fleet({})
    {
        this->fleet.max_loop_delay = milliseconds(20);
        for (auto const* name : {"entry.a", "entry.b"})
            this->fleet.add_entry(name, "recife");
        this->fleet.connect_entries();
        this->fleet.run(entry_start_time);
    }
    /// How many of the requests of the submission the entry refuses.
    int refusals(std::string const& at, std::string const& submission)
    {
        std::string const team = "recife";
        int count = 0;
        for (int i = 0; i < attempts; ++i) {
            auto const retry_after = this->fleet.entries.at(at)->refuse_overloaded(
                {team, submission, 0, long_deadline}, this->fleet.now);
            count += retry_after ? 1 : 0;
        }
        return count;
    }

    linked_fleet fleet;
};

} // namespace

SCENARIO("an entry that runs behind refuses submissions", "[entry][overload]")
{
    GIVEN("two entries, and a job that runs at the first one")
    {
        overloaded_entries entries;
        auto& fleet = entries.fleet;
        fleet.set_run_time(milliseconds(6000));
        auto const job = fleet.submit("entry.a", make_submission("s1", 2));
        REQUIRE(fleet.run_until([&] { return fleet.running() == 2; }));
        auto const runs = fleet.runs.size();

        // Guards against refusing callers of an entry that keeps up.
        WHEN("the second one keeps up")
        {
            fleet.run(milliseconds(2000));
            THEN("it refuses nothing")
            {
                CHECK(entries.refusals("entry.b", "s2") == 0);
            }
        }
        WHEN("the second one runs behind")
        {
            fleet.run_behind("entry.b");
            // Guards against serving all requests late, and against serving none.
            THEN("it refuses most submissions that it does not know, and starts nothing of them")
            {
                auto const refused = entries.refusals("entry.b", "s2");
                CHECK(refused > attempts / 2);
                CHECK(refused < attempts);
                auto const& counters = fleet.entries.at("entry.b")->counters();
                CHECK(counters.overload_refusals == static_cast<std::uint64_t>(refused));
                fleet.run(milliseconds(100));
                CHECK(fleet.runs.size() == runs);
            }
            // Guards against the statement that a job has not run and will not run, while it runs
            // at another entry.
            THEN("it does not refuse the job that runs at the first one")
            {
                CHECK(entries.refusals("entry.b", "s1") == 0);
            }
            // Guards against the same for a job that is cancelled, which is to be answered so.
            THEN("it does not refuse a cancelled submission")
            {
                fleet.cancel("entry.b", "s3");
                CHECK(entries.refusals("entry.b", "s3") == 0);
            }
            // Guards against refusals after the overload.
            THEN("it refuses nothing when it has kept up for a second")
            {
                fleet.run(milliseconds(1000));
                CHECK(entries.refusals("entry.b", "s2") == 0);
            }
        }
        // Guards against a second request of a job that is told that the job will not run.
        WHEN("the first one runs behind")
        {
            fleet.run_behind("entry.a");
            THEN("it does not refuse the job that it runs")
            {
                CHECK(entries.refusals("entry.a", "s2") > 0);
                CHECK(entries.refusals("entry.a", "s1") == 0);
            }
        }
        // Guards against the time until a job is announced: its witnesses know it before.
        WHEN("the second one runs behind and the first one starts a job just now")
        {
            fleet.run_behind("entry.b");
            auto const started = fleet.submit("entry.a", make_submission("s4", 2));
            fleet.run(milliseconds(20));
            THEN("the second one, a witness of the job, does not refuse it")
            {
                CHECK(entries.refusals("entry.b", "s2") > 0);
                CHECK(entries.refusals("entry.b", "s4") == 0);
            }
        }
    }
}

// Guards against jobs that are served although nobody waits for their answers any more.
SCENARIO("an entry runs so far behind that a target cannot be met", "[entry][overload]")
{
    GIVEN("an entry whose loop needs 300 ms for a pass")
    {
        overloaded_entries entries;
        auto& fleet = entries.fleet;
        fleet.run_behind("entry.a");
        auto request = make_submission("s1", 2);
        request.target_stretch_percent = 160;
        WHEN("a job arrives whose answer is of no use after 180 ms")
        {
            request.target_extra = milliseconds(60);
            auto const job = fleet.submit("entry.a", request);
            THEN("it is refused at once, and nothing runs")
            {
                REQUIRE(job->replies.size() == 1);
                CHECK(job->replies.front().status == entry::submit_reply::kind::refused);
                CHECK(job->replies.front().answer.retry_after >= std::chrono::seconds(1));
                fleet.run(milliseconds(300));
                CHECK(fleet.runs.empty());
            }
        }
        WHEN("a job arrives whose answer is of use for 6 s")
        {
            request.target_extra = milliseconds(2000);
            auto const job = fleet.submit("entry.a", request);
            fleet.run(milliseconds(1000));
            THEN("it is served")
            {
                REQUIRE(job->replies.size() == 1);
                CHECK(job->replies.front().answer.state == protocol::job_state::complete);
            }
        }
    }
}
