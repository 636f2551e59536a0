#include <map>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "policy/fair_queue.h"

namespace {

using namespace greengagehead::policy;
using std::chrono::microseconds;
using std::chrono::milliseconds;

bool any_class(std::string const& /*name*/)
{
    return true;
}

queued_task make_task(std::uint32_t index, std::string const& team, std::string const& cls,
                      microseconds cost)
{
    return {{"job-" + team, index}, team, cls, cost, {}};
}

/// Serves `decisions` tasks one by one, each running for `true_cost` of its team, while every team
/// keeps tasks waiting. Returns the run time that each team got.
std::map<std::string, microseconds> serve(fair_queue& queue, std::size_t decisions,
                                          std::map<std::string, microseconds> const& true_cost)
{
    std::map<std::string, microseconds> served;
    for (std::size_t count = 0; count < decisions; ++count) {
        auto const task = queue.take(any_class);
        REQUIRE(task);
        auto const actual = true_cost.at(task->team);
        queue.finished(task->team, task->cost, actual);
        served[task->team] += actual;
    }
    return served;
}

} // namespace

SCENARIO("teams get run time in proportion to their weights")
{
    // Guards against a share that depends on task lengths or on the number of waiting tasks.
    rc::prop("served run time follows the weights", [] {
        fair_queue queue;
        std::map<std::string, microseconds> cost;
        std::map<std::string, std::uint32_t> weights;
        auto const teams = *rc::gen::inRange(2, 6);
        std::uint32_t total = 0;
        for (int team = 0; team < teams; ++team) {
            auto const name = "team-" + std::to_string(team);
            weights[name] = static_cast<std::uint32_t>(*rc::gen::inRange(1, 5));
            total += weights[name];
            cost[name] = milliseconds(*rc::gen::inRange(20, 200));
            queue.set_share(name, {weights[name], 0});
            for (std::uint32_t index = 0; index < 4000; ++index)
                queue.push(make_task(index, name, "c", cost[name]));
        }
        auto const served = serve(queue, 2000, cost);
        microseconds sum {0};
        for (auto const& [name, time] : served)
            sum += time;
        for (auto const& [name, weight] : weights) {
            auto const due = sum * weight / total;
            // Start-time fair queueing is at most one task per team off.
            RC_ASSERT(std::abs((served.at(name) - due).count()) <= 2 * 200'000 * teams);
        }
    });
}
