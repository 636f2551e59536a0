// Runs on a leased worker: what is known of a run when orders or answers are lost.

#include <catch2/catch.hpp>

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "agent/leased_runner.h"

namespace {

using namespace greengagehead;
using namespace greengagehead::agent;
using protocol::outcome_kind;
using std::chrono::milliseconds;

/// A worker whose answers the test gives by hand.
struct scripted_worker : leased_worker {
    struct start_call {
        call_context terms;
        worker_run run;
        worker_clock lease_until;
        std::function<void(worker_reply const&)> done;
    };
    struct stop_call {
        worker_run run;
        std::function<void(worker_reply const&)> done;
    };
    struct report_call {
        call_context terms;
        worker_clock lease_until;
        std::uint64_t seen_end;
        std::function<void(worker_report const&)> done;
    };

    void start(call_context const& terms, worker_run const& run,
               protocol::task_start const& /*task*/, worker_clock lease_until,
               std::function<void(worker_reply const&)> done) override
    {
        this->starts.push_back({terms, run, lease_until, std::move(done)});
    }
    void stop(call_context const& /*terms*/, worker_run const& run,
              std::function<void(worker_reply const&)> done) override
    {
        this->stops.push_back({run, std::move(done)});
    }
    void report(call_context const& terms, worker_clock lease_until, std::uint64_t seen_end,
                milliseconds /*wait*/, std::function<void(worker_report const&)> done) override
    {
        this->reports.push_back({terms, lease_until, seen_end, std::move(done)});
    }

