// An entry of a simulation, as far as its agent meets it: stamps, starts, cancellations, and what
// it concludes from a silent agent. Follows entry::lease_manager, agent_table and attempt_monitor.

#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "agent/run_oracle.h"
#include "agent/simulation_world.h"
#include "protocol/message.h"

namespace greengagehead::agent::fakes {

/// One incarnation of an entry. Frozen or ended ones are not called.
class simulated_entry {
public:
    using sender = std::function<void(protocol::message const&)>;

    simulated_entry(simulation_world& simulated, run_oracle& judge, protocol::process_id self,
                    sender to_agent);

    void receive(protocol::message const& body);
    void link_up() { this->connected = true; }
    void link_down() { this->connected = false; }
    /// To be called each millisecond.
    void tick();
    /// Starts a task at the agent. Returns false if the entry knows no endpoint.
    bool start(std::string const& name, std::chrono::milliseconds work);

    struct open_attempt {
        protocol::task_start task;
        base::steady_time cancel_at;
        base::steady_time query_at;
        bool cancelled = false;
    };
    [[nodiscard]] std::vector<open_attempt> const& open_attempts() const { return this->open; }
    [[nodiscard]] protocol::process_id const& id() const { return this->self; }

private:
    struct queried_attempt {
        std::string job;
        std::uint32_t attempt = 1;
    };

    /// On this entry's clock.
    [[nodiscard]] base::steady_time local_time() const;
    [[nodiscard]] protocol::lease_stamp stamp() const;
    void send_stamped(protocol::message const& body);
    bool send_start(protocol::task_start task);
    void on_report(protocol::agent_report const& report);
    void on_outcome(protocol::task_outcome const& outcome);
    /// Cancels the run, to start the task again.
    void on_lagging(protocol::lagging_run const& notice);
    void check_agent();
    void give_up_all(std::string const& reason);
    void cancel(protocol::attempt_ref const& attempt);
    void update();
    void query(std::vector<queried_attempt> attempts);
    void query_old_attempts();

    simulation_world& world;
    run_oracle& oracle;
    protocol::process_id self;
    sender send;
    std::uint64_t clock_permille = 1000; ///< Rate of the clock.
    std::uint64_t last_job = 0;
    std::vector<open_attempt> open;
    std::vector<std::string> endpoints;

    bool connected = false;
    bool silent = false;
    bool lost = false;
    base::steady_time lost_since;
    base::steady_time last_report;
    base::clock_reading agent_clock {0};
    protocol::incarnation_number agent_incarnation = 0;
    base::steady_time next_update;
    base::steady_time next_agent_check;
    std::uint64_t last_query = 0;
    std::map<std::uint64_t, std::vector<queried_attempt>> queries; ///< By number.
};

} // namespace greengagehead::agent::fakes
