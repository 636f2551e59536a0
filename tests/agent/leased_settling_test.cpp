// What an agent that starts knows of the runs of its former incarnation.

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <functional>
#include <utility>
#include <vector>

#include "agent/leased_runner.h"

namespace {

using namespace greengagehead;
using namespace greengagehead::agent;
using std::chrono::milliseconds;

/// A worker with the run of a former agent. It renews its lease on each report, and no stop reaches
/// it.
struct worker_without_stops : leased_worker {
    void start(call_context const& /*context*/, worker_run const& /*run*/,
               protocol::task_start const& /*task*/, worker_clock /*lease_until*/,
               std::function<void(worker_reply const&)> /*done*/) override
    {
    }
    void stop(call_context const& /*context*/, worker_run const& /*run*/,
              std::function<void(worker_reply const&)> done) override
    {
        done({worker_answer::no_answer, {}, {}});
    }
    void report(call_context const& /*context*/, worker_clock lease_until,
                std::uint64_t /*last_seen_end*/, milliseconds /*wait*/,
                std::function<void(worker_report const&)> done) override
    {
        std::vector<listed_run> running;
        if (this->clock < this->lease_end) {
            this->lease_end = std::max(this->lease_end, lease_until);
            running.push_back({{"a.0.0.0", 1}, 0});
        }
        worker_report answer;
        answer.reply = {worker_answer::accepted, this->clock, {}};
        answer.running = std::move(running);
        done(answer);
    }

    worker_clock clock {10'000};
    worker_clock lease_end {10'900}; ///< As the former agent has left it.
};

} // namespace

SCENARIO("an agent starts while its worker runs a task of the former incarnation",
         "[agent][leased]")
{
    GIVEN("stops that do not reach the worker")
    {
        base::steady_time now {std::chrono::hours(1)};
        worker_without_stops worker;
        leased_runner runner(worker, {}, 100, [&now] { return now; });
        runner.announced({"i-1", 5}, worker.clock);

        WHEN("the agent counts as settled, so that entries hear of it")
        {
            for (int step = 0; step < 500 && !runner.settled(); ++step) {
                now += milliseconds(10);
                worker.clock += milliseconds(10);
                runner.tick();
            }
            REQUIRE(runner.settled());
            // Guards against a run that the new agent keeps alive while entries start its task
            // elsewhere.
            THEN("the run has ended")
            {
                CHECK(worker.lease_end <= worker.clock);
            }
        }
    }
}
