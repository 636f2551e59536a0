// Delays of an event loop.

#include <catch2/catch.hpp>

#include <chrono>

#include "policy/loop_delay.h"

namespace {

using namespace greengagehead;
using namespace std::chrono_literals;

} // namespace

SCENARIO("an event loop measures how far it is behind", "[policy]")
{
    GIVEN("a timer of 10 ms that was on time")
    {
        policy::loop_delay delays(10ms);
        base::steady_time now {1h};
        delays.record(now);
        CHECK(delays.record(now += 10ms) == 0ms);

        // Guards against a loop whose delay is not noticed until requests time out.
        WHEN("the timer is handled late")
        {
            CHECK(delays.record(now += 260ms) == 250ms);
            THEN("the delay is reported once")
            {
                CHECK(delays.latest() == 250ms);
                auto const first = delays.take();
                CHECK(first.longest == 250ms);
                CHECK(first.count == 1);
                CHECK(delays.take().count == 0);
            }
            AND_WHEN("it is on time again")
            {
                CHECK(delays.record(now += 10ms) == 0ms);
                THEN("nothing waits, and the summary still has the delay")
                {
                    CHECK(delays.latest() == 0ms);
                    CHECK(delays.take().longest == 250ms);
                }
            }
        }
        // Guards against a negative delay when a late timer is followed by an early one.
        WHEN("the timer is handled early")
        {
            CHECK(delays.record(now += 3ms) == 0ms);
            THEN("there is no delay")
            {
                CHECK(delays.take().longest == 0ms);
            }
        }
    }
}
