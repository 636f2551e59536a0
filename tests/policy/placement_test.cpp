#include <set>

#include <catch2/catch.hpp>

#include "policy/endpoint_health.h"
#include "policy/endpoint_speed.h"
#include "policy/placement_policy.h"
#include "policy/placement_simulation.h"
#include "policy/target_simulation.h"
#include "policy/worker_reports.h"

namespace {

using namespace greengagehead::policy;
using std::chrono::milliseconds;

/// Learns that the endpoints `e0`, `e3` and so on, all those of zone z0, have half the usual speed.
void learn_slow_zone(endpoint_speed& speeds, std::size_t endpoints)
{
    for (int run = 0; run < 40; ++run) {
        for (std::size_t number = 0; number < endpoints; ++number) {
            auto const name = std::to_string(number);
            speeds.record({"e" + name,
                           {"agent." + name, 1},
                           milliseconds(number % 3 == 0 ? 200 : 100),
                           milliseconds(100)},
                          time_at(0));
        }
    }
}

/// Value of the answers relative to that of all in target; a late answer counts a fifth.
double mean_credit(target_simulation_result const& result)
{
    double total = 0;
    for (auto const& kind : result.kinds)
        total += kind.in_target_share() + 0.2 * kind.late / kind.submitted_jobs;
    return total / static_cast<double>(result.kinds.size());
}

} // namespace

SCENARIO("a placement regards the learned speeds", "[policy][speed]")
{
    GIVEN("six endpoints of which those of zone z0 have half the usual speed")
    {
        endpoint_table table;
        endpoint_health health;
        endpoint_speed speeds;
        add_workers(table, 6);
        learn_slow_zone(speeds, 6);
        auto const policy = make_placement_policy("least_loaded", 3, &speeds);
        placement_request request;
        request.kind = "quote";
        request.expected = milliseconds(100);
        request.target = time_at(150);
        auto const choose = [&] { return policy->choose(request, table, health, time_at(0)); };
        auto const use_fast_slots = [&] {
            for (auto const* name : {"e1", "e2", "e4", "e5"})
                table.record_start(name, 8);
        };

        // Guards against urgent tasks on a slow endpoint while a fast one has a free slot.
        THEN("a task that a slow endpoint would end late gets a fast one")
        {
            for (int count = 0; count < 32; ++count) {
                auto const choice = choose();
                REQUIRE(choice);
                CHECK(choice->speed == 1);
                table.record_start(choice->endpoint);
            }
        }
        // Guards against late answers of tasks that could have waited for a fast endpoint.
        WHEN("only slow endpoints have free slots")
        {
            use_fast_slots();
            THEN("the task waits as long as a fast one could end it in time")
            {
                CHECK_FALSE(choose());
                request.target = time_at(99);
                CHECK(choose()->speed < 0.7);
            }
            // Guards against slots that are idle while a task waits that they run in time.
            THEN("a task with slack does not wait")
            {
                request.target = time_at(250);
                CHECK(choose()->speed < 0.7);
            }
            // Guards against a wait for fast endpoints that may not run the task.
            THEN("a task that is bound to the zone of slow endpoints does not wait")
            {
                request.zone = "z0";
                CHECK(choose()->speed < 0.7);
            }
            THEN("a task does not wait for fast endpoints that are out of service")
            {
                table.set_draining({"e1", "e2", "e4", "e5"});
                CHECK(choose()->speed < 0.7);
            }
        }
    }
}

// Load: 12 endpoints, declared times off by up to 40%, 3% of the runs seven times as long, 70% of
// the nominal capacity; the sum of three seeds.
SCENARIO("learned speeds serve more callers", "[policy][speed]")
{
    auto const entries = GENERATE(as<std::size_t> {}, 1, 3);
    CAPTURE(entries);
    auto const credit = [entries](std::vector<double> const& speeds, run_time_knowledge knowledge) {
        double sum = 0;
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            target_simulation_settings settings;
            settings.seed = seed;
            settings.load = 0.7;
            settings.entry_weights.assign(entries, 1);
            settings.endpoints = 12;
            settings.slots = 320;
            settings.mean_task_slots = 36;
            settings.run_time_factor = 0.85;
            settings.declared_error = 0.4;
            settings.long_run_share = 0.03;
            settings.deadline = milliseconds(1500);
            settings.speeds = speeds;
            settings.knowledge = knowledge;
            sum += mean_credit(run_target_simulation(settings));
        }
        return sum / 3;
    };
    // Guards against long tasks on slow endpoints, which end late there.
    THEN("with one slow endpoint in four, more answers are in target")
    {
        std::vector<double> const uneven {0.55, 1.2, 1.2, 1.2};
        CHECK(credit(uneven, run_time_knowledge::learned_with_speeds)
              > credit(uneven, run_time_knowledge::learned) + 0.04);
    }
    // Guards against preferences among equal endpoints.
    THEN("with equal endpoints as many are in target")
    {
        CHECK(credit({1}, run_time_knowledge::learned_with_speeds)
              > credit({1}, run_time_knowledge::learned) - 0.01);
    }
}

SCENARIO("a placement meets the requirements of the task")
{
    endpoint_table table;
    endpoint_health health;
    add_workers(table, 6);
    auto const name = GENERATE(as<std::string> {}, "least_loaded", "random");
    auto const policy = make_placement_policy(name, 3);
    placement_request request;
    request.kind = "quote";
    auto const choose = [&] { return policy->choose(request, table, health, time_at(0)); };

    // Guards against tasks placed outside their zone or on endpoints that are too small.
    THEN("zone, kind and size are respected")
    {
        request.zone = "z2";
        for (int count = 0; count < 50; ++count)
            CHECK(table.find(choose()->endpoint)->zone == "z2");
        request.memory_mb = 10'000;
        CHECK_FALSE(choose());
        request.memory_mb = 0;
        request.kind = "hold";
        CHECK_FALSE(choose());
    }
    // Guards against a retry on the endpoint that failed while others are free, and against a task
    // that waits forever because only that endpoint is left.
    THEN("endpoints of earlier attempts are the last resort")
    {
        request.zone = "z0";
        request.avoid = {"e0"};
        for (int count = 0; count < 50; ++count)
            CHECK(choose()->endpoint == "e3");
        table.remove_agent("agent.3");
        CHECK(choose()->endpoint == "e0");
    }
    // Guards against starting more tasks than there are slots.
    THEN("exactly the free slots are used")
    {
        for (int count = 0; count < 48; ++count) {
            auto const choice = choose();
            REQUIRE(choice);
            table.record_start(choice->endpoint);
        }
        CHECK_FALSE(choose());
    }
}

// Guards against several entries overloading an endpoint that an outdated report shows as idle. At
// 70% load the bounds are those of design.md; at 90% they leave room for the variation by seed.
SCENARIO("three entries place tasks by outdated reports")
{
    placement_simulation_settings settings;
    settings.load = GENERATE(0.3, 0.7, 0.9);
    CAPTURE(settings.load);
    auto const least_loaded = run_placement_simulation(settings);
    settings.policy = "random";
    auto const baseline = run_placement_simulation(settings);
    THEN("the least loaded choice is close to the ideal and no worse than a random one")
    {
        CHECK(least_loaded.median <= 1.05);
        CHECK(least_loaded.p99 <= (settings.load < 0.8 ? 1.25 : 2.5));
        CHECK(least_loaded.refused <= baseline.refused);
        CHECK(least_loaded.p99 <= baseline.p99);
        CHECK(least_loaded.max_queue_length <= settings.agent_queue);
    }
}
