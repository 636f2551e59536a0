// A job as submitted by a caller, and its answer.

#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/error.h"

namespace greengagehead::protocol {

struct task_request {
    std::string kind;
    bool idempotent = false; ///< False is the safe reading: the task runs at most once.
    std::string payload; ///< JSON text, passed to the endpoint unchanged.
    std::chrono::milliseconds expected {0}; ///< Declared run time, a hint only; 0 when not given.
    std::uint32_t cpu = 0; ///< Declared processors, a hint; 0 when not given.
    std::uint32_t memory_mb = 0; ///< Declared memory in MB, a hint; 0 when not given.
    std::string region; ///< Required region; empty for any.
    std::string zone; ///< Required zone; empty for any.
    std::string name; ///< Name of the task at its endpoint; empty for job id and index.
    std::uint32_t slots = 1; ///< Slots of the endpoint that the task occupies while it runs.
    /// Runs that end as failed before the task counts as failed. Above 1 only in ephemeral jobs.
    std::uint32_t max_attempts = 1;
};

struct job_request {
    std::string submission; ///< Chosen by the caller; unique within the team.
    std::string team;
    std::chrono::milliseconds deadline {0}; ///< Relative to submission; 0 for the team's default.
    std::vector<task_request> tasks;
    /// The job is not stored: it has neither claim nor copy and ends with the entry that took it.
    /// Its tasks may run again, but never beside an earlier run of the same task.
    bool ephemeral = false;
    /// The answer has its full value within this part of the longest task's run time, in percent,
    /// plus `target_extra`. 0 for no target but the deadline. Only for ephemeral jobs.
    std::uint32_t target_stretch_percent = 0;
    std::chrono::milliseconds target_extra {0};
    /// Of jobs with targets, those with a lower number are refused later under overload.
    std::uint32_t priority = 0;
};

enum class job_state : std::uint8_t { running, complete, failed, cancelled, refused };

/// How much of a job has run.
enum class ran_extent : std::uint8_t { all, some, none, unknown };

enum class task_state : std::uint8_t {
    waiting, ///< Not sent to any agent.
    starting, ///< Sent to an agent, no outcome known yet.
    succeeded, ///< The endpoint answered 2xx.
    failed, ///< The endpoint ran it and answered with a final failure.
    not_run, ///< Proven not to have started, and will not start later.
    may_have_run, ///< Sent to an endpoint; whether it ran cannot be known any more.
    cancelled, ///< Stopped before it finished; it may have had effects when it was starting.
};

struct task_answer {
    std::uint32_t index = 0;
    task_state state = task_state::waiting;
    std::string result; ///< JSON text; only in a complete answer, empty otherwise.
};

struct job_answer {
    std::string job; ///< Job id, 32 hex digits.
    std::string submission;
    std::string team;
    job_state state = job_state::running;
    ran_extent ran = ran_extent::none;
    std::vector<task_answer> tasks;
    std::optional<base::error> failure;
    std::chrono::milliseconds retry_after {0}; ///< Only for refusals; 0 when retrying cannot help.
};

} // namespace greengagehead::protocol
