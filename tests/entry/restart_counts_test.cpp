// Counts of tasks that were queued again.

#include <catch2/catch.hpp>

#include <string>

#include "entry/restart_counts.h"

using namespace greengagehead;

SCENARIO("tasks are queued again for several reasons", "[entry]")
{
    GIVEN("counts of restarts")
    {
        entry::restart_counts counts;
        WHEN("two tasks are queued again for one reason, and one for another")
        {
            counts.record("the agent was lost");
            counts.record("the agent was lost");
            counts.record("stopped at the endpoint");
            THEN("each reason has its count")
            {
                CHECK(counts.by_reason().size() == 2);
                CHECK(counts.by_reason().at("the agent was lost") == 2);
            }
        }
        WHEN("endpoints name ever other reasons")
        {
            for (int number = 0; number < 1000; ++number)
                counts.record("failure " + std::to_string(number));
            counts.record("failure 0");
            // Guards against memory that grows with the texts of endpoints.
            THEN("most of them share one count")
            {
                CHECK(counts.by_reason().size() < 40);
                CHECK(counts.by_reason().at("failure 0") == 2);
                CHECK(counts.by_reason().at("other") > 900);
            }
        }
    }
}
