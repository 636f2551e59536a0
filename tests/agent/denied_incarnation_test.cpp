// A worker that lives, and says for a while that it is another incarnation, or calls itself by
// another id.

#include <catch2/catch.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include "agent/leased_runner.h"
#include "agent/simulated_worker_fixture.h"

namespace {

using namespace greengagehead;
using namespace greengagehead::agent;
using namespace greengagehead::agent::fakes;
using protocol::outcome_kind;
using std::chrono::milliseconds;

constexpr milliseconds work {600};

struct denial_fixture : simulated_worker_fixture {
    denial_fixture()
    {
        this->worker.stop_duration = milliseconds(30);
        this->start("a.0.0.0", work);
        this->start("b.0.0.0", work);
        this->advance(milliseconds(100));
        REQUIRE(this->worker.runs("a.0.0.0"));
        REQUIRE(this->worker.runs("b.0.0.0"));
    }

    /// Both runs go on until they are done, and are told to have succeeded only then.
    void check_runs_go_on()
    {
        while (this->worker.runs("a.0.0.0") || this->worker.runs("b.0.0.0")) {
            CHECK(this->results.empty());
            this->advance(milliseconds(10));
        }
        this->advance(milliseconds(100));
        this->check_succeeded(2);
    }
    void check_succeeded(std::size_t count)
    {
        REQUIRE(this->results.size() == count);
        for (auto const& result : this->results)
            CHECK(result.kind == outcome_kind::succeeded);
    }
    void check_serves()
    {
        this->results.clear();
        this->advance(milliseconds(100));
        REQUIRE(this->runner.available());
        this->start("c.0.0.0", milliseconds(50));
        this->advance(milliseconds(300));
        this->check_succeeded(1);
    }
    /// The worker restarts with nothing, under this id.
    void restart(std::string const& id, std::uint64_t born)
    {
        this->worker.crash();
        this->worker.restart(born);
        this->worker.id = id;
    }
};

} // namespace

// Guards against all runs of a live worker that start elsewhere after one answer of it.
SCENARIO("a worker that lives denies to be the incarnation that is called", "[agent][leased]")
{
    GIVEN("a worker with two runs")
    {
        denial_fixture fixture;
        WHEN("it denies one call")
        {
            std::size_t denied = 0;
            fixture.worker.denies = [&denied](auto const&) { return denied++ == 0; };
            THEN("the runs go on, and new work is accepted")
            {
                fixture.check_runs_go_on();
                CHECK(denied > 0);
                fixture.check_serves();
            }
        }
        WHEN("it denies all calls that name its id for some time")
        {
            auto const duration = GENERATE(milliseconds(5), milliseconds(50), milliseconds(200));
            CAPTURE(duration.count());
            fixture.worker.denies = [](auto const& call) { return !call.incarnation.id.empty(); };
            fixture.advance(duration);
            fixture.worker.denies = {};
            THEN("the runs go on, and new work is accepted")
            {
                fixture.check_runs_go_on();
                fixture.check_serves();
            }
        }
        WHEN("it denies every call for some time")
        {
            fixture.worker.denies = [](auto const&) { return true; };
            fixture.advance(milliseconds(200));
            CHECK(fixture.results.empty());
            CHECK_FALSE(fixture.runner.available());
            fixture.worker.denies = {};
            THEN("the runs go on, and new work is accepted")
            {
                fixture.check_runs_go_on();
                fixture.check_serves();
            }
        }
        WHEN("it denies every call from now on")
        {
            fixture.start("d.0.0.0", milliseconds(0));
            fixture.advance(milliseconds(100));
            fixture.worker.denies = [](auto const&) { return true; };
            fixture.advance(milliseconds(20));
            auto const lease_end = fixture.worker.lease_end;
            // Guards against leases that are extended for a worker that may be another one.
            THEN("its lease ends the runs that are left before anything is told about them")
            {
                while (!fixture.worker.present().empty()) {
                    CHECK(fixture.results.empty());
                    CHECK(fixture.worker.lease_end == lease_end);
                    fixture.advance(milliseconds(10));
                }
                fixture.advance(milliseconds(2000));
                CHECK(fixture.results.size() == 3);
            }
        }
        WHEN("it denies a call, and a task is to start at that moment")
        {
            fixture.worker.denies = [](auto const&) { return true; };
            fixture.advance(milliseconds(50));
            fixture.start("c.0.0.0", milliseconds(50));
            // Guards against a start that is addressed to no incarnation in particular.
            THEN("the task is refused at once")
            {
                REQUIRE(fixture.results.size() == 1);
                CHECK(fixture.results.front().kind == outcome_kind::not_run);
            }
        }
    }
}

