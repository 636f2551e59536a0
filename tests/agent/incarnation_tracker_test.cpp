// What answers and announcements tell about the incarnation of the worker.

#include <catch2/catch.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "agent/incarnation_tracker.h"

namespace {

using namespace greengagehead::agent;

constexpr std::uint64_t present_born = 5;
constexpr std::uint64_t lower_born = 4;
constexpr std::uint64_t higher_born = 6;
constexpr std::optional<std::uint64_t> no_born {};

struct answer_case {
    std::string what;
    worker_incarnation named;
    worker_answer answer;
    std::optional<std::uint64_t> born;
    answer_origin expected;
};

answer_origin judge(incarnation_tracker& tracker, worker_incarnation const& named,
                    worker_answer answer, std::optional<std::uint64_t> born)
{
    return tracker.judge(named, {answer, worker_clock(10), born});
}

/// Each answer is the first one that a tracker like this one gets.
void check_each(incarnation_tracker const& before, std::vector<answer_case> const& cases)
{
    for (auto const& each : cases) {
        CAPTURE(each.what);
        auto tracker = before;
        CHECK(judge(tracker, each.named, each.answer, each.born) == each.expected);
        bool const is_denial = each.expected == answer_origin::denied;
        CHECK(tracker.is_denied() == (is_denial || before.is_denied()));
        CHECK(tracker.present() == before.present());
    }
}

worker_incarnation const current {"i-1", present_born};
worker_incarnation const unnamed {"", present_born};
worker_incarnation const earlier {"i-1", lower_born};
worker_incarnation const by_former_id {"i-0", present_born};

} // namespace

// Guards against answers of a former incarnation, or of nobody in particular, that are taken for
// the end of the present one, and against answers of the next one that are not noticed.
SCENARIO("answers are matched with the incarnation that they are about", "[agent][leased]")
{
    using enum worker_answer;
    using enum answer_origin;
    GIVEN("no known incarnation")
    {
        incarnation_tracker tracker;
        THEN("calls name none, and whoever answers them is the present one")
        {
            CHECK(tracker.addressed() == worker_incarnation {});
            CHECK_FALSE(tracker.is_denied());
            CHECK(tracker.is_heard());
            check_each(tracker,
                       {{"without an id", {}, accepted, present_born, present},
                        {"denied", {}, wrong_incarnation, present_born, unknown},
                        {"with an id", current, accepted, present_born, unknown},
                        {"with an id, denied", current, wrong_incarnation, present_born, unknown}});
        }
    }
    GIVEN("an incarnation")
    {
        incarnation_tracker tracker;
        tracker.replace(current);
        REQUIRE(tracker.addressed() == current);
        REQUIRE(tracker.is_heard());
        WHEN("a call that names it is answered")
        {
            THEN("another start is another life, later or earlier, whatever the answer")
            {
                check_each(tracker,
                           {{"later", current, accepted, higher_born, other_life},
                            {"clock set back", current, accepted, lower_born, other_life},
                            {"refused", current, stale_fence, higher_born, other_life},
                            {"unhealthy", current, unhealthy, higher_born, other_life}});
            }
            THEN("the same start, or none, is the present life")
            {
                check_each(tracker,
                           {{"accepted", current, accepted, present_born, present},
                            {"no start", current, accepted, no_born, present},
                            {"refused", current, stale_fence, no_born, present},
                            {"no answer", current, no_answer, no_born, present},
                            {"not sent", current, not_sent, no_born, present}});
            }
            THEN("a denial is told, whatever start it names")
            {
                check_each(tracker,
                           {{"same", current, wrong_incarnation, present_born, denied},
                            {"none", current, wrong_incarnation, no_born, denied},
                            {"later", current, wrong_incarnation, higher_born, denied}});
            }
        }
        WHEN("a call that names an earlier incarnation, or a former id, is answered")
        {
            THEN("a denial tells nothing, and an earlier incarnation tells nothing at all")
            {
                check_each(tracker,
                           {{"earlier", earlier, accepted, lower_born, unknown},
                            {"earlier, present", earlier, accepted, present_born, unknown},
                            {"earlier, later", earlier, accepted, higher_born, unknown},
                            {"earlier, denied", earlier, wrong_incarnation, present_born, unknown},
                            {"former id, denied", by_former_id, wrong_incarnation, present_born,
                             unknown}});
            }
            THEN("an answer to a former id is one of the present life")
            {
                check_each(tracker,
                           {{"same", by_former_id, accepted, present_born, present},
                            {"later", by_former_id, accepted, higher_born, other_life}});
            }
        }
        WHEN("a call without an id is answered")
        {
            // Answers to orders name no start, and count: the runner ignores lists that name none.
            THEN(
                "the start tells who has answered, and nobody is told from the present one without")
            {
                check_each(tracker,
                           {{"same", unnamed, accepted, present_born, present},
                            {"later", unnamed, accepted, higher_born, other_life},
                            {"none", unnamed, accepted, no_born, present},
                            {"refused, none", unnamed, stale_fence, no_born, present},
                            {"denied", unnamed, wrong_incarnation, higher_born, unknown},
                            {"no answer", unnamed, no_answer, no_born, present},
                            {"not sent", unnamed, not_sent, no_born, present}});
            }
        }
        WHEN("an incarnation is announced")
        {
            THEN("the start tells whether it is the present one")
            {
                CHECK(tracker.is_present(current));
                CHECK(tracker.is_present({"i-9", present_born}));
                CHECK_FALSE(tracker.is_present({"i-1", higher_born}));
                CHECK_FALSE(tracker.is_present({"i-1", lower_born}));
            }
        }
    }
    GIVEN("an incarnation whose start is not known")
    {
        incarnation_tracker tracker;
        tracker.replace({"i-1", 0});
        THEN("its id tells whether an announced one is the same")
        {
            CHECK(tracker.is_present({"i-1", 0}));
            CHECK_FALSE(tracker.is_present({"i-9", 0}));
            CHECK_FALSE(tracker.is_present({"i-1", present_born}));
        }
        THEN("no start in an answer is another one")
        {
            CHECK(judge(tracker, {"i-1", 0}, accepted, present_born) == present);
        }
    }
}

