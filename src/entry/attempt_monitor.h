// Supervises attempts without an outcome: hedges and queries late attempts, and handles agents that
// become silent, return or restart.

#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "base/clock.h"
#include "entry/agent_table.h"
#include "protocol/message.h"

namespace greengagehead::entry {

struct attempt;
struct entry_components;
struct job;
struct timer;

class attempt_monitor {
public:
    explicit attempt_monitor(entry_components& components);

    /// Sets the timer for the first check of a new attempt.
    void schedule_check(job const& job, std::uint32_t index, attempt const& added);

    void on_check(timer const& due, base::steady_time now);
    void on_requeue(timer const& due);
    /// The run of an attempt at a replaced agent is no longer permitted. The machine has been heard
    /// since.
    void on_replaced_attempt_expired(timer const& due, base::steady_time now);
    /// Whether a task of the job can end or start again only when a lost agent is heard again.
    [[nodiscard]] bool waits_for_lost_agent(job const& job) const;

    /// Queries the agent for its open attempts, because it is reachable again or may have lost
    /// messages.
    void query_attempts(agent_slot agent);
    /// The agent is silent, and every stamp issued to it has expired.
    void on_agent_lost(agent_slot agent, base::steady_time now);
    /// A newer incarnation of the agent has reported, so the outcomes of the previous one's runs
    /// are lost.
    void on_agent_replaced(agent_slot agent, base::steady_time now);
    /// The agent has reported that a run is behind and could end sooner on another endpoint. Has no
    /// effect on a run of another agent or incarnation.
    void on_lagging(protocol::lagging_run const& notice, base::steady_time now);
    /// Cancels reported ephemeral runs that match no attempt of this entry at the agent in `slot`,
    /// for example because a cancellation was lost with its connection.
    void cancel_unknown_runs(protocol::agent_report const& report, agent_slot slot);

private:
    void add_check_timer(base::steady_time time, job const& job, std::uint32_t index,
                         std::uint32_t attempt);
    /// Closes an attempt that has ended at its agent without telling whether the task ran.
    /// @param logged_attempt attempt number written to the job's decision log.
    void close_as_unknown(job& job, std::uint32_t index, attempt const& open,
                          std::uint32_t logged_attempt, std::string const& cause,
                          base::steady_time now);
    /// Cancels a run that takes far longer than others of its kind. Returns false when it is left
    /// running.
    bool cancel_stalled(job& job, std::uint32_t index, attempt const& open, base::steady_time now);
    /// Whether the ephemeral task may be started on another endpoint after this run.
    [[nodiscard]] bool may_restart_elsewhere(job const& job, std::uint32_t index,
                                             attempt const& open, base::steady_time now) const;
    /// Cancels the run, so that the task can be started on another endpoint.
    void cancel_to_move(job& job, std::uint32_t index, attempt const& open,
                        std::string const& reason, base::steady_time now);
    void for_each_attempt(agent_slot agent,
                          std::function<void(job&, std::uint32_t, attempt&)> const& callback);

    entry_components& components;
};

} // namespace greengagehead::entry
