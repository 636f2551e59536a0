// The parts of a simulation of an agent: its processes, its worker, the entries, the links between
// them, and the tasks that the entries start.

#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "agent/faulty_worker.h"
#include "agent/run_oracle.h"
#include "agent/simulated_agent.h"
#include "agent/simulated_entry.h"
#include "agent/simulation_world.h"

namespace greengagehead::agent::fakes {

/// The connection between the agent and an entry. Messages keep their order.
struct entry_link {
    bool agent_up = false;
    bool entry_up = false;
    std::uint64_t number = 0; ///< Of the connection; 0 for none.
    protocol::incarnation_number agent = 0; ///< Process at its end.
    /// Messages in this direction are held up until then.
    base::steady_time to_agent_held;
    base::steady_time to_entry_held;
    base::steady_time last_to_agent;
    base::steady_time last_to_entry;
};

struct entry_machine {
    std::string name;
    protocol::incarnation_number incarnation = 0;
    std::unique_ptr<simulated_entry> process; ///< Null while it has ended.
    base::steady_time frozen_until;
    std::deque<std::function<void()>> unread;
    entry_link link;
    base::steady_time next_start;
};

class simulated_machines {
public:
    /// Tasks are started until this time after the last trouble.
    static constexpr std::chrono::seconds calm_end {7};

    explicit simulated_machines(std::uint64_t seed);

    /// Lets 1 ms pass.
    void step();

    void start_agent();
    void end_agent(protocol::incarnation_number number);
    void start_entry(entry_machine& entry);
    void deliver_to_entry(entry_machine& entry, std::function<void()> action);
    /// The agent learns that its connection to the entry is closed.
    void close_agent_side(entry_machine& entry);
    /// The callers of an entry that has fallen silent send their jobs again.
    void resubmit(std::vector<simulated_entry::open_attempt> const& attempts);
    /// The worker announces itself next after `first`, and until `late_for` after that its
    /// announcements are late.
    void delay_announcements(std::chrono::milliseconds first, std::chrono::milliseconds late_for);

    /// An announcement reaches the agent.
    void announce(worker_incarnation const& incarnation, worker_clock clock);

    /// By name and incarnation.
    [[nodiscard]] std::set<std::string> present_entries() const;

    simulation_world world;
    run_oracle oracle;
    faulty_worker worker;
    std::vector<std::unique_ptr<agent_process>> agents; ///< The newest one is the last.
    std::vector<std::unique_ptr<entry_machine>> entries;

private:
    void send_to_entry(protocol::incarnation_number from, std::string const& peer,
                       protocol::message const& body);
    void send_to_agent(entry_machine& entry, protocol::message const& body);
    /// Runs `action` in a process of the agent, once it is not frozen.
    void deliver_to_agent(protocol::incarnation_number number,
                          std::function<void(agent_process&)> const& action);
    /// Null if the process has ended.
    agent_process* find_agent(protocol::incarnation_number number);

    void step_agent(agent_process& agent);
    void step_entry(entry_machine& entry);
    void announce_worker();
    void start_tasks(entry_machine& entry);

    void connect(agent_process& agent, entry_machine& entry);

    base::steady_time announcements_late_until;
    base::steady_time next_announcement;
    protocol::incarnation_number agent_incarnation = 0;
    std::uint64_t last_task = 0;
    std::uint64_t last_connection = 0;
};

} // namespace greengagehead::agent::fakes
