// Which jobs wait for the statements of the other entries, and for how long.

#include <algorithm>

#include <catch2/catch.hpp>

#include "policy/remote_submissions.h"
#include "policy/start_confirmations.h"

namespace {

using namespace greengagehead;
using namespace std::chrono_literals;
using jobs = std::vector<policy::start_confirmations::job_number>;

constexpr base::steady_time sent {1000s};
constexpr auto return_time = sent + policy::caller_return_delay;

} // namespace

SCENARIO("tasks of a job are about to start", "[policy][resubmission]")
{
    policy::start_confirmations confirmations;

    GIVEN("a job whose caller cannot have returned yet")
    {
        bool const permitted = confirmations.may_start(1, sent, return_time - 1ms);
        // Guards against queries about jobs that cannot be elsewhere.
        THEN("nobody is asked")
        {
            CHECK(permitted);
            CHECK(confirmations.take_due(return_time).empty());
        }
    }
    GIVEN("an older job that waits for two entries")
    {
        CHECK_FALSE(confirmations.may_start(1, sent, return_time));
        REQUIRE(confirmations.take_due(return_time) == jobs {1});
        confirmations.begin_query(1, 7, {"entry.b", "entry.c"}, return_time);

        WHEN("only one entry has answered")
        {
            CHECK_FALSE(confirmations.record_reply("entry.b", 7, false));
            CHECK_FALSE(confirmations.record_reply("entry.b", 7, false));
            // Guards against an answer that counts twice, and against queries without a pause.
            THEN("it may not start, and is asked for again later")
            {
                CHECK_FALSE(confirmations.may_start(1, sent, return_time + 1ms));
                CHECK(confirmations.take_due(return_time + 249ms).empty());
                CHECK(confirmations.take_due(return_time + policy::confirmation_timeout)
                      == jobs {1});
            }
        }
        WHEN("both have answered that they do not run it")
        {
            CHECK_FALSE(confirmations.record_reply("entry.b", 7, false));
            CHECK(confirmations.record_reply("entry.c", 7, false) == 1);
            // Guards against statements that count after the others may have started the job.
            THEN("it may start for a limited time")
            {
                auto const end = return_time + policy::confirmation_validity;
                CHECK(confirmations.may_start(1, sent, end - 1ms));
                CHECK(confirmations.take_due(end - 1ms).empty());
                CHECK_FALSE(confirmations.may_start(1, sent, end));
                CHECK_FALSE(confirmations.contains(7));
            }
        }
        WHEN("one of them runs it")
        {
            CHECK_FALSE(confirmations.record_reply("entry.b", 7, true));
            CHECK_FALSE(confirmations.record_reply("entry.c", 7, false));
            // Guards against a job that starts beside its run at another entry.
            THEN("it may not start, and is asked for again after a pause")
            {
                CHECK_FALSE(confirmations.may_start(1, sent, return_time + 1ms));
                CHECK(confirmations.take_due(return_time + 49ms).empty());
                CHECK(confirmations.take_due(return_time + policy::confirmation_interval)
                      == jobs {1});
            }
        }
        WHEN("an earlier query is answered, and an entry answers that was not asked")
        {
            confirmations.begin_query(1, 8, {"entry.b"}, return_time + 250ms);
            CHECK_FALSE(confirmations.record_reply("entry.b", 7, false));
            CHECK_FALSE(confirmations.record_reply("entry.d", 8, false));
            // Guards against a late answer that is taken for one about the present.
            THEN("it may not start")
            {
                CHECK_FALSE(confirmations.may_start(1, sent, return_time + 251ms));
            }
        }
        WHEN("an entry does not answer for long")
        {
            auto const end = return_time + policy::confirmation_limit;
            CHECK(confirmations.take_expired(end - 1ms).empty());
            // Guards against callers that wait without a bound for an entry that is gone.
            THEN("the job is given up")
            {
                CHECK(confirmations.take_expired(end) == jobs {1});
                CHECK(confirmations.take_due(end).empty());
                CHECK_FALSE(confirmations.record_reply("entry.b", 7, false));
            }
        }
        WHEN("the job ends")
        {
            confirmations.forget(1);
            THEN("nobody is asked again")
            {
                CHECK_FALSE(confirmations.contains(7));
                CHECK(confirmations.take_due(return_time + 1s).empty());
            }
        }
    }
    GIVEN("more older jobs than are asked for in one interval")
    {
        for (std::uint64_t job = 0; job <= policy::max_jobs_asked; ++job)
            CHECK_FALSE(confirmations.may_start(job, sent, return_time + 1ms * job));
        auto const now = return_time + 100ms;

        // Guards against a burst of queries that keeps the entries from other work.
        THEN("the one that waits for the shortest time is asked for in the next interval")
        {
            auto const first = confirmations.take_due(now);
            REQUIRE(first.size() == policy::max_jobs_asked);
            for (auto const job : first)
                confirmations.begin_query(job, 100 + job, {"entry.b"}, now);
            CHECK(confirmations.take_due(now + 49ms).empty());
            CHECK(confirmations.take_due(now + policy::confirmation_interval)
                  == jobs {policy::max_jobs_asked});
        }
    }
}
