// Simulation of several entries that place tasks on the same agents without shared memory. It
// compares placement policies and ways of sharing slots; it does not simulate the whole system.

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace greengagehead::policy {

/// How entries share the slots of the endpoints.
enum class slot_sharing : std::uint8_t {
    reports, ///< Every entry may use every slot; agents report every 300 ms.
    fixed_credits, ///< Each endpoint's slots are divided among the entries.
    leased, ///< Each endpoint belongs to one entry.
};

struct placement_simulation_settings {
    std::string policy = "least_loaded";
    slot_sharing sharing = slot_sharing::reports;
    double load = 0.7; ///< Offered work relative to the capacity of all slots.
    std::vector<double> entry_weights {1, 1, 1}; ///< Relative arrival rates of the entries.
    std::uint32_t endpoints = 12;
    std::uint32_t slots = 8; ///< Per endpoint.
    std::uint32_t agent_queue = 2; ///< Admitted tasks that may wait at an agent.
    std::chrono::microseconds run_time {100'000};
    double run_time_spread = 0.5; ///< Run times are uniform in run_time * (1 +- spread).
    std::chrono::microseconds latency {1000}; ///< One way, between entry and agent.
    std::uint32_t tasks = 20'000;
    std::uint64_t seed = 1;
};

struct placement_simulation_result {
    /// Response time relative to that on an idle fleet.
    double median = 0;
    double p99 = 0;
    std::uint32_t max_queue_length = 0; ///< Longest queue at an agent.
    double refused = 0; ///< Refused starts per task.
};

[[nodiscard]] placement_simulation_result
run_placement_simulation(placement_simulation_settings const& settings);

} // namespace greengagehead::policy
