// Runs on a leased worker when commands or answers are lost, late or out of order.

#include <catch2/catch.hpp>

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "agent/leased_runner.h"

namespace {

using namespace greengagehead;
using namespace greengagehead::agent;
using protocol::outcome_kind;
using std::chrono::milliseconds;

/// Records the calls of the runner. The test answers them explicitly.
struct scripted_worker : leased_worker {
    struct start_call {
        call_context context;
        worker_run run;
        worker_clock lease_until;
        std::function<void(worker_reply const&)> done;
    };
    struct stop_call {
        call_context context;
        worker_run run;
        std::function<void(worker_reply const&)> done;
    };
    struct report_call {
        call_context context;
        worker_clock lease_until;
        std::uint64_t last_seen_end;
        std::function<void(worker_report const&)> done;
    };

    void start(call_context const& context, worker_run const& run,
               protocol::task_start const& /*task*/, worker_clock lease_until,
               std::function<void(worker_reply const&)> done) override
    {
        this->starts.push_back({context, run, lease_until, std::move(done)});
    }
    void stop(call_context const& context, worker_run const& run,
              std::function<void(worker_reply const&)> done) override
    {
        this->stops.push_back({context, run, std::move(done)});
    }
    void report(call_context const& context, worker_clock lease_until, std::uint64_t last_seen_end,
                milliseconds /*wait*/, std::function<void(worker_report const&)> done) override
    {
        this->reports.push_back({context, lease_until, last_seen_end, std::move(done)});
    }

