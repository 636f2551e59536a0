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
