// How long a run goes on after what permitted it has ended, and what else ends with it.

#include <catch2/catch.hpp>

#include <chrono>
#include <string>

#include "agent/run_bounds_fixture.h"

namespace {

using namespace greengagehead;
using namespace greengagehead::agent;
using namespace greengagehead::agent::fakes;
using protocol::outcome_kind;

/// As `policy::unconfirmed_run_limit`: an entry takes a cancelled run as ended after this time.
constexpr milliseconds unconfirmed_run_limit {2000};
/// A caller that loses its entry sends its job to another one after this time, at the earliest.
constexpr milliseconds resubmission_delay {1300};

} // namespace

// Guards against a cancelled run that goes on after its entry takes it as ended. The entry lives
// and renews its permission, so only the order to stop ends the run.
SCENARIO("a cancelled run goes on because the order to stop it does not arrive", "[agent][leased]")
{
    GIVEN("a run of an entry that lives, and a worker that no order to stop reaches")
    {
        run_bounds_fixture fixture;
        fixture.send_start(fixture.entry_a, "a.0.0.0");
        fixture.send_start(fixture.entry_b, "b.0.0.0");
        fixture.advance(milliseconds(500));
        REQUIRE(fixture.worker.runs("a.0.0.0"));
        fixture.worker.lost_stops = true;
        WHEN("the entry cancels the run")
        {
            fixture.send_cancel(fixture.entry_a, "a.0.0.0");
            fixture.advance(unconfirmed_run_limit);
            THEN("it has ended when the entry takes it as ended")
            {
                CHECK_FALSE(fixture.worker.runs("a.0.0.0"));
            }
        }
    }
}

// Guards against leases that are shorter than the pauses of a slow agent: its worker would end runs
// of entries that are well.
SCENARIO("an agent is paused for less than a second", "[agent][leased]")
{
    GIVEN("a run on its worker")
    {
        run_bounds_fixture fixture;
        fixture.send_start(fixture.entry_a, "a.0.0.0");
        fixture.advance(milliseconds(400));
        REQUIRE(fixture.worker.runs("a.0.0.0"));
        auto const pause = GENERATE(milliseconds(500), milliseconds(750), milliseconds(800),
                                    milliseconds(850), milliseconds(900));
        CAPTURE(pause.count());
        WHEN("the agent is paused once")
        {
            auto const ends = fixture.now + pause;
            fixture.agent_runs = [&fixture, ends] { return fixture.now >= ends; };
            fixture.advance(milliseconds(2000));
            THEN("the run goes on")
            {
                CHECK(fixture.worker.runs("a.0.0.0"));
                CHECK(fixture.outcomes(fixture.entry_a, outcome_kind::cancelled) == 0);
            }
        }
    }
}

