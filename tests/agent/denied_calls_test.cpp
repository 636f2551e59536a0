// What is sent to a worker while it says that it is another incarnation.

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
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

constexpr std::uint64_t fence = 100;
constexpr milliseconds work {600};

/// Records what the calls name.
struct recording_worker : simulated_worker {
    void start(call_context const& context, worker_run const& run, protocol::task_start const& task,
               worker_clock lease_until, std::function<void(worker_reply const&)> done) override
    {
        this->started_ids.push_back(context.incarnation.id);
        simulated_worker::start(context, run, task, lease_until, std::move(done));
    }
    void report(call_context const& context, worker_clock lease_until, std::uint64_t last_seen_end,
                milliseconds wait, std::function<void(worker_report const&)> done) override
    {
        this->lease_ends.push_back(lease_until);
        simulated_worker::report(context, lease_until, last_seen_end, wait, std::move(done));
    }

    std::vector<std::string> started_ids;
    std::vector<worker_clock> lease_ends; ///< That reports have named.
};

struct denied_calls_fixture {
    denied_calls_fixture() : runner(worker, {}, fence, [this] { return this->now; })
    {
        this->runner.announced({this->worker.id, this->worker.born}, this->worker.clock);
        this->advance(milliseconds(1050));
        this->start("a.0.0.0");
        this->advance(milliseconds(100));
        REQUIRE(this->worker.runs("a.0.0.0"));
    }

    void start(std::string const& name)
    {
        run_request request;
        request.task.task = {"job-" + name, 0};
        request.task.name = name;
        request.task.payload = std::to_string(work.count());
        request.start_before = this->now + milliseconds(1000);
        this->runner.start(request, [this](run_result result, base::steady_time) {
            this->results.push_back(std::move(result));
        });
    }
    void advance(milliseconds duration)
    {
        constexpr milliseconds step {10};
        for (auto const end = this->now + duration; this->now < end;) {
            this->now += step;
            this->worker.advance(step);
            this->runner.tick();
        }
    }
    /// The worker denies the next call. Its answer has not been read yet.
    void deny_next_call()
    {
        std::size_t denied = 0;
        this->worker.denies = [&denied](auto const&) { return denied++ == 0; };
        while (denied == 0)
            this->advance(milliseconds(10));
        this->worker.denies = {};
    }

    base::steady_time now {std::chrono::hours(1)};
    recording_worker worker;
    leased_runner runner;
    std::vector<run_result> results;
};

} // namespace

SCENARIO("calls while the worker denies its id", "[agent][leased]")
{
    GIVEN("a worker with a run")
    {
        denied_calls_fixture fixture;
        WHEN("it denies its id, and its other answers do not state its start")
        {
            fixture.worker.denies = [](auto const& call) { return !call.incarnation.id.empty(); };
            fixture.worker.stated_born
                = [](std::uint64_t) -> std::optional<std::uint64_t> { return {}; };
            fixture.advance(milliseconds(20));
            fixture.worker.lease_ends.clear();
            auto const lease_end = fixture.worker.lease_end;
            fixture.advance(milliseconds(200));
            // Guards against a lease that is extended for whoever answers.
            THEN("no report extends the lease")
            {
                CHECK(fixture.worker.lease_ends.size() > 3);
                CHECK(std::all_of(fixture.worker.lease_ends.begin(),
                                  fixture.worker.lease_ends.end(),
                                  [](auto end) { return end == worker_clock(0); }));
                CHECK(fixture.worker.lease_end == lease_end);
            }
            AND_WHEN("its answers state its start again")
            {
                fixture.worker.stated_born = {};
                fixture.advance(milliseconds(50));
                // Guards against a worker that changes its id and loses what it runs.
                THEN("the lease is extended although the id is still denied")
                {
                    CHECK(fixture.worker.lease_end > lease_end);
                }
            }
        }
        WHEN("it denies a call, and has refused a start because its run number is too low")
        {
            (void)fixture.worker.carry_out_stop({fence, {}}, {"b.0.0.0", 1});
            fixture.deny_next_call();
            fixture.worker.started_ids.clear();
            fixture.start("b.0.0.0");
            REQUIRE(fixture.worker.started_ids.size() == 1);
            fixture.advance(milliseconds(50));
            // Guards against a start that is addressed to no incarnation in particular.
            THEN("the start is not sent again")
            {
                CHECK(fixture.worker.started_ids.size() == 1);
                REQUIRE(fixture.results.size() == 1);
                CHECK(fixture.results.front().kind == outcome_kind::not_run);
            }
        }
    }
}
