// Commands that change the replicated state of the control group, reads of that state, and the
// results of both.

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

/// Milliseconds since the Unix epoch. The leader sets it when it proposes a command, so that all
/// members apply the command with the same time.
using wall_time = std::chrono::milliseconds;

// --- commands ---

struct put_setting {
    std::string path; ///< For example `/teams/hospital/weight`.
    std::string value; ///< JSON text of a number, string or boolean.
    std::optional<std::uint64_t> expected_version; ///< Refused when the path has another version.
    /// A command that is resent with the same key gets the result of the first one. When the key is
    /// empty, the leader fills in the id of the request.
    std::string idempotency_key;
    std::string author; ///< Shown in the history of the setting.
};

struct put_zone_state {
    std::string zone;
    bool out = false; ///< True to take the zone out of service, false to return it.
    std::string idempotency_key; ///< As in put_setting.
};

struct put_endpoint_drain {
    std::string endpoint;
    bool draining = true; ///< False to end the drain.
    std::string idempotency_key; ///< As in put_setting.
};

/// A complete configuration, for example a routing table. The control group does not interpret its
/// text; the sender of put_document must have validated it.
struct document {
    std::uint64_t version = 0; ///< Chosen by the author; 0 when no document is stored.
    std::string text;
};

/// Stores a document, unless its version is lower than or equal to the stored one.
struct put_document {
    document content;
};

/// Returns the stored document. It is a command rather than a read, so that it is answered only
/// once a quorum has confirmed that no newer document is stored.
struct confirm_document { };

/// Registers an entry incarnation.
struct join_entry {
    process_id entry;
    std::string zone;
    std::string http_address;
    std::string link_address; ///< Where agents and other entries reach the entry.
};

struct remove_entry {
    process_id entry;
};

/// Registers an agent incarnation. An entry places no task on an agent before this is committed, so
/// that the new owner of a job finds every agent that may have started one of its tasks.
struct join_agent {
    process_id agent;
    std::string zone;
};

struct remove_agent {
    process_id agent;
};

/// Ownership record of a job.
struct job_claim {
    std::string job; ///< Job id, 32 hex digits.
    std::string digest; ///< SHA-256 of the content in hex.
    std::string team;
    std::string submission; ///< As in job_request.
    process_id owner;
    /// Peer name of the entry that stores a copy of the content; empty for none.
    std::string backup;
    job_epoch epoch = 1;
    std::chrono::milliseconds deadline {0}; ///< Relative to `claimed_at`.
    wall_time claimed_at {0};
    bool finished = false;
    job_state state = job_state::running; ///< Final state once finished.
    ran_extent ran = ran_extent::none; ///< Final extent once finished.
};

struct claim_jobs {
    std::vector<job_claim> claims;
    /// Set by the leader to the id of the request. Distinguishes a resent claim of a refused job,
    /// which must not be granted again, from a new claim.
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

/// Moves every unfinished job of a removed entry to its backup entry if that is live, and otherwise
/// to `fallback`.
struct take_over {
    process_id lost; ///< The removed entry.
    std::string fallback; ///< Peer name of an entry.
};

/// Replaces expired claims by tombstones and deletes expired tombstones. `limit` bounds the
/// finished claims per command, so that the backlog of a long control outage is not expired in one
/// step.
struct expire_claims {
    /// Claims that finished before this time expire, and so do unfinished claims for which even the
    /// longest allowed deadline passed before it. Agents removed before it are forgotten.
    wall_time before {0};
    wall_time tombstones_before {0}; ///< Tombstones created before this time are deleted.
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
    std::string prefix; ///< Path; selects the setting there and all settings below.
};

struct read_history {
    std::string path; ///< Path of one setting.
};

/// Reads the agents that may have started tasks of a job: those registered now, and those that were
/// replaced or removed at or after `claimed_at`.
struct read_agents {
    wall_time claimed_at {0}; ///< Time at which the job was claimed.
};

struct read_control_status { };

/// A change of the control group's membership, requested by an operator.
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
    std::uint64_t version = 0; ///< Counts the changes of this path, starting at 1.
};

enum class change_status : std::uint8_t { applied, version_mismatch, invalid, unknown_path };

/// Result of put_setting, put_zone_state and put_endpoint_drain.
struct change_result {
    change_status status = change_status::applied;
    setting current; ///< Value and version after the command; only for put_setting.
    view_number view = 0; ///< View that contains the change.
    std::string message; ///< When the status is `invalid`: the values that are allowed.
};

enum class claim_status : std::uint8_t {
    granted, ///< The claim is new and the requester owns the job.
    existing, ///< The same content was claimed before; `claim` names the owner.
    digest_conflict, ///< The submission was claimed before with different content.
    expired, ///< The submission was claimed before and its retention has passed.
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
    /// The job was claimed before and its retention has passed; `claim` is empty.
    bool expired = false;
};

struct settings_list {
    std::vector<setting> settings;
};

struct setting_change {
    setting value;
    std::string author;
    wall_time at {0}; ///< Time of the change.
};

struct settings_history {
    std::vector<setting_change> changes;
};

/// An agent that is registered now or was in the past.
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
    view_number view = 0; ///< View that contains the document.
};

/// Result of requests that return nothing but the current view.
struct view_result {
    view_number view = 0;
};

/// Status of one member of the control group, as seen by the leader.
struct control_member {
    std::string name;
    std::string address;
    bool voter = true;
    bool leader = false;
    bool reachable = true;
    std::uint64_t match_index = 0; ///< Highest log index known to be stored by the member.
};

struct control_status {
    std::vector<control_member> members;
    std::uint64_t term = 0;
    std::uint64_t commit_index = 0;
    view_number view = 0; ///< Latest committed view.
    view_number in_force = 0; ///< Highest view for which no entry acts on an older one any more.
    std::uint64_t claims = 0; ///< Number of stored claims.
};

using control_result
    = std::variant<change_result, claim_results, claim_lookup, settings_list, settings_history,
                   agent_list, view_result, control_status, base::error, document_result>;

} // namespace greengagehead::protocol
