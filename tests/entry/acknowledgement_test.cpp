// Jobs whose announcement another entry has not read when their callers can return to it.

#include <catch2/catch.hpp>

#include <cstdint>
#include <optional>
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
        this->on_send = [this](auto const& from, auto const& to, protocol::message const& body) {
            auto const* const query = std::get_if<protocol::job_query>(&body);
            if (from == "entry.a" && to == "entry.b" && query != nullptr && query->job.empty())
                this->query_to_b = query->query_id;
        };
    }
    void submit_job() { this->job = this->submit("entry.a", make_submission("s1", 2)); }
    [[nodiscard]] bool complete() const
    {
        return this->job->replies.size() == 1
            && this->job->replies.front().answer.state == job_state::complete;
    }

    milliseconds delay_to_b {0};
    std::optional<std::uint64_t> query_to_b; ///< Last query for an acknowledgement.
    std::shared_ptr<submission> job;
};

} // namespace

SCENARIO("a job is announced to entries that do not answer in time", "[entry][acknowledgement]")
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
        WHEN("a link is open, and nothing arrives through it")
        {
            fleet.delay_to_b = never;
            fleet.submit_job();
            fleet.run(resend_delay - milliseconds(100));
            // Guards against an entry that relies on an announcement which nobody has read.
            THEN("the runs have ended before the caller can return, and the caller is told that "
                 "they may have run")
            {
                CHECK(fleet.running() == 0);
                REQUIRE(fleet.job->replies.size() == 1);
                CHECK(fleet.job->replies.front().answer.ran != protocol::ran_extent::none);
                CHECK(fleet.job->replies.front().answer.state == job_state::failed);
                CHECK(fleet.violations == std::vector<std::string> {});
            }
        }
        WHEN("another entry answers in its place")
        {
            fleet.delay_to_b = never;
            fleet.submit_job();
            REQUIRE(fleet.run_until([&fleet] { return fleet.query_to_b.has_value(); }));
            fleet.entries.at("entry.a")->receive(
                "entry.c", protocol::job_reply {*fleet.query_to_b, {}, {}}, fleet.now);
            fleet.run(milliseconds(1000));
            // Guards against a statement that counts for another entry.
            THEN("the job is stopped")
            {
                CHECK(fleet.running() == 0);
            }
        }
        WHEN("the answer to an earlier announcement arrives late")
        {
            fleet.submit("entry.a", make_submission("s0", 1));
            fleet.run(milliseconds(700));
            REQUIRE(fleet.query_to_b);
            auto const earlier = *fleet.query_to_b;
            fleet.delay_to_b = never;
            fleet.submit_job();
            fleet.run(milliseconds(600));
            fleet.entries.at("entry.a")->receive("entry.b", protocol::job_reply {earlier, {}, {}},
                                                 fleet.now);
            fleet.run(milliseconds(600));
            // Guards against an answer that was given before the announcement.
            THEN("the job is stopped")
            {
                REQUIRE(fleet.job->replies.size() == 1);
                CHECK(fleet.job->replies.front().answer.state == job_state::failed);
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
