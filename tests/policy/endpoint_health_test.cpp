#include <catch2/catch.hpp>

#include "policy/endpoint_health.h"
#include "policy/placement_policy.h"
#include "policy/worker_reports.h"

namespace {

using namespace greengagehead::policy;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr milliseconds expected(100);

/// Places `count` tasks, 1 ms apart, and records the result of each at once. `behaviour` gives the
/// success and run time of a task by zone and endpoint. Returns the number of successes.
template <typename Behaviour>
int place_tasks(endpoint_table& table, endpoint_health& health, std::int64_t& clock, int count,
                Behaviour const& behaviour)
{
    auto const policy
        = make_placement_policy("least_loaded", static_cast<std::uint64_t>(clock) + 1);
    placement_request request;
    request.kind = "quote";
    int succeeded = 0;
    for (int step = 0; step < count; ++step) {
        auto const choice = policy->choose(request, table, health, time_at(++clock));
        if (!choice)
            continue;
        auto const [success, run_time]
            = behaviour(table.find(choice->endpoint)->zone, choice->endpoint);
        health.record(choice->endpoint, success, run_time, expected, time_at(clock));
        succeeded += success ? 1 : 0;
    }
    return succeeded;
}

} // namespace

SCENARIO("a failing or slow endpoint is excluded and returns gradually")
{
    endpoint_table table;
    endpoint_health health;
    add_workers(table, 12);
    std::int64_t clock = 0;
    bool repaired = false;

    // Guards against an endpoint that attracts all tasks because it fails them quickly and
    // therefore looks idle, and against one that hangs.
    GIVEN("an endpoint that fails fast, or is fifty times slower than the others")
    {
        auto const fails_fast = GENERATE(true, false);
        auto const behaviour = [&](std::string const& /*zone*/, std::string const& name) {
            bool const failing = name == "e5" && !repaired;
            auto const run_time
                = failing ? (fails_fast ? milliseconds(1) : 50 * expected) : expected;
            return std::pair<bool, microseconds>(!failing || !fails_fast, run_time);
        };
        place_tasks(table, health, clock, 500, behaviour);
        THEN("it is excluded")
        {
            CHECK(health.state("e5") == health_state::excluded);
            CHECK(health.excluded() == 1);
        }
        WHEN("it is repaired")
        {
            repaired = true;
            clock += 1000;
            THEN("a single probe leads to a gradual return")
            {
                for (int attempts = 0;
                     attempts < 1000 && health.state("e5") == health_state::excluded; ++attempts)
                    place_tasks(table, health, clock, 1, behaviour);
                CHECK(health.state("e5") == health_state::returning);
                CHECK(health.accepts("e5", 0, 12, time_at(clock)));
                CHECK_FALSE(health.accepts("e5", 1, 12, time_at(clock)));
                place_tasks(table, health, clock, 1000, behaviour);
                CHECK(health.state("e5") == health_state::healthy);
            }
        }
    }
    // Guards against sending several tasks to an endpoint before a probe has succeeded.
    GIVEN("an excluded endpoint whose period is over")
    {
        for (int attempt = 0; attempt < 3; ++attempt) {
            CHECK(health.accepts("e5", 0, 12, time_at(attempt)));
            health.record("e5", false, milliseconds(1), expected, time_at(attempt));
        }
        REQUIRE(health.state("e5") == health_state::excluded);
        CHECK_FALSE(health.accepts("e5", 0, 12, time_at(900)));
        REQUIRE(health.accepts("e5", 0, 12, time_at(1100)));
        health.record_placement("e5", time_at(1100));
        THEN("it gets one probe, and a longer period when that fails")
        {
            CHECK_FALSE(health.accepts("e5", 0, 12, time_at(1200)));
            health.record("e5", false, milliseconds(1), expected, time_at(1200));
            CHECK_FALSE(health.accepts("e5", 0, 12, time_at(3100)));
            CHECK(health.accepts("e5", 0, 12, time_at(3300)));
        }
    }
}

SCENARIO("a failure with a common cause does not exclude the whole fleet")
{
    endpoint_table table;
    endpoint_health health;
    add_workers(table, 12);
    std::int64_t clock = 0;

    // Guards against excluding healthy zones together with a failed one.
    GIVEN("a zone in which every endpoint fails fast")
    {
        auto const behaviour = [](std::string const& zone, std::string const& /*name*/) {
            return std::pair<bool, microseconds>(zone != "z1", milliseconds(1));
        };
        place_tasks(table, health, clock, 200, behaviour);
        THEN("only that zone is excluded and the others get all tasks")
        {
            CHECK(health.excluded() == 4);
            CHECK(place_tasks(table, health, clock, 500, behaviour) == 500);
        }
    }
    // Guards against excluding all endpoints for a fault that lies elsewhere.
    GIVEN("a fleet in which everything fails")
    {
        place_tasks(table, health, clock, 3000, [](std::string const&, std::string const&) {
            return std::pair<bool, microseconds>(false, milliseconds(1));
        });
        THEN("half of it still gets tasks")
        {
            CHECK(health.excluded() == 6);
        }
    }
    // Guards against treating endpoints as slow because the expected times are too short.
    GIVEN("tasks that all take ten times the expected time")
    {
        place_tasks(table, health, clock, 1000, [](std::string const&, std::string const&) {
            return std::pair<bool, microseconds>(true, 10 * expected);
        });
        THEN("no endpoint is excluded")
        {
            CHECK(health.excluded() == 0);
        }
    }
}
