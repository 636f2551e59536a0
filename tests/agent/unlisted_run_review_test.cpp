// What proves the end of a run: answers without a clock, long lists of ends, leases that orders to
// a former life have granted, and agents that reach their worker late.

#include <catch2/catch.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "agent/leased_runner.h"
#include "agent/simulated_worker.h"

namespace {

using namespace greengagehead;
using namespace greengagehead::agent;
using namespace greengagehead::agent::fakes;
using protocol::outcome_kind;
using std::chrono::milliseconds;

/// Alters what the agent hears of a worker. Only its reports name its life.
struct altered_worker : leased_worker {
    void start(call_context const& context, worker_run const& run, protocol::task_start const& task,
               worker_clock lease_until, std::function<void(worker_reply const&)> done) override
    {
        this->worker.start(context, run, task, lease_until, [done](worker_reply answer) {
            answer.born.reset();
            done(answer);
        });
    }
    void stop(call_context const& context, worker_run const& run,
              std::function<void(worker_reply const&)> done) override
    {
        this->worker.stop(context, run, [this, done](worker_reply answer) {
            if (this->clockless_stops > 0) {
                --this->clockless_stops;
                answer.clock.reset();
            }
            answer.born.reset();
            done(answer);
        });
    }
    void report(call_context const& context, worker_clock lease_until, std::uint64_t last_seen_end,
                milliseconds wait, std::function<void(worker_report const&)> done) override
    {
        if (!this->reachable)
            return done({{worker_answer::no_answer, {}, {}}, {}, {}});
        this->worker.report(context, lease_until, last_seen_end, wait, std::move(done));
    }
    void advance(milliseconds duration) { this->worker.advance(duration); }

    simulated_worker worker;
    bool reachable = true; ///< For reports.
    int clockless_stops = 0; ///< So many answers to orders to stop are without a clock.
};

struct review_fixture {
    review_fixture() : runner(calls, {}, 100, [this] { return this->now; })
    {
        this->calls.worker.stop_duration = milliseconds(50);
        this->calls.worker.lists_stopping_runs = false;
        this->runner.announced({"i-1", 5}, this->calls.worker.clock);
        this->advance(milliseconds(1100));
    }

    void advance(milliseconds duration)
    {
        constexpr milliseconds step {1};
        constexpr milliseconds tick_interval {10};
        for (auto const end = this->now + duration; this->now < end;) {
            this->now += step;
            this->calls.advance(step);
            if (this->now.time_since_epoch() % tick_interval == milliseconds(0))
                this->runner.tick();
        }
    }
    void start(std::string const& name)
    {
        run_request request;
        request.task.task = {name, 0};
        request.task.name = name;
        request.start_before = this->now + milliseconds(1000);
        request.permitted_until = [this] { return this->permitted_until; };
        this->runner.start(request, [this, name](run_result result, base::steady_time) {
            this->ran_at_result = this->ran_at_result || this->calls.worker.runs(name);
            this->results.push_back(std::move(result));
        });
    }

    base::steady_time now {std::chrono::hours(1)};
    base::steady_time permitted_until {std::chrono::hours(9)};
    altered_worker calls;
    leased_runner runner;
    std::vector<run_result> results;
    bool ran_at_result = false;
};

/// Has many ends that it has not listed yet when it is asked to stop a run, and then answers no
/// call for a report until no stop can take any longer.
struct worker_with_many_ends : simulated_worker {
    static constexpr std::uint64_t other_ends = 1500;
    static constexpr std::size_t longest_list = 500;
    static constexpr milliseconds silence {110};

    void stop(call_context const& context, worker_run const& run,
              std::function<void(worker_reply const&)> done) override
    {
        if (!this->stopped) {
            this->stopped = run;
            this->silent_until = this->clock + silence;
        }
        simulated_worker::stop(context, run, std::move(done));
    }
    void report(call_context const& context, worker_clock lease_until, std::uint64_t last_seen_end,
                milliseconds wait, std::function<void(worker_report const&)> done) override
    {
        if (this->clock < this->silent_until)
            return done({});
        simulated_worker::report(context, lease_until, last_seen_end, wait,
                                 [this, last_seen_end, done](worker_report answer) {
                                     this->list_ends(answer, last_seen_end);
                                     done(answer);
                                 });
    }

private:
    void list_ends(worker_report& answer, std::uint64_t last_seen_end) const
    {
        if (!this->stopped)
            return;
        for (auto number = last_seen_end + 1;
             number <= other_ends + 1 && answer.ended.size() < longest_list; ++number)
            answer.ended.push_back(
                {number, number <= other_ends ? worker_run {"other", number} : *this->stopped,
                 run_end_reason::done});
    }

    std::optional<worker_run> stopped;
    worker_clock silent_until {0};
};

} // namespace

