// State of one job at its owner.

#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "entry/agent_table.h"
#include "entry/decision_log.h"
#include "entry/waiter.h"
#include "protocol/job.h"
#include "protocol/message.h"

namespace greengagehead::entry {

/// Part of the run time that is left between the latest start and the target of a job. Allows for
/// endpoints that differ in speed and for the delay of a start message.
constexpr int speed_margin_percent = 15;

/// One start that has no final outcome yet.
struct attempt {
    std::uint32_t number = 1;
    protocol::job_epoch epoch = 1;
    agent_slot agent = 0;
    std::string endpoint;
    std::uint32_t slots = 1;
    base::steady_time sent;
    bool hedge = false;
    bool charged_to_team = false; ///< Counts as in progress for its team in the fair queue.
    /// The agent is silent, so the task may be started on another endpoint. An outcome of this
    /// attempt is still accepted.
    bool superseded = false;
};

/// A run that was cancelled when its job ended, and whose end the agent has not confirmed.
struct unconfirmed_run {
    std::uint32_t index = 0; ///< Task index.
    std::uint32_t attempt = 1;
    agent_slot agent = 0;
    base::steady_time since; ///< When it was cancelled.
};

struct task {
    protocol::task_state state = protocol::task_state::waiting;
    bool queued = false; ///< In a queue of the dispatcher.
    bool ran = false; ///< An endpoint has certainly run it.
    bool uncertain = false; ///< Some attempt may have run, and its outcome is lost.
    std::uint16_t refusals = 0;
    std::uint16_t retries = 0;
    std::uint32_t failures = 0; ///< Runs that ended as failed.
    std::uint32_t last_attempt = 0; ///< Number of the last attempt; 0 before the first one.
    std::chrono::microseconds expected {0}; ///< Estimated run time, charged to the team.
    std::vector<attempt> attempts; ///< Attempts without a final outcome.
    std::vector<std::string> tried_endpoints; ///< Endpoints to avoid in the next placement.
    std::string result;

    [[nodiscard]] attempt* find(std::uint32_t number, protocol::job_epoch epoch);
    /// Number of attempts whose outcome is awaited, without superseded ones.
    [[nodiscard]] std::size_t awaited() const;
    [[nodiscard]] bool may_have_run() const { return this->uncertain || !this->attempts.empty(); }
    [[nodiscard]] bool done() const;
};

enum class job_phase : std::uint8_t {
    claiming, ///< The claim is not committed, or the backup has not acknowledged the copy yet.
    abandoned, ///< Replied as refused or cancelled; it is not known yet whether the claim exists.
    running,
    stopping, ///< The final state is decided; outcomes of cancelled tasks are still awaited.
    publishing, ///< The answer is final and is being copied to the backup.
    finished,
};

/// Invariants: no attempt is added before `claim_committed`; `answer` is set once, when the phase
/// becomes `publishing` or `abandoned`, and contains results only when all tasks succeeded.
struct job {
    std::uint64_t number = 0; ///< Local number, used by timers.
    std::string id;
    std::string digest;
    std::string team;
    std::string submission;
    std::shared_ptr<protocol::job_request const> content; ///< Null when lost, or once finished.
    std::string backup; ///< Peer name; empty when there is no backup.
    protocol::job_epoch epoch = 1;

    std::string key; ///< Of an ephemeral job: what the submission is called at every entry.
    std::uint64_t claim_number = 0; ///< Of an ephemeral job, at its witnesses.
    /// The witnesses have not granted an ephemeral job yet: its tasks may wait, and none starts.
    bool consent_pending = false;
    /// An ephemeral job that was held: an earlier job of the submission, here or elsewhere, may
    /// have run, so that "not run" would be false.
    bool may_have_run_before = false;

    base::steady_time submitted;
    /// When its caller has sent it at the earliest. Before `submitted` when it was held, or when it
    /// waited while this entry was paused.
    base::steady_time earliest_sent;
    base::steady_time deadline;
    base::steady_time claim_deadline;
    base::steady_time latest_start; ///< Ephemeral jobs only: a later start misses the target.

    job_phase phase = job_phase::claiming;
    /// As in job_request. An ephemeral job needs no claim and counts as claimed from the start.
    bool ephemeral = false;
    bool claim_committed = false;
    bool copy_settled = false; ///< The backup has the content, or the wait for it has ended.
    bool cancel_requested = false; ///< Cancelled before the claim was decided.
    bool finish_sent = false;
    bool finish_committed = false;
    /// The content is lost, so agents may have started tasks that are not in `tasks`.
    bool tasks_unknown = false;
    bool recovery_pending = false; ///< Taken over; some agents have not answered yet.

    std::vector<task> tasks;
    std::chrono::microseconds longest {0}; ///< Largest expected run time of the tasks.
    std::size_t unfinished = 0; ///< Tasks that are not done.
    std::size_t awaited = 0; ///< Attempts of all tasks whose outcome is awaited.
    std::uint32_t refused_starts = 0; ///< Attempts that an agent did not admit; logged at the end.

    /// Of a final ephemeral job. Only a statement about a run removes it: no time that passes
    /// proves its end, because a machine that was suspended goes on with its runs.
    std::vector<unconfirmed_run> unconfirmed;
    base::steady_time unconfirmed_announced; ///< Last announcement of `unconfirmed`.

    protocol::job_state final_state = protocol::job_state::running;
    std::optional<base::error> failure;
    protocol::job_answer answer;

    std::vector<waiter> waiters;
    base::steady_time wanted_until; ///< Another entry that waits for the job asks again by then.
    base::steady_time callers_seen_at; ///< When at least one caller was last known to wait.
    decision_log decisions;

    /// Whether no attempt of any task has been made.
    [[nodiscard]] bool nothing_started() const;
    void record_decision(decision entry) { this->decisions.add(std::move(entry)); }
    /// Whether it was stopped although nobody has cancelled it.
    [[nodiscard]] bool abandoned() const
    {
        return this->failure && this->failure->code == base::error_code::abandoned;
    }
    [[nodiscard]] bool is_final() const
    {
        return this->phase == job_phase::finished || this->phase == job_phase::abandoned;
    }
};

/// How much of the job has run: `unknown` as soon as one task may have run.
[[nodiscard]] protocol::ran_extent ran_extent_of(job const& job);

/// Final answer; contains results only when the final state is complete.
[[nodiscard]] protocol::job_answer make_answer(job& job);

/// The final answer as it is now: runs that have surely ended count as cancelled.
[[nodiscard]] protocol::job_answer settled_answer(job const& job);

/// Answer of a job that is not final: state running, without results.
[[nodiscard]] protocol::job_answer current_answer(job const& job);

} // namespace greengagehead::entry
