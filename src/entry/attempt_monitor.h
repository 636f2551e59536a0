// Attempts without an outcome: late ones, hedging, and agents that fall silent or come back.

#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "base/clock.h"
#include "entry/agent_table.h"
#include "protocol/message.h"

namespace greengagehead::entry {

struct attempt;
struct entry_parts;
struct job;
struct timer;

class attempt_monitor {
public:
    explicit attempt_monitor(entry_parts& parts);

    /// Sets the timer of a new attempt.
    void watch(job const& job, std::uint32_t index, attempt const& added);

    void on_check(timer const& due, base::steady_time now);
    void on_requeue(timer const& due);
    /// The run of an ephemeral attempt at a lost agent has ended by now.
    void on_attempt_over(timer const& due, base::steady_time now);

    /// The agent is reachable again, or may have lost messages: asks for its open attempts.
    void ask(agent_slot agent);
    /// The agent is silent, and every stamp it held has expired.
    void on_agent_lost(agent_slot agent, base::steady_time now);
    /// A newer incarnation of the agent has reported: what it ran cannot be known any more.
    void on_agent_replaced(agent_slot agent, base::steady_time now);
    /// An agent has seen that a run would end sooner elsewhere.
    void on_lagging(protocol::lagging_run const& notice, base::steady_time now);
    /// Cancels ephemeral runs that the agent holds and nobody here waits for, for example after a
    /// cancellation was lost with its link.
    void stop_unknown(protocol::agent_report const& report, agent_slot slot);

private:
    void check_at(base::steady_time time, job const& job, std::uint32_t index,
                  std::uint32_t attempt);
    /// The attempt has ended at its agent, and whether the task ran cannot be known.
    /// @param noted number of the attempt that the job's decisions name.
    void end_unknown(job& job, std::uint32_t index, attempt const& open, std::uint32_t noted,
                     std::string const& cause, base::steady_time now);
    /// A run that takes far longer than others of its kind. False when it is left alone.
    bool move_stalled(job& job, std::uint32_t index, attempt const& open, base::steady_time now);
    /// Whether another run of the ephemeral task may follow this one.
    [[nodiscard]] bool may_move(job const& job, std::uint32_t index, attempt const& open,
                                base::steady_time now) const;
    /// Stops the run, so that the task can run elsewhere.
    void move(job& job, std::uint32_t index, attempt const& open, std::string const& reason,
              base::steady_time now);
    void for_each_attempt(agent_slot agent,
                          std::function<void(job&, std::uint32_t, attempt&)> const& use);

    entry_parts& parts;
};

} // namespace greengagehead::entry
