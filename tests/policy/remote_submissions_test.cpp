// What an entry keeps of other entries' announcements, and what it does with a resubmission.

#include <catch2/catch.hpp>

#include "policy/remote_submissions.h"

namespace {

using namespace greengagehead;
using namespace std::chrono_literals;
using policy::next_step;
using policy::resubmission_step;
using protocol::job_state;
using protocol::task_state;

protocol::job_answer make_answer(job_state state, std::vector<task_state> const& tasks)
{
    protocol::job_answer answer;
    answer.state = state;
    for (auto const task : tasks)
        answer.tasks.push_back({static_cast<std::uint32_t>(answer.tasks.size()), task, {}});
    return answer;
}

} // namespace

SCENARIO("another entry announces a submission", "[policy][resubmission]")
{
    GIVEN("a submission with one second left")
    {
        protocol::process_id const entry {"entry.a", 7};
        base::steady_time const now {1000s};
        policy::remote_submissions known;
        protocol::submissions_running::submission const announced {"key", 400ms, 1s, false};
        known.record(entry, announced, now);

        WHEN("its deadline has passed and its runs may still be stopping")
        {
            // Guards against runs that end later than their job.
            THEN("it is still known")
            {
                REQUIRE(known.find("key", now + 1s + policy::longest_run_end - 1ms));
                CHECK(known.find("key", now)->entry == entry);
                CHECK_FALSE(known.find("key", now + 1s + policy::longest_run_end));
            }
        }
        WHEN("the link to the entry closes")
        {
            known.record_disconnected("entry.a");
            known.record_view({entry});
            // Guards against a closed link that is taken for the end of the entry's runs.
            THEN("it is known for as long as before")
            {
                REQUIRE(known.find("key", now + 1s));
                CHECK_FALSE(known.find("key", now + 1s)->connected);
                CHECK_FALSE(known.find("key", now + 1s)->out_of_contact);
            }
            AND_WHEN("the entry leaves the view")
            {
                known.record_view({{"entry.a", 8}});
                // Guards against a view that is taken for the end of the entry's runs.
                THEN("it is known for as long as before")
                {
                    REQUIRE(known.find("key", now + 1s + policy::longest_run_end - 1ms));
                }
                // Guards against callers that wait for the deadline of a job whose entry is gone.
                THEN("the agents are to be asked for its runs, until the view lists it again")
                {
                    CHECK(known.find("key", now)->out_of_contact);
                    known.record_view({entry});
                    CHECK_FALSE(known.find("key", now)->out_of_contact);
                }
            }
            AND_WHEN("the entry announces it again")
            {
                known.record(entry, announced, now + 500ms);
                THEN("it is connected")
                {
                    CHECK(known.find("key", now + 500ms)->connected);
                }
            }
        }
        WHEN("the entry only holds another one")
        {
            known.record(entry, {"other key", 0ms, 1s, true}, now);
            // Guards against a hold that hides runs of an earlier submission.
            THEN("what it runs is still known")
            {
                CHECK(known.find("key", now));
            }
            // Guards against holders that ask each other, and against two that start together.
            THEN("it runs nowhere, and the later holder starts it")
            {
                CHECK_FALSE(known.find("other key", now));
                CHECK(known.has_newer_holder("other key", now - 1s, "entry.b", now));
                CHECK_FALSE(known.has_newer_holder("other key", now + 1s, "entry.b", now));
                CHECK_FALSE(known.has_newer_holder("other key", now, "entry.b", now));
                CHECK(known.has_newer_holder("other key", now, "entry.0", now));
            }
            AND_WHEN("it gives the submission up")
            {
                known.record(entry, {"other key", 0ms, 0ms, true}, now);
                THEN("it is forgotten")
                {
                    CHECK_FALSE(known.has_newer_holder("other key", now - 1s, "entry.b", now));
                }
            }
        }
        WHEN("another incarnation of the entry says that it does not know the job")
        {
            known.record_ended({"entry.a", 8}, "key");
            // Guards against a statement that is about another incarnation.
            THEN("the submission is still known")
            {
                CHECK(known.find("key", now));
            }
        }
        WHEN("it is forgotten")
        {
            known.expire(now + 10s);
            THEN("nothing is kept")
            {
                CHECK(known.empty());
            }
        }
    }
}

