// What callers get when several entries share endpoints that cannot do all the work.

#include <catch2/catch.hpp>

#include "policy/target_loop.h"

namespace {

using namespace greengagehead::policy;

/// An answer after the target is worth a fifth.
constexpr double late_worth = 0.2;
/// The highest floor that the users set for the worst-served kind of an overloaded day.
constexpr double kind_floor = 0.47;
/// The users' bound for one kind against all.
constexpr double least_part_of_whole = 0.5;

double credit(kind_result const& kind)
{
    return kind.share() + late_worth * kind.late / kind.asked;
}

} // namespace

// Guards against SHORT: the kind with the least slack earned less than its floor because its tasks
// were accepted, refused by full endpoints, and answered late.
SCENARIO("ten entries are asked for more than their endpoints can do", "[policy][overload]")
{
    target_loop_settings settings;
    settings.length = std::chrono::seconds(5);
    settings.load = GENERATE(1.2, 1.4);
    settings.seed = GENERATE(1U, 2U);
    CAPTURE(settings.load, settings.seed);
    auto const result = run_target_loop(settings);

    THEN("each kind of job earns more than its floor, and none is starved by the others")
    {
        double asked = 0;
        double earned = 0;
        for (auto const& kind : result.kinds) {
            asked += kind.asked;
            earned += credit(kind) * kind.asked;
            CHECK(credit(kind) >= kind_floor);
        }
        for (auto const& kind : result.kinds)
            CHECK(credit(kind) >= earned / asked * least_part_of_whole);
    }
    // Guards against a priority of the operators that changes nothing.
    THEN("the kind that comes first is refused least")
    {
        auto const refused = [&result](std::size_t kind) {
            return static_cast<double>(result.kinds.at(kind).refused) / result.kinds.at(kind).asked;
        };
        CHECK(refused(0) < refused(1));
        CHECK(refused(1) < refused(2));
    }
    THEN("most of what is accepted is answered in its target")
    {
        for (auto const& kind : result.kinds)
            CHECK(kind.in_target > kind.late);
    }
}

// Guards against refusals of callers who could be served, which would be the price of stricter
// admission.
SCENARIO("entries share endpoints that can do all the work", "[policy][overload]")
{
    target_loop_settings settings;
    settings.length = std::chrono::seconds(5);
    settings.load = 0.8;
    WHEN("ten entries share sixty endpoints")
    {
        auto const result = run_target_loop(settings);
        THEN("nearly every caller is answered in the target")
        {
            for (auto const& kind : result.kinds)
                CHECK(kind.share() >= 0.98);
        }
    }
    WHEN("three entries share eleven")
    {
        settings.entry_parts = {1, 1, 1};
        settings.endpoints = 11;
        auto const result = run_target_loop(settings);
        THEN("nearly every caller is answered in the target")
        {
            for (auto const& kind : result.kinds)
                CHECK(kind.share() >= 0.95);
        }
    }
}
