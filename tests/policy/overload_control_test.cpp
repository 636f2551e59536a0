// Refusals while an event loop runs behind: a simulated loop with a processor of its own serves and
// refuses requests, and the tests check what its callers get.

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <functional>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "policy/overload_control.h"

namespace {

using namespace greengagehead;
using namespace std::chrono_literals;
using policy::overload_control;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds tick_interval {10};
constexpr auto max_delay = 20ms; // The default of entry.max_loop_delay_ms.
/// Processor time of one served request, the sum of its three inputs, and of a refused one.
constexpr std::array serving_costs {1400us, 600us, 1000us};
constexpr microseconds refusal_cost {400};
constexpr microseconds served_cost {3000};

/// Until the control has found the load.
constexpr seconds warm_up {1};
/// Later requests may end after the simulation.
constexpr seconds last_sent {8};
/// Accepted part of a kind, at least, relative to that of all requests: as the users require of the
/// credit of a kind.
constexpr double min_relative_part = 0.5;

/// Kinds of requests: those of an incident's deployment.
struct kind {
    std::string name;
    std::uint32_t priority = 0;
    microseconds run_time {0};
    microseconds target {0};
    double part = 0; ///< Of the requests.
};

std::vector<kind> const kinds {{"short", 0, 60ms, 156ms, 0.5},
                               {"middle", 1, 200ms, 380ms, 0.3},
                               {"long", 2, 900ms, 1500ms, 0.2}};

struct kind_result {
    int sent = 0;
    int refused = 0;
    int in_target = 0;
    microseconds longest_refusal {0}; ///< From sending a request to its refusal.
    [[nodiscard]] double in_target_share() const { return double(this->in_target) / this->sent; }
    [[nodiscard]] double refused_share() const { return double(this->refused) / this->sent; }
};

/// Requests per second, relative to what the processor can serve, from a time on.
struct load_step {
    microseconds begin {0};
    double load = 0;
};

struct simulation_settings {
    milliseconds max_delay {0};
    std::vector<load_step> loads;
    milliseconds length {10'000};
    std::optional<microseconds> pause_at; ///< The process is paused for `pause_length` once.
    microseconds pause_length {500'000};
    unsigned seed = 1;
    /// Whether the machine gives the process ten times the speed for the first tenth of each
    /// `processor_period`, and no processor for the rest.
    bool limited = false;
};

/// One pass of the loop handles all inputs that have arrived before it began, and then the timer.
class loop_simulation {
public:
    explicit loop_simulation(simulation_settings initial_settings)
        : settings(std::move(initial_settings)), control(this->settings.max_delay),
          random(this->settings.seed)
    {
        this->control.record_tick(this->now);
        for (auto const& step : this->settings.loads)
            this->add_arrivals(step);
    }

    void run()
    {
        while (this->time() < this->settings.length) {
            std::vector<input> ready;
            while (!this->inputs.empty() && this->inputs.top().at <= this->now) {
                ready.push_back(this->inputs.top());
                this->inputs.pop();
            }
            for (auto const& item : ready)
                this->handle(item);
            this->pause();
            if (this->now >= this->next_tick) {
                this->control.record_tick(this->now);
                this->longest_delay = std::max(this->longest_delay, this->control.delay());
                this->next_tick = this->now + tick_interval;
            }
            if (this->inputs.empty() || this->inputs.top().at > this->now)
                this->now
                    = std::min(this->next_tick,
                               this->inputs.empty() ? this->next_tick : this->inputs.top().at);
        }
    }

    /// Results of the requests that were sent from `begin` to `end`.
    [[nodiscard]] std::vector<kind_result> results(microseconds begin, microseconds end) const
    {
        std::vector<kind_result> all(kinds.size());
        for (auto const& request : this->requests) {
            auto const sent = request.sent - start;
            if (sent < begin || sent >= end)
                continue;
            auto& result = all.at(request.kind);
            ++result.sent;
            result.refused += request.refused ? 1 : 0;
            auto const took = std::chrono::duration_cast<microseconds>(
                request.answered.value_or(base::steady_time::max()) - request.sent);
            if (request.refused)
                result.longest_refusal = std::max(result.longest_refusal, took);
            else if (took <= kinds.at(request.kind).target)
                ++result.in_target;
        }
        return all;
    }

    [[nodiscard]] kind_result total(microseconds begin, microseconds end) const
    {
        kind_result sum;
        for (auto const& result : this->results(begin, end)) {
            sum.sent += result.sent;
            sum.refused += result.refused;
            sum.in_target += result.in_target;
            sum.longest_refusal = std::max(sum.longest_refusal, result.longest_refusal);
        }
        return sum;
    }

    microseconds longest_delay {0};

private:
    struct request {
        std::size_t kind = 0;
        base::steady_time sent;
        std::optional<base::steady_time> answered;
        bool refused = false;
    };
    /// The request itself, the consent of other entries, or the outcome of its task.
    struct input {
        base::steady_time at;
        std::size_t request = 0;
        std::size_t step = 0;
        bool operator>(input const& other) const { return this->at > other.at; }
    };

    static constexpr base::steady_time start {1h};
    /// From a message to another process until its answer is here.
    static constexpr microseconds round_trip {1000};
    static constexpr microseconds processor_period {100'000};
    static constexpr int speed_up = 10;

    [[nodiscard]] microseconds time() const
    {
        return std::chrono::duration_cast<microseconds>(this->now - start);
    }

    void add_arrivals(load_step const& step)
    {
        auto const next = std::find_if(this->settings.loads.begin(), this->settings.loads.end(),
                                       [&](auto const& other) { return other.begin > step.begin; });
        auto const end = next == this->settings.loads.end() ? microseconds(this->settings.length)
                                                            : next->begin;
        std::exponential_distribution<double> gap(step.load / served_cost.count());
        std::discrete_distribution<std::size_t> choose {kinds[0].part, kinds[1].part,
                                                        kinds[2].part};
        for (auto at = step.begin; step.load > 0;) {
            at += microseconds(std::lround(gap(this->random)));
            if (at >= end)
                break;
            this->inputs.push({start + at, this->requests.size(), 0});
            this->requests.push_back({choose(this->random), start + at, {}, false});
        }
    }

    void handle(input const& item)
    {
        auto& request = this->requests.at(item.request);
        auto const& kind = kinds.at(request.kind);
        if (item.step == 0 && this->refuses(kind)) {
            this->compute(refusal_cost);
            request.refused = true;
            request.answered = this->now;
            return;
        }
        this->compute(serving_costs.at(item.step));
        if (item.step == 0)
            this->inputs.push({this->now + round_trip, item.request, 1});
        else if (item.step == 1)
            this->inputs.push({this->now + round_trip + kind.run_time, item.request, 2});
        else
            request.answered = this->now;
    }

    bool refuses(kind const& kind)
    {
        return this->control.behind()
            && (this->control.refuse_next(kind.name, kind.priority)
                || this->control.misses(3 * kind.target, kind.run_time, this->now));
    }

    /// Advances the clock until the work is done.
    void compute(microseconds work)
    {
        if (!this->settings.limited) {
            this->now += work;
            return;
        }
        auto const period = this->time() / processor_period;
        if (period != this->last_period)
            this->used = microseconds(0);
        this->last_period = period;
        for (auto left = work / speed_up; left.count() > 0;) {
            auto const part = std::min(left, processor_period / speed_up - this->used);
            this->now += part;
            this->used += part;
            left -= part;
            if (left.count() == 0)
                break;
            this->now = start + processor_period * ++this->last_period;
            this->used = microseconds(0);
        }
    }

    void pause()
    {
        if (!this->settings.pause_at || this->time() < *this->settings.pause_at)
            return;
        this->now += this->settings.pause_length;
        this->settings.pause_at.reset();
    }

    simulation_settings settings;
    overload_control control;
    std::mt19937 random;
    std::vector<request> requests;
    std::priority_queue<input, std::vector<input>, std::greater<>> inputs;
    base::steady_time now = start;
    base::steady_time next_tick = start + tick_interval;
    std::int64_t last_period = 0; // Of the latest work, with a limited processor.
    microseconds used {0}; // Processor time in that period.
};

loop_simulation play(simulation_settings settings)
{
    loop_simulation simulation(std::move(settings));
    simulation.run();
    return simulation;
}

} // namespace

// Guards against an entry that reads all requests too late to answer any of them in time.
SCENARIO("an entry gets more requests than its processor can handle", "[policy][overload]")
{
    auto const load = GENERATE(1.5, 3.0);
    auto const seed = GENERATE(1U, 2U);
    CAPTURE(load, seed);
    GIVEN("the same requests, with and without control")
    {
        auto const without = play({0ms, {{0us, load}}, 10s, {}, 500ms, seed});
        auto const with = play({max_delay, {{0us, load}}, 10s, {}, 500ms, seed});
        auto const all_without = without.total(warm_up, last_sent);
        auto const all = with.total(warm_up, last_sent);

        THEN("without control hardly anybody is answered in time")
        {
            CHECK(all_without.in_target_share() < 0.05);
        }
        THEN("with control most of those who are not refused are answered in time")
        {
            CHECK(all.in_target * 2 > all.sent - all.refused);
            CHECK(all.in_target > 5 * all_without.in_target);
        }
        // A refused caller has to have time left to turn elsewhere.
        THEN("a refusal takes less than the target of the shortest jobs")
        {
            CHECK(all.longest_refusal < kinds.front().target);
        }
        THEN("each kind keeps a part, and a higher priority is refused less often")
        {
            auto const results = with.results(warm_up, last_sent);
            for (auto const& result : results)
                CHECK(1 - result.refused_share() >= min_relative_part * (1 - all.refused_share()));
            CHECK(results[0].refused_share() < results[1].refused_share());
            CHECK(results[1].refused_share() < results[2].refused_share());
        }
    }
}

// Guards against refusing callers of an entry that can serve them all.
SCENARIO("an entry has processor time for all its requests", "[policy][overload]")
{
    auto const seed = GENERATE(1U, 2U, 3U);
    CAPTURE(seed);
    WHEN("the load is 80% of what it can handle")
    {
        auto const all = play({max_delay, {{0us, 0.8}}, 10s, {}, 500ms, seed}).total(0s, last_sent);
        THEN("nobody is refused, and all are answered in time")
        {
            CHECK(all.refused == 0);
            CHECK(all.in_target_share() >= 0.99);
        }
    }
    WHEN("the process is paused for 500 ms at half of that load")
    {
        auto const all = play({max_delay, {{0us, 0.5}}, 10s, 3s, 500ms, seed}).total(0s, last_sent);
        THEN("nobody is refused")
        {
            CHECK(all.refused == 0);
        }
    }
    // The requests that waited during the pause keep such an entry behind for seconds.
    WHEN("the process is paused for 500 ms at 80% of that load")
    {
        auto const with
            = play({max_delay, {{0us, 0.8}}, 10s, 3s, 500ms, seed}).total(0s, last_sent);
        auto const without = play({0ms, {{0us, 0.8}}, 10s, 3s, 500ms, seed}).total(0s, last_sent);
        THEN("refusing some lets more callers be answered in time")
        {
            CHECK(with.in_target >= without.in_target);
        }
    }
}

// Guards against taking the pauses of a process with a small part of a processor for an overload.
SCENARIO("a process may use its processor for a tenth of the time", "[policy][overload]")
{
    auto const seed = GENERATE(1U, 2U, 3U);
    CAPTURE(seed);
    WHEN("the load is 80% of what it can handle")
    {
        auto const all
            = play({max_delay, {{0us, 0.8}}, 10s, {}, 500ms, seed, true}).total(0s, last_sent);
        THEN("nobody is refused, and nearly all are answered in time")
        {
            CHECK(all.refused == 0);
            CHECK(all.in_target_share() >= 0.95);
        }
    }
    WHEN("the load is 150% of what it can handle")
    {
        auto const all
            = play({max_delay, {{0us, 1.5}}, 10s, {}, 500ms, seed, true}).total(warm_up, last_sent);
        THEN("most of those who are not refused are answered in time")
        {
            CHECK(all.in_target * 2 > all.sent - all.refused);
        }
    }
}

// Guards against refusals that go on after their reason, and against a backlog that outlasts it.
SCENARIO("an overload ends", "[policy][overload]")
{
    std::vector<load_step> const loads {{0us, 0.7}, {2s, 3.0}, {4s, 0.7}};
    auto const seed = GENERATE(1U, 2U);
    CAPTURE(seed);
    GIVEN("two seconds with three times the requests that the entry can handle")
    {
        auto const with = play({max_delay, loads, 10s, {}, 500ms, seed});
        auto const without = play({0ms, loads, 10s, {}, 500ms, seed});
        THEN("nobody is refused before, and half a second later all are answered in time")
        {
            CHECK(with.total(0s, 2s).refused == 0);
            auto const after = with.total(4500ms, last_sent);
            CHECK(after.refused == 0);
            CHECK(after.in_target_share() >= 0.99);
        }
        THEN("without control they are late for seconds")
        {
            CHECK(without.total(4500ms, 6s).in_target_share() < 0.1);
        }
    }
}

SCENARIO("a loop that is late refuses requests", "[policy][overload]")
{
    overload_control control(max_delay);
    base::steady_time now {1h};
    control.record_tick(now);
    auto const pass
        = [&](milliseconds delay) { control.record_tick(now += tick_interval + delay); };
    // Guards against refusals on a busy machine that takes the processor away now and then.
    WHEN("it is late now and then")
    {
        THEN("nothing is refused")
        {
            for (int i = 0; i < 100; ++i) {
                pass(90ms);
                CHECK_FALSE(control.behind());
                pass(0ms);
                CHECK_FALSE(control.behind());
            }
        }
    }
    WHEN("it becomes later with each pass")
    {
        for (auto const delay : {40ms, 80ms, 160ms, 320ms})
            pass(delay);
        REQUIRE(control.behind());
        // Guards against refusing one kind alone when kinds arrive in turns.
        THEN("kinds that arrive in turns are served alike")
        {
            std::array<int, 2> accepted {};
            for (int i = 0; i < 400; ++i) {
                accepted[0] += control.refuse_next("first", 0) ? 0 : 1;
                accepted[1] += control.refuse_next("second", 0) ? 0 : 1;
            }
            CHECK(accepted[0] > 0);
            CHECK(std::abs(accepted[0] - accepted[1]) <= 1);
        }
        // Guards against serving requests whose answers nobody waits for any more.
        THEN("requests whose answer would be of no use are known")
        {
            CHECK(control.misses(468ms, 300ms, now));
            CHECK_FALSE(control.misses(4500ms, 900ms, now));
        }
        // Guards against callers that return all at once, or too soon.
        THEN("callers are to return after whole seconds that differ")
        {
            std::set<std::chrono::seconds> times;
            for (int i = 0; i < 6; ++i)
                times.insert(control.next_retry_after());
            CHECK(*times.begin() == 1s);
            CHECK(times.size() >= 2);
        }
        // Guards against refusals that never end.
        AND_WHEN("it is on time again")
        {
            for (int i = 0; i < 50; ++i)
                pass(0ms);
            THEN("nothing is refused")
            {
                CHECK_FALSE(control.behind());
                CHECK_FALSE(control.refuse_next("first", 0));
            }
        }
    }
    // Guards against a setting without effect.
    GIVEN("a control that is turned off")
    {
        overload_control off(0ms);
        for (int i = 1; i < 5; ++i)
            off.record_tick(now + i * 500ms);
        THEN("it refuses nothing")
        {
            CHECK_FALSE(off.behind());
            CHECK_FALSE(off.refuse_next("first", 0));
        }
    }
}
