// Answers that callers get when several entries share endpoints, with and without overload.

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>

#include "policy/target_simulation.h"

namespace {

using namespace greengagehead::policy;

/// Value of an answer after the target, relative to one within it.
constexpr double late_answer_value = 0.2;
/// The users' requirement for the credit of the worst-served kind under overload; the highest one
/// that they set.
constexpr double min_kind_credit = 0.47;
/// The users' requirement for the credit of one kind, relative to that of all jobs.
constexpr double min_relative_credit = 0.5;

double credit(kind_result const& kind)
{
    return kind.in_target_share() + late_answer_value * kind.late / kind.submitted_jobs;
}

} // namespace

// Guards against the SHORT incident: the kind with the least slack fell below its required credit,
// because its tasks were accepted, refused by full endpoints and answered late.
SCENARIO("ten entries get more work than their endpoints can do", "[policy][overload]")
{
    target_simulation_settings settings;
    settings.length = std::chrono::seconds(5);
    settings.load = GENERATE(1.2, 1.4);
    settings.seed = GENERATE(1U, 2U);
    CAPTURE(settings.load, settings.seed);
    auto const result = run_target_simulation(settings);

    THEN("each kind of job reaches the required credit, and none is starved by the others")
    {
        double submitted = 0;
        double total_credit = 0;
        for (auto const& kind : result.kinds) {
            submitted += kind.submitted_jobs;
            total_credit += credit(kind) * kind.submitted_jobs;
            CHECK(credit(kind) >= min_kind_credit);
        }
        for (auto const& kind : result.kinds)
            CHECK(credit(kind) >= total_credit / submitted * min_relative_credit);
    }
    // Guards against priorities without effect.
    THEN("jobs with a higher priority are refused less often")
    {
        auto const refused = [&result](std::size_t kind) {
            return static_cast<double>(result.kinds.at(kind).refused)
                / result.kinds.at(kind).submitted_jobs;
        };
        CHECK(refused(0) < refused(1));
        CHECK(refused(1) < refused(2));
    }
    // Guards against accepting jobs that cannot be answered in time.
    THEN("most accepted jobs are answered within their target")
    {
        for (auto const& kind : result.kinds)
            CHECK(kind.in_target > kind.late);
    }
}

// Guards against admission so strict that it refuses callers who could be served.
SCENARIO("entries share endpoints that can do all the work", "[policy][overload]")
{
    target_simulation_settings settings;
    settings.length = std::chrono::seconds(5);
    settings.load = 0.8;
    WHEN("ten entries share sixty endpoints")
    {
        auto const result = run_target_simulation(settings);
        THEN("nearly every caller is answered within the target")
        {
            for (auto const& kind : result.kinds)
                CHECK(kind.in_target_share() >= 0.98);
        }
    }
    WHEN("three entries share eleven endpoints")
    {
        settings.entry_weights = {1, 1, 1};
        settings.endpoints = 11;
        auto const result = run_target_simulation(settings);
        THEN("nearly every caller is answered within the target")
        {
            for (auto const& kind : result.kinds)
                CHECK(kind.in_target_share() >= 0.95);
        }
    }
}

// Guards against starts that meet at the same free slots when there are many entries, so that their
// jobs are answered late while endpoints are free.
SCENARIO("thirty-five entries share endpoints that can do all the work", "[policy][overload]")
{
    target_simulation_settings settings;
    settings.length = std::chrono::seconds(4);
    settings.load = 0.7;
    settings.entry_weights.assign(35, 1);
    settings.endpoints = 160;
    settings.mean_task_slots = 100;
    auto const result = run_target_simulation(settings);
    THEN("most callers of each kind are answered within the target, and few starts are refused")
    {
        for (auto const& kind : result.kinds)
            CHECK(kind.in_target_share() >= 0.9);
        CHECK(result.refused_starts < 0.1);
    }
}

// Load: accounts with short, middle and long jobs, which request 20 to 60% more than there is.
SCENARIO("accounts compete for the slots of many entries", "[policy][overload][accounts]")
{
    target_simulation_settings settings;
    settings.length = std::chrono::seconds(5);
    settings.load = GENERATE(1.2, 1.6);
    settings.kind_rates = GENERATE(std::array<double, job_kind_count> {1, 1, 1},
                                   std::array<double, job_kind_count> {1, 3, 1});
    CAPTURE(settings.load, settings.kind_rates.at(1));
    auto const without = run_target_simulation(settings);
    settings.fair_accounts = true;
    auto const with = run_target_simulation(settings);
    auto const worst_credit = [](target_simulation_result const& result) {
        double worst = 1;
        for (auto const& kind : result.kinds)
            worst = std::min(worst, credit(kind));
        return worst;
    };

    // Guards against admission by waiting time alone, which refuses the account with the longest
    // jobs far more often than the others.
    THEN("the account that is served worst gets more than without fair shares")
    {
        CHECK(worst_credit(with) > worst_credit(without));
    }
    // Guards against slots that are idle because of the standing of accounts.
    THEN("as much work is done")
    {
        CHECK(with.utilization >= without.utilization - 0.01);
    }
}

// Load: accounts that request 60% more than there is; one may have 30% while others wait, or has
// three times the weight of the others.
SCENARIO("accounts with fleet settings compete for the slots of many entries",
         "[policy][overload][accounts]")
{
    target_simulation_settings settings;
    settings.length = std::chrono::seconds(8);
    settings.load = 1.6;
    settings.fair_accounts = true;
    auto const served_part = [](target_simulation_result const& result, std::size_t kind) {
        double total = 0;
        for (auto const& item : result.kinds)
            total += item.served_slot_seconds;
        return result.kinds.at(kind).served_slot_seconds / total;
    };
    auto const without = run_target_simulation(settings);

    // Guards against a share that entries know and that has no effect on the fleet.
    WHEN("the largest account may have 30%")
    {
        settings.limits.at(1).share_percent = 30;
        auto const with = run_target_simulation(settings);
        THEN("it gets about that, and nothing is idle")
        {
            CAPTURE(served_part(without, 1), served_part(with, 1));
            CHECK(served_part(without, 1) > 0.36);
            CHECK(served_part(with, 1) < 0.34);
            CHECK(with.utilization >= without.utilization - 0.02);
        }
    }
    // Guards against weights without effect.
    WHEN("the largest account has three times the weight")
    {
        settings.limits.at(1).weight = 3;
        auto const with = run_target_simulation(settings);
        THEN("it gets more")
        {
            CAPTURE(served_part(without, 1), served_part(with, 1));
            CHECK(served_part(with, 1) > served_part(without, 1) * 1.1);
        }
    }
}
