// Applies the outcomes of attempts and retries tasks where that is allowed.

#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "base/clock.h"
#include "entry/agent_table.h"
#include "protocol/message.h"

namespace greengagehead::entry {

struct attempt;
struct entry_components;
struct job;
struct task;

class attempt_tracker {
public:
    explicit attempt_tracker(entry_components& components);

    /// Acknowledges a batch, even when none of its outcomes is known here, and applies its
    /// outcomes.
    void on_batch(std::string const& peer, protocol::outcome_batch& batch, base::steady_time now);
    /// Handles the answer to a query that was sent because of a late or lost attempt.
    void on_report(protocol::outcome_report& report, base::steady_time now);
    /// Applies one outcome. Returns false when it contributed nothing to the job's answer.
    /// @param agent the incarnation that reports it. An outcome counts only for an attempt at that
    /// incarnation.
    bool apply(job& job, protocol::process_id const& agent, protocol::task_outcome& outcome,
               base::steady_time now);
    /// An attempt has ended without an outcome that says whether the task ran.
    void on_unknown(job& job, std::uint32_t index, std::string const& endpoint,
                    std::string const& cause, base::steady_time now);
    /// Queues the task again. Returns false when its retries are used up or it must not run again.
    [[nodiscard]] bool retry(job& job, std::uint32_t index, std::string const& endpoint,
                             std::string const& cause, base::steady_time now);

    /// Cancels the attempts of a task whose outcome is awaited, for example the slower one of a
    /// hedge.
    void cancel_attempts(job& job, std::uint32_t index);
    /// Removes an attempt and releases the slots, fair queue share and job counters that it used.
    void close(job& job, task& task, attempt const& open, std::chrono::microseconds run_time);

private:
    /// Notes that a run that was cancelled at the end of its job has ended.
    /// Removes the runs that the agent no longer has from the unconfirmed ones of a final job.
    /// @param asked when the agent was asked.
    static void confirm_ends(job& job, agent_slot agent, protocol::outcome_report const& report,
                             base::steady_time asked);
    void confirm_end(job& job, protocol::process_id const& agent,
                     protocol::task_outcome const& outcome);
    /// @param agent the incarnation at which the task ran.
    void record_run(job const& job, std::uint32_t index, protocol::process_id const& agent,
                    protocol::task_outcome const& outcome, base::steady_time now);
    void on_succeeded(job& job, std::uint32_t index, protocol::task_outcome& outcome,
                      base::steady_time now);
    void on_not_run(job& job, std::uint32_t index, protocol::task_outcome const& outcome,
                    base::steady_time now);
    void on_failed(job& job, std::uint32_t index, protocol::task_outcome const& outcome,
                   base::steady_time now);

    entry_components& components;
};

} // namespace greengagehead::entry