SCENARIO("an answer to an order to stop names no clock", "[agent][leased]")
{
    GIVEN("a start that was lost with the life of the worker that it was sent to")
    {
        review_fixture fixture;
        fixture.calls.worker.lost_starts = true;
        fixture.start("a.0.0.0");
        fixture.calls.worker.restart(6);
        fixture.calls.clockless_stops = 1;

        WHEN("the next life confirms the first order to stop without its clock")
        {
            fixture.advance(milliseconds(1500));
            // Guards against a run that never ends, and keeps the lease of its worker from being
            // extended, because the order is not repeated and its time is not known.
            THEN("the run ends after an answer with a clock")
            {
                CHECK(fixture.results.size() == 1);
            }
        }
    }
}

SCENARIO("a worker has more ends than a report lists", "[agent][leased]")
{
    GIVEN("a start that was carried out without an answer, and many ends before that of its run")
    {
        base::steady_time now {std::chrono::hours(1)};
        worker_with_many_ends worker;
        worker.lost_starts = true;
        leased_runner runner(worker, {}, 100, [&now] { return now; });
        runner.announced({"i-1", 5}, worker.clock);
        std::vector<run_result> results;
        auto const advance = [&](milliseconds duration) {
            for (auto const end = now + duration; now < end;) {
                now += milliseconds(10);
                worker.advance(milliseconds(10));
                runner.tick();
            }
        };
        advance(milliseconds(1100));
        run_request request;
        request.task.task = {"job", 0};
        request.task.name = "a.0.0.0";
        request.start_before = now + milliseconds(1000);
        runner.start(request, [&results](run_result result, base::steady_time) {
            results.push_back(std::move(result));
        });

        WHEN("the first reports after the stop list only others")
        {
            advance(milliseconds(1000));
            // Guards against a task that is started again after it was done.
            THEN("the outcome is that of the end")
            {
                REQUIRE(results.size() == 1);
                CHECK(results.front().kind == outcome_kind::succeeded);
            }
        }
    }
}

SCENARIO("the next life of a worker has a lease by the clock of the one before", "[agent][leased]")
{
    GIVEN("a start that the next life has accepted before the agent knows of it")
    {
        review_fixture fixture;
        auto const started = fixture.now + milliseconds(1100);
        fixture.permitted_until = started + milliseconds(400);
        fixture.runner.waiting_permitted_until = [&fixture] { return fixture.permitted_until; };
        fixture.advance(milliseconds(1100));
        fixture.calls.worker.restart(6);
        fixture.start("a.0.0.0");
        fixture.advance(milliseconds(1));
        REQUIRE(fixture.calls.worker.runs("a.0.0.0"));
        REQUIRE(fixture.calls.worker.lease_end == worker_clock(1000));

        WHEN("no answer of the worker reaches the agent any more")
        {
            fixture.calls.reachable = false;
            fixture.advance(milliseconds(2000));
            // Guards against the same conclusion by the clock of the agent.
            THEN("its outcome is reported once it has ended")
            {
                REQUIRE(fixture.results.size() == 1);
                CHECK_FALSE(fixture.ran_at_result);
            }
        }
        WHEN("its permission has ended, and it is stopped late and not listed meanwhile")
        {
            fixture.calls.worker.lost_stops = true;
            fixture.advance(milliseconds(760));
            fixture.runner.stop({}, {"a.0.0.0", 0});
            fixture.calls.worker.lost_stops = false;
            fixture.calls.worker.carry_out_lost_orders();
            REQUIRE(fixture.calls.worker.runs("a.0.0.0"));
            fixture.advance(milliseconds(1500));
            // Guards against a lease that counts as expired because this agent has granted a
            // shorter one to the new life: the order to the former one has granted the longest.
            THEN("its outcome is reported once it has ended")
            {
                REQUIRE(fixture.results.size() == 1);
                CHECK_FALSE(fixture.ran_at_result);
            }
        }
    }
}

SCENARIO("an agent reaches its worker only after every lease before its start has lapsed",
         "[agent][leased]")
{
    GIVEN("a worker that runs a task of another process of the agent")
    {
        base::steady_time now {std::chrono::hours(1)};
        altered_worker calls;
        calls.reachable = false;
        leased_runner runner(calls, {}, 200, [&now] { return now; });
        for (int step = 0; step < 110; ++step) {
            now += milliseconds(10);
            calls.advance(milliseconds(10));
            runner.tick();
        }
        // The other process may go on renewing the lease.
        REQUIRE_FALSE(runner.settled());
        auto const granted = calls.worker.clock + milliseconds(300);
        REQUIRE(calls.worker.carry_out_start({100, {}}, {"a.0.0.0", 1}, {}, granted)
                == worker_answer::accepted);

        WHEN("it reaches it, and orders to stop are lost")
        {
            calls.reachable = true;
            calls.worker.lost_stops = true;
            runner.announced({"i-1", 5}, calls.worker.clock);
            for (int step = 0; step < 40; ++step) {
                now += milliseconds(10);
                calls.advance(milliseconds(10));
                runner.tick();
            }
            // Guards against a run that an agent keeps alive before it knows of it: its own process
            // had bounded its lease.
            THEN("the lease is extended at most until the run should have ended")
            {
                CHECK(calls.worker.lease_end <= granted + milliseconds(50));
            }
        }
    }
}
