// Holding of requests while an entry recovers its state. The load: deadlines of 1,500 ms, tasks of
// 60, 200 and 900 ms, and entries that have their state 0.7 s after their start.

#include <catch2/catch.hpp>

#include <rapidcheck/catch.h>

#include "policy/recovery_hold.h"

namespace {

using namespace greengagehead;
using namespace greengagehead::policy;
using std::chrono::milliseconds;

base::steady_time const start {std::chrono::hours(1)};
constexpr milliseconds deadline {1500};
constexpr recovery_hold_limits limits {milliseconds(1000), 10'000};

hold_decision decide(recovery_hold const& holds, milliseconds arrival, milliseconds run_time,
                     std::size_t bytes_held = 0)
{
    auto const now = start + arrival;
    return holds.decide({now + deadline, run_time, 1000}, bytes_held, now);
}

} // namespace

SCENARIO("requests arrive after the start of an entry", "[policy][recovery]")
{
    GIVEN("an entry that has just started")
    {
        recovery_hold holds(limits, start);

        // Guards against refusing requests that the entry can serve once it has its configuration.
        THEN("short tasks are held until the recovery must have ended")
        {
            auto const decision = decide(holds, milliseconds(0), milliseconds(200));
            CHECK(decision.verdict == hold_verdict::hold);
            CHECK(decision.until == start + milliseconds(1000));
        }
        // Guards against holding a caller for a job that then ends after its deadline.
        THEN("a task that is too long for the time left is refused at once")
        {
            CHECK(decide(holds, milliseconds(0), milliseconds(900)).verdict
                  == hold_verdict::too_little_time);
            CHECK(decide(holds, milliseconds(600), milliseconds(900)).verdict
                  == hold_verdict::hold);
        }
        // Guards against a hold that ends too late for the task to be run.
        THEN("no hold ends after the latest start")
        {
            auto const decision = decide(holds, milliseconds(540), milliseconds(900));
            REQUIRE(decision.verdict == hold_verdict::hold);
            CHECK(decision.until <= start + milliseconds(540 + 1500 - 900));
        }
        // Guards against an entry that ends because of the memory of held requests.
        THEN("nothing is held beyond the limit of bytes")
        {
            CHECK(decide(holds, milliseconds(0), milliseconds(60), 9'000).verdict
                  == hold_verdict::hold);
            CHECK(decide(holds, milliseconds(0), milliseconds(60), 9'001).verdict
                  == hold_verdict::no_memory);
        }
        // Guards against a request that is larger than the limit and makes the difference wrap
        // around.
        THEN("a request larger than the limit is refused")
        {
            CHECK(holds.decide({start + deadline, milliseconds(60), 10'001}, 0, start).verdict
                  == hold_verdict::no_memory);
        }
        // Guards against callers that wait for an outage which does not end.
        THEN("nothing is held after the time in which recovery is expected")
        {
            CHECK(decide(holds, milliseconds(1000), milliseconds(60)).verdict
                  == hold_verdict::not_recovering);
        }
        // Guards against refusing requests of a kind whose endpoints report after the first ones.
        THEN("requests are held until then although the first endpoint is known")
        {
            holds.record_state(true, start + milliseconds(400));
            CHECK(decide(holds, milliseconds(500), milliseconds(200)).verdict
                  == hold_verdict::hold);
        }
    }
    GIVEN("an entry that must not hold requests")
    {
        recovery_hold const holds({milliseconds(0), 10'000}, start);
        // Guards against a change of behaviour without the setting.
        THEN("none is held")
        {
            CHECK(decide(holds, milliseconds(0), milliseconds(60)).verdict
                  == hold_verdict::not_recovering);
        }
    }
}

SCENARIO("an entry loses its endpoints", "[policy][recovery]")
{
    GIVEN("an entry that had its state 300 ms after its start and loses it after a minute")
    {
        recovery_hold holds(limits, start);
        holds.record_state(true, start + milliseconds(300));
        milliseconds const lost {60'000};
        holds.record_state(false, start + lost);

        // Guards against holding by the limit although recoveries are known to be shorter.
        THEN("a task is held that has enough time after a recovery of 300 ms")
        {
            CHECK(decide(holds, lost, milliseconds(900)).verdict == hold_verdict::hold);
        }
        // Guards against trusting a learned time that this recovery has already exceeded.
        THEN("after 300 ms the limit applies")
        {
            auto const later = lost + milliseconds(310);
            CHECK(holds.expected_end(start + later) == start + lost + milliseconds(1000));
            CHECK(decide(holds, later, milliseconds(900)).verdict == hold_verdict::too_little_time);
        }
        // Guards against a first recovery that is taken for typical for ever.
        THEN("later recoveries replace the learned time")
        {
            auto began = lost;
            for (int round = 0; round < 4; ++round) {
                holds.record_state(true, start + began + milliseconds(100));
                began += std::chrono::seconds(10);
                holds.record_state(false, start + began);
            }
            CHECK(holds.expected_end(start + began) == start + began + milliseconds(100));
        }
    }
    // Guards against holds without an end, and against those that end after the deadline.
    THEN("every hold ends within the limit and before the deadline")
    {
        CHECK(rc::check([] {
            recovery_hold holds(limits, start);
            milliseconds now {0};
            for (int step = 0; step < 30; ++step) {
                now += milliseconds(*rc::gen::inRange(0, 700));
                holds.record_state(*rc::gen::arbitrary<bool>(), start + now);
                milliseconds const run_time {*rc::gen::inRange(0, 2000)};
                auto const decision = decide(holds, now, run_time);
                if (decision.verdict != hold_verdict::hold)
                    continue;
                RC_ASSERT(decision.until >= start + now);
                RC_ASSERT(decision.until <= start + now + milliseconds(1000));
                RC_ASSERT(decision.until + run_time <= start + now + deadline);
            }
        }));
    }
}