    std::vector<start_call> starts;
    std::vector<stop_call> stops;
    std::vector<report_call> reports;
};

struct runner_fixture {
    runner_fixture() : runner(worker, {}, 100, [this] { return this->now; })
    {
        this->runner.announced({"i-1", 5}, worker_clock(10'000));
        this->pass(milliseconds(10));
        this->answer_report({});
    }

    void pass(milliseconds duration)
    {
        for (auto const end = this->now + duration; this->now < end;) {
            this->now += milliseconds(10);
            this->runner.tick();
        }
    }
    void start(std::string const& name, std::uint32_t attempt = 1)
    {
        run_request request;
        request.task.task = {"job", 0};
        request.task.name = name;
        request.task.attempt = attempt;
        request.task.expected = milliseconds(200);
        request.start_before = this->now + milliseconds(1000);
        this->runner.start(request, [this](run_result result, base::steady_time) {
            this->results.push_back(std::move(result));
        });
    }
    [[nodiscard]] worker_reply reply(worker_answer answer) const
    {
        auto const passed = std::chrono::duration_cast<worker_clock>(this->now.time_since_epoch());
        return {answer, worker_clock(10'000) + passed - std::chrono::hours(1)};
    }
    /// Answers the last report.
    void answer_report(std::vector<worker_run> running, std::vector<ended_run> ended = {})
    {
        std::vector<listed_run> rows;
        for (auto const& run : running)
            rows.push_back({run, this->percent});
        auto const done = std::exchange(this->worker.reports.back().done, nullptr);
        done({this->reply(worker_answer::accepted), std::move(rows), std::move(ended)});
    }

    base::steady_time now {std::chrono::hours(1)};
    scripted_worker worker;
    leased_runner runner;
    std::vector<run_result> results;
    std::uint32_t percent = 0; ///< Progress of the runs that `answer_report` lists.
};

} // namespace

SCENARIO("a run on a leased worker ends", "[agent][leased]")
{
    GIVEN("a run that the worker has accepted")
    {
        runner_fixture world;
        world.start("a.0.0.0");
        REQUIRE(world.worker.starts.size() == 1);
        auto const run = world.worker.starts.front().run;
        world.worker.starts.front().done(world.reply(worker_answer::accepted));
        world.pass(milliseconds(10));

        WHEN("the worker lists its end as done")
        {
            world.answer_report({}, {{1, run, run_end_reason::done}});
            THEN("the task has succeeded, and the end is acknowledged with the next report")
            {
                REQUIRE(world.results.size() == 1);
                CHECK(world.results.front().kind == outcome_kind::succeeded);
                world.pass(milliseconds(500));
                CHECK(world.worker.reports.back().seen_end == 1);
            }
        }
        WHEN("the worker lists its lease as lapsed")
        {
            world.answer_report({}, {{1, run, run_end_reason::lease_expired}});
            // Guards against an expired run being counted as a failure of the task.
            THEN("the run is over without a result")
            {
                REQUIRE(world.results.size() == 1);
                CHECK(world.results.front().kind == outcome_kind::cancelled);
            }
        }
        WHEN("the worker restarts under the same id")
        {
            world.runner.announced({"i-1", 6}, worker_clock(0));
            // Guards against waiting for a run that nobody executes any more.
            THEN("the run is over")
            {
                REQUIRE(world.results.size() == 1);
                CHECK(world.results.front().kind == outcome_kind::unknown);
            }
        }
        WHEN("a delayed announcement of an earlier life arrives")
        {
            world.runner.announced({"i-1", 4}, worker_clock(99'000));
            THEN("the run goes on")
            {
                CHECK(world.results.empty());
            }
        }
        WHEN("the worker is silent")
        {
            world.pass(milliseconds(900));
            THEN("nothing is known before its leases have lapsed")
            {
                CHECK(world.results.empty());
            }
            AND_WHEN("every lease has lapsed by the slowest clock")
            {
                world.pass(milliseconds(1200));
                // Guards against a second run beside one that still holds its lease.
                THEN("the run is over")
                {
                    REQUIRE(world.results.size() == 1);
                    CHECK(world.results.front().kind == outcome_kind::unknown);
                    CHECK_FALSE(world.runner.reachable());
                }
            }
        }
    }
}

SCENARIO("a start is not answered", "[agent][leased]")
{
    GIVEN("a start whose answer was lost")
    {
        runner_fixture world;
        world.start("a.0.0.0");
        auto const run = world.worker.starts.front().run;
        world.worker.starts.front().done({worker_answer::no_answer, {}});
        REQUIRE(world.worker.reports.back().done);

        WHEN("the worker lists the run")
        {
            world.answer_report({run});
            // Guards against stopping work that goes well.
            THEN("it goes on")
            {
                CHECK(world.worker.stops.empty());
            }
        }
        WHEN("the worker does not list the run")
        {
            world.answer_report({});
            THEN("the run is stopped, and is not over before the worker has confirmed that")
            {
                REQUIRE(world.worker.stops.size() == 1);
                CHECK(world.worker.stops.front().run == run);
                CHECK(world.results.empty());
            }
            AND_WHEN("the worker has confirmed the stop and lists nothing")
            {
                world.worker.stops.front().done(world.reply(worker_answer::accepted));
                world.pass(milliseconds(20));
                world.answer_report({});
                // Guards against a start that is carried out seconds later, beside another run.
                THEN("the run is over and may be repeated elsewhere")
                {
                    REQUIRE(world.results.size() == 1);
                    CHECK(world.results.front().kind == outcome_kind::cancelled);
                }
            }
            AND_WHEN("the stop is not answered either")
            {
                world.worker.stops.front().done({worker_answer::no_answer, {}});
                world.pass(milliseconds(40));
                THEN("it is sent again")
                {
                    CHECK(world.worker.stops.size() == 2);
                }
            }
        }
    }
}

SCENARIO("a start is not answered at once", "[agent][leased]")
{
    GIVEN("a start that is under way for longer than a worker needs")
    {
        runner_fixture world;
        world.start("a.0.0.0");
        world.pass(milliseconds(20));
        auto const run = world.worker.starts.front().run;

        // Guards against short tasks that miss their target because one command was lost.
        THEN("the same order is sent again")
        {
            REQUIRE(world.worker.starts.size() == 2);
            CHECK(world.worker.starts.back().run == run);
        }
        WHEN("both are accepted")
        {
            world.worker.starts.back().done(world.reply(worker_answer::accepted));
            world.worker.starts.front().done(world.reply(worker_answer::accepted));
            world.pass(milliseconds(30));
            world.answer_report({}, {{1, run, run_end_reason::done}});
            THEN("the task has one result")
            {
                REQUIRE(world.results.size() == 1);
                CHECK(world.results.front().kind == outcome_kind::succeeded);
            }
        }
        // Guards against a run that is reported as not started while it runs.
        WHEN("the first is accepted and the second finds no room")
        {
            world.worker.starts.front().done(world.reply(worker_answer::accepted));
            world.worker.starts.back().done(world.reply(worker_answer::no_capacity));
            THEN("the run goes on")
            {
                CHECK(world.results.empty());
                CHECK(world.worker.stops.empty());
            }
        }
        // Guards against a second run elsewhere beside a command that is carried out late.
        WHEN("the second finds no room and the first stays unanswered")
        {
            world.worker.starts.back().done(world.reply(worker_answer::no_capacity));
            THEN("the run is stopped before it counts as over")
            {
                CHECK(world.results.empty());
                REQUIRE(world.worker.stops.size() == 1);
                world.worker.stops.front().done(world.reply(worker_answer::accepted));
                world.pass(milliseconds(30));
                world.answer_report({});
                REQUIRE(world.results.size() == 1);
                CHECK(world.results.front().kind == outcome_kind::cancelled);
            }
        }
        // Guards against a second run after the first one has ended.
        WHEN("the run of the first has ended when the second arrives")
        {
            world.worker.starts.back().done(world.reply(worker_answer::stale_run));
            THEN("no higher run is started, and the end is used")
            {
                CHECK(world.worker.starts.size() == 2);
                world.pass(milliseconds(30));
                world.answer_report({}, {{1, run, run_end_reason::done}});
                REQUIRE(world.results.size() == 1);
                CHECK(world.results.front().kind == outcome_kind::succeeded);
            }
        }
    }
}

SCENARIO("a report is not answered", "[agent][leased]")
{
    GIVEN("a run, and a report that waits for its end")
    {
        runner_fixture world;
        world.start("a.0.0.0");
        auto const run = world.worker.starts.front().run;
        world.worker.starts.front().done(world.reply(worker_answer::accepted));
        world.pass(milliseconds(10));
        auto const sent = world.worker.reports.size();

        // Guards against slots that stay in use because the answer with their ends was lost.
        WHEN("the answer does not come")
        {
            world.pass(milliseconds(40));
            THEN("the worker is asked again, and the end is used")
            {
                REQUIRE(world.worker.reports.size() > sent);
                world.answer_report({}, {{1, run, run_end_reason::done}});
                REQUIRE(world.results.size() == 1);
            }
        }
        // Guards against orders that stop a run which has ended by itself.
        WHEN("an answer that lists the run arrives after its end")
        {
            world.pass(milliseconds(40));
            world.answer_report({}, {{1, run, run_end_reason::done}});
            world.worker.reports[sent - 1].done(
                {world.reply(worker_answer::accepted), {{run, 90}}, {}});
            THEN("nothing is stopped")
            {
                CHECK(world.worker.stops.empty());
            }
        }
    }
}

SCENARIO("a run makes little progress", "[agent][leased]")
{
    GIVEN("a run that is expected to take 200 ms")
    {
        runner_fixture world;
        std::vector<milliseconds> lags;
        world.runner.lag_detected.connect(
            [&lags](auto const&, milliseconds remaining) { lags.push_back(remaining); });
        world.start("a.0.0.0");
        auto const run = world.worker.starts.front().run;
        world.worker.starts.front().done(world.reply(worker_answer::accepted));
        auto const pass_with = [&](std::uint32_t percent) {
            world.percent = percent;
            world.pass(milliseconds(40));
            world.answer_report({run});
        };

        // Guards against healthy runs that start anew elsewhere.
        WHEN("it is four times as long as expected")
        {
            for (std::uint32_t percent = 5; percent <= 95; percent += 5)
                pass_with(percent);
            THEN("it does not lag")
            {
                CHECK(lags.empty());
            }
        }
        // Guards against a run that is judged by a report from its first moments.
        WHEN("the first report comes at once")
        {
            pass_with(0);
            THEN("it does not lag")
            {
                CHECK(lags.empty());
            }
        }
        // Guards against answers that wait for a slow worker while others are free.
        WHEN("its worker is ten times slower")
        {
            for (std::uint32_t percent = 2; percent <= 8; percent += 2)
                pass_with(percent);
            THEN("it lags, and is reported once")
            {
                REQUIRE(lags.size() == 1);
                CHECK(lags.front() > milliseconds(1000));
            }
        }
        WHEN("it stops at one half")
        {
            pass_with(25);
            pass_with(50);
            for (int step = 0; step < 5; ++step)
                pass_with(50);
            THEN("it lags")
            {
                CHECK(lags.size() == 1);
            }
        }
    }
}

SCENARIO("a worker refuses a start", "[agent][leased]")
{
    GIVEN("a start under way")
    {
        runner_fixture world;
        world.start("a.0.0.0");

        WHEN("the fencing token is too low")
        {
            auto const fence = world.worker.starts.front().terms.fence;
            world.worker.starts.front().done(world.reply(worker_answer::stale_fence));
            // Guards against an agent whose clock was set back being refused for good.
            THEN("the start is sent again with a higher one")
            {
                REQUIRE(world.worker.starts.size() == 2);
                CHECK(world.worker.starts.back().terms.fence > fence);
            }
        }
        WHEN("the worker has seen a higher run of the task")
        {
            auto const number = world.worker.starts.front().run.number;
            world.worker.starts.front().done(world.reply(worker_answer::stale_run));
            THEN("the start is sent again as a later run")
            {
                REQUIRE(world.worker.starts.size() == 2);
                CHECK(world.worker.starts.back().run.number > number);
            }
        }
        WHEN("there is no room")
        {
            world.worker.starts.front().done(world.reply(worker_answer::no_capacity));
            THEN("the task has not run")
            {
                REQUIRE(world.results.size() == 1);
                CHECK(world.results.front().kind == outcome_kind::not_run);
            }
        }
    }
}

SCENARIO("an agent starts beside a worker that already runs something", "[agent][leased]")
{
    GIVEN("a worker with a run of an earlier life of the agent")
    {
        base::steady_time now {std::chrono::hours(1)};
        scripted_worker worker;
        leased_runner runner(worker, {}, 100, [&now] { return now; });
        runner.tick();
        REQUIRE(worker.reports.size() == 1);
        worker.reports.back().done(
            {{worker_answer::accepted, worker_clock(7)}, {{"old.0.0.0", 3}}, {}});

        // Guards against entries starting these tasks elsewhere while they still run here.
        THEN("the run is stopped, and the agent takes no work yet")
        {
            REQUIRE(worker.stops.size() == 1);
            CHECK(worker.stops.front().run == worker_run {"old.0.0.0", 3});
            CHECK_FALSE(runner.settled());
        }
        WHEN("the worker lists nothing any more")
        {
            now += milliseconds(10);
            runner.tick();
            worker.reports.back().done({{worker_answer::accepted, worker_clock(60)}, {}, {}});
            THEN("the agent takes work")
            {
                CHECK(runner.settled());
            }
        }
        WHEN("the worker does not answer until its leases have lapsed")
        {
            now += milliseconds(1020);
            runner.tick();
            THEN("the agent takes work")
            {
                CHECK(runner.settled());
            }
        }
    }
}
