// Learned speeds of endpoints. Load: 12 endpoints, one in four at 0.55 and the others at 1.2 of the
// nominal speed, tasks of 51, 170 and 760 ms expected too long or too short by up to 40%, 3% of the
// runs seven times as long.

#include <array>
#include <random>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "policy/endpoint_speed.h"
#include "policy/worker_reports.h"

namespace {

using namespace greengagehead;
using namespace greengagehead::policy;
using std::chrono::microseconds;
using std::chrono::milliseconds;

protocol::process_id const agent {"agent.1", 1};
constexpr double slow_speed = 0.55;
constexpr double usual_speed = 1.2;

/// Endpoints that run the load of this test one task after the other.
class uneven_fleet {
public:
    uneven_fleet()
    {
        for (std::size_t number = 0; number < 12; ++number)
            this->speeds.push_back(number % 4 == 0 ? slow_speed : usual_speed);
    }

    void run(std::size_t endpoint)
    {
        constexpr std::array run_times {51, 170, 760};
        auto const expected = milliseconds(run_times.at(this->random() % run_times.size()));
        auto factor = std::uniform_real_distribution<double>(0.6, 1.4)(this->random);
        if (std::uniform_real_distribution<double>()(this->random) < 0.03)
            factor *= 7;
        auto const run_time = std::chrono::duration_cast<microseconds>(expected * factor
                                                                       / this->speeds.at(endpoint));
        this->learned.record({name_of(endpoint), agent, run_time, expected}, this->now);
        this->now += milliseconds(1);
    }
    void run_all(int rounds)
    {
        for (int round = 0; round < rounds; ++round)
            for (std::size_t endpoint = 0; endpoint < this->speeds.size(); ++endpoint)
                this->run(endpoint);
    }
    [[nodiscard]] double learned_speed(std::size_t endpoint) const
    {
        return this->learned.speed(name_of(endpoint), agent, this->now);
    }
    static std::string name_of(std::size_t endpoint) { return "e" + std::to_string(endpoint); }

    std::vector<double> speeds;
    endpoint_speed learned;
    base::steady_time now = time_at(0);

private:
    std::mt19937_64 random {20261207};
};

} // namespace

SCENARIO("the speeds of endpoints are learned relative to the fleet", "[policy][speed]")
{
    GIVEN("a fleet with one slow endpoint in four")
    {
        uneven_fleet fleet;
        // Guards against preferences among endpoints of which nothing is known.
        THEN("unknown endpoints are ordinary")
        {
            fleet.run_all(2);
            for (std::size_t endpoint = 0; endpoint < 12; ++endpoint)
                CHECK(fleet.learned_speed(endpoint) == 1);
        }
        fleet.run_all(30);
        // Guards against single long runs or variable tasks that make an endpoint seem slow.
        THEN("the slow endpoints are known, and the others are ordinary")
        {
            for (std::size_t endpoint = 0; endpoint < 12; ++endpoint) {
                auto const relative = endpoint % 4 == 0 ? slow_speed / usual_speed : 1;
                CHECK(fleet.learned_speed(endpoint) == Approx(relative).epsilon(0.3));
            }
        }
        // Guards against a run time on a slow endpoint that is predicted as on an ordinary one.
        THEN("run times are predicted by the speed")
        {
            auto const predicted
                = fleet.learned.run_time_on("e0", agent, milliseconds(100), fleet.now);
            CHECK(predicted > milliseconds(150));
        }
        // Guards against an endpoint that is avoided long after its slowness has ended.
        WHEN("a slow endpoint becomes as fast as the others")
        {
            fleet.speeds.at(0) = usual_speed;
            for (int count = 0; count < 10; ++count)
                fleet.run(0);
            THEN("it is ordinary within ten runs")
            {
                CHECK(fleet.learned_speed(0) == Approx(1).epsilon(0.25));
            }
        }
        // Guards against urgent tasks on an endpoint that has become slow.
        WHEN("a fast endpoint becomes slow")
        {
            fleet.speeds.at(1) = slow_speed;
            for (int count = 0; count < 10; ++count)
                fleet.run(1);
            THEN("it is known as slow within ten runs")
            {
                CHECK(fleet.learned_speed(1) < 0.75);
            }
        }
        // Guards against a replaced machine that is judged by its predecessor.
        WHEN("a slow endpoint is reported by another incarnation of its agent")
        {
            protocol::process_id const successor {"agent.1", 2};
            THEN("it starts as unknown")
            {
                CHECK(fleet.learned.speed("e0", successor, fleet.now) == 1);
                fleet.learned.record({"e0", successor, milliseconds(100), milliseconds(100)},
                                     fleet.now);
                CHECK(fleet.learned.speed("e0", successor, fleet.now) == 1);
                CHECK(fleet.learned.speed("e0", agent, fleet.now) == 1);
            }
        }
        // Guards against an endpoint that is never tried again because it was slow once.
        WHEN("no run of it is reported any more")
        {
            auto const before = fleet.learned_speed(0);
            auto const after = [&](std::chrono::seconds time) {
                return fleet.learned.speed("e0", agent, fleet.now + time);
            };
            THEN("its speed returns to ordinary within 60 s")
            {
                CHECK(after(std::chrono::seconds(5)) == Approx(before).epsilon(0.15));
                CHECK(after(std::chrono::seconds(30)) > before);
                CHECK(after(std::chrono::seconds(60)) == 1);
            }
        }
        // Guards against memory use that grows with the number of endpoints that come and go.
        WHEN("10,000 other endpoints have been seen")
        {
            for (std::size_t number = 100; number < 10'100; ++number) {
                fleet.learned.record(
                    {uneven_fleet::name_of(number), agent, milliseconds(10), milliseconds(10)},
                    fleet.now);
            }
            THEN("only a bounded number is remembered")
            {
                CHECK(fleet.learned.size() <= 2048);
            }
        }
    }
    // Guards against a fleet whose tasks all take longer than expected being seen as slow
    // endpoints.
    GIVEN("equal endpoints whose tasks take three times as long as expected")
    {
        uneven_fleet fleet;
        fleet.speeds.assign(12, 1.0 / 3);
        fleet.run_all(30);
        THEN("all are ordinary")
        {
            for (std::size_t endpoint = 0; endpoint < 12; ++endpoint)
                CHECK(fleet.learned_speed(endpoint) == Approx(1).epsilon(0.3));
        }
    }
}

// Guards against decisions by learned speeds in fleets where they only add errors of estimates.
SCENARIO("speeds count where enough endpoints differ", "[policy][speed]")
{
    uneven_fleet fleet;
    GIVEN("nothing is known")
    {
        CHECK_FALSE(fleet.learned.uneven());
    }
    GIVEN("one slow endpoint in four")
    {
        fleet.run_all(40);
        CHECK(fleet.learned.uneven());
    }
    GIVEN("endpoints of equal speed")
    {
        fleet.speeds.assign(12, usual_speed);
        for (int round = 0; round < 40; ++round) {
            fleet.run_all(1);
            CHECK_FALSE(fleet.learned.uneven());
        }
    }
    GIVEN("one slow endpoint among twelve")
    {
        fleet.speeds.assign(12, usual_speed);
        fleet.speeds.front() = slow_speed;
        fleet.run_all(40);
        CHECK_FALSE(fleet.learned.uneven());
    }
}
