// The course of a simulation of an agent: troubles, a calm time, and the last outcomes.

#include "agent/agent_simulation.h"

#include "agent/run_oracle.h"
#include "agent/simulated_machines.h"
#include "agent/simulation_troubles.h"

namespace greengagehead::agent::fakes {

simulation_result simulate_agent(std::uint64_t seed, agent_processes processes)
{
    simulated_machines machines(seed);
    simulation_troubles troubles(machines, processes);
    auto const& world = machines.world;
    auto const& oracle = machines.oracle;
    auto const troubles_end
        = world.began + simulation_troubles::last_begin + std::chrono::milliseconds(1);
    while (world.now < troubles_end
           || world.now < oracle.last_trouble() + simulated_machines::calm_end)
        machines.step();
    while (world.now < oracle.last_trouble() + run_oracle::longest_wait
           && oracle.awaits_outcome(machines.present_entries()))
        machines.step();
    machines.oracle.check_outcomes(machines.present_entries());
    return {oracle.violations,
            world.trace,
            oracle.runs,
            oracle.runs_done,
            oracle.late_starts_exempted,
            oracle.frozen_runs_exempted};
}

} // namespace greengagehead::agent::fakes
