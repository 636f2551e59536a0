// Records of attempts, which ensure at-most-once starts, their outcomes, and epoch fences of jobs.

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
    /// For outcomes and for records of non-idempotent runs.
    std::chrono::milliseconds outcome {0};
    /// For refused attempts, and for idempotent ones whose result was dropped.
    std::chrono::milliseconds refusal {0};
    std::size_t bytes = 0; ///< Memory budget for finished attempts with their details.
};

class outcome_store {
public:
    explicit outcome_store(retention_limits limits) : limits(limits) { }

    /// Null if the attempt is not on record. Valid until the next call of `add` or `expire`.
    [[nodiscard]] attempt_record* find(attempt_key const& key);
    /// The attempt that prevents a further attempt of the task from starting: one that waits, runs
    /// or may have run, if it or the further attempt is not idempotent. Null if there is none.
    [[nodiscard]] attempt_record* find_blocking_run(protocol::task_ref const& task,
                                                    bool idempotent);
    /// All attempts of a job.
    [[nodiscard]] std::vector<attempt_key> attempts_of(std::string const& job);

    attempt_record& add(attempt_key const& key, bool idempotent);
    /// Records the outcome of an attempt. Drops older results if the memory budget is exceeded.
    void finish(attempt_key const& key, protocol::outcome_kind kind, std::string result,
                std::string message, base::steady_time now);
    void acknowledge(attempt_key const& key);
    /// Makes an acknowledged outcome due for delivery to `owner` again.
    void reopen(attempt_key const& key, std::string const& owner);
    /// Changes the entry that gets the outcome.
    void set_owner(attempt_key const& key, std::string const& owner);

    /// Highest epoch that has been seen of the job's owners; 0 while only epoch 1 has been seen.
    [[nodiscard]] protocol::job_epoch fence(std::string const& job) const;
    void raise_fence(std::string const& job, protocol::job_epoch epoch, base::steady_time now);

    /// Removes records that are past their retention. Each call examines a part of the records.
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

    /// Moves the archived runs of the job back to `jobs`. Null if nothing is on record.
    job_record* restore_job(std::string const& job);
    void archive(std::string const& job, job_record& record);
    void enforce_budget();
    void drop_details(attempt_record& record);
    [[nodiscard]] bool expired(attempt_record const& record, base::steady_time now) const;
    void untrack(attempt_record const& record);

    retention_limits limits;
    std::map<std::string, job_record> jobs;
    /// Runs with an acknowledged outcome. Looking up a job moves its runs back to `jobs` first.
    run_archive archived;
    // Finished attempts with details, oldest first. Invariant: each is in exactly one of the maps.
    std::map<std::uint64_t, attempt_key> acknowledged_details;
    std::map<std::uint64_t, attempt_key> unacknowledged_details;
    std::uint64_t next_sequence = 1;
    std::size_t used_bytes = 0; // Of the attempts in the two maps above.
    std::size_t unfinished_count = 0;
    std::size_t unacknowledged_count = 0; // Finished, not acknowledged.
    std::string sweep_position; // Job at which the next call of `expire` continues.
};

} // namespace greengagehead::agent
