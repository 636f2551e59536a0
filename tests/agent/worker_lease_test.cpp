// Ends of a worker's lease on its own clock and on that of the agent.

#include <catch2/catch.hpp>

#include <chrono>

#include "agent/worker_lease.h"

namespace {

using namespace greengagehead;
using namespace greengagehead::agent;
using std::chrono::milliseconds;

constexpr base::steady_time unlimited = base::steady_time::max();

} // namespace

SCENARIO("a lease is granted to a worker", "[agent][leased]")
{
    GIVEN("a worker whose clock has been read")
    {
        base::steady_time now {std::chrono::hours(1)};
        worker_lease lease({}, now - std::chrono::seconds(10));
        lease.record_clock(worker_clock(10'000), now);

        WHEN("every run may go on")
        {
            auto const end = lease.next_end(unlimited, now);
            THEN("the lease ends after 1 s of the worker's clock")
            {
                CHECK(end == worker_clock(11'000));
            }
            AND_WHEN("it is granted")
            {
                lease.grant(end, now);
                now += milliseconds(1000);
                // Guards against a run that goes on because the worker's clock is slow.
                THEN("it has ended once the slowest clock has reached it")
                {
                    CHECK_FALSE(lease.expired(now + milliseconds(19)));
                    CHECK(lease.expired(now + milliseconds(20)));
                }
            }
        }
        WHEN("a run must end in 200 ms")
        {
            THEN("the lease ends then")
            {
                CHECK(lease.next_end(now + milliseconds(200), now) == worker_clock(10'200));
            }
            AND_WHEN("a longer lease was granted before")
            {
                lease.grant(worker_clock(10'700), now);
                // Guards against starts that are refused as late during a lease that still holds.
                THEN("its end is named again, which extends nothing")
                {
                    auto const granted = lease.granted();
                    CHECK(lease.next_end(now + milliseconds(200), now) == worker_clock(10'700));
                    lease.grant(worker_clock(10'700), now + milliseconds(100));
                    CHECK(lease.granted().end == granted.end);
                    CHECK(lease.granted().expire_at == granted.expire_at);
                }
            }
        }
        WHEN("a run should have ended before")
        {
            // Guards against an overflow: an entry of which nothing was heard is lost since the
            // earliest time of the clock.
            THEN("the lease is not extended")
            {
                CHECK(lease.next_end(base::steady_time::min(), now) == worker_clock(10'000));
            }
        }
        WHEN("the clock has not been read again for 5 s")
        {
            now += std::chrono::seconds(5);
            // Guards against a lease that ends too late because the worker's clock is slow.
            THEN("the lease ends after 1 s of the slowest clock")
            {
                CHECK(lease.next_end(unlimited, now) == worker_clock(10'000 + 4'900 + 1'000));
            }
        }
        WHEN("an older reading of the clock arrives late")
        {
            lease.record_clock(worker_clock(9'000), now + milliseconds(100));
            THEN("it has no effect")
            {
                CHECK(lease.clock() == worker_clock(10'000));
            }
        }
    }
    GIVEN("a command with a lease that is not sent")
    {
        base::steady_time now {std::chrono::hours(1)};
        worker_lease lease({}, now);
        lease.record_clock(worker_clock(10'000), now);
        auto const before = lease.grant(worker_clock(10'800), now);
        auto const after = lease.granted();

        WHEN("no other command was sent")
        {
            lease.withdraw(before, after);
            THEN("nothing was granted")
            {
                CHECK(lease.granted() == before);
            }
        }
        WHEN("another command with the same end was sent meanwhile")
        {
            lease.grant(worker_clock(10'800), now + milliseconds(1));
            auto const later = lease.granted();
            lease.withdraw(before, after);
            THEN("its grant counts")
            {
                CHECK(lease.granted() == later);
            }
        }
        WHEN("another command with a later end was sent meanwhile")
        {
            lease.grant(worker_clock(10'900), now + milliseconds(100));
            auto const later = lease.granted();
            lease.withdraw(before, after);
            THEN("the later grant counts")
            {
                CHECK(lease.granted() == later);
            }
        }
    }
}
