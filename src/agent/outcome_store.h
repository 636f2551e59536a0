// What the agent remembers of attempts: the at-most-once record, outcomes and epoch fences.

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "agent/attempt.h"
#include "agent/run_archive.h"

namespace greengagehead::agent {

struct retention_limits {
    /// Outcomes and the record of non-idempotent runs.
    std::chrono::milliseconds outcome {0};
    /// Refused attempts, and idempotent ones whose result was dropped.
    std::chrono::milliseconds refusal {0};
    std::size_t bytes = 0; ///< Budget for finished attempts with their details.
};

class outcome_store {
public:
    explicit outcome_store(retention_limits limits) : limits(limits) { }

    /// Null when not on record. Valid until the next call of `add` or `expire`.
    [[nodiscard]] attempt_record* find(attempt_key const& key);
    /// The attempt that keeps a further attempt of the task from starting: one that has run, runs
    /// or is about to, where the task or the further attempt is not idempotent.
    [[nodiscard]] attempt_record* find_run(protocol::task_ref const& task, bool idempotent);
    /// All attempts of a job.
    [[nodiscard]] std::vector<attempt_key> of_job(std::string const& job);

    attempt_record& add(attempt_key const& key, bool idempotent);
    /// Records the outcome of an attempt on record. Drops older results when over the budget.
    void finish(attempt_key const& key, protocol::outcome_kind kind, std::string result,
                std::string message, base::steady_time now);
    void acknowledge(attempt_key const& key);
    /// Makes an acknowledged outcome due for delivery to `owner` again.
    void reopen(attempt_key const& key, std::string const& owner);
    /// Changes the entry that gets the outcome.
    void assign(attempt_key const& key, std::string const& owner);

    /// Highest epoch that an owner of the job has shown; 0 when only the first has.
    [[nodiscard]] protocol::job_epoch fence(std::string const& job) const;
    void raise_fence(std::string const& job, protocol::job_epoch epoch, base::steady_time now);

    /// Forgets what is past its retention. Looks at a part of the records per call.
    void expire(base::steady_time now);

    [[nodiscard]] protocol::task_outcome outcome(attempt_key const& key);
    [[nodiscard]] std::size_t result_bytes(attempt_key const& key);
    [[nodiscard]] std::size_t unfinished() const { return this->unfinished_count; }
    [[nodiscard]] std::size_t unacknowledged() const { return this->unacknowledged_count; }
    [[nodiscard]] std::size_t bytes() const { return this->used_bytes; }

private:
    struct job_record {
        protocol::job_epoch fence = 0;
        base::steady_time fenced_at;
        std::vector<attempt_record> attempts;
    };

    /// The job with its archived runs. Null when nothing is on record.
    job_record* open(std::string const& job);
    void archive(std::string const& job, job_record& record);
    void enforce_budget();
    void drop_details(attempt_record& record);
    [[nodiscard]] bool expired(attempt_record const& record, base::steady_time now) const;
    void forget(attempt_record const& record);

    retention_limits limits;
    std::map<std::string, job_record> jobs;
    // Runs of jobs that are looked up are moved back to `jobs` first.
    run_archive archived;
    // Finished attempts with details, oldest first. Every one of them is in exactly one of the two.
    std::map<std::uint64_t, attempt_key> acknowledged_details;
    std::map<std::uint64_t, attempt_key> owed_details;
    std::uint64_t next_sequence = 1;
    std::size_t used_bytes = 0; // Of the attempts in the two maps above.
    std::size_t unfinished_count = 0;
    std::size_t unacknowledged_count = 0; // Finished, not acknowledged.
    std::string sweep_position; // Job at which the next call of `expire` goes on.
};

} // namespace greengagehead::agent
