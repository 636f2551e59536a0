// Benchmarks of an entry's decisions at the design capacity. A decision consists of take, choose
// and record_start; a task adds the work at its arrival and its outcome (push, finished,
// record_outcome, health and run time). The counter `ns` is the time of a decision or
// task in nanoseconds, `core_share` the share of a core that the design rate takes.

#include <deque>

#include <benchmark/benchmark.h>

#include "policy/endpoint_health.h"
#include "policy/endpoint_table.h"
#include "policy/fair_queue.h"
#include "policy/placement_policy.h"
#include "policy/run_time_estimator.h"

namespace {

using namespace greengagehead;
using namespace greengagehead::policy;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr std::size_t zones = 7;
constexpr std::uint32_t slots = 8;
constexpr std::size_t waiting_tasks = 200'000;
/// Operations in one timed iteration.
constexpr std::size_t batch = 64;
/// The design rate, of decisions as well as of tasks.
constexpr double decisions_per_second = 82'000;
std::vector<std::string> const kinds {"quote", "hold", "confirm"};

protocol::agent_report make_report(std::size_t worker, std::uint32_t used)
{
    auto const zone = worker % zones;
    auto const name = std::to_string(worker);
    protocol::endpoint_state state {"endpoint." + name,
                                    kinds,
                                    slots,
                                    used,
                                    0,
                                    16,
                                    65'536,
                                    "rack." + std::to_string(worker / 3),
                                    false};
    return {{"agent." + name, 1},
            zone < 4 ? "north" : "south",
            "zone." + std::to_string(zone),
            base::clock_reading(worker),
            1,
            {state}};
}

/// A fleet at 70% load with 200,000 waiting tasks.
class fleet {
public:
    fleet(std::size_t worker_count, std::size_t team_count)
        : workers(worker_count), teams(team_count)
    {
        for (std::size_t worker = 0; worker < this->workers; ++worker) {
            this->endpoints.update(make_report(worker, 0), this->now);
            this->endpoints.set_agent_registered({"agent." + std::to_string(worker), 1});
        }
        for (std::size_t count = 0; count < waiting_tasks; ++count)
            this->arrive();
        while (this->running.size() < this->workers * slots * 7 / 10)
            this->decide();
    }

    void decide()
    {
        auto task = this->queue.take([this](std::string const& placement_class) {
            return this->endpoints.has_candidate({placement_class, {}, {}});
        });
        placement_request request;
        request.team = task->team;
        request.kind = task->placement_class;
        auto const choice = this->policy->choose(request, this->endpoints, this->health, this->now);
        this->endpoints.record_start(choice->endpoint);
        this->running.emplace_back(std::move(*task), choice->endpoint);
    }

    void arrive()
    {
        auto const task_number = this->arrivals++;
        this->queue.push({{"0123456789abcdef0123456789abcdef", task_number},
                          "team." + std::to_string(task_number % this->teams),
                          kinds[task_number / this->teams % kinds.size()],
                          milliseconds(100),
                          {}});
    }

    void complete()
    {
        auto const [task, endpoint] = std::move(this->running.front());
        this->running.pop_front();
        this->queue.finished(task.team, task.cost, milliseconds(90));
        this->endpoints.record_outcome(endpoint);
        this->health.record(endpoint, true, milliseconds(90), task.cost, this->now);
        this->run_times.record(task.team, task.placement_class, milliseconds(90));
    }

    /// Advances the clock by the duration of a batch at the design rate, and applies the agents'
    /// reports due in that time. Each agent reports every 300 ms.
    void advance_clock()
    {
        constexpr microseconds step(780);
        this->now += step;
        for (auto due_reports = this->workers * 780 / 300'000 + 1; due_reports > 0; --due_reports) {
            auto const worker = this->next_report++ % this->workers;
            auto const name = "endpoint." + std::to_string(worker);
            auto const outstanding = this->endpoints.find(name)->outstanding;
            this->endpoints.update(make_report(worker, outstanding), this->now);
        }
    }

private:
    std::size_t workers;
    std::size_t teams;
    std::uint32_t arrivals = 0;
    std::size_t next_report = 0;
    base::steady_time now = base::steady_time(std::chrono::seconds(100));
    endpoint_table endpoints;
    endpoint_health health;
    fair_queue queue;
    run_time_estimator run_times;
    std::unique_ptr<placement_policy> policy = make_placement_policy("least_loaded", 1);
    std::deque<std::pair<queued_task, std::string>> running;
};

template <typename Work> double measure_seconds(Work const& work)
{
    auto const begin = steady_clock::now();
    for (std::size_t count = 0; count < batch; ++count)
        work();
    return std::chrono::duration<double>(steady_clock::now() - begin).count();
}

void report_counters(benchmark::State& state, double seconds)
{
    auto const count = static_cast<double>(state.iterations()) * batch;
    state.counters["ns"] = seconds / count * 1e9;
    state.counters["core_share"] = seconds / count * decisions_per_second;
}

fleet make_fleet(benchmark::State const& state)
{
    return {static_cast<std::size_t>(state.range(0)), static_cast<std::size_t>(state.range(1))};
}

void decision(benchmark::State& state)
{
    auto loaded_fleet = make_fleet(state);
    double seconds = 0;
    for (auto _ : state) {
        auto const elapsed = measure_seconds([&] { loaded_fleet.decide(); });
        state.SetIterationTime(elapsed);
        seconds += elapsed;
        for (std::size_t count = 0; count < batch; ++count) {
            loaded_fleet.complete();
            loaded_fleet.arrive();
        }
        loaded_fleet.advance_clock();
    }
    report_counters(state, seconds);
}

void whole_task(benchmark::State& state)
{
    auto loaded_fleet = make_fleet(state);
    double seconds = 0;
    for (auto _ : state) {
        auto const elapsed = measure_seconds([&] {
            loaded_fleet.decide();
            loaded_fleet.complete();
            loaded_fleet.arrive();
        });
        state.SetIterationTime(elapsed);
        seconds += elapsed;
        loaded_fleet.advance_clock();
    }
    report_counters(state, seconds);
}

BENCHMARK(decision)->ArgsProduct({{130, 650, 1300}, {5, 25, 51}})->UseManualTime();
BENCHMARK(whole_task)->ArgsProduct({{130, 650, 1300}, {5, 25, 51}})->UseManualTime();

} // namespace

BENCHMARK_MAIN();
