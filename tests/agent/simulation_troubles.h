// Troubles of a simulation of an agent, drawn from its seed.

#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

#include "agent/agent_simulation.h"
#include "agent/simulated_machines.h"

namespace greengagehead::agent::fakes {

enum class trouble_kind : std::uint8_t {
    calls, ///< Starts, stops or reports get no answer, or a late one.
    agent_frozen,
    machine_frozen,
    agent_restart,
    worker_restart,
    worker_restart_after_calls,
    entry_frozen,
    entry_end,
    entry_end_without_stops,
    entry_end_after_late_messages,
    agent_frozen_without_starts,
    agent_and_worker_restart,
    link, ///< Of an entry; breaks in one direction.
    agent_paused, ///< Shorter than `agent_frozen`.
    agent_overlap, ///< A process of the agent runs on beside the next one.
    worker_silent, ///< No call gets an answer.
    tasks_stand_still,
    rows_left_out, ///< Running runs are missing from lists for some tens of milliseconds.
    worker_restart_after_late_answers,
    calls_denied, ///< The worker lives, and says that it is another incarnation.
    worker_renamed, ///< The worker lives, and calls itself by another id.
    born_misstated, ///< Answers state no start of the worker, or another one.
    other_writers, ///< Announcements of nobody who runs at the worker's address.
};

class simulation_troubles {
public:
    /// Troubles begin until then.
    static constexpr std::chrono::seconds last_begin {15};

    /// Troubles will begin at times that are drawn now.
    simulation_troubles(simulated_machines& troubled, agent_processes allowed);

private:
    void schedule_troubles();
    void begin_trouble();
    void break_calls();
    /// @param kinds one bit for each `call_kind`.
    void break_calls_of(std::uint64_t kinds, std::chrono::milliseconds duration);
    void freeze_agent(std::uint64_t shortest_ms, std::uint64_t longest_ms);
    void freeze_machine();
    void restart_agent();
    /// The next process of the agent starts, and the present one ends later.
    void overlap_agents();
    void silence_worker();
    void let_tasks_stand_still();
    void leave_out_rows();
    void restart_worker();
    void restart_worker_after_late_answers();
    void deny_calls();
    void rename_worker();
    void misstate_born();
    void let_others_announce();
    void freeze_entry(entry_machine& entry);
    void end_entry(entry_machine& entry);
    void break_link(entry_machine& entry);
    void freeze_agent_until(agent_process& agent, base::steady_time time);

    simulated_machines& machines;
    simulation_world& world;
    run_oracle& oracle;
    faulty_worker& worker;
    agent_processes processes;
    std::uint64_t worker_ids = 1;
    std::vector<trouble_kind> trouble_kinds;
};

} // namespace greengagehead::agent::fakes