SCENARIO("callers cancel submissions", "[policy][resubmission]")
{
    base::steady_time const now {1000s};
    policy::remote_submissions known;

    GIVEN("as many cancellations as are remembered")
    {
        for (std::size_t i = 0; i < policy::max_cancellations; ++i)
            known.record_cancelled("key" + std::to_string(i), {"recife", "s"},
                                   now + std::chrono::microseconds(i));
        auto const later = now + 1s;

        WHEN("another submission is cancelled")
        {
            known.record_cancelled("other key", {"recife", "s"}, later);
            // Guards against memory that grows with the number of cancelled jobs.
            THEN("the oldest one is forgotten")
            {
                CHECK(known.cancelled("other key", later) != nullptr);
                CHECK(known.cancelled("key0", later) == nullptr);
                CHECK(known.cancelled("key1", later) != nullptr);
                CHECK(known.cancelled_here(later).size() == policy::max_cancellations);
            }
        }
        WHEN("one of them is cancelled again")
        {
            known.record_cancelled("key0", {}, later);
            // Guards against a notice of another entry that hides the name, which the entry that
            // runs the job may need.
            THEN("nothing is forgotten, and its time begins again")
            {
                CHECK(known.cancelled_here(later).size() == policy::max_cancellations);
                auto const end = later + policy::cancellation_memory;
                REQUIRE(known.cancelled("key0", end - 1ms) != nullptr);
                CHECK(known.cancelled("key0", end - 1ms)->submission == "s");
                CHECK(known.cancelled("key0", end) == nullptr);
            }
        }
    }
    GIVEN("a submission that was cancelled at another entry")
    {
        known.record_cancelled("key", {}, now);

        // Guards against a cancellation that entries tell each other for ever.
        THEN("it is refused here, and not passed on")
        {
            CHECK(known.cancelled("key", now) != nullptr);
            CHECK(known.cancelled_here(now).empty());
        }
    }
}

SCENARIO("a caller sends a job to a second entry", "[policy][resubmission]")
{
    GIVEN("the state of the job at the first entry")
    {
        THEN("a job in progress serves both callers")
        {
            CHECK(next_step(nullptr) == resubmission_step::start_here);
            auto const running = make_answer(job_state::running, {task_state::starting});
            CHECK(next_step(&running) == resubmission_step::ask_again);
        }
        THEN("a final answer serves both callers")
        {
            auto const complete = make_answer(job_state::complete, {task_state::succeeded});
            auto const failed
                = make_answer(job_state::failed, {task_state::failed, task_state::cancelled});
            auto const cancelled = make_answer(job_state::cancelled, {task_state::cancelled});
            CHECK(next_step(&complete) == resubmission_step::answer);
            CHECK(next_step(&failed) == resubmission_step::answer);
            CHECK(next_step(&cancelled) == resubmission_step::answer);
        }
        // Guards against a second run beside one that was only asked to stop.
        THEN("a job that has ended is started elsewhere once its runs have ended")
        {
            auto abandoned = make_answer(job_state::cancelled,
                                         {task_state::cancelled, task_state::may_have_run});
            abandoned.failure
                = base::error {base::error_code::abandoned, base::error_step::run, {}, {}};
            CHECK(next_step(&abandoned) == resubmission_step::ask_again);
            abandoned.tasks.back().state = task_state::cancelled;
            CHECK(next_step(&abandoned) == resubmission_step::start_here);
            auto const refused = make_answer(job_state::refused, {task_state::not_run});
            CHECK(next_step(&refused) == resubmission_step::start_here);
        }
    }
}

SCENARIO("an entry is heard after a restart", "[policy][resubmission]")
{
    GIVEN("an incarnation that was heard, and submissions of it and of the one before")
    {
        protocol::process_id const former {"entry.a", 7};
        protocol::process_id const present {"entry.a", 8};
        base::steady_time const now {1000s};
        policy::remote_submissions known;
        auto const replaced
            = [&](std::string const& key) { return known.find(key, now)->replaced; };
        known.record(former, {"early", 400ms, 1s, false}, now);
        known.record_incarnation(present);
        known.record(present, {"own", 0ms, 1s, false}, now);
        // As a witness states it that has not heard of the restart yet.
        known.record_claim("late", {former, 3}, false, now, now);

        // Guards against callers that wait for the runs of a process that has ended.
        THEN("those of the former one are replaced once the entry is heard again")
        {
            CHECK(replaced("early"));
            CHECK_FALSE(replaced("late"));
            known.record_incarnation(present);
            CHECK(replaced("late"));
            CHECK_FALSE(replaced("own"));
        }
        // Guards against taking the runs of a process for ended because of an older one.
        THEN("those of a later one are kept when it is heard")
        {
            known.record_claim("next", {{"entry.a", 9}, 4}, true, now, now);
            known.record_incarnation({"entry.a", 9});
            CHECK_FALSE(replaced("next"));
            CHECK(replaced("own"));
        }
    }
}
