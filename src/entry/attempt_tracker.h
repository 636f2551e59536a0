// Attempts on their way: outcomes, retries, hedging, and agents that fall silent or come back.

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
struct task;
struct timer;

class attempt_tracker {
public:
    explicit attempt_tracker(entry_parts& parts);

    /// Sets the timer of a new attempt.
    void watch(job const& job, std::uint32_t index, attempt const& added);
    /// Acknowledges a batch, also one with nothing known in it, and uses its outcomes.
    void on_batch(std::string const& peer, protocol::outcome_batch& batch, base::steady_time now);
    /// Answer to a query that was sent because of a late or lost attempt.
    void on_report(protocol::outcome_report& report, base::steady_time now);
    /// Uses one outcome. False when it added nothing.
    bool apply(job& job, protocol::task_outcome& outcome, base::steady_time now);

    void on_check(timer const& due, base::steady_time now);
    void on_requeue(timer const& due);

    /// The agent is reachable again, or may have lost messages: asks for its open attempts.
    void ask(agent_slot agent);
    /// The agent is silent, and every stamp it held has expired.
    void on_agent_lost(agent_slot agent, base::steady_time now);
    /// A newer incarnation of the agent has reported: what it ran cannot be known any more.
    /// Stops a run that takes far longer than others of its kind, so that the task can run
    /// elsewhere. False when it is left alone.
    bool move_stalled(job& job, std::uint32_t index, attempt const& open, base::steady_time now);
    /// The run of an ephemeral attempt at a lost agent has ended by now.
    void on_attempt_over(timer const& due, base::steady_time now);
    /// Cancels ephemeral runs that the agent holds and nobody here waits for, for example after a
    /// cancellation was lost with its link.
    void stop_unknown(protocol::agent_report const& report, agent_slot slot);
    void on_agent_replaced(agent_slot agent, base::steady_time now);

    /// Stops awaited attempts of a task, for example the loser of a hedge.
    void cancel_attempts(job& job, std::uint32_t index);
    /// Drops an attempt from all books.
    void close(job& job, task& task, attempt const& open, std::chrono::microseconds run_time);

private:
    void for_each_attempt(agent_slot agent,
                          std::function<void(job&, std::uint32_t, attempt&)> const& use);
    void record_run(job const& job, std::uint32_t index, protocol::task_outcome const& outcome,
                    base::steady_time now);
    void on_succeeded(job& job, std::uint32_t index, protocol::task_outcome& outcome,
                      base::steady_time now);
    void on_not_run(job& job, std::uint32_t index, protocol::task_outcome const& outcome,
                    base::steady_time now);
    void on_unknown(job& job, std::uint32_t index, std::string const& endpoint,
                    std::string const& cause, base::steady_time now);
    void on_failed(job& job, std::uint32_t index, protocol::task_outcome const& outcome,
                   base::steady_time now);
    [[nodiscard]] bool retry(job& job, std::uint32_t index, std::string const& endpoint,
                             std::string const& cause, base::steady_time now);

    entry_parts& parts;
};

} // namespace greengagehead::entry