    std::vector<start_call> starts;
    std::vector<stop_call> stops;
    std::vector<report_call> reports;
};

struct runner_fixture {
    /// @param token_accepted whether the worker has accepted a call with the fencing token.
    explicit runner_fixture(bool token_accepted = true)
        : runner(worker, {}, 100, [this] { return this->now; })
    {
        this->runner.announced({"i-1", 5}, worker_clock(10'000));
        this->advance(milliseconds(10));
        if (token_accepted)
            this->answer_report({});
        // The leases of a former incarnation of the agent expire.
        this->advance(milliseconds(1020));
        if (token_accepted)
            this->answer_report({});
    }

    void advance(milliseconds duration)
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
            if (auto const next = std::exchange(this->start_when_lost, {}); !next.empty())
                this->start(next);
        });
    }
    /// Since the test began.
    [[nodiscard]] milliseconds passed() const
    {
        return std::chrono::duration_cast<milliseconds>(this->now.time_since_epoch()
                                                        - std::chrono::hours(1));
    }
    [[nodiscard]] worker_reply reply(worker_answer answer) const
    {
        return {answer, worker_clock(10'000) + this->passed() - this->answer_age, {}};
    }
    void refuse(scripted_worker::report_call const& report) const
    {
        auto const done = report.done;
        REQUIRE(done);
        done({this->reply(worker_answer::stale_fence), {}, {}});
    }
    /// Answers the last report request.
    void answer_report(std::vector<worker_run> running, std::vector<ended_run> ended = {})
    {
        REQUIRE(this->worker.reports.back().done);
        std::vector<listed_run> rows;
        for (auto const& run : running)
            rows.push_back({run, this->percent});
        auto const done = std::exchange(this->worker.reports.back().done, nullptr);
        auto answered = this->reply(worker_answer::accepted);
        answered.born = this->stated_born;
        done({answered, std::move(rows), std::move(ended)});
    }

    /// The worker has just confirmed a stop, and lists nothing. The only run ends when no stop can
    /// take any longer.
    void check_ended_after_stop(outcome_kind kind)
    {
        for (int step = 0; step < 4; ++step) {
            this->advance(milliseconds(20));
            this->answer_report({});
            CHECK(this->results.empty());
        }
        for (int step = 0; step < 2; ++step) {
            this->advance(milliseconds(20));
            this->answer_report({});
        }
        REQUIRE(this->results.size() == 1);
        CHECK(this->results.front().kind == kind);
    }

    base::steady_time now {std::chrono::hours(1)};
    scripted_worker worker;
    leased_runner runner;
    std::vector<run_result> results;
    milliseconds answer_age {0}; ///< Since the worker wrote the answers of `reply`.
    std::uint32_t percent = 0; ///< Progress of the runs that `answer_report` lists.
    std::string start_when_lost; ///< Task to start during the next result.
    std::optional<std::uint64_t> stated_born; ///< In the answers of `answer_report`.
};

} // namespace

SCENARIO("a run on a leased worker ends", "[agent][leased]")
{
    GIVEN("a run that the worker has accepted")
    {
        runner_fixture fixture;
        fixture.start("a.0.0.0");
        REQUIRE(fixture.worker.starts.size() == 1);
        auto const run = fixture.worker.starts.front().run;
        fixture.worker.starts.front().done(fixture.reply(worker_answer::accepted));
        fixture.advance(milliseconds(10));

        WHEN("the worker lists its end as done")
        {
            fixture.answer_report({}, {{1, run, run_end_reason::done}});
            THEN("the task has succeeded, and the end is acknowledged with the next report")
            {
                REQUIRE(fixture.results.size() == 1);
                CHECK(fixture.results.front().kind == outcome_kind::succeeded);
                fixture.advance(milliseconds(500));
                CHECK(fixture.worker.reports.back().last_seen_end == 1);
            }
        }
        WHEN("the worker reports that its lease expired")
        {
            fixture.answer_report({}, {{1, run, run_end_reason::lease_expired}});
            // Guards against an expired lease being counted as a failure of the task.
            THEN("the run is cancelled without a result")
            {
                REQUIRE(fixture.results.size() == 1);
                CHECK(fixture.results.front().kind == outcome_kind::cancelled);
            }
        }
        WHEN("a delayed announcement of an earlier incarnation arrives")
        {
            fixture.runner.announced({"i-1", 4}, worker_clock(99'000));
            THEN("the run goes on")
            {
                CHECK(fixture.results.empty());
            }
        }
        WHEN("the worker stops answering")
        {
            fixture.advance(milliseconds(900));
            THEN("the run does not end before its leases have expired")
            {
                CHECK(fixture.results.empty());
            }
            AND_WHEN("every lease has expired on the slowest possible clock")
            {
                fixture.advance(milliseconds(1200));
                // Guards against a second run while the first still holds its lease.
                THEN("the outcome of the run is unknown")
                {
                    REQUIRE(fixture.results.size() == 1);
                    CHECK(fixture.results.front().kind == outcome_kind::unknown);
                    CHECK_FALSE(fixture.runner.available());
                }
            }
        }
    }
}

SCENARIO("a start is not answered", "[agent][leased]")
{
    GIVEN("a start whose answer was lost")
    {
        runner_fixture fixture;
        fixture.start("a.0.0.0");
        auto const run = fixture.worker.starts.front().run;
        fixture.worker.starts.front().done({worker_answer::no_answer, {}, {}});
        REQUIRE(fixture.worker.reports.back().done);

        WHEN("the worker lists the run")
        {
            fixture.answer_report({run});
            // Guards against stopping a run that was started although the answer was lost.
            THEN("it is not stopped")
            {
                CHECK(fixture.worker.stops.empty());
            }
        }
        WHEN("the worker does not list the run")
        {
            fixture.answer_report({});
            THEN("the run is stopped, and does not end before the worker has confirmed that")
            {
                REQUIRE(fixture.worker.stops.size() == 1);
                CHECK(fixture.worker.stops.front().run == run);
                CHECK(fixture.results.empty());
            }
            AND_WHEN("the worker has confirmed the stop and lists nothing")
            {
                fixture.worker.stops.front().done(fixture.reply(worker_answer::accepted));
                // Guards against a start that is carried out seconds later, in parallel with
                // another run, and against a run that the worker is still stopping.
                THEN("the run is cancelled once a stop would have ended it")
                {
                    fixture.check_ended_after_stop(outcome_kind::cancelled);
                }
            }
            AND_WHEN("the stop is not answered either")
            {
                fixture.worker.stops.front().done({worker_answer::no_answer, {}, {}});
                fixture.advance(milliseconds(40));
                THEN("it is resent")
                {
                    CHECK(fixture.worker.stops.size() == 2);
                }
            }
        }
    }
}

SCENARIO("a start is not answered at once", "[agent][leased]")
{
    GIVEN("a start that has been in flight for longer than a worker needs")
    {
        runner_fixture fixture;
        fixture.start("a.0.0.0");
        fixture.advance(milliseconds(20));
        auto const run = fixture.worker.starts.front().run;

        // Guards against short tasks that miss their target because one command was lost.
        THEN("the same command is resent")
        {
            REQUIRE(fixture.worker.starts.size() == 2);
            CHECK(fixture.worker.starts.back().run == run);
        }
        WHEN("both are accepted")
        {
            fixture.worker.starts.back().done(fixture.reply(worker_answer::accepted));
            fixture.worker.starts.front().done(fixture.reply(worker_answer::accepted));
            fixture.advance(milliseconds(30));
            fixture.answer_report({}, {{1, run, run_end_reason::done}});
            THEN("the task has one result")
            {
                REQUIRE(fixture.results.size() == 1);
                CHECK(fixture.results.front().kind == outcome_kind::succeeded);
            }
        }
        // Guards against a running task being reported as not run.
        WHEN("the first is accepted and the second is refused for lack of capacity")
        {
            fixture.worker.starts.front().done(fixture.reply(worker_answer::accepted));
            fixture.worker.starts.back().done(fixture.reply(worker_answer::no_capacity));
            THEN("the run goes on")
            {
                CHECK(fixture.results.empty());
                CHECK(fixture.worker.stops.empty());
            }
        }
        // Guards against a second run elsewhere while the first command is carried out late.
        WHEN("the second is refused for lack of capacity and the first stays unanswered")
        {
            fixture.worker.starts.back().done(fixture.reply(worker_answer::no_capacity));
            THEN("the run is stopped before it counts as ended")
            {
                CHECK(fixture.results.empty());
                REQUIRE(fixture.worker.stops.size() == 1);
                fixture.worker.stops.front().done(fixture.reply(worker_answer::accepted));
                fixture.check_ended_after_stop(outcome_kind::cancelled);
            }
        }
        // Guards against a second run after the first one has ended.
        WHEN("the run of the first has ended when the second arrives")
        {
            fixture.worker.starts.back().done(fixture.reply(worker_answer::stale_run));
            THEN("no run with a higher number is started, and the reported end is used")
            {
                CHECK(fixture.worker.starts.size() == 2);
                fixture.advance(milliseconds(30));
                fixture.answer_report({}, {{1, run, run_end_reason::done}});
                REQUIRE(fixture.results.size() == 1);
                CHECK(fixture.results.front().kind == outcome_kind::succeeded);
            }
        }
    }
}

SCENARIO("a report is not answered", "[agent][leased]")
{
    GIVEN("a run, and a report that the worker holds back until its end")
    {
        runner_fixture fixture;
        fixture.start("a.0.0.0");
        auto const run = fixture.worker.starts.front().run;
        fixture.worker.starts.front().done(fixture.reply(worker_answer::accepted));
        fixture.advance(milliseconds(10));
        auto const sent = fixture.worker.reports.size();

        // Guards against slots that stay in use because the answer that reports the end was lost.
        WHEN("the answer is lost")
        {
            fixture.advance(milliseconds(40));
            THEN("another report is requested, and the reported end is used")
            {
                REQUIRE(fixture.worker.reports.size() > sent);
                fixture.answer_report({}, {{1, run, run_end_reason::done}});
                REQUIRE(fixture.results.size() == 1);
            }
        }
        // Guards against stopping a run which has already ended.
        WHEN("an older report that lists the run arrives after its end")
        {
            fixture.advance(milliseconds(40));
            fixture.answer_report({}, {{1, run, run_end_reason::done}});
            fixture.worker.reports[sent - 1].done(
                {fixture.reply(worker_answer::accepted), {{run, 90}}, {}});
            THEN("nothing is stopped")
            {
                CHECK(fixture.worker.stops.empty());
            }
        }
    }
}

SCENARIO("a run starts long after the last useful reading of the worker's clock", "[agent][leased]")
{
    GIVEN("a start whose answer was read 40 ms after the worker had written it")
    {
        runner_fixture fixture;
        std::size_t lags = 0;
        fixture.runner.lag_detected.connect([&lags](auto const&, auto) { ++lags; });
        fixture.advance(milliseconds(1000));
        fixture.answer_age = milliseconds(40);
        fixture.start("a.0.0.0");
        auto const run = fixture.worker.starts.front().run;
        fixture.worker.starts.front().done(fixture.reply(worker_answer::accepted));

        WHEN("the run advances as expected")
        {
            fixture.advance(milliseconds(50));
            fixture.percent = 25;
            fixture.answer_report({run});
            fixture.advance(milliseconds(50));
            fixture.percent = 50;
            fixture.answer_report({run});
            // Guards against runs that are moved to other endpoints although they are well.
            THEN("it does not count as slow")
            {
                CHECK(lags == 0);
            }
        }
    }
}

SCENARIO("a run makes little progress", "[agent][leased]")
{
    GIVEN("a run that is expected to take 200 ms")
    {
        runner_fixture fixture;
        std::vector<milliseconds> lags;
        fixture.runner.lag_detected.connect(
            [&lags](auto const&, milliseconds remaining) { lags.push_back(remaining); });
        fixture.start("a.0.0.0");
        auto const run = fixture.worker.starts.front().run;
        fixture.worker.starts.front().done(fixture.reply(worker_answer::accepted));
        auto const advance_with = [&](std::uint32_t percent) {
            fixture.percent = percent;
            fixture.advance(milliseconds(40));
            fixture.answer_report({run});
        };

        // Guards against restarting healthy runs elsewhere.
        WHEN("it takes four times as long as expected")
        {
            for (std::uint32_t percent = 5; percent <= 95; percent += 5)
                advance_with(percent);
            THEN("it does not lag")
            {
                CHECK(lags.empty());
            }
        }
        // Guards against an estimate from a report right after the start.
        WHEN("the first report comes right after the start")
        {
            advance_with(0);
            THEN("it does not lag")
            {
                CHECK(lags.empty());
            }
        }
        // Guards against waiting for a slow worker while others are free.
        WHEN("its worker is ten times slower than expected")
        {
            for (std::uint32_t percent = 2; percent <= 8; percent += 2)
                advance_with(percent);
            THEN("it lags, and is reported once")
            {
                REQUIRE(lags.size() == 1);
                CHECK(lags.front() > milliseconds(1000));
            }
        }
        WHEN("its progress stops at one half")
        {
            advance_with(25);
            advance_with(50);
            for (int step = 0; step < 5; ++step)
                advance_with(50);
            THEN("it lags")
            {
                CHECK(lags.size() == 1);
            }
        }
    }
}

SCENARIO("a worker refuses a start for its fencing token", "[agent][leased]")
{
    GIVEN("a worker that has not accepted the token before")
    {
        runner_fixture fixture(false);
        auto const fence = fixture.worker.reports.back().context.fence;

        // Guards against a start on a worker whose lease another process may go on renewing.
        WHEN("a task is to start")
        {
            fixture.start("a.0.0.0");
            THEN("it does not run")
            {
                CHECK(fixture.worker.starts.empty());
                REQUIRE(fixture.results.size() == 1);
                CHECK(fixture.results.front().kind == outcome_kind::not_run);
            }
        }
        WHEN("the fencing token is too low")
        {
            fixture.refuse(fixture.worker.reports.back());
            fixture.advance(milliseconds(10));
            auto const raised = fixture.worker.reports.back().context.fence;
            fixture.answer_report({});
            fixture.advance(milliseconds(1020));
            fixture.answer_report({});
            fixture.start("a.0.0.0");
            // Guards against an agent being refused for good after its clock was set back.
            THEN("the next report has a higher one, and so has a start once it is accepted")
            {
                CHECK(raised > fence);
                REQUIRE(fixture.worker.starts.size() == 1);
                CHECK(fixture.worker.starts.back().context.fence == raised);
            }
        }
    }
    GIVEN("a start in flight, and a worker that has accepted the token before")
    {
        runner_fixture fixture;
        fixture.start("a.0.0.0");

        WHEN("the fencing token is too low")
        {
            fixture.worker.starts.front().done(fixture.reply(worker_answer::stale_fence));
            fixture.advance(milliseconds(500));
            // Guards against an agent that goes on beside the process that has taken over.
            THEN("the task has not run, and is not sent again")
            {
                CHECK(fixture.worker.starts.size() == 1);
                REQUIRE(fixture.results.size() == 1);
                CHECK(fixture.results.front().kind == outcome_kind::not_run);
            }
        }
        // Guards against a start without an answer that is reported as not run.
        WHEN("one attempt gets no answer, and the next one is refused for its token")
        {
            fixture.advance(milliseconds(20));
            REQUIRE(fixture.worker.starts.size() == 2);
            fixture.worker.starts.front().done({});
            fixture.worker.starts.back().done(fixture.reply(worker_answer::stale_fence));
            fixture.advance(milliseconds(3000));
            THEN("nothing is sent and nothing reported, since the run may go on")
            {
                CHECK(fixture.worker.starts.size() == 2);
                CHECK(fixture.worker.stops.empty());
                CHECK(fixture.results.empty());
            }
        }
    }
}

SCENARIO("a worker refuses a start", "[agent][leased]")
{
    GIVEN("a start in flight")
    {
        runner_fixture fixture;
        fixture.start("a.0.0.0");

        WHEN("the worker has seen a higher run number of the task")
        {
            auto const number = fixture.worker.starts.front().run.number;
            fixture.worker.starts.front().done(fixture.reply(worker_answer::stale_run));
            THEN("the start is resent with a higher run number")
            {
                REQUIRE(fixture.worker.starts.size() == 2);
                CHECK(fixture.worker.starts.back().run.number > number);
            }
        }
        // Guards against a task that is refused for good after it was submitted at another entry:
        // attempts of ephemeral tasks are numbered by entry, so the numbers of two entries differ
        // by millions.
        WHEN("the worker has seen a far higher run number of the task")
        {
            constexpr std::uint64_t seen = 3'000'000'000;
            std::size_t answered = 0;
            while (answered < fixture.worker.starts.size()
                   && fixture.worker.starts[answered].run.number <= seen) {
                auto const done = fixture.worker.starts[answered++].done;
                done(fixture.reply(worker_answer::stale_run));
            }
            THEN("one of the next starts has a higher run number, and the run counts as started")
            {
                CHECK(fixture.results.empty());
                REQUIRE(answered < fixture.worker.starts.size());
                fixture.worker.starts[answered].done(fixture.reply(worker_answer::accepted));
                fixture.advance(milliseconds(20));
                fixture.answer_report(
                    {}, {{1, fixture.worker.starts[answered].run, run_end_reason::done}});
                REQUIRE(fixture.results.size() == 1);
                CHECK(fixture.results.front().kind == outcome_kind::succeeded);
            }
        }
        WHEN("the worker has no free capacity")
        {
            fixture.worker.starts.front().done(fixture.reply(worker_answer::no_capacity));
            THEN("the task has not run")
            {
                REQUIRE(fixture.results.size() == 1);
                CHECK(fixture.results.front().kind == outcome_kind::not_run);
            }
        }
    }
}

// Guards against a token that is raised once for each call in flight: it would run ahead of the
// clock that gives the next incarnation of the agent its first token.
SCENARIO("a worker refuses calls with a former fencing token", "[agent][leased]")
{
    GIVEN("a report and two questions in flight, the first of which is refused for its token")
    {
        // A token that the worker has accepted before is not raised.
        runner_fixture fixture(false);
        auto const ask = [&fixture] {
            fixture.runner.ask_incarnation({"i-1", 5}, [](auto /*answer*/) {});
            return fixture.worker.reports.back();
        };
        auto const report = fixture.worker.reports.back();
        auto const former = report.context.fence;
        auto const first = ask();
        auto const second = ask();
        REQUIRE(first.context.fence == former);
        REQUIRE(second.context.fence == former);
        fixture.refuse(first);
        auto const third = ask();
        auto const present = third.context.fence;
        REQUIRE(present > former);

        WHEN("the second one is refused for the same token")
        {
            fixture.refuse(second);
            THEN("the next call has the present token")
            {
                CHECK(ask().context.fence == present);
            }
        }
        WHEN("the present token is refused too")
        {
            fixture.refuse(third);
            THEN("it is raised again")
            {
                CHECK(ask().context.fence > present);
            }
        }
        WHEN("a report with the former token is refused late")
        {
            fixture.refuse(report);
            fixture.advance(milliseconds(10));
            THEN("the next report has the present token")
            {
                CHECK(fixture.worker.reports.back().context.fence == present);
            }
        }
    }
    GIVEN("two starts in flight, the first of which turns out not to have been sent")
    {
        runner_fixture fixture;
        fixture.start("a.0.0.1");
        fixture.start("a.0.0.2");
        auto const former = fixture.worker.starts[1].context.fence;
        auto const not_sent = fixture.worker.starts[0].done;
        not_sent({worker_answer::not_sent, {}, {}});

        WHEN("the second one is refused for the former token")
        {
            auto const done = fixture.worker.starts[1].done;
            done(fixture.reply(worker_answer::stale_fence));
            THEN("it is sent again with the present token")
            {
                REQUIRE(fixture.worker.starts.size() == 3);
                CHECK(fixture.worker.starts[2].run.task == "a.0.0.2");
                CHECK(fixture.worker.starts[2].context.fence > former);
                CHECK(fixture.runner.available());
            }
        }
    }
}

SCENARIO("an agent starts while its worker already runs a task", "[agent][leased]")
{
    GIVEN("a worker with a run that an earlier incarnation of the agent started")
    {
        base::steady_time now {std::chrono::hours(1)};
        scripted_worker worker;
        leased_runner runner(worker, {}, 100, [&now] { return now; });
        runner.tick();
        REQUIRE(worker.reports.size() == 1);
        worker.reports.back().done(
            {{worker_answer::accepted, worker_clock(7), {}}, {{"old.0.0.0", 3}}, {}});

        // Guards against entries starting these tasks elsewhere while they still run here.
        THEN("the run is stopped, and the agent accepts no work yet")
        {
            REQUIRE(worker.stops.size() == 1);
            CHECK(worker.stops.front().run == worker_run {"old.0.0.0", 3});
            CHECK_FALSE(runner.settled());
        }
        auto const pass_time = [&now](leased_runner& passing, milliseconds time) {
            constexpr milliseconds tick_interval {10};
            for (; time > tick_interval; time -= tick_interval) {
                now += tick_interval;
                passing.tick();
            }
            now += time;
            passing.tick();
        };
        auto const answer_next = [&](worker_clock clock, std::optional<std::uint64_t> born,
                                     std::vector<ended_run> ended) {
            now += milliseconds(30);
            runner.tick();
            worker.reports.back().done(
                {{worker_answer::accepted, clock, born}, {}, std::move(ended)});
        };
        ended_run const end {1, {"old.0.0.0", 3}, run_end_reason::stopped};
        // Guards against an agent that waits for an announcement, or for the end of all leases,
        // although every run has ended, and against one that accepts work while the worker still
        // stops a run that it does not list.
        for (auto const& born : {std::optional<std::uint64_t>(), std::optional<std::uint64_t>(5)}) {
            WHEN(std::string("the worker lists the end of the run")
                 + (born ? ", and states its start" : ""))
            {
                answer_next(worker_clock(60), born, {end});
                answer_next(worker_clock(159), born, {});
                CHECK_FALSE(runner.settled());
                answer_next(worker_clock(160), born, {});
                CHECK_FALSE(runner.settled());
                answer_next(worker_clock(161), born, {});
                THEN("the agent accepts work once a stop would have ended any other run")
                {
                    CHECK(runner.settled());
                }
            }
        }
        // Guards against entries starting a task elsewhere that the worker still runs without
        // listing it.
        WHEN("the worker no longer lists the run, nor its end")
        {
            for (int reading = 100; reading <= 900; reading += 100)
                answer_next(worker_clock(reading), {}, {});
            THEN("the agent accepts no work until the leases of that incarnation have expired")
            {
                CHECK_FALSE(runner.settled());
                pass_time(runner, milliseconds(1020));
                CHECK(runner.settled());
            }
        }
        // Guards against a former incarnation that has granted leases until it was fenced off.
        WHEN("a worker without any run answers for the first time after 3 s")
        {
            scripted_worker late;
            leased_runner next(late, {}, 100, [&now] { return now; });
            now += milliseconds(3000);
            next.tick();
            CHECK_FALSE(next.settled());
            late.reports.back().done({{worker_answer::accepted, worker_clock(7), {}}, {}, {}});
            THEN("the agent accepts no work before the runs of that incarnation have ended")
            {
                pass_time(next, milliseconds(1019));
                CHECK_FALSE(next.settled());
                pass_time(next, milliseconds(1));
                CHECK(next.settled());
            }
        }
        // Guards against a former process that goes on renewing the lease of its runs while the
        // calls of the next one do not reach the worker.
        WHEN("the worker answers no call of the next process")
        {
            scripted_worker silent;
            leased_runner next(silent, {}, 100, [&now] { return now; });
            for (int call = 0; call < 100; ++call) {
                now += milliseconds(300);
                next.tick();
                silent.reports.back().done({});
            }
            THEN("that one accepts no work")
            {
                CHECK(silent.reports.size() == 100);
                CHECK_FALSE(next.settled());
            }
        }
        WHEN("the worker does not answer until its leases have expired")
        {
            pass_time(runner, milliseconds(1020));
            THEN("the agent accepts work")
            {
                CHECK(runner.settled());
            }
        }
        // Guards against time that counts for the end of a lease although the whole machine was
        // suspended, so that the worker's clock stood still.
        WHEN("the process wakes after a pause, and the worker has not answered yet")
        {
            pass_time(runner, milliseconds(100));
            now += milliseconds(3800);
            runner.tick();
            THEN("the agent accepts no work before the leases have expired in the rest of the time")
            {
                CHECK_FALSE(runner.settled());
                pass_time(runner, milliseconds(900));
                CHECK_FALSE(runner.settled());
                pass_time(runner, milliseconds(20));
                CHECK(runner.settled());
            }
        }
    }
}

// Guards against tasks that are started elsewhere while the new incarnation still runs them.
SCENARIO("a worker restarts under its id", "[agent][leased]")
{
    GIVEN("a run, and a report that was requested before the restart")
    {
        runner_fixture fixture;
        fixture.start("a.0.0.0");
        auto const run = fixture.worker.starts.front().run;
        fixture.worker.starts.front().done(fixture.reply(worker_answer::accepted));
        fixture.advance(milliseconds(10));
        auto const before = fixture.worker.reports.size();

        WHEN("the new incarnation lists the run before it announces itself")
        {
            fixture.stated_born = 6;
            fixture.answer_report({run});
            THEN("the run goes on, and no work is accepted yet")
            {
                CHECK(fixture.results.empty());
                CHECK_FALSE(fixture.runner.available());
                fixture.start("b.0.0.0");
                REQUIRE(fixture.results.size() == 1);
                CHECK(fixture.results.front().kind == outcome_kind::not_run);
            }
            // Guards against commands to the previous incarnation that arrive late, and against
            // ends of the new one that are acknowledged unread.
            THEN("later calls carry a higher token, and acknowledge no end of the new one")
            {
                REQUIRE(fixture.worker.reports.size() > before);
                auto const& first = fixture.worker.reports[before - 1];
                CHECK(fixture.worker.reports.back().context.fence > first.context.fence);
                CHECK(fixture.worker.reports.back().context.incarnation.born == 6);
                CHECK(fixture.worker.reports.back().last_seen_end == 0);
            }
            AND_WHEN("it announces itself")
            {
                fixture.runner.announced({"i-1", 6}, worker_clock(300));
                fixture.answer_report({run});
                THEN("the run goes on, and its end is used")
                {
                    CHECK(fixture.results.empty());
                    CHECK(fixture.runner.available());
                    fixture.advance(milliseconds(40));
                    fixture.answer_report({}, {{1, run, run_end_reason::done}});
                    REQUIRE(fixture.results.size() == 1);
                    CHECK(fixture.results.front().kind == outcome_kind::succeeded);
                }
            }
            AND_WHEN("a report of the previous incarnation arrives late")
            {
                auto const stops = fixture.worker.stops.size();
                auto late = fixture.reply(worker_answer::accepted);
                late.born = 5;
                for (auto& each : fixture.worker.reports) {
                    if (each.done && each.context.incarnation.born == 5)
                        each.done({late, {}, {{1, run, run_end_reason::stopped}}});
                }
                THEN("it has no effect")
                {
                    CHECK(fixture.results.empty());
                    CHECK(fixture.worker.stops.size() == stops);
                }
            }
        }
        auto const check_lost = [&] {
            CHECK(fixture.results.empty());
            fixture.answer_report({});
            REQUIRE(fixture.worker.stops.size() == 1);
            CHECK(fixture.worker.stops.front().context.incarnation.born == 6);
            CHECK(fixture.results.empty());
            fixture.worker.stops.front().done(fixture.reply(worker_answer::accepted));
            fixture.check_ended_after_stop(outcome_kind::unknown);
        };
        WHEN("the new incarnation does not list the run")
        {
            fixture.stated_born = 6;
            fixture.answer_report({});
            THEN("the outcome is unknown once it has confirmed that it refuses the start")
            {
                check_lost();
            }
        }
        WHEN("the new incarnation announces itself first")
        {
            fixture.runner.announced({"i-1", 6}, worker_clock(0));
            THEN("the outcome is unknown once it has confirmed that it refuses the start")
            {
                check_lost();
            }
        }
    }
    GIVEN("a start that is in flight during the restart")
    {
        runner_fixture fixture;
        fixture.start("a.0.0.0");
        auto const run = fixture.worker.starts.front().run;
        fixture.advance(milliseconds(40));
        fixture.stated_born = 6;
        fixture.answer_report({});
        auto const accept = [&fixture] {
            for (auto const& sent : fixture.worker.starts)
                sent.done(fixture.reply(worker_answer::accepted));
        };
        WHEN("it is accepted by one of the two incarnations, and the new one lists it")
        {
            accept();
            fixture.answer_report({run});
            THEN("the run goes on")
            {
                CHECK(fixture.results.empty());
                CHECK(fixture.worker.stops.empty());
            }
        }
        WHEN("it is accepted, and the new incarnation does not list it")
        {
            accept();
            fixture.answer_report({});
            THEN("it is stopped before it counts as ended")
            {
                CHECK(fixture.results.empty());
                CHECK(fixture.worker.stops.size() == 1);
            }
        }
    }
}

// Guards against tasks that are started elsewhere while the new incarnation runs them.
SCENARIO("a call to the previous incarnation of a worker is refused late", "[agent][leased]")
{
    GIVEN("a start, a stop and a report in flight when the worker restarts under another id")
    {
        runner_fixture fixture;
        fixture.start("a.0.0.0");
        fixture.worker.starts.front().done(fixture.reply(worker_answer::accepted));
        fixture.runner.stop("", {"job", 0});
        fixture.start("b.0.0.0");
        fixture.advance(milliseconds(40));
        auto const start = fixture.worker.starts.back();
        auto const stop = fixture.worker.stops.back();
        auto const report = fixture.worker.reports.back();
        fixture.runner.announced({"i-2", 6}, worker_clock(0));
        REQUIRE(fixture.results.empty());
        fixture.stated_born = 6;
        fixture.answer_report({});
        REQUIRE(fixture.results.size() == 2);
        fixture.start("b.0.0.0");
        fixture.worker.starts.back().done(fixture.reply(worker_answer::accepted));

        auto const refused = fixture.reply(worker_answer::wrong_incarnation);
        auto const check_run_goes_on = [&fixture] {
            CHECK(fixture.results.size() == 2);
            CHECK(fixture.runner.current_incarnation().id == "i-2");
        };
        WHEN("the start is refused for its incarnation")
        {
            start.done(refused);
            THEN("the run on the new incarnation goes on")
            {
                check_run_goes_on();
            }
        }
        WHEN("the stop is refused for its incarnation")
        {
            stop.done(refused);
            THEN("the run on the new incarnation goes on")
            {
                check_run_goes_on();
            }
        }
        WHEN("the report is refused for its incarnation")
        {
            report.done({refused, {}, {}});
            THEN("the run on the new incarnation goes on")
            {
                check_run_goes_on();
            }
        }
        // Guards against an answer that is taken for one about a later run of the same number.
        WHEN("the start is answered for lack of capacity")
        {
            start.done(fixture.reply(worker_answer::no_capacity));
            THEN("the run on the new incarnation goes on")
            {
                check_run_goes_on();
            }
        }
        WHEN("a call to the new incarnation is refused for its incarnation")
        {
            fixture.advance(milliseconds(40));
            auto const starts = fixture.worker.starts.size();
            auto const before = fixture.worker.reports.size();
            fixture.worker.reports.back().done({refused, {}, {}});
            // Guards against a denial of a live worker that is taken for the end of its runs.
            THEN("its run goes on, and the worker is asked for its start without an id")
            {
                check_run_goes_on();
                REQUIRE(fixture.worker.reports.size() == before + 2);
                auto const& question = fixture.worker.reports[before];
                CHECK(question.context.incarnation.id.empty());
                CHECK(question.lease_until == worker_clock(0));
                CHECK(question.last_seen_end == 0);
            }
            // Guards against a start that is addressed to no incarnation in particular.
            THEN("a task that is to start at that moment is refused, and not sent")
            {
                fixture.start("c.0.0.0");
                REQUIRE(fixture.results.size() == 3);
                CHECK(fixture.results.back().kind == outcome_kind::not_run);
                CHECK(fixture.worker.starts.size() == starts);
            }
            AND_WHEN("a later incarnation answers the question")
            {
                // The clock of a later incarnation starts anew.
                fixture.answer_age = fixture.passed() + milliseconds(9'900);
                auto later = fixture.reply(worker_answer::accepted);
                later.born = 7;
                fixture.worker.reports[before].done({later, {}, {}});
                THEN("its run is lost once that one has been asked what it runs")
                {
                    CHECK(fixture.results.size() == 2);
                    fixture.stated_born = 7;
                    fixture.start_when_lost = "c.0.0.0";
                    fixture.answer_report({});
                    REQUIRE(fixture.results.size() == 4);
                    CHECK(fixture.results[2].kind == outcome_kind::unknown);
                    CHECK(fixture.results.back().kind == outcome_kind::not_run);
                    CHECK(fixture.worker.starts.size() == starts);
                }
            }
        }
    }
}