// Guards against runs that an agent takes as ended when it wakes, because of its own clock, while
// the worker, whose clock stood still, goes on with them.
SCENARIO("a machine is suspended with its agent and its worker", "[agent][leased]")
{
    GIVEN("a run on its worker")
    {
        run_bounds_fixture fixture;
        fixture.send_start(fixture.entry_a, "a.0.0.0");
        fixture.advance(milliseconds(400));
        REQUIRE(fixture.worker.runs("a.0.0.0"));
        auto const time = GENERATE(milliseconds(800), milliseconds(1500), milliseconds(3800),
                                   milliseconds(60'000));
        bool const entry_is_gone = GENERATE(false, true);
        CAPTURE(time.count(), entry_is_gone);
        WHEN("it wakes")
        {
            if (entry_is_gone)
                fixture.update_interval["entry.a"] = milliseconds(0);
            fixture.in_transit.clear();
            fixture.now += time;
            bool ended_too_early = false;
            for (int step = 0; step < 3000; ++step) {
                fixture.advance(milliseconds(1));
                auto const outcomes = fixture.outcomes(fixture.entry_a, outcome_kind::unknown)
                    + fixture.outcomes(fixture.entry_a, outcome_kind::cancelled)
                    + fixture.outcomes(fixture.entry_a, outcome_kind::not_run);
                ended_too_early
                    = ended_too_early || (outcomes > 0 && fixture.worker.runs("a.0.0.0"));
            }
            THEN("no end of the run is told while it goes on")
            {
                CHECK_FALSE(ended_too_early);
            }
        }
    }
}

// Guards against a low estimate of the worker's clock after a pause, by which leases are too short.
SCENARIO("an agent gets the processor for a part of the time only", "[agent][leased]")
{
    GIVEN("a run on its worker")
    {
        run_bounds_fixture fixture;
        fixture.send_start(fixture.entry_a, "a.0.0.0");
        fixture.advance(milliseconds(400));
        REQUIRE(fixture.worker.runs("a.0.0.0"));
        auto const period = GENERATE(milliseconds(300), milliseconds(500), milliseconds(600),
                                     milliseconds(700), milliseconds(800), milliseconds(900));
        auto const share = GENERATE(milliseconds(2), milliseconds(15));
        CAPTURE(period.count(), share.count());
        WHEN("it runs for some milliseconds in each period")
        {
            auto const begin = fixture.now;
            fixture.agent_runs = [&fixture, begin, period, share] {
                return (fixture.now - begin) % period < share;
            };
            fixture.advance(milliseconds(4000));
            THEN("the run goes on")
            {
                CHECK(fixture.worker.runs("a.0.0.0"));
                CHECK(fixture.outcomes(fixture.entry_a, outcome_kind::cancelled) == 0);
            }
        }
    }
}

// Guards against an agent that hands back its queue because of the age of a permission, which the
// next update of the entry renews.
SCENARIO("queued tasks start one after the other", "[agent][leased]")
{
    GIVEN("a worker with a run, tasks of the same entry in the queue, and a run of another entry")
    {
        run_bounds_fixture fixture;
        fixture.link_delay = GENERATE(milliseconds(0), milliseconds(20), milliseconds(30),
                                      milliseconds(60), milliseconds(100));
        auto const interval = GENERATE(milliseconds(310), milliseconds(600));
        fixture.update_interval["entry.a"] = interval;
        CAPTURE(fixture.link_delay.count(), interval.count());
        fixture.announce(2);
        fixture.advance(milliseconds(1000));
        fixture.send_start(fixture.entry_b, "b.0.0.0");
        constexpr int tasks = 40;
        for (int i = 0; i < tasks; ++i)
            fixture.send_start(fixture.entry_a, "a" + std::to_string(i) + ".0.0.0");
        fixture.advance(milliseconds(200));
        WHEN("each run takes 70 ms")
        {
            for (int i = 0; i < tasks; ++i) {
                fixture.advance(milliseconds(70));
                fixture.worker.finish_all_but("b.0.0.0");
            }
            fixture.advance(milliseconds(100));
            THEN("no task is handed back")
            {
                CHECK(fixture.outcomes(fixture.entry_a, outcome_kind::not_run) == 0);
                CHECK(fixture.outcomes(fixture.entry_a, outcome_kind::succeeded) >= 30);
            }
        }
    }
}

// Guards against a run that never began and keeps the lease of the others from being extended. The
// lease in its start has ended, so the worker refuses that start without any stop.
SCENARIO("neither the start of a lost entry nor the orders to stop it arrive", "[agent][leased]")
{
    GIVEN("a worker with a run of another entry")
    {
        run_bounds_fixture fixture;
        fixture.send_start(fixture.entry_b, "b.0.0.0");
        fixture.advance(milliseconds(300));
        fixture.worker.lost_starts = true;
        fixture.worker.lost_stops = true;
        fixture.send_start(fixture.entry_a, "a.0.0.0");
        fixture.advance(milliseconds(100));
        fixture.worker.lost_starts = false;
        WHEN("the entry of the lost start ends")
        {
            fixture.update_interval["entry.a"] = milliseconds(0);
            fixture.core.peer_down("entry.a", fixture.now);
            fixture.advance(milliseconds(2500));
            THEN("the agent accepts starts once the lease in the lost start has ended")
            {
                fixture.send_start(fixture.entry_b, "b1.0.0.0");
                fixture.advance(milliseconds(50));
                CHECK(fixture.worker.runs("b1.0.0.0"));
            }
        }
    }
}

// Guards against leases that end too late because the estimate of a slow worker's clock is old.
SCENARIO("the clock of a worker was read long ago", "[agent][leased]")
{
    GIVEN("a worker of which the clock is 2% slow, and of which no answer arrives any more")
    {
        run_bounds_fixture fixture;
        fixture.calls.rate_percent = 98;
        fixture.send_start(fixture.entry_a, "a.0.0.0");
        fixture.send_start(fixture.entry_b, "b.0.0.0");
        fixture.advance(milliseconds(500));
        REQUIRE(fixture.worker.runs("a.0.0.0"));
        fixture.calls.lost_answers = true;
        fixture.worker.lost_stops = true;
        auto const silence
            = GENERATE(milliseconds(0), milliseconds(600), milliseconds(3000), milliseconds(8000));
        CAPTURE(silence.count());
        fixture.advance(silence);
        WHEN("one of the entries ends")
        {
            bool const ran = fixture.worker.runs("a.0.0.0");
            fixture.update_interval["entry.a"] = milliseconds(0);
            fixture.advance(resubmission_delay);
            THEN("its run has ended when its caller comes back")
            {
                CAPTURE(ran);
                CHECK_FALSE(fixture.worker.runs("a.0.0.0"));
            }
        }
    }
}

// Guards against a report that extends the lease of the worker's next life, whose clock starts
// anew, although the runner means to extend none.
SCENARIO("a lease is withheld when the worker starts a new life", "[agent][leased]")
{
    GIVEN("a run of a lost entry, of which the answer to the start was lost")
    {
        run_bounds_fixture fixture;
        fixture.send_start(fixture.entry_b, "b.0.0.0");
        fixture.advance(milliseconds(500));
        fixture.worker.lost_starts = true;
        fixture.worker.lost_stops = true;
        fixture.update_interval["entry.a"] = milliseconds(0);
        fixture.send_start(fixture.entry_a, "a.0.0.0");
        fixture.advance(milliseconds(100));
        WHEN("the next life of the worker carries out the start, and its answers do not arrive")
        {
            fixture.calls.lost_answers = true;
            fixture.worker.restart(6);
            fixture.worker.carry_out_lost_orders();
            REQUIRE(fixture.worker.runs("a.0.0.0"));
            fixture.advance(resubmission_delay);
            // Longer than the lease of 1 s that the worker grants to the late start.
            fixture.advance(milliseconds(1000));
            THEN("the run has ended with the lease of its start")
            {
                CHECK_FALSE(fixture.worker.runs("a.0.0.0"));
            }
        }
    }
}

// Guards against a start of an id's former life that its next life carries out, after the machine
// has had a worker with another id.
SCENARIO("the id of a worker is used again after another one", "[agent][leased]")
{
    GIVEN("a start that was lost, and a worker with another id in its place")
    {
        run_bounds_fixture fixture;
        fixture.worker.lost_starts = true;
        fixture.send_start(fixture.entry_a, "a.0.0.0");
        fixture.advance(milliseconds(15));
        fixture.worker.lost_starts = false;
        fixture.worker.restart(6);
        fixture.worker.id = "i-2";
        fixture.runner.announced({"i-2", 6}, fixture.worker.clock);
        fixture.advance(milliseconds(300));
        REQUIRE(fixture.outcomes(fixture.entry_a, outcome_kind::unknown) == 1);
        WHEN("the former id returns, and the start arrives after its first report")
        {
            fixture.worker.restart(7);
            fixture.worker.id = "i-1";
            fixture.runner.announced({"i-1", 7}, fixture.worker.clock);
            while (fixture.worker.reports == 0)
                fixture.advance(milliseconds(1));
            fixture.worker.carry_out_lost_orders();
            THEN("the run does not start")
            {
                CHECK_FALSE(fixture.worker.runs("a.0.0.0"));
            }
        }
    }
}

// Guards against a worker's other runs that end because the entry of one run is slow.
SCENARIO("an entry is late with its updates", "[agent][leased]")
{
    GIVEN("a worker with runs of two entries, and a slow link to one of them")
    {
        run_bounds_fixture fixture;
        fixture.send_start(fixture.entry_a, "a.0.0.0");
        fixture.send_start(fixture.entry_b, "b.0.0.0");
        fixture.advance(milliseconds(400));
        auto const interval = GENERATE(milliseconds(600), milliseconds(880), milliseconds(1200),
                                       milliseconds(2500));
        fixture.update_interval["entry.a"] = interval;
        CAPTURE(interval.count());
        WHEN("its updates come seldom")
        {
            fixture.advance(milliseconds(6000));
            THEN("the run of the other entry goes on")
            {
                CHECK(fixture.worker.runs("b.0.0.0"));
            }
        }
        WHEN("the agent is paused for 250 ms at any moment, too")
        {
            auto const offset = GENERATE(range(0, 1300, 100));
            CAPTURE(offset);
            fixture.advance(milliseconds(2000 + offset));
            auto const ends = fixture.now + milliseconds(250);
            fixture.agent_runs = [&fixture, ends] { return fixture.now >= ends; };
            fixture.advance(milliseconds(1500));
            THEN("the run of the other entry goes on")
            {
                CHECK(fixture.worker.runs("b.0.0.0"));
            }
        }
    }
}

// Guards against runs that outlive their entry on one of many ways in which messages, orders and
// the agent are late.
SCENARIO("an entry ends while its links and its agent are slow", "[agent][leased]")
{
    GIVEN("runs of two entries, a slow link, a slow clock, and no orders to stop")
    {
        run_bounds_fixture fixture;
        fixture.link_delay = GENERATE(milliseconds(0), milliseconds(100), milliseconds(400));
        fixture.calls.rate_percent = 98;
        fixture.update_interval["entry.a"] = GENERATE(milliseconds(310), milliseconds(700));
        auto const offset = GENERATE(range(0, 700, 50));
        auto const pause = GENERATE(milliseconds(0), milliseconds(250), milliseconds(600));
        CAPTURE(fixture.link_delay.count(), offset, pause.count());
        fixture.send_start(fixture.entry_a, "a.0.0.0");
        fixture.send_start(fixture.entry_b, "b.0.0.0");
        fixture.advance(milliseconds(1500 + offset));
        fixture.worker.lost_stops = true;
        WHEN("one entry ends, and its messages on the way still arrive")
        {
            fixture.update_interval["entry.a"] = milliseconds(0);
            auto const ends = fixture.now + pause;
            fixture.agent_runs = [&fixture, ends] { return fixture.now >= ends; };
            fixture.advance(resubmission_delay);
            THEN("its run has ended when its caller comes back")
            {
                CHECK_FALSE(fixture.worker.runs("a.0.0.0"));
            }
        }
    }
}

// Guards against a start that gives a run more time than its entry permits.
SCENARIO("a queued task starts with an old permission", "[agent][leased]")
{
    GIVEN("a full worker, a task in its queue, and no orders to stop")
    {
        run_bounds_fixture fixture;
        fixture.announce(2);
        fixture.send_start(fixture.entry_b, "b.0.0.0");
        fixture.send_start(fixture.entry_b, "b1.0.0.0");
        fixture.advance(milliseconds(500));
        fixture.worker.lost_stops = true;
        auto const age = GENERATE(range(0, 1300, 50));
        CAPTURE(age);
        WHEN("its entry ends, and the task starts some time later")
        {
            fixture.send_start(fixture.entry_a, "a.0.0.0");
            fixture.update_interval["entry.a"] = milliseconds(0);
            fixture.advance(milliseconds(1));
            auto const sent = fixture.now;
            fixture.advance(milliseconds(age));
            fixture.worker.finish_all_but("b.0.0.0");
            fixture.advance(resubmission_delay - (fixture.now - sent) > milliseconds(0)
                                ? std::chrono::duration_cast<milliseconds>(resubmission_delay
                                                                           - (fixture.now - sent))
                                : milliseconds(0));
            THEN("its run has ended when its caller comes back")
            {
                CHECK_FALSE(fixture.worker.runs("a.0.0.0"));
            }
        }
    }
}

// Guards against runs of the former incarnation that count as permitted by the next one.
SCENARIO("an entry restarts under its name", "[agent][leased]")
{
    GIVEN("runs of two entries, and no orders to stop")
    {
        run_bounds_fixture fixture;
        fixture.send_start(fixture.entry_a, "a.0.0.0");
        fixture.send_start(fixture.entry_b, "b.0.0.0");
        fixture.advance(milliseconds(700));
        fixture.worker.lost_stops = true;
        WHEN("one of them is replaced by its next incarnation")
        {
            auto const ended = fixture.now;
            fixture.update_interval["entry.a"] = milliseconds(0);
            auto const absent = GENERATE(milliseconds(50), milliseconds(500), milliseconds(1000));
            CAPTURE(absent.count());
            fixture.advance(absent);
            protocol::process_id const next {"entry.a", 12};
            for (int i = 0; fixture.now < ended + resubmission_delay; ++i) {
                if (i % 30 == 0)
                    fixture.send(next,
                                 protocol::lease_update {
                                     fixture.stamp(next), {}, {}, {next, fixture.entry_b}, {}});
                fixture.advance(milliseconds(10));
            }
            THEN("the run of the former one has ended when its caller comes back")
            {
                CHECK_FALSE(fixture.worker.runs("a.0.0.0"));
            }
        }
    }
}

// Guards against the end of another entry's run while a link is restored.
SCENARIO("the link to an entry breaks and comes back", "[agent][leased]")
{
    GIVEN("runs of two entries")
    {
        run_bounds_fixture fixture;
        fixture.send_start(fixture.entry_a, "a.0.0.0");
        fixture.send_start(fixture.entry_b, "b.0.0.0");
        auto const offset = GENERATE(range(0, 300, 25));
        auto const outage = GENERATE(milliseconds(1), milliseconds(20), milliseconds(250));
        CAPTURE(offset, outage.count());
        fixture.advance(milliseconds(700 + offset));
        WHEN("the link to one of them is down for less than its grace")
        {
            fixture.core.peer_down("entry.a", fixture.now);
            fixture.update_interval["entry.a"] = milliseconds(0);
            fixture.advance(outage);
            fixture.core.peer_up("entry.a", fixture.now);
            fixture.update_interval["entry.a"] = milliseconds(300);
            fixture.advance(milliseconds(1000));
            THEN("the run of the other entry goes on")
            {
                CHECK(fixture.worker.runs("b.0.0.0"));
            }
        }
    }
}
