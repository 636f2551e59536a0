// Which of several announced services an incarnation of a worker has.

#include <catch2/catch.hpp>

#include <chrono>

#include "platform/worker_announcement.h"

using namespace greengagehead;
using std::chrono::milliseconds;

SCENARIO("announcements for one incarnation name two services", "[platform][worker]")
{
    GIVEN("an incarnation with a recorded service")
    {
        platform::service_filter filter;
        base::steady_time const start {std::chrono::hours(1)};
        auto const accept = [&](std::string const& service, int ms) {
            return filter.accept(service, "s1", start + milliseconds(ms));
        };

        // Guards against another writer that moves a worker to another service.
        WHEN("another one is announced several times within a second")
        {
            THEN("it is refused")
            {
                for (int ms = 0; ms < 1000; ms += 111)
                    CHECK_FALSE(accept("s2", ms));
            }
        }
        WHEN("the recorded one is announced in between")
        {
            CHECK_FALSE(accept("s2", 0));
            CHECK(accept("s1", 900));
            THEN("the other one is refused again")
            {
                CHECK_FALSE(accept("s2", 1000));
                CHECK_FALSE(accept("s2", 1900));
            }
        }
        // Guards against a worker that is refused for good.
        WHEN("only the other one is announced")
        {
            CHECK_FALSE(accept("s2", 0));
            THEN("it is accepted after a second")
            {
                CHECK(accept("s2", 1000));
            }
        }
    }
}
