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
            known.record_view({entry}, now);
            // Guards against a closed link that is taken for the end of the entry's runs.
            THEN("it is known for as long as before")
            {
                REQUIRE(known.find("key", now + 1s));
                CHECK_FALSE(known.find("key", now + 1s)->connected);
            }
            AND_WHEN("the entry leaves the view")
            {
                known.record_view({{"entry.a", 8}}, now - 500ms);
                // Guards against callers that wait for the deadline of a job whose entry is gone.
                THEN("it is known until the runs of a lost entry have ended")
                {
                    CHECK(known.find("key", now - 500ms + policy::longest_run_end - 1ms));
                    CHECK_FALSE(known.find("key", now - 500ms + policy::longest_run_end));
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

SCENARIO("an entry queries another one for contact", "[policy][resubmission]")
{
    GIVEN("an entry of the view that has answered a query")
    {
        using ids = std::vector<protocol::process_id>;
        protocol::process_id const entry {"entry.a", 7};
        base::steady_time const now {1000s};
        policy::entry_contacts contacts;
        contacts.update({entry}, {"entry.a"}, now);
        contacts.record_query(1, now);
        CHECK(contacts.unheard(now) == ids {entry});
        REQUIRE(contacts.record_answer("entry.a", 1));

        WHEN("the answer was late")
        {
            // Guards against a time of contact that is taken from the arrival of the answer.
            THEN("contact counts from the sending of the query")
            {
                CHECK(contacts.unheard(now + policy::contact_limit).empty());
                CHECK(contacts.unheard(now + policy::contact_limit + 1ms) == ids {entry});
            }
        }
        WHEN("a reply to something else arrives")
        {
            THEN("it is not taken for contact")
            {
                CHECK_FALSE(contacts.record_answer("entry.a", 2));
            }
        }
        WHEN("a new incarnation states itself before the view names it")
        {
            protocol::process_id const restarted {"entry.a", 8};
            contacts.record_incarnation(restarted);
            contacts.record_query(2, now + 1s);
            CHECK(contacts.record_answer("entry.a", 2));
            contacts.update({entry}, {"entry.a"}, now + 1s);
            // Guards against runs of the former incarnation that count as known.
            THEN("only the new one has been heard")
            {
                CHECK(contacts.unheard(now + 1s) == ids {entry});
            }
        }
        WHEN("it has left the view and has no link")
        {
            contacts.update({}, {}, now + 1s);
            contacts.update({}, {}, now + 1s + policy::longest_run_end - 1ms);
            CHECK(contacts.unheard(now + 3s) == ids {entry});
            contacts.update({}, {}, now + 1s + policy::longest_run_end);
            THEN("it is forgotten once its runs have ended")
            {
                CHECK(contacts.unheard(now + 3s).empty());
            }
        }
        WHEN("an entry is linked and has not stated its incarnation")
        {
            contacts.update({entry}, {"entry.a", "entry.b"}, now);
            CHECK(contacts.unheard(now) == ids {{"entry.b", 0}});
            contacts.record_incarnation({"entry.b", 9});
            // Guards against a second record that is never heard.
            THEN("the statement completes its record")
            {
                CHECK(contacts.unheard(now) == ids {{"entry.b", 9}});
            }
        }
    }
}

SCENARIO("agents are searched for the runs of an unheard entry", "[policy][resubmission]")
{
    GIVEN("a round that two agents are asked in")
    {
        using step = policy::run_search::step;
        protocol::process_id const first {"agent.1", 1};
        protocol::process_id const second {"agent.2", 1};
        base::steady_time const now {1000s};
        policy::run_search search({{"entry.a", 7}}, false);
        CHECK(search.next(now) == step::ask);
        search.begin_round(1, {first, second}, now);
        protocol::task_outcome running;
        running.kind = protocol::outcome_kind::running;
        protocol::task_outcome cancelled;
        cancelled.kind = protocol::outcome_kind::cancelled;
        protocol::task_outcome unknown;
        search.record_answer(first, {}, now);
        CHECK(search.next(now) == step::wait);

        WHEN("no agent knows the job")
        {
            search.record_answer(second, {}, now);
            THEN("nothing of it runs")
            {
                CHECK(search.next(now) == step::ruled_out);
            }
        }
        WHEN("one agent does not answer")
        {
            // Guards against silence that is taken for an answer.
            THEN("it is asked again")
            {
                CHECK(search.next(now + 250ms) == step::ask);
            }
        }
        WHEN("an agent has stopped a run of it")
        {
            search.record_answer(second, {cancelled}, now);
            // Guards against a task that the other entry starts after the agent was asked.
            THEN("the job is fenced first")
            {
                CHECK(search.next(now) == step::ask);
                CHECK(search.fences());
                search.begin_round(2, {first, second}, now);
                search.record_answer(first, {}, now);
                search.record_answer(second, {cancelled}, now);
                CHECK(search.next(now) == step::ruled_out);
            }
        }
        WHEN("an agent with a run becomes silent")
        {
            search.record_answer(second, {running}, now);
            search.begin_round(2, {first}, now);
            search.record_answer(first, {}, now);
            // Guards against the loss of an agent that is taken for the end of its runs, which the
            // other entry may still permit.
            THEN("its run is waited for")
            {
                CHECK(search.next(now) == step::wait);
                CHECK(search.next(now + 5s) == step::ask);
            }
            AND_WHEN("it returns as a new incarnation")
            {
                protocol::process_id const restarted {"agent.2", 2};
                search.begin_round(3, {first, restarted}, now + 1s);
                search.record_answer(first, {}, now + 1s);
                search.record_answer(restarted, {}, now + 1s);
                THEN("the run has ended")
                {
                    CHECK(search.next(now + 1s) == step::ruled_out);
                }
            }
        }
        WHEN("an agent does not know how a run has ended")
        {
            search.record_answer(second, {unknown}, now);
            search.begin_round(2, {first, second}, now);
            search.record_answer(first, {}, now);
            search.record_answer(second, {unknown}, now);
            THEN("the longest time of such a run is waited for")
            {
                CHECK(search.next(now + policy::unconfirmed_run_limit - 1ms) == step::ask);
                CHECK(search.next(now + policy::unconfirmed_run_limit) == step::ruled_out);
            }
        }
    }
}
