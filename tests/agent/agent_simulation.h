// Simulation of one agent, its worker and several entries on virtual time, with overlapping
// troubles that are drawn from a seed.

#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace greengagehead::agent::fakes {

struct simulation_result {
    std::vector<std::string> violations;
    std::vector<std::string> trace;
    std::size_t runs = 0;
    std::size_t runs_done = 0;
    /// Runs that broke a rule and were exempt, see run_oracle.h.
    std::size_t late_starts_exempted = 0;
    std::size_t frozen_runs_exempted = 0;
};

/// Whether a process of the agent may run on beside the next one.
enum class agent_processes : std::uint8_t { one_at_a_time, overlapping };

[[nodiscard]] simulation_result simulate_agent(std::uint64_t seed, agent_processes processes);

} // namespace greengagehead::agent::fakes
