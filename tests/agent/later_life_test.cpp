// Runs of an agent when a later life of its worker answers.

#include <catch2/catch.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
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
constexpr milliseconds short_work {50};
constexpr std::uint64_t first_born = 5;

struct later_life_fixture : simulated_worker_fixture {
    later_life_fixture()
    {
        this->worker.stop_duration = milliseconds(30);
        this->start("a.0.0.0", work);
        this->advance(milliseconds(100));
        REQUIRE(this->worker.runs("a.0.0.0"));
    }

    /// The worker restarts with nothing.
    void restart(std::string const& id, std::uint64_t born)
    {
        this->worker.crash();
        this->worker.restart(born);
        this->worker.id = id;
    }
    void announce() { this->runner.announced({this->worker.id, this->worker.born}, {}); }
    /// The next life has carried out an order that was meant for the former one.
    void carry_out_start(std::string const& name, std::uint64_t number)
    {
        protocol::task_start task;
        task.payload = std::to_string(work.count());
        REQUIRE(this->worker.carry_out_start({}, {name, number}, task,
                                             this->worker.clock + milliseconds(900))
                == worker_answer::accepted);
    }
    /// One of two runs is on the worker.
    void check_given_up_after_end(std::string const& name)
    {
        while (this->worker.runs(name)) {
            CHECK(this->results.size() <= 1);
            this->advance(milliseconds(10));
        }
        this->advance(milliseconds(1500));
        CHECK(this->results.size() == 2);
    }
    [[nodiscard]] bool serves()
    {
        this->results.clear();
        this->start("new.0.0.0", short_work);
        this->advance(milliseconds(200));
        return this->results.size() == 1 && this->results.front().kind == outcome_kind::succeeded;
    }
};

} // namespace

SCENARIO("a worker starts again with a clock that was set back", "[agent][leased]")
{
    GIVEN("a worker with a run")
    {
        later_life_fixture fixture;
        WHEN("a life with an earlier start answers")
        {
            auto const id = GENERATE(std::string("i-1"), std::string("i-9"));
            CAPTURE(id);
            fixture.restart(id, first_born - 1);
            fixture.advance(milliseconds(100));
            fixture.announce();
            fixture.advance(milliseconds(500));
            // Guards against a worker that gets no work until its agent is restarted.
            THEN("its former run is given up, and it gets work")
            {
                CHECK(fixture.results.size() == 1);
                CHECK(fixture.runner.current_incarnation()
                      == worker_incarnation {id, first_born - 1});
                CHECK(fixture.serves());
            }
        }
    }
}

SCENARIO("a later life of the worker is asked what it runs", "[agent][leased]")
{
    GIVEN("a worker with a run")
    {
        later_life_fixture fixture;
        WHEN("a life under another id announces itself, and does not state its start in lists")
        {
            fixture.restart("i-9", first_born + 1);
            fixture.worker.stated_born
                = [](std::uint64_t) -> std::optional<std::uint64_t> { return {}; };
            fixture.announce();
            fixture.advance(milliseconds(60));
            // Guards against a list of whoever answers that proves an end.
            THEN("the run is given up only when a list states it")
            {
                CHECK(fixture.results.empty());
                fixture.worker.stated_born = {};
                fixture.advance(milliseconds(60));
                CHECK(fixture.results.size() == 1);
            }
        }
        WHEN("the run is given up, and its task starts again")
        {
            fixture.restart("i-9", first_born + 1);
            fixture.announce();
            fixture.advance(milliseconds(100));
            REQUIRE(fixture.results.size() == 1);
            fixture.start("a.0.0.0", work);
            fixture.advance(milliseconds(50));
            // Guards against a late order of the former run that is taken for the new one.
            THEN("its run has a higher number")
            {
                REQUIRE(fixture.worker.runs("a.0.0.0"));
                CHECK(fixture.worker.present().at("a.0.0.0").run.number == 2);
            }
        }
        WHEN("another run has ended, and the later life has done the work of the first one")
        {
            fixture.start("b.0.0.0", short_work);
            fixture.advance(milliseconds(200));
            REQUIRE(fixture.results.size() == 1);
            fixture.results.clear();
            fixture.restart("i-9", first_born + 1);
            fixture.carry_out_start("a.0.0.0", 1);
            fixture.worker.finish_all_but("");
            fixture.advance(milliseconds(100));
            // Guards against ends of the later life that are acknowledged before they were read.
            THEN("the end is read")
            {
                REQUIRE(fixture.results.size() == 1);
                CHECK(fixture.results.front().kind == outcome_kind::succeeded);
            }
        }
    }
    GIVEN("a worker that has not answered a start")
    {
        later_life_fixture fixture;
        fixture.worker.lost_starts = true;
        fixture.start("b.0.0.0", work);
        WHEN("it starts again under its id, and announces itself before the start is given up")
        {
            fixture.restart("i-1", first_born + 1);
            fixture.worker.lost_starts = false;
            auto const before = fixture.worker.starts;
            fixture.advance(milliseconds(20));
            fixture.announce();
            REQUIRE(fixture.runner.available());
            fixture.advance(milliseconds(400));
            // Guards against a start for which the former life may have had its answer lost.
            THEN("the start is not sent to the later life")
            {
                CHECK(fixture.worker.starts == before);
                for (auto const& result : fixture.results)
                    CHECK(result.kind != outcome_kind::succeeded);
            }
        }
        WHEN("it starts again under its id where the start arrives, and announces itself")
        {
            fixture.restart("i-1", first_born + 1);
            fixture.carry_out_start("b.0.0.0", 1);
            fixture.worker.lists_runs = false;
            fixture.announce();
            // Guards against an announcement that is taken for a refusal of former orders.
            THEN("only the other run is given up before its end")
            {
                fixture.check_given_up_after_end("b.0.0.0");
            }
        }
        WHEN("it denies all calls until it starts again under its id, where the start arrives late")
        {
            fixture.worker.denies = [](auto const&) { return true; };
            fixture.advance(milliseconds(200));
            fixture.restart("i-1", first_born + 1);
            fixture.worker.denies = {};
            fixture.carry_out_start("b.0.0.0", 1);
            fixture.worker.lists_runs = false;
            // Guards against a run that is given up because it is missing from a list.
            THEN("only the other run is given up before its end")
            {
                fixture.check_given_up_after_end("b.0.0.0");
            }
        }
    }
}
