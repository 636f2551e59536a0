#include <algorithm>
#include <map>
#include <vector>

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

/// Takes and finishes `decisions` tasks one by one, each with the actual run time of its team in
/// `actual_cost`. Returns the run time that each team got.
std::map<std::string, microseconds> serve(fair_queue& queue, std::size_t decisions,
                                          std::map<std::string, microseconds> const& actual_cost)
{
    std::map<std::string, microseconds> served;
    for (std::size_t count = 0; count < decisions; ++count) {
        auto const task = queue.take(any_class);
        REQUIRE(task);
        auto const actual = actual_cost.at(task->team);
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
            auto const expected = sum * weight / total;
            // Start-time fair queueing deviates by at most one task per team.
            RC_ASSERT(std::abs((served.at(name) - expected).count()) <= 2 * 200'000 * teams);
        }
    });
}

SCENARIO("the queue hands out a task exactly when one may run")
{
    // Guards against idle slots while tasks wait, exceeded quotas, reordering within a team and
    // class, and lost or duplicate tasks. The queue is compared with a plain list.
    rc::prop("take agrees with a scan of all waiting tasks", [] {
        fair_queue queue;
        std::vector<queued_task> waiting;
        std::map<std::string, std::uint32_t> running;
        std::map<std::string, std::uint32_t> quota;
        for (auto const* team : {"a", "b", "c"}) {
            quota[team] = static_cast<std::uint32_t>(*rc::gen::inRange(0, 4));
            queue.set_share(team, {1, quota[team]});
        }
        auto const steps = *rc::gen::inRange(20, 120);
        for (std::uint32_t step = 0; step < static_cast<std::uint32_t>(steps); ++step) {
            auto const action = *rc::gen::inRange(0, 6);
            auto const team = std::string(1, *rc::gen::element('a', 'b', 'c'));
            auto const placeable_class = *rc::gen::element<std::string>("x", "y", "z");
            auto const may_run = [&](queued_task const& task) {
                return task.placement_class <= placeable_class
                    && (quota[task.team] == 0 || running[task.team] < quota[task.team]);
            };
            if (action <= 1) {
                waiting.push_back(make_task(step, team, placeable_class, milliseconds(1 + step)));
                queue.push(waiting.back());
            } else if (action == 2 && running[team] > 0) {
                --running[team];
                queue.finished(team, milliseconds(5), milliseconds(1));
            } else if (action == 3 && !waiting.empty()) {
                auto const removed
                    = waiting.begin() + *rc::gen::inRange<std::ptrdiff_t>(0, std::ssize(waiting));
                RC_ASSERT(queue.remove(removed->task));
                RC_ASSERT(!queue.remove(removed->task));
                waiting.erase(removed);
            } else {
                auto const task
                    = queue.take([&](std::string const& name) { return name <= placeable_class; });
                auto const possible = std::any_of(waiting.begin(), waiting.end(), may_run);
                RC_ASSERT(task.has_value() == possible);
                if (!task)
                    continue;
                RC_ASSERT(may_run(*task));
                auto const oldest
                    = std::find_if(waiting.begin(), waiting.end(), [&](queued_task const& other) {
                          return other.team == task->team
                              && other.placement_class == task->placement_class;
                      });
                RC_ASSERT(oldest->task == task->task);
                waiting.erase(oldest);
                ++running[task->team];
            }
            RC_ASSERT(queue.size() == waiting.size());
            RC_ASSERT(queue.in_progress(team) == running[team]);
        }
    });
}

SCENARIO("a team cannot take the share of the others")
{
    fair_queue queue;
    std::map<std::string, microseconds> const actual_cost {
        {"quiet", milliseconds(100)}, {"loud", milliseconds(100)}, {"liar", milliseconds(100)}};

    // Guards against a single task that waits behind the backlog of another team.
    GIVEN("a team with 50,000 waiting tasks that has been served for a while")
    {
        for (std::uint32_t index = 0; index < 50'000; ++index)
            queue.push(make_task(index, "loud", "c", milliseconds(100)));
        serve(queue, 1000, actual_cost);
        WHEN("another team submits one task")
        {
            queue.push(make_task(0, "quiet", "c", milliseconds(100)));
            THEN("it is among the next two tasks")
            {
                std::vector<std::string> const next {queue.take(any_class)->team,
                                                     queue.take(any_class)->team};
                CHECK(std::count(next.begin(), next.end(), "quiet") == 1);
            }
        }
    }
    // Guards against credit for idle time: a team must not take all slots after a pause.
    GIVEN("two teams, one of which was idle for a long time")
    {
        for (std::uint32_t index = 0; index < 2000; ++index)
            queue.push(make_task(index, "loud", "c", milliseconds(100)));
        serve(queue, 1000, actual_cost);
        for (std::uint32_t index = 0; index < 1000; ++index)
            queue.push(make_task(index, "quiet", "c", milliseconds(100)));
        THEN("they share evenly from then on")
        {
            auto served = serve(queue, 100, actual_cost);
            CHECK(served["loud"] >= milliseconds(4900));
        }
    }
    // Guards against teams that gain slots by declaring a tenth of their run times, or lose slots
    // by declaring ten times as much.
    GIVEN("a team whose declared times are too short or too long by a factor of ten")
    {
        auto const declared = GENERATE(milliseconds(10), milliseconds(1000));
        for (std::uint32_t index = 0; index < 4000; ++index) {
            queue.push(make_task(index, "liar", "c", declared));
            queue.push(make_task(index, "loud", "c", milliseconds(100)));
        }
        THEN("actual run times are shared evenly")
        {
            auto served = serve(queue, 4000, actual_cost);
            CHECK(served["liar"].count() == Approx(served["loud"].count()).epsilon(0.02));
        }
    }
    // Guards against removal by linear search, with which 200,000 removals would take minutes.
    GIVEN("200,000 waiting tasks of 51 teams")
    {
        for (std::uint32_t index = 0; index < 200'000; ++index)
            queue.push(
                make_task(index, "team-" + std::to_string(index % 51), "c", milliseconds(100)));
        THEN("all can be removed in any order within five seconds")
        {
            auto const begin = std::chrono::steady_clock::now();
            for (std::uint32_t step = 0; step < 200'000; ++step) {
                auto const index = static_cast<std::uint32_t>(step * 7919ULL % 200'000);
                REQUIRE(queue.remove({"job-team-" + std::to_string(index % 51), index}));
            }
            CHECK(queue.size() == 0);
            CHECK(queue.backlog() == microseconds(0));
            CHECK(std::chrono::steady_clock::now() - begin < std::chrono::seconds(5));
        }
    }
}
