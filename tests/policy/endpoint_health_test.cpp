#include <catch2/catch.hpp>

#include "policy/endpoint_health.h"
#include "policy/fleet.h"
#include "policy/placement_policy.h"

namespace {

using namespace greengagehead::policy;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr milliseconds expected(100);

/// Places `count` tasks, 1 ms apart, and reports each as done at once. Returns how many succeeded.
template <typename Behaviour>
int place(endpoint_table& table, endpoint_health& health, std::int64_t& clock, int count,
          Behaviour const& behaviour)
{
    auto const policy
        = make_placement_policy("least_loaded", static_cast<std::uint64_t>(clock) + 1);
    placement_request request;
    request.kind = "quote";
    int succeeded = 0;
    for (int step = 0; step < count; ++step) {
        auto const choice = policy->choose(request, table, health, at(++clock));
        if (!choice)
            continue;
        auto const [good, run_time]
            = behaviour(table.find(choice->endpoint)->zone, choice->endpoint);
        health.record(choice->endpoint, good, run_time, expected, at(clock));
        succeeded += good ? 1 : 0;
    }
    return succeeded;
}

} // namespace

SCENARIO("an endpoint that fails everything gets few tasks")
{
    endpoint_table table;
    endpoint_health health;
    add_workers(table, 12);
    std::int64_t clock = 0;
    bool repaired = false;

    // Guards against an endpoint that fails fast, looks empty for that reason and attracts all
    // tasks, and against one that hangs.
    GIVEN("an endpoint that fails fast, or is fifty times slower than the others")
    {
        auto const fast = GENERATE(true, false);
        auto const behaviour = [&](std::string const& /*zone*/, std::string const& name) {
            bool const bad = name == "e5" && !repaired;
            auto const run_time = bad ? (fast ? milliseconds(1) : 50 * expected) : expected;
            return std::pair<bool, microseconds>(!bad || !fast, run_time);
        };
        place(table, health, clock, 500, behaviour);
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
                for (int tries = 0; tries < 1000 && health.state("e5") == health_state::excluded;
                     ++tries)
                    place(table, health, clock, 1, behaviour);
                CHECK(health.state("e5") == health_state::returning);
                CHECK(health.accepts("e5", 0, 12, at(clock)));
                CHECK_FALSE(health.accepts("e5", 1, 12, at(clock)));
                place(table, health, clock, 1000, behaviour);
                CHECK(health.state("e5") == health_state::healthy);
            }
        }
    }
    // Guards against several tasks sent to an endpoint that is not known to work yet.
    GIVEN("an excluded endpoint whose period is over")
    {
        for (int attempt = 0; attempt < 3; ++attempt) {
            CHECK(health.accepts("e5", 0, 12, at(attempt)));
            health.record("e5", false, milliseconds(1), expected, at(attempt));
        }
        REQUIRE(health.state("e5") == health_state::excluded);
        CHECK_FALSE(health.accepts("e5", 0, 12, at(900)));
        REQUIRE(health.accepts("e5", 0, 12, at(1100)));
        health.record_placement("e5", at(1100));
        THEN("it gets one probe, and a longer period when that fails")
        {
            CHECK_FALSE(health.accepts("e5", 0, 12, at(1200)));
            health.record("e5", false, milliseconds(1), expected, at(1200));
            CHECK_FALSE(health.accepts("e5", 0, 12, at(3100)));
            CHECK(health.accepts("e5", 0, 12, at(3300)));
        }
    }
}

SCENARIO("common causes do not empty the fleet")
{
    endpoint_table table;
    endpoint_health health;
    add_workers(table, 12);
    std::int64_t clock = 0;

    // Guards against losing the sound zones together with a broken one.
    GIVEN("a zone in which every endpoint fails fast")
    {
        auto const behaviour = [](std::string const& zone, std::string const& /*name*/) {
            return std::pair<bool, microseconds>(zone != "z1", milliseconds(1));
        };
        place(table, health, clock, 200, behaviour);
        THEN("only that zone is excluded and the others serve")
        {
            CHECK(health.excluded() == 4);
            CHECK(place(table, health, clock, 500, behaviour) == 500);
        }
    }
    // Guards against exclusion of everybody for a fault that lies elsewhere.
    GIVEN("a fleet in which everything fails")
    {
        place(table, health, clock, 3000, [](std::string const&, std::string const&) {
            return std::pair<bool, microseconds>(false, milliseconds(1));
        });
        THEN("half of it still gets tasks")
        {
            CHECK(health.excluded() == 6);
        }
    }
    // Guards against declared times being mistaken for slow endpoints.
    GIVEN("tasks that all take ten times the expected time")
    {
        place(table, health, clock, 1000, [](std::string const&, std::string const&) {
            return std::pair<bool, microseconds>(true, 10 * expected);
        });
        THEN("nobody is excluded")
        {
            CHECK(health.excluded() == 0);
        }
    }
}