// Guards against all runs of a live worker that start elsewhere when it calls itself otherwise.
SCENARIO("a worker that lives calls itself by another id", "[agent][leased]")
{
    GIVEN("a worker with two runs")
    {
        denial_fixture fixture;
        WHEN("it announces itself under another id, with the start of its present life")
        {
            fixture.worker.id = "i-9";
            fixture.runner.announced({"i-9", 5}, fixture.worker.clock);
            THEN("the runs go on, and new work is accepted")
            {
                fixture.check_runs_go_on();
                CHECK(fixture.runner.current_incarnation().id == "i-9");
                fixture.check_serves();
            }
        }
        WHEN("it denies its former id before it announces the other one")
        {
            fixture.worker.id = "i-9";
            fixture.advance(milliseconds(300));
            CHECK(fixture.results.empty());
            fixture.runner.announced({"i-9", 5}, fixture.worker.clock);
            THEN("the runs go on, and new work is accepted")
            {
                fixture.check_runs_go_on();
                fixture.check_serves();
            }
        }
        WHEN("it never announces the other one")
        {
            fixture.worker.id = "i-9";
            THEN("the runs go on, and no new work is accepted")
            {
                fixture.check_runs_go_on();
                CHECK_FALSE(fixture.runner.available());
            }
        }
    }
}

SCENARIO("answers of a worker that lives name another start for a moment", "[agent][leased]")
{
    GIVEN("a worker with two runs")
    {
        denial_fixture fixture;
        auto const born = fixture.worker.born;
        auto const odd = GENERATE(std::uint64_t(4), std::uint64_t(6));
        CAPTURE(odd);
        WHEN("its answers name the announced start again")
        {
            fixture.worker.born = odd;
            fixture.advance(milliseconds(50));
            CHECK_FALSE(fixture.runner.available());
            fixture.worker.born = born;
            // Guards against a worker that gets no work until its next announcement.
            THEN("the runs go on, and new work is accepted without an announcement")
            {
                fixture.check_runs_go_on();
                fixture.check_serves();
            }
        }
        WHEN("it denies its id meanwhile, so that its id is not known for a moment")
        {
            fixture.worker.denies = [](auto const& call) { return !call.incarnation.id.empty(); };
            fixture.advance(milliseconds(20));
            fixture.worker.born = odd;
            fixture.advance(milliseconds(50));
            fixture.worker.born = born;
            fixture.advance(milliseconds(50));
            CHECK_FALSE(fixture.runner.available());
            fixture.worker.denies = {};
            THEN("the runs go on, and new work is accepted under the announced id")
            {
                fixture.check_runs_go_on();
                CHECK(fixture.runner.current_incarnation().id == fixture.worker.id);
                fixture.check_serves();
            }
        }
    }
}

SCENARIO("a later life of the worker is heard under another id", "[agent][leased]")
{
    GIVEN("a worker with two runs, which has ended")
    {
        denial_fixture fixture;
        WHEN("a later life answers with a denial, and lists nothing")
        {
            fixture.restart("i-9", 6);
            // Guards against tasks that wait longer than today for a worker that is gone.
            THEN("the runs are given up within some milliseconds")
            {
                fixture.advance(milliseconds(60));
                REQUIRE(fixture.results.size() == 2);
                for (auto const& result : fixture.results)
                    CHECK(result.kind == outcome_kind::unknown);
            }
        }
        WHEN("a later life announces itself, and lists nothing")
        {
            fixture.restart("i-9", 6);
            fixture.runner.announced({"i-9", 6}, fixture.worker.clock);
            // Guards against an outcome that is told before the proof stands.
            THEN("the runs are given up once it has been heard")
            {
                CHECK(fixture.results.empty());
                fixture.advance(milliseconds(60));
                REQUIRE(fixture.results.size() == 2);
                for (auto const& result : fixture.results)
                    CHECK(result.kind == outcome_kind::unknown);
                fixture.check_serves();
            }
        }
        WHEN("a later life announces itself, and lists one of them")
        {
            fixture.restart("i-9", 6);
            protocol::task_start task;
            task.payload = std::to_string(work.count());
            (void)fixture.worker.carry_out_start({}, {"a.0.0.0", 1}, task,
                                                 fixture.worker.clock + milliseconds(500));
            REQUIRE(fixture.worker.runs("a.0.0.0"));
            fixture.runner.announced({"i-9", 6}, fixture.worker.clock);
            // Guards against good work that is stopped as unknown and started elsewhere.
            THEN("that one goes on, and the other one is given up")
            {
                fixture.advance(milliseconds(100));
                REQUIRE(fixture.results.size() == 1);
                CHECK(fixture.results.front().kind == outcome_kind::unknown);
                fixture.advance(work + milliseconds(100));
                REQUIRE(fixture.results.size() == 2);
                CHECK(fixture.results.back().kind == outcome_kind::succeeded);
            }
        }
    }
}
