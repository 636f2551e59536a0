// Every message between greengagehead processes. See docs/design.md, section 3.7.

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

struct renew_lease {
    process_id entry;
    std::string zone;
    std::string http_address;
    base::clock_reading entry_clock {0};
    view_number applied_view = 0; ///< View that the entry acts on.
    view_number settled_view = 0; ///< View that all agents holding its lease have acknowledged too.
    std::uint64_t seen_takeover = 0; ///< Highest `takeover_notice::sequence` received.
    std::string link_address; ///< Where agents and other entries reach the entry.
};

struct grant_lease {
    incarnation_number incarnation = 0;
    base::clock_reading expires_at {0}; ///< In the entry's clock.
    view_number view = 0;
    control_group group;
};

struct not_leader {
    control_group group;
    std::uint64_t request_id = 0; ///< 0 in answer to renew_lease.
};

struct live_entry {
    process_id id;
    std::string zone;
    std::string http_address;
    std::string link_address;
};

struct view {
    view_number number = 0;
    std::vector<setting> settings; ///< Sorted by path.
    std::vector<std::string> zones_out;
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

/// Tells an entry which jobs of lost entries it owns now. Lists all of them that are unfinished,
/// and is repeated until `renew_lease::seen_takeover` reaches `sequence`, so one notice replaces
/// any earlier one that was lost.
struct takeover_notice {
    process_id new_owner;
    std::vector<job_claim> claims;
    std::uint64_t sequence = 0;
};

// --- agent and control ---

/// Asks any control member for the entries and members that it knows.
struct directory_request {
    process_id from;
    view_number known_view = 0;
};

struct directory {
    view_number view = 0;
    std::vector<live_entry> entries;
    control_group group;
};

// --- entry and entry ---

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

struct job_finished_copy {
    job_epoch epoch = 1;
    job_answer answer;
};

struct job_finished_ack {
    std::string job;
    job_epoch epoch = 1;
};

/// Asks the owner of a job for its answer or its decisions.
struct job_query {
    std::uint64_t query_id = 0;
    std::string job;
    bool explain = false;
    std::chrono::milliseconds wait {0}; ///< Longest time to hold the reply for a final answer.
};

struct job_reply {
    std::uint64_t query_id = 0;
    std::optional<job_answer> answer; ///< Empty when the job is unknown here.
    std::string explanation; ///< JSON text when asked for.
};

struct job_cancel {
    std::string job;
};

// --- entry and agent ---

/// Permission to start tasks, stated in the clock of the agent that receives it.
struct lease_stamp {
    process_id entry;
    view_number view = 0;
    base::clock_reading expires_at {0};
    /// False when the entry holds no lease: the stamp then only bounds how late an ephemeral start
    /// may arrive, and permits no other.
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
    bool ephemeral = false; ///< As in job_request: ends with its entry, may run again afterwards.
    std::string name; ///< As in task_request.
    std::uint32_t slots = 1; ///< As in task_request.
    std::uint32_t cpu = 0; ///< As in task_request.
    std::uint32_t memory_mb = 0; ///< As in task_request.
    std::chrono::microseconds expected {0}; ///< Typical run time of such tasks; 0 for unknown.
    /// Time left until the latest start that meets the job's target; below 0 when it has passed.
    /// A task without a target should start at once.
    std::chrono::milliseconds start_within {0};
};

struct start_batch {
    lease_stamp lease;
    incarnation_number agent_incarnation = 0;
    std::vector<task_start> starts;
};

struct lease_update {
    lease_stamp lease;
    std::vector<std::string> zones_out;
    std::vector<std::string> draining_endpoints;
    std::vector<process_id> live_entries;
    base::clock_reading entry_clock {0};
};

struct attempt_ref {
    task_ref task;
    std::uint32_t attempt = 1;
};

struct cancel_batch {
    std::vector<attempt_ref> attempts;
};

/// Asks what an agent knows of jobs, and fences lower epochs of them.
struct outcome_query {
    struct item {
        std::string job;
        job_epoch epoch = 1;
    };
    std::uint64_t query_id = 0;
    std::vector<item> jobs;
};

enum class outcome_kind : std::uint8_t {
    running, ///< Only in an outcome_report.
    succeeded,
    failed, ///< Final failure reported by the endpoint.
    not_run, ///< This attempt did not start and never will.
    unknown, ///< It may have run.
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

/// Slots of an endpoint, as in endpoint_state. Sent more often than the whole state.
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
    std::vector<endpoint_use> uses; ///< Of the agent's endpoints, when the batch was sent.
};

struct outcome_ack {
    incarnation_number agent_incarnation = 0;
    std::uint64_t batch_id = 0;
};

struct outcome_report {
    process_id agent;
    std::uint64_t query_id = 0;
    std::vector<task_outcome> outcomes;
};

struct endpoint_state {
    std::string name;
    std::vector<std::string> kinds;
    std::uint32_t slots = 0;
    std::uint32_t used_slots = 0; ///< Slots of running tasks, of all entries.
    std::uint32_t queued = 0; ///< Slots that admitted tasks wait for.
    std::uint32_t cpu = 0;
    std::uint32_t memory_mb = 0;
    std::string rack;
    bool draining = false;
    /// Slots of running and queued tasks that the entry which receives the report has started.
    std::uint32_t held_by_receiver = 0;
};

struct agent_report {
    process_id agent;
    std::string region;
    std::string zone;
    base::clock_reading agent_clock {0};
    view_number seen_view = 0;
    std::vector<endpoint_state> endpoints;
    /// Waiting and running ephemeral attempts that the receiver has started.
    std::vector<attempt_ref> ephemeral_runs;
};

/// A run makes so little progress that the task would end sooner elsewhere.
struct lagging_run {
    process_id agent;
    attempt_ref run;
    /// Until its end at the present pace, at least.
    std::chrono::milliseconds remaining {0};
};

using message
    = std::variant<raft_message, renew_lease, grant_lease, not_leader, view_update, control_request,
                   control_reply, takeover_notice, job_copy, job_copy_ack, job_finished_copy,
                   job_finished_ack, job_query, job_reply, job_cancel, start_batch, lease_update,
                   cancel_batch, outcome_query, outcome_batch, outcome_ack, outcome_report,
                   agent_report, directory_request, directory, lagging_run>;

} // namespace greengagehead::protocol
