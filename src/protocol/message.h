// The messages between greengagehead processes. See docs/design.md, section 3.7.

#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "protocol/command.h"
#include "protocol/control_group.h"
#include "protocol/identity.h"
#include "protocol/job.h"
#include "protocol/raft_message.h"

namespace greengagehead::protocol {

// --- entry and control ---

/// Slot time of one account at one entry since the last renewal that was answered.
struct account_use {
    std::string account;
    std::chrono::microseconds asked {0}; ///< Of the jobs that arrived, refused ones included.
    std::chrono::microseconds served {0}; ///< Of the tasks that were started.
};

/// Demand of an entry for slots.
struct entry_demand {
    /// Slot time that arrives each second, refused work included.
    std::chrono::microseconds arriving {0};
    std::uint64_t applied_table = 0; ///< `capacity_shares::number` that the entry acts on.
    std::vector<account_use> accounts;
    /// The entry divides the slots by the tables of the leader. Otherwise it only reports accounts.
    bool shares_slots = false;
};

/// Share of one entry in the slots of the endpoints that it uses.
struct entry_weight {
    std::string entry; ///< Peer name.
    std::uint32_t weight = 0; ///< In parts of 1,000.
};

/// Decaying sums over all entries of the slot time of one account.
struct account_share {
    std::string account;
    std::chrono::microseconds asked {0};
    std::chrono::microseconds served {0};
};

/// How the slots are divided among the entries, and what each account has had lately.
struct capacity_shares {
    std::uint64_t number = 0; ///< Of the table in `entries`; 0 for none. Increases.
    std::uint64_t settled = 0; ///< Highest table that each live entry has applied.
    std::vector<entry_weight> entries;
    std::vector<account_share> accounts;
};

/// Asks the leader for a lease, and reports the state of the entry to it.
struct renew_lease {
    process_id entry;
    std::string zone;
    std::string http_address;
    base::clock_reading entry_clock {0}; ///< Time of sending in the entry's clock.
    view_number applied_view = 0; ///< View that the entry acts on.
    /// View that all agents with a lease of this entry have acknowledged too.
    view_number settled_view = 0;
    std::uint64_t seen_takeover = 0; ///< Highest `takeover_notice::sequence` received.
    std::string link_address; ///< Where agents and other entries reach the entry.
    std::optional<entry_demand> demand; ///< Empty unless the settings of the entry ask for shares.
};

/// Allows an entry to start tasks until the lease expires.
struct grant_lease {
    incarnation_number incarnation = 0; ///< Of the entry.
    base::clock_reading expires_at {0}; ///< In the entry's clock.
    view_number view = 0;
    control_group group;
    std::optional<capacity_shares> shares; ///< Only in answer to a renewal with a demand.
};

/// Answer of a control member that is not the leader. `group` names the leader if it is known.
struct not_leader {
    control_group group;
    std::uint64_t request_id = 0; ///< 0 in answer to renew_lease.
};

/// An entry that is part of a view.
struct live_entry {
    process_id id;
    std::string zone;
    std::string http_address;
    std::string link_address;
};

/// The part of the replicated state that entries act on.
struct view {
    view_number number = 0;
    std::vector<setting> settings; ///< Sorted by path.
    std::vector<std::string> zones_out; ///< Zones that are out of service.
    std::vector<std::string> draining_endpoints;
    std::vector<live_entry> entries;
    document routing; ///< Version 0 until the first one is stored.
};

struct view_update {
    view current;
};

struct control_request {
    std::uint64_t request_id = 0; ///< Unique within the sender's incarnation.
    process_id from;
    control_request_body body;
};

struct control_reply {
    std::uint64_t request_id = 0;
    control_result result;
};

/// Tells an entry which jobs of removed entries it owns now. Each notice lists all of them that are
/// unfinished, so it replaces any earlier notice that was lost. It is resent until
/// `renew_lease::seen_takeover` reaches `sequence`.
struct takeover_notice {
    process_id new_owner;
    std::vector<job_claim> claims;
    std::uint64_t sequence = 0;
};

// --- agent and control ---

/// Asks any control member for its latest list of entries and control members.
struct directory_request {
    process_id from;
    view_number known_view = 0; ///< View of the latest directory received; 0 for none.
};

struct directory {
    view_number view = 0;
    std::vector<live_entry> entries;
    control_group group;
};

// --- entry and entry ---

/// Stores a copy of a job on its backup entry.
struct job_copy {
    std::string job;
    process_id owner;
    job_epoch epoch = 1;
    job_request content;
};

struct job_copy_ack {
    std::string job;
    job_epoch epoch = 1;
};

/// Replaces the copy of a job on its backup entry by the final answer.
struct job_finished_copy {
    job_epoch epoch = 1;
    job_answer answer;
};

struct job_finished_ack {
    std::string job;
    job_epoch epoch = 1;
};

/// Asks the owner of a job for its answer, or for an explanation of the dispatch decisions.
struct job_query {
    std::uint64_t query_id = 0;
    std::string job;
    bool explain = false;
    /// Longest time for which the reply may be delayed to wait for a final answer.
    std::chrono::milliseconds wait {0};
};

struct job_reply {
    std::uint64_t query_id = 0;
    std::optional<job_answer> answer; ///< Empty when the job is unknown to the sender.
    std::string explanation; ///< JSON text if `job_query::explain` was set.
};

struct job_cancel {
    std::string job;
};

/// Tells the other entries which unfinished ephemeral submissions the sender has. They do not start
/// a submission that is sent again to them, and pass on its cancellation.
struct submissions_running {
    struct submission {
        std::string key; ///< The same at every entry.
        std::chrono::milliseconds age {0}; ///< Time since it arrived at the sender.
        /// Time until its runs are to end; 0 when the sender has none and will start none.
        std::chrono::milliseconds remaining {0};
        /// The sender has started nothing of it, and waits for the end of its runs elsewhere.
        bool held = false;
    };
    process_id entry;
    std::vector<submission> submissions;
    bool asks_for_all = false; ///< The sender has just connected and needs all of the receiver.
};

/// One attempt of an entry to become the only one that starts an ephemeral submission.
struct claim_ref {
    process_id entry;
    std::uint64_t number = 0; ///< Higher than that of each earlier claim of the entry.
};

/// Asks a witness to grant a submission to the sender.
struct submission_claim {
    std::string key; ///< The same at every entry.
    claim_ref claim;
    /// Claims under which nothing runs any more and nothing will start. The sender knows that from
    /// their entries or from the agents.
    std::vector<claim_ref> ended;
};

/// Answer of a witness to a submission_claim.
struct claim_verdict {
    enum class kind : std::uint8_t {
        granted,
        held, ///< Another claim holds the submission.
        not_ready, ///< The witness may have forgotten what it granted before it started.
        cancelled, ///< A caller has cancelled the submission.
    };
    std::uint64_t number = 0; ///< Of the claim.
    kind verdict = kind::not_ready;
    claim_ref holder; ///< Only when held.
    std::chrono::milliseconds age {0}; ///< Time since the holder has got it. Only when held.
};

/// A submission and the claim that holds it.
struct submission_ref {
    std::string key;
    claim_ref claim;
};

/// Nothing was started under the claim, and nothing will be.
struct claim_release {
    submission_ref released;
};

/// An agent, and how long the sender has not heard it.
struct agent_silence {
    process_id agent;
    std::chrono::milliseconds silence {0};
};

/// The claims under which something may run, and the agents where it may, as far as the sender
/// knows. Sent to each entry that connects: it may have forgotten what it granted before it
/// started, and may not have heard some of the agents since.
struct claims_held {
    process_id entry;
    std::vector<submission_ref> claims;
    std::vector<agent_silence> agents;
};

// --- entry and agent ---

/// Permission to start tasks. Its expiry is given in the clock of the agent that receives it.
struct lease_stamp {
    process_id entry;
    view_number view = 0;
    base::clock_reading expires_at {0};
    /// False when the entry has no lease. The stamp then permits only starts of ephemeral tasks,
    /// and `expires_at` is the latest time at which such a start may arrive.
    bool leased = true;
};

struct task_start {
    task_ref task;
    std::uint32_t attempt = 1;
    job_epoch epoch = 1;
    std::string endpoint;
    std::string team;
    std::string kind;
    bool idempotent = false;
    std::string payload; ///< JSON text.
    std::chrono::milliseconds remaining {0}; ///< Time left until the job's deadline.
    std::chrono::milliseconds timeout {0}; ///< Longest run time; 0 for none.
    /// As in job_request: ends with its entry and may run again afterwards.
    bool ephemeral = false;
    std::string name; ///< As in task_request.
    std::uint32_t slots = 1; ///< As in task_request.
    std::uint32_t cpu = 0; ///< As in task_request.
    std::uint32_t memory_mb = 0; ///< As in task_request.
    /// Typical run time of this kind of task; 0 when unknown.
    std::chrono::microseconds expected {0};
    /// Time left until the latest start that meets the target of the job; negative when that time
    /// has passed. A task without a target should start at once.
    std::chrono::milliseconds start_within {0};
};

struct start_batch {
    lease_stamp lease;
    incarnation_number agent_incarnation = 0; ///< Incarnation for which the starts are meant.
    std::vector<task_start> starts;
};

/// Renews the permission of an agent, with the operator state of the view that the entry acts on.
struct lease_update {
    lease_stamp lease;
    std::vector<std::string> zones_out;
    std::vector<std::string> draining_endpoints;
    std::vector<process_id> live_entries;
    base::clock_reading entry_clock {0}; ///< Time of sending in the entry's clock.
    /// The zones, endpoints and entries are left out because the agent has acknowledged the view.
    /// The agent must not adopt a view from this message.
    bool view_omitted = false;
};

/// Identifies one attempt to run a task.
struct attempt_ref {
    task_ref task;
    std::uint32_t attempt = 1;
};

struct cancel_batch {
    std::vector<attempt_ref> attempts;
};

/// Asks an agent for the outcomes of all tasks of some jobs, and fences lower epochs of these jobs.
struct outcome_query {
    struct job_ref {
        std::string job;
        job_epoch epoch = 1;
    };
    std::uint64_t query_id = 0;
    std::vector<job_ref> jobs;
};

enum class outcome_kind : std::uint8_t {
    running, ///< Only in an outcome_report.
    succeeded,
    failed, ///< The endpoint reported a final failure.
    not_run, ///< This attempt has not started and never will.
    unknown, ///< Whether the attempt ran is not known.
    cancelled, ///< Stopped on request after it had started.
};

struct task_outcome {
    task_ref task;
    std::uint32_t attempt = 1;
    job_epoch epoch = 1;
    std::string endpoint;
    outcome_kind kind = outcome_kind::unknown;
    std::string result; ///< JSON text; only when succeeded.
    std::string message; ///< Reason when not succeeded.
    std::chrono::microseconds run_time {0};
};

/// Slot usage of an endpoint. The fields are those of endpoint_state, which is sent less often.
struct endpoint_use {
    std::string endpoint;
    std::uint32_t used_slots = 0;
    std::uint32_t queued = 0;
    std::uint32_t held_by_receiver = 0;
};

struct outcome_batch {
    process_id agent;
    std::uint64_t batch_id = 0; ///< Resent under the same id until acknowledged.
    std::vector<task_outcome> outcomes;
    std::vector<endpoint_use> uses; ///< Usage of the agent's endpoints when the batch was sent.
};

struct outcome_ack {
    incarnation_number agent_incarnation = 0;
    std::uint64_t batch_id = 0;
};

/// Answer to an outcome_query.
struct outcome_report {
    process_id agent;
    std::uint64_t query_id = 0;
    std::vector<task_outcome> outcomes;
};

/// Properties and slot usage of an endpoint.
struct endpoint_state {
    std::string name;
    std::vector<std::string> kinds;
    std::uint32_t slots = 0;
    std::uint32_t used_slots = 0; ///< Slots of running tasks, started by any entry.
    std::uint32_t queued = 0; ///< Slots needed by tasks that were admitted and wait.
    std::uint32_t cpu = 0;
    std::uint32_t memory_mb = 0;
    std::string rack;
    bool draining = false;
    /// Slots of the running and queued tasks that were started by the receiver of the report.
    std::uint32_t held_by_receiver = 0;
};

struct agent_report {
    process_id agent;
    std::string region;
    std::string zone;
    base::clock_reading agent_clock {0}; ///< Time of sending in the agent's clock.
    view_number seen_view = 0; ///< Latest view that the agent acknowledges.
    std::vector<endpoint_state> endpoints;
    /// Waiting and running ephemeral attempts that were started by the receiver.
    std::vector<attempt_ref> ephemeral_runs;
};

/// Reports a run so slow that the task would finish sooner on another endpoint.
struct lagging_run {
    process_id agent;
    attempt_ref run;
    /// Lower bound of the time until the run ends at its current rate of progress.
    std::chrono::milliseconds remaining {0};
};

using message
    = std::variant<raft_message, renew_lease, grant_lease, not_leader, view_update, control_request,
                   control_reply, takeover_notice, job_copy, job_copy_ack, job_finished_copy,
                   job_finished_ack, job_query, job_reply, job_cancel, start_batch, lease_update,
                   cancel_batch, outcome_query, outcome_batch, outcome_ack, outcome_report,
                   agent_report, directory_request, directory, lagging_run, submissions_running,
                   submission_claim, claim_verdict, claim_release, claims_held>;

} // namespace greengagehead::protocol