// Guards against starts and leases for a worker that may be another incarnation, and against a
// worker that gets no work although its denial is over.
SCENARIO("the present incarnation denies its id", "[agent][leased]")
{
    using enum worker_answer;
    using enum answer_origin;
    GIVEN("an incarnation that has denied its id")
    {
        incarnation_tracker tracker;
        tracker.replace(current);
        REQUIRE(judge(tracker, current, wrong_incarnation, present_born) == denied);
        THEN("calls do not name it, and it has not been heard")
        {
            CHECK(tracker.is_denied());
            CHECK_FALSE(tracker.is_heard());
            CHECK(tracker.present() == current);
            CHECK(tracker.addressed() == unnamed);
        }
        WHEN("it denies further calls")
        {
            THEN("they tell nothing")
            {
                check_each(tracker,
                           {{"by id", current, wrong_incarnation, present_born, unknown},
                            {"without", unnamed, wrong_incarnation, present_born, unknown}});
            }
        }
        WHEN("an answer does not show that its start was heard")
        {
            (void)judge(tracker, unnamed, accepted, no_born);
            (void)judge(tracker, unnamed, stale_fence, present_born);
            (void)judge(tracker, unnamed, no_answer, no_born);
            (void)judge(tracker, unnamed, accepted, higher_born);
            (void)judge(tracker, current, no_answer, no_born);
            (void)judge(tracker, current, stale_fence, present_born);
            (void)judge(tracker, earlier, accepted, present_born);
            THEN("it has not been heard")
            {
                CHECK(tracker.is_denied());
                CHECK_FALSE(tracker.is_heard());
            }
        }
        WHEN("it accepts a call without an id, or by a former id")
        {
            auto const named = GENERATE(false, true) ? unnamed : by_former_id;
            CHECK(judge(tracker, named, accepted, present_born) == present);
            THEN("it has been heard, and its id is still denied")
            {
                CHECK(tracker.is_heard());
                CHECK(tracker.is_denied());
                CHECK(tracker.addressed() == unnamed);
            }
            AND_WHEN("it accepts its id, and denies it again")
            {
                CHECK(judge(tracker, current, accepted, present_born) == present);
                CHECK_FALSE(tracker.is_denied());
                CHECK(judge(tracker, current, wrong_incarnation, no_born) == denied);
                THEN("it must be heard again")
                {
                    CHECK_FALSE(tracker.is_heard());
                }
            }
            AND_WHEN("another incarnation takes its place, and denies its id")
            {
                worker_incarnation const next {"i-1", higher_born};
                tracker.replace(next);
                CHECK(judge(tracker, next, wrong_incarnation, no_born) == denied);
                THEN("that one has not been heard")
                {
                    CHECK_FALSE(tracker.is_heard());
                }
            }
        }
        WHEN("it accepts a call that names its id")
        {
            auto const born = GENERATE(false, true) ? std::optional(present_born) : no_born;
            CHECK(judge(tracker, current, accepted, born) == present);
            THEN("the denial is over")
            {
                CHECK_FALSE(tracker.is_denied());
                CHECK(tracker.is_heard());
                CHECK(tracker.addressed() == current);
            }
        }
        WHEN("it confirms another id")
        {
            tracker.rename("i-2");
            THEN("calls name that one")
            {
                CHECK_FALSE(tracker.is_denied());
                CHECK(tracker.addressed() == worker_incarnation {"i-2", present_born});
            }
            AND_WHEN("it denies its former id late")
            {
                CHECK(judge(tracker, current, wrong_incarnation, present_born) == unknown);
                THEN("that tells nothing about its present id")
                {
                    CHECK_FALSE(tracker.is_denied());
                }
            }
        }
        WHEN("it confirms the id that it has denied")
        {
            tracker.rename("i-1");
            THEN("the denial goes on until it accepts a call")
            {
                CHECK(tracker.is_denied());
            }
        }
        WHEN("another incarnation takes its place")
        {
            worker_incarnation const next {"i-1", lower_born};
            tracker.replace(next);
            THEN("calls name that one, and nothing is denied")
            {
                CHECK_FALSE(tracker.is_denied());
                CHECK(tracker.is_heard());
                CHECK(tracker.addressed() == next);
            }
        }
    }
}
