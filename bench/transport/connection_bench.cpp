// Cost of the limits on connections for one ordinary request: what is counted while it is read,
// handled and answered, and the framing that is followed beside evhttp.

#include <benchmark/benchmark.h>

#include <string>
#include <vector>

#include "transport/connection_guard.h"
#include "transport/request_framing.h"

namespace {

using namespace greengagehead;
using policy::connection_stage;

constexpr std::size_t body_bytes = 4'000;

std::string ordinary_request()
{
    return "POST /lohu930/0123456789abcdef HTTP/1.1\r\nHost: nony24.example\r\n"
           "Greengagehead-Deadline-Ms: 1500\r\nContent-Type: application/json\r\n"
           "Content-Length: "
        + std::to_string(body_bytes) + "\r\n\r\n" + std::string(body_bytes, 'x');
}

/// The calls of `http_connection` for one request.
void account_request(benchmark::State& state)
{
    transport::connection_guard guard(policy::connection_limits {32UL << 20U, 24UL << 20U, 4'096});
    auto const owner = guard.add_owner([] {});
    std::vector<policy::connection_id> connections;
    for (std::int64_t index = 0; index < state.range(0); ++index)
        connections.push_back(*guard.open(owner, "10.0.0.1", connection_stage::idle));
    std::size_t next = 0;
    for (auto _ : state) {
        auto const id = connections.at(next++ % connections.size());
        guard.enter(id, connection_stage::reading);
        guard.hold(id, body_bytes);
        guard.enter(id, connection_stage::answering);
        guard.enter(id, connection_stage::writing);
        guard.hold(id, 100);
        guard.enter(id, connection_stage::idle);
        guard.hold(id, 0);
    }
}

void follow_request(benchmark::State& state)
{
    auto const request = ordinary_request();
    transport::request_framing framing(1UL << 20U);
    for (auto _ : state) {
        framing.reset();
        benchmark::DoNotOptimize(framing.feed(request));
    }
}

void sweep_connections(benchmark::State& state)
{
    policy::connection_budget budget {policy::connection_limits {}};
    auto const now = base::steady_now();
    for (std::int64_t id = 0; id < state.range(0); ++id)
        budget.open(static_cast<policy::connection_id>(id), "10.0.0.1", connection_stage::idle,
                    now);
    for (auto _ : state)
        benchmark::DoNotOptimize(budget.overdue(now));
}

BENCHMARK(account_request)->Arg(1)->Arg(300)->Arg(3'000);
BENCHMARK(follow_request);
BENCHMARK(sweep_connections)->Arg(300)->Arg(3'000);

} // namespace

BENCHMARK_MAIN();
