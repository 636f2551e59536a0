// Outcomes of attempts, and the retries that follow from them.

#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "base/clock.h"
#include "protocol/message.h"

namespace greengagehead::entry {

struct attempt;
struct entry_parts;
struct job;
struct task;

class attempt_tracker {
public:
    explicit attempt_tracker(entry_parts& parts);

    /// Acknowledges a batch, also one with nothing known in it, and uses its outcomes.
    void on_batch(std::string const& peer, protocol::outcome_batch& batch, base::steady_time now);
    /// Answer to a query that was sent because of a late or lost attempt.
    void on_report(protocol::outcome_report& report, base::steady_time now);
    /// Uses one outcome. False when it added nothing.
    bool apply(job& job, protocol::task_outcome& outcome, base::steady_time now);
    /// An attempt has ended without an outcome that says whether the task ran.
    void on_unknown(job& job, std::uint32_t index, std::string const& endpoint,
                    std::string const& cause, base::steady_time now);
    /// Queues the task again. False when its retries are used up or it must not run again.
    [[nodiscard]] bool retry(job& job, std::uint32_t index, std::string const& endpoint,
                             std::string const& cause, base::steady_time now);

    /// Stops awaited attempts of a task, for example the loser of a hedge.
    void cancel_attempts(job& job, std::uint32_t index);
    /// Drops an attempt from all books.
    void close(job& job, task& task, attempt const& open, std::chrono::microseconds run_time);

private:
    void record_run(job const& job, std::uint32_t index, protocol::task_outcome const& outcome,
                    base::steady_time now);
    void on_succeeded(job& job, std::uint32_t index, protocol::task_outcome& outcome,
                      base::steady_time now);
    void on_not_run(job& job, std::uint32_t index, protocol::task_outcome const& outcome,
                    base::steady_time now);
    void on_failed(job& job, std::uint32_t index, protocol::task_outcome const& outcome,
                   base::steady_time now);

    entry_parts& parts;
};

} // namespace greengagehead::entry
