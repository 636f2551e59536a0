// Builds reports of agents for the tests of the placement policies.

#pragma once

#include <string>

#include "policy/endpoint_table.h"

namespace greengagehead::policy {

/// Time after the start of the test.
inline base::steady_time time_at(std::int64_t milliseconds)
{
    return base::steady_time(std::chrono::milliseconds(1'000'000 + milliseconds));
}

/// Report of the agent `agent.<number>` in zone `z<number % 3>`, with one endpoint of 8 slots.
inline protocol::agent_report worker_report(std::size_t number, std::uint32_t used = 0)
{
    auto const name = std::to_string(number);
    protocol::agent_report report;
    report.agent = {"agent." + name, 1};
    report.region = "r";
    report.zone = "z" + std::to_string(number % 3);
    protocol::endpoint_state state;
    state.name = "e" + name;
    state.kinds = {"quote"};
    state.slots = 8;
    state.used_slots = used;
    state.cpu = 4;
    state.memory_mb = 8192;
    report.endpoints = {state};
    return report;
}

/// Adds `count` registered agents with their endpoints.
inline void add_workers(endpoint_table& table, std::size_t count)
{
    for (std::size_t number = 0; number < count; ++number) {
        table.set_agent_registered({"agent." + std::to_string(number), 1});
        table.update(worker_report(number), time_at(0));
    }
}

} // namespace greengagehead::policy
