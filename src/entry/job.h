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

/// One start that has no final outcome yet.
struct attempt {
    std::uint32_t number = 1;
    protocol::job_epoch epoch = 1;
    agent_slot agent = 0;
    std::string endpoint;
    std::uint32_t slots = 1;
    base::steady_time sent;
    bool hedge = false;
    bool counted = false; ///< Holds a place of its team in the fair queue.
    /// The task was given to another endpoint meanwhile, because the agent is silent. The outcome
    /// is still welcome.
    bool given_up = false;
};

struct task {
    protocol::task_state state = protocol::task_state::waiting;
    bool queued = false; ///< In the fair queue.
    bool ran = false; ///< An endpoint certainly ran it.
    bool uncertain = false; ///< Some attempt may have run, and its outcome is lost for good.
    std::uint16_t refusals = 0;
    std::uint16_t retries = 0;
    std::uint32_t failures = 0; ///< Runs that ended as failed.
    std::uint32_t last_attempt = 0;
    std::chrono::microseconds expected {0}; ///< Estimate charged to the team.
    std::vector<attempt> attempts; ///< Without a final outcome.
    std::vector<std::string> tried; ///< Endpoints to avoid.
    std::string result;

    [[nodiscard]] attempt* find(std::uint32_t number, protocol::job_epoch epoch);
    /// Attempts whose outcome is awaited, without those given up.
    [[nodiscard]] std::size_t awaited() const;
    [[nodiscard]] bool may_have_run() const { return this->uncertain || !this->attempts.empty(); }
    [[nodiscard]] bool done() const;
};

enum class job_phase : std::uint8_t {
    claiming, ///< The claim is not committed, or the backup has not answered yet.
    abandoned, ///< Replied as refused or cancelled; waits to learn whether the claim exists.
    running,
    stopping, ///< The final state is decided; outcomes of stopped tasks are still awaited.
    publishing, ///< The answer is final and being copied to the backup.
    finished,
};

/// Invariants: no attempt is added before `claim_committed`; `answer` is set once, when the phase
/// becomes `publishing` or `abandoned`, and results appear in it only when all tasks succeeded.
struct job {
    std::uint64_t number = 0; ///< Local, for timers.
    std::string id;
    std::string digest;
    std::string team;
    std::string submission;
    std::shared_ptr<protocol::job_request const> content; ///< Null when lost, or once finished.
    std::string backup; ///< Peer name; empty for none.
    protocol::job_epoch epoch = 1;

    base::steady_time submitted;
    base::steady_time deadline;
    base::steady_time give_up_claim;
    base::steady_time latest_start; ///< Of an ephemeral job: a later start misses the target.

    job_phase phase = job_phase::claiming;
    /// As in job_request. Counts as claimed from the start.
    bool ephemeral = false;
    bool claim_committed = false;
    bool copy_settled = false; ///< The backup has the content, or was not waited for any longer.
    bool cancel_requested = false; ///< Before the claim was decided.
    bool finish_sent = false;
    bool finish_committed = false;
    /// The agents may have started tasks that are not listed, because the content is lost.
    bool tasks_unknown = false;
    bool recovery_pending = false; ///< Taken over; not all agents have been heard.

    std::vector<task> tasks;
    std::size_t unfinished = 0; ///< Tasks that are not done.
    std::size_t awaited = 0; ///< Attempts over all tasks that are awaited.
    std::uint32_t refused_starts = 0; ///< Attempts that an agent did not admit, for the log.

    protocol::job_state final_state = protocol::job_state::running;
    std::optional<base::error> failure;
    protocol::job_answer answer;

    std::vector<waiter> waiters;
    decision_log decisions;

    /// No attempt of any task was made so far.
    [[nodiscard]] bool untouched() const;
    void note(decision entry) { this->decisions.add(std::move(entry)); }
    [[nodiscard]] bool is_final() const
    {
        return this->phase == job_phase::finished || this->phase == job_phase::abandoned;
    }
};

/// How much has run, read conservatively: `unknown` as soon as one task may have run.
[[nodiscard]] protocol::ran_extent ran_extent_of(job const& job);

/// Final answer; results only when the final state is complete.
[[nodiscard]] protocol::job_answer make_answer(job& job);

/// Answer of a job that is not final yet: state running, without results.
[[nodiscard]] protocol::job_answer present_answer(job const& job);

} // namespace greengagehead::entry
