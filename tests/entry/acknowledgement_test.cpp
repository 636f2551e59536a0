// Jobs whose announcement another entry has not read when their callers return to it.

#include <catch2/catch.hpp>

#include <string>

#include "entry/job_id.h"
#include "entry/resubmission_fixture.h"

namespace {

using namespace greengagehead;
using namespace greengagehead::test;
using protocol::job_state;

/// Longer than any test.
constexpr milliseconds never {std::chrono::hours(1)};

/// Three entries with jobs that outlast the callers' delay. `entry.a` gets them.
struct announcing_fleet : linked_fleet {
    announcing_fleet() : linked_fleet({"entry.a", "entry.b", "entry.c"})
    {
        this->set_run_time(milliseconds(2500));
        this->extra_delay = [this](auto const& from, auto const& to, auto const& /*body*/) {
            bool const between
                = (from == "entry.a" && to == "entry.b") || (from == "entry.b" && to == "entry.a");
            return between ? this->delay_to_b : milliseconds(0);
        };
    }
    void submit_job() { this->job = this->submit("entry.a", make_submission("s1", 2)); }
    [[nodiscard]] bool complete() const
    {
        return this->job->replies.size() == 1
            && this->job->replies.front().answer.state == job_state::complete;
    }

    milliseconds delay_to_b {0};
    std::shared_ptr<submission> job;
};

} // namespace

SCENARIO("a job is announced to entries that do not read it in time", "[entry][acknowledgement]")
{
    GIVEN("entries with links to each other")
    {
        announcing_fleet fleet;

        WHEN("a link is somewhat slow")
        {
            fleet.delay_to_b = milliseconds(200);
            fleet.submit_job();
            fleet.run(milliseconds(3000));
            // Guards against jobs that are stopped although their announcement arrives in time.
            THEN("the job goes on")
            {
                CHECK(fleet.complete());
            }
        }
        WHEN("a link is open, nothing arrives through it, and the caller returns at its other end")
        {
            fleet.delay_to_b = never;
            fleet.submit_job();
            fleet.run(resend_delay);
            auto const second = fleet.submit("entry.b", make_submission("s1", 2));
            fleet.run(milliseconds(4000));
            // Guards against an entry that starts a job because it has heard no announcement of it,
            // and against jobs that are stopped because a link is slow.
            THEN("the job goes on, and does not start at the other entry")
            {
                CHECK(fleet.complete());
                CHECK(fleet.runs.size() == 2);
                CHECK(fleet.violations == std::vector<std::string> {});
            }
            THEN("the second caller is not told that it has not run")
            {
                fleet.run(milliseconds(4000));
                REQUIRE(second->replies.size() == 1);
                CHECK(second->replies.front().status == entry::submit_reply::kind::unknown);
            }
        }
        WHEN("an entry of the view is lost with its links")
        {
            fleet.isolated.insert("entry.b");
            fleet.close_link("entry.a", "entry.b");
            fleet.submit_job();
            fleet.run(milliseconds(3000));
            // Guards against jobs that are stopped whenever an entry is killed.
            THEN("the job goes on")
            {
                CHECK(fleet.complete());
            }
        }
        WHEN("an entry that does not answer has left the view")
        {
            fleet.isolated.insert("entry.b");
            REQUIRE(fleet.run_until([&fleet] { return fleet.control.view.entries.size() == 2; }));
            fleet.run(milliseconds(100));
            fleet.submit_job();
            fleet.run(milliseconds(3000));
            // Guards against jobs that are stopped for as long as the link of a machine without
            // power is not closed.
            THEN("the job goes on")
            {
                CHECK(fleet.complete());
            }
        }
        WHEN("an entry has just started")
        {
            fleet.close_link("entry.a", "entry.b");
            fleet.add_entry("entry.b", "recife");
            fleet.entries.at("entry.a")->peer_up("entry.b", fleet.now);
            fleet.submit_job();
            fleet.run(milliseconds(3000));
            // Guards against an entry that answers no queries at first.
            THEN("the job goes on")
            {
                CHECK(fleet.complete());
            }
        }
    }
}

SCENARIO("a job is stopped for another entry while its caller waits", "[entry][acknowledgement]")
{
    GIVEN("a job that runs")
    {
        announcing_fleet fleet;
        fleet.submit_job();
        fleet.run(milliseconds(500));

        WHEN("another entry announces the same submission as the later one")
        {
            auto const key = entry::job_id_of("recife", "s1");
            fleet.entries.at("entry.a")->receive(
                "entry.c",
                protocol::submissions_running {fleet.entries.at("entry.c")->status(fleet.now).id,
                                               {{key, milliseconds(0), milliseconds(5000), false}},
                                               false},
                fleet.now);
            fleet.run(milliseconds(100));
            // Guards against a caller that is told, by the answer to a cancellation, that its job
            // is not wanted, and does not send it again. The announcement may be late, so that the
            // job which it is about is the earlier one.
            THEN("the caller may send it again")
            {
                REQUIRE(fleet.job->replies.size() == 1);
                CHECK(fleet.job->replies.front().answer.state == job_state::failed);
            }
        }
    }
}
