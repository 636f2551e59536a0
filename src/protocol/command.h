// Commands that change the replicated state of the control group, reads of it, and their results.

#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "protocol/identity.h"
#include "protocol/job.h"

namespace greengagehead::protocol {

/// Milliseconds since the Unix epoch, stamped by the leader when it proposes a command, so that all
/// members apply the same time.
using wall_time = std::chrono::milliseconds;

// --- commands ---

struct put_setting {
    std::string path; ///< For example `/teams/hospital/weight`.
    std::string value; ///< JSON text of a number, string or boolean.
    std::optional<std::uint64_t> expected_version; ///< Refused when the path is at another version.
    /// A resent command with the same key gets the first result. The leader fills in the id of the
    /// request when it is empty.
    std::string idempotency_key;
    std::string author;
};

struct put_zone_state {
    std::string zone;
    bool out = false;
    std::string idempotency_key; ///< As in put_setting.
};

struct put_endpoint_drain {
    std::string endpoint;
    bool draining = true;
    std::string idempotency_key; ///< As in put_setting.
};

/// A whole configuration in one piece, for example a routing table. Its text is not interpreted
/// here; whoever puts it has checked it.
struct document {
    std::uint64_t version = 0; ///< Chosen by the author; 0 for none stored yet.
    std::string text;
};

/// Stores a document. The highest version stays in force: a lower or equal one changes nothing.
struct put_document {
    document wanted;
};

/// Returns the stored document. As a command it is answered only once a quorum has confirmed that
/// nothing newer is stored.
struct confirm_document { };

struct join_entry {
    process_id entry;
    std::string zone;
    std::string http_address;
    std::string link_address;
};

struct remove_entry {
    process_id entry;
};

/// Registers an agent incarnation. An entry places no task on an agent before this is committed, so
/// that a takeover knows every agent that may have started a task.
struct join_agent {
    process_id agent;
    std::string zone;
};

struct remove_agent {
    process_id agent;
};

struct job_claim {
    std::string job; ///< Job id, 32 hex digits.
    std::string digest; ///< SHA-256 of the content in hex.
    std::string team;
    std::string submission;
    process_id owner;
    std::string backup; ///< Entry that holds a copy of the content; empty for none.
    job_epoch epoch = 1;
    std::chrono::milliseconds deadline {0}; ///< Relative to `claimed_at`.
    wall_time claimed_at {0};
    bool finished = false;
    job_state state = job_state::running; ///< Final state once finished.
    ran_extent ran = ran_extent::none; ///< Final extent once finished.
};

struct claim_jobs {
    std::vector<job_claim> claims;
    /// Set by the leader to the id of the request. Tells a resent claim of a refused job, which
    /// must not be granted again, from a new one.
    std::uint64_t request_id = 0;
};

struct job_finish {
    std::string job;
    job_epoch epoch = 1;
    job_state state = job_state::complete;
    ran_extent ran = ran_extent::all;
};

struct finish_jobs {
    std::vector<job_finish> jobs;
};

/// Moves every unfinished job of a removed entry to its backup where that entry is live, else to
/// `fallback`.
struct take_over {
    process_id lost;
    std::string fallback;
};

/// Reduces claims to tombstones and forgets tombstones, each up to `limit` per command so that a
/// long outage of control is not made up for in one step.
struct expire_claims {
    wall_time before {0}; ///< Applies to claims that finished before this, and to past agents.
    wall_time tombstones_before {0}; ///< Applies to tombstones made before this.
    std::uint32_t limit = 0;
};

using command_body = std::variant<put_setting, put_zone_state, put_endpoint_drain, join_entry,
                                  remove_entry, claim_jobs, finish_jobs, take_over, expire_claims,
                                  join_agent, remove_agent, put_document, confirm_document>;

struct command {
    wall_time proposed_at {0};
    command_body body;
};

// --- reads, answered by the leader from committed state ---

struct read_claim {
    std::string job;
};

struct read_settings {
    std::string prefix; ///< All settings at or below this path.
};

struct read_history {
    std::string path;
};

/// Agents that may have started tasks of a job: those registered now, and those that were replaced
/// or removed at or after `claimed_at`.
struct read_agents {
    wall_time claimed_at {0};
};

struct read_control_status { };

/// Operator changes to the control group itself.
struct change_members {
    enum class action : std::uint8_t { add, remove, replace };
    action what = action::add;
    std::string member; ///< Peer name.
    std::string replacement; ///< Peer name; only for `replace`.
    std::string address; ///< Address of the added member.
};

using control_request_body = std::variant<command_body, read_claim, read_settings, read_history,
                                          read_agents, read_control_status, change_members>;

// --- results ---

struct setting {
    std::string path;
    std::string value; ///< JSON text.
    std::uint64_t version = 0; ///< Counts the changes of this path from 1.
};

enum class change_status : std::uint8_t { applied, version_mismatch, invalid, unknown_path };

/// Result of put_setting, put_zone_state and put_endpoint_drain.
struct change_result {
    change_status status = change_status::applied;
    setting current; ///< Value and version after the command; only for settings.
    view_number view = 0; ///< View that carries the change.
    std::string message; ///< Names what is allowed when the status is `invalid`.
};

enum class claim_status : std::uint8_t {
    granted, ///< New claim, the requester owns the job.
    existing, ///< The same content was claimed before; `claim` says by whom.
    digest_conflict, ///< The submission was claimed before with other content.
    expired, ///< The submission was known and its retention has passed.
    not_live, ///< The requesting entry is not part of the current view.
};

struct claim_result {
    claim_status status = claim_status::granted;
    job_claim claim;
};

struct claim_results {
    std::vector<claim_result> claims; ///< In the order of the request.
};

struct claim_lookup {
    std::optional<job_claim> claim;
    bool expired = false; ///< The job was known and is past its retention; `claim` is empty.
};

struct settings_list {
    std::vector<setting> settings;
};

struct setting_change {
    setting value;
    std::string author;
    wall_time at {0};
};

struct settings_history {
    std::vector<setting_change> changes;
};

struct registered_agent {
    process_id id;
    std::string zone;
    wall_time joined_at {0};
    wall_time removed_at {0}; ///< 0 while registered.
};

struct agent_list {
    std::vector<registered_agent> agents;
};

/// Result of put_document and confirm_document.
struct document_result {
    document stored;
    view_number view = 0; ///< View that carries the document.
};

/// Result of commands that have nothing else to say.
struct view_result {
    view_number view = 0;
};

struct control_member {
    std::string name;
    std::string address;
    bool voter = true;
    bool leader = false;
    bool reachable = true;
    std::uint64_t match_index = 0;
};

struct control_status {
    std::vector<control_member> members;
    std::uint64_t term = 0;
    std::uint64_t commit_index = 0;
    view_number view = 0;
    view_number in_force = 0;
    std::uint64_t claims = 0;
};

using control_result
    = std::variant<change_result, claim_results, claim_lookup, settings_list, settings_history,
                   agent_list, view_result, control_status, base::error, document_result>;

} // namespace greengagehead::protocol
