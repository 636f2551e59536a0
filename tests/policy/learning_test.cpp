#include <random>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "policy/retry_budget.h"
#include "policy/run_time_estimator.h"

namespace {

using namespace greengagehead::policy;
using std::chrono::microseconds;
using std::chrono::milliseconds;

} // namespace

SCENARIO("run times are learned per team and kind")
{
    run_time_estimator estimator;
    std::mt19937 random(5);
    auto const record_runs = [&](int count, int low, int high) {
        std::uniform_int_distribution<int> time(low, high);
        for (int index = 0; index < count; ++index)
            estimator.record("t", "quote", microseconds(time(random)));
    };
    // Guards against relying on declared times that are wrong by a factor of ten.
    GIVEN("a team that declares 1 s for tasks of 50 to 150 ms")
    {
        CHECK(estimator.estimate("t", "quote", milliseconds(1000)).typical == milliseconds(1000));
        CHECK(estimator.estimate("t", "quote", milliseconds(1000)).samples == 0);
        record_runs(300, 50'000, 150'000);
        THEN("the learned median and 95th percentile replace them, for this team only")
        {
            auto const learned = estimator.estimate("t", "quote", milliseconds(1000));
            CHECK(learned.typical.count() == Approx(100'000).epsilon(0.15));
            CHECK(learned.slow.count() == Approx(145'000).epsilon(0.1));
            CHECK(estimator.estimate("u", "quote", milliseconds(7)).typical == milliseconds(7));
        }
        // Guards against an estimate that a long history keeps from following a change.
        WHEN("the tasks become ten times longer")
        {
            record_runs(10'000, 50'000, 150'000);
            record_runs(150, 500'000, 1'500'000);
            THEN("the estimate follows within 150 runs")
            {
                CHECK(estimator.estimate("t", "quote", {}).typical.count()
                      == Approx(1'000'000).epsilon(0.25));
            }
        }
    }
    // Guards against memory use that grows with the number of names that callers send.
    GIVEN("10,000 kinds")
    {
        for (int kind = 0; kind < 10'000; ++kind)
            estimator.record("t", std::to_string(kind), milliseconds(1));
        CHECK(estimator.keys() <= 4096);
    }
}

SCENARIO("extra attempts stay within their budget")
{
    // Guards against retries that multiply the load when every attempt fails.
    rc::prop("extra attempts never exceed the reserve plus the percentage", [] {
        auto const percent = static_cast<std::uint32_t>(*rc::gen::inRange(0, 50));
        auto const reserve = static_cast<std::uint32_t>(*rc::gen::inRange(0, 20));
        retry_budget budget(percent, reserve);
        std::uint64_t first = 0;
        std::uint64_t extra = 0;
        for (bool const is_first :
             *rc::gen::container<std::vector<bool>>(500, rc::gen::arbitrary<bool>())) {
            if (is_first) {
                budget.record_first_attempt();
                ++first;
            } else if (budget.try_take()) {
                ++extra;
            } else {
                RC_ASSERT((extra + 1) * 100 > reserve * 100 + first * percent);
            }
            RC_ASSERT(extra * 100 <= reserve * 100 + first * percent);
        }
    });
}
