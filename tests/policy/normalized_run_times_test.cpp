// Learned run times with declared times. Load: jobs of one kind whose run times vary by 40%, with
// times declared off by up to 40% either way, and 3% of the runs seven times as long.

#include <algorithm>
#include <cmath>
#include <random>
#include <string>

#include <catch2/catch.hpp>

#include "policy/normalized_run_times.h"

namespace {

using namespace greengagehead::policy;
using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

struct declared_job {
    microseconds run_time {0};
    microseconds declared {0};
};

class job_source {
public:
    /// @param bias factor of all declared times.
    declared_job next(double bias)
    {
        auto const size = std::lognormal_distribution<double>(0, 0.4)(this->random);
        auto const error = std::uniform_real_distribution<double>(0.6, 1.4)(this->random);
        auto const run_time = duration_cast<microseconds>(milliseconds(170) * size);
        return {run_time, duration_cast<microseconds>(run_time * error * bias)};
    }
    bool next_is_long() { return std::uniform_real_distribution<double>()(this->random) < 0.03; }

private:
    std::mt19937_64 random {20261207};
};

/// Mean of the absolute logarithm of estimate by run time.
double mean_error(normalized_run_times const& times, job_source& source, double bias,
                  bool use_declared)
{
    constexpr int jobs = 500;
    double sum = 0;
    for (int count = 0; count < jobs; ++count) {
        auto const job = source.next(bias);
        auto const declared = use_declared ? job.declared : microseconds(0);
        auto const typical = times.estimate("t", "hold", declared).typical;
        sum += std::abs(std::log(static_cast<double>(typical.count())
                                 / static_cast<double>(job.run_time.count())));
    }
    return sum / jobs;
}

} // namespace

SCENARIO("declared times are corrected by the run times", "[policy][speed]")
{
    GIVEN("a team that declares twice the run time, off by up to 40% either way")
    {
        normalized_run_times times;
        job_source source;
        // Guards against an estimate of nothing, before any task has run.
        CHECK(times.estimate("t", "hold", milliseconds(400)).typical == milliseconds(400));
        CHECK(times.estimate("t", "hold", milliseconds(400)).samples == 0);
        CHECK(times.estimate("t", "hold", microseconds(0)).typical == milliseconds(100));
        for (int count = 0; count < 300; ++count) {
            auto const job = source.next(2);
            auto const run_time = source.next_is_long() ? job.run_time * 7 : job.run_time;
            times.record({"t", "hold", run_time, job.declared});
        }
        // Guards against the systematic error of a team that is taken for a property of its tasks.
        THEN("the estimate is close to the run time, for this team only")
        {
            CHECK(mean_error(times, source, 2, true) < 0.25);
            CHECK(times.estimate("u", "hold", milliseconds(400)).typical == milliseconds(400));
        }
        // Guards against ignoring what callers know about single jobs.
        THEN("it is closer with the declared time than without it")
        {
            CHECK(mean_error(times, source, 2, true) < mean_error(times, source, 2, false));
        }
        // Guards against a tail that is far above the runs of which there are 19 in 20.
        THEN("the slow time is that of the 95th percentile")
        {
            auto const estimate = times.estimate("t", "hold", microseconds(0));
            CHECK(estimate.slow > estimate.typical * 3 / 2);
            CHECK(estimate.slow < estimate.typical * 5);
        }
    }
    // Guards against trust in declared times that have nothing to do with the run times.
    GIVEN("a team whose declared times are random")
    {
        normalized_run_times times;
        std::mt19937_64 random(5);
        std::uniform_int_distribution<int> declared(10, 1000);
        for (int count = 0; count < 300; ++count)
            times.record(
                {"t", "hold", milliseconds(100 + count % 10), milliseconds(declared(random))});
        THEN("they are ignored")
        {
            for (auto const value : {milliseconds(10), milliseconds(1000)})
                CHECK(times.estimate("t", "hold", value).typical.count()
                      == Approx(104'000).epsilon(0.06));
        }
        // Guards against an estimate that a long history keeps from following a change.
        WHEN("the tasks become ten times longer")
        {
            for (int count = 0; count < 200; ++count)
                times.record({"t", "hold", milliseconds(1000), milliseconds(declared(random))});
            THEN("the estimate follows within 200 runs")
            {
                CHECK(times.estimate("t", "hold", microseconds(0)).typical > milliseconds(900));
            }
        }
    }
    // Guards against memory use that grows with the number of names that callers send.
    GIVEN("10,000 kinds")
    {
        normalized_run_times times;
        for (int kind = 0; kind < 10'000; ++kind)
            times.record({"t", std::to_string(kind), milliseconds(1), milliseconds(1)});
        CHECK(times.keys() <= 1024);
    }
}
