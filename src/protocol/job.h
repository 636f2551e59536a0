// Job requests as submitted by a caller, and the answers to them.

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
    bool idempotent = false; ///< When false, the safe default, the task runs at most once.
    std::string payload; ///< JSON text, passed to the endpoint unchanged.
    std::chrono::milliseconds expected {0}; ///< Declared run time, a hint only; 0 when not given.
    std::uint32_t cpu = 0; ///< Declared processors, a hint; 0 when not given.
    std::uint32_t memory_mb = 0; ///< Declared memory in MB, a hint; 0 when not given.
    std::string region; ///< Required region; empty for any.
    std::string zone; ///< Required zone; empty for any.
    std::string name; ///< Name of the task at its endpoint; when empty, made of job id and index.
    std::uint32_t slots = 1; ///< Slots of the endpoint that the task occupies while it runs.
    /// Failed attempts after which the task counts as failed. Above 1 only in ephemeral jobs.
    std::uint32_t max_attempts = 1;
};

struct job_request {
    std::string submission; ///< Chosen by the caller; unique within the team.
    std::string team;
    std::chrono::milliseconds deadline {0}; ///< Relative to submission; 0 for the team's default.
    std::vector<task_request> tasks;
    /// The job is not stored: it has no claim and no backup copy, and ends when the entry that
    /// accepted it ends. Its tasks may run again, but never at the same time as an earlier run of
    /// the same task.
    bool ephemeral = false;
    /// Target time for the answer: this percentage of the run time of the longest task, plus
    /// `target_extra`. A later answer is worth less. 0 for no target except the deadline. Only for
    /// ephemeral jobs.
    std::uint32_t target_stretch_percent = 0;
    std::chrono::milliseconds target_extra {0};
    /// Under overload, jobs with targets and a higher number are refused before those with a lower
    /// number.
    std::uint32_t priority = 0;
};

enum class job_state : std::uint8_t { running, complete, failed, cancelled, refused };

/// How many of the tasks of a job have run.
enum class ran_extent : std::uint8_t { all, some, none, unknown };

enum class task_state : std::uint8_t {
    waiting, ///< Not yet sent to an agent.
    starting, ///< Sent to an agent; its outcome is not known yet.
    succeeded, ///< The endpoint answered 2xx.
    failed, ///< The endpoint ran it and answered with a final failure.
    not_run, ///< Certain not to have started and not to start later.
    may_have_run, ///< Sent to an endpoint; whether it ran can no longer be determined.
    cancelled, ///< Stopped before it finished. May have had effects if it was in state starting.
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
    /// Only for refusals; 0 when a retry would fail again.
    std::chrono::milliseconds retry_after {0};
};

} // namespace greengagehead::protocol
