// Announced incarnations of a worker while its answers are lost, late or out of order.

#include <catch2/catch.hpp>

#include <functional>
#include <optional>
#include <utility>
#include <vector>

#include "agent/incarnation_verifier.h"

namespace {

using namespace greengagehead;
using namespace greengagehead::agent;
using std::chrono::milliseconds;

struct verifier_fixture {
    void verify(worker_incarnation const& announced)
    {
        this->verdicts.emplace_back();
        this->verifier.verify(
            announced, this->now,
            [this, position = this->verdicts.size() - 1](incarnation_verdict verdict) {
                this->verdicts[position] = verdict;
            });
    }
    void answer(std::size_t question, incarnation_answer answer)
    {
        std::exchange(this->questions.at(question).second, nullptr)(answer);
    }
    void advance(milliseconds duration)
    {
        this->now += duration;
        this->verifier.tick(this->now);
    }

    base::steady_time now {std::chrono::hours(1)};
    std::vector<std::pair<worker_incarnation, std::function<void(incarnation_answer)>>> questions;
    std::vector<std::optional<incarnation_verdict>> verdicts;
    incarnation_verifier verifier {[this](auto const& announced, auto done) {
        this->questions.emplace_back(announced, std::move(done));
    }};
};

} // namespace

SCENARIO("an incarnation is announced", "[agent][incarnation]")
{
    GIVEN("an incarnation that the worker is asked about")
    {
        verifier_fixture fixture;
        fixture.verify({"i-1", 5});
        REQUIRE(fixture.questions.size() == 1);
        CHECK(fixture.questions.front().first == worker_incarnation {"i-1", 5});

        THEN("the verdict follows the worker's answer")
        {
            fixture.answer(0, incarnation_answer::confirmed);
            CHECK(fixture.verdicts.front() == incarnation_verdict::confirmed);
            fixture.verify({"i-2", 6});
            fixture.answer(1, incarnation_answer::refuted);
            CHECK(fixture.verdicts.back() == incarnation_verdict::refuted);
        }
        // Guards against a worker that gets no work because one answer was lost.
        WHEN("the question is not answered")
        {
            fixture.answer(0, incarnation_answer::unanswered);
            CHECK_FALSE(fixture.verdicts.front());
            THEN("it is repeated until it takes too long")
            {
                fixture.advance(milliseconds(10));
                REQUIRE(fixture.questions.size() == 2);
                fixture.advance(milliseconds(10));
                CHECK(fixture.questions.size() == 2);
                fixture.advance(milliseconds(1000));
                CHECK(fixture.verdicts.front() == incarnation_verdict::unanswered);
                fixture.answer(1, incarnation_answer::confirmed);
                CHECK(fixture.verdicts.front() == incarnation_verdict::unanswered);
            }
        }
        // Guards against a process that has ended and displaces its successor by a late answer.
        WHEN("a later announced incarnation is confirmed first")
        {
            fixture.verify({"i-2", 6});
            fixture.answer(1, incarnation_answer::confirmed);
            fixture.answer(0, incarnation_answer::confirmed);
            THEN("the earlier one is superseded")
            {
                CHECK(fixture.verdicts.front() == incarnation_verdict::superseded);
                CHECK(fixture.verdicts.back() == incarnation_verdict::confirmed);
            }
        }
        // Guards against memory that grows with announcements while the worker does not answer.
        WHEN("many announcements wait")
        {
            for (std::uint64_t born = 10; born < 100; ++born)
                fixture.verify({"i-3", born});
            THEN("further ones are given up at once")
            {
                CHECK(fixture.questions.size() < 50);
                CHECK(fixture.verdicts.back() == incarnation_verdict::unanswered);
            }
        }
    }
}
