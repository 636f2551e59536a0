// Job handling of one entry: admission, claims, placement, retries, assembly of answers, and
// takeover of jobs of lost entries.

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <sigc++/signal.h>

#include "base/clock.h"
#include "base/error.h"
#include "entry/slot_shares.h"
#include "policy/admission.h"
#include "policy/recovery_hold.h"
#include "protocol/message.h"
#include "protocol/message_sender.h"

namespace greengagehead::entry {

class restart_counts;
struct held_request;
struct account_metrics;

struct entry_settings {
    protocol::process_id id; ///< Peer name, for example `entry.recife-1`, and a random incarnation.
    std::string region;
    std::string zone;
    std::string http_address;
    std::string link_address; ///< Address at which agents and other entries reach this one.
    std::vector<std::string> controls; ///< Peer names of the control members.
    std::string placement = "least_loaded";
    bool share_by_demand = false; ///< Slots are divided by demand instead of equally.
    bool learn_speed = false; ///< Placement uses learned speeds of the endpoints.
    std::uint64_t seed = 1; ///< Seed of random choices.
    std::chrono::milliseconds renew_interval {300};
    std::chrono::milliseconds copy_timeout {20};
    std::chrono::milliseconds claim_timeout {5000};
    std::chrono::milliseconds default_deadline {30'000};
    std::chrono::milliseconds answer_retention {900'000};
    /// Approximate memory limit for finished jobs; the oldest ones are dropped earlier.
    std::size_t finished_bytes {128U << 20U};
    /// Requests that arrive while the entry recovers its state are held; by default none is.
    policy::recovery_hold_limits recovery_hold;
    /// While capacity is short, jobs of accounts below their fair part may wait longer.
    bool fair_accounts = false;
    /// Delay of the event loop that `policy::overload_control` aims at; 0 refuses nothing for it.
    std::chrono::milliseconds max_loop_delay {0};
};

/// What is known of an ephemeral submission before its content is read.
struct submission_head {
    std::string const& team;
    std::string const& submission;
    std::uint32_t priority = 0;
    std::chrono::milliseconds deadline; ///< From when the request was sent.
};

/// Reply to a submission; exactly one per call.
struct submit_reply {
    enum class kind : std::uint8_t {
        answered, ///< Final answer in `answer`.
        running, ///< Accepted, but not finished within the wait.
        conflict, ///< The submission exists with different content.
        refused, ///< Nothing has run and nothing will run.
        unknown, ///< State not known, for example because control or the owner is unreachable.
    };
    kind status = kind::refused;
    protocol::job_answer answer; ///< `job` is always set; for refusals `failure` and `retry_after`.
};

struct team_status {
    std::string team;
    std::size_t waiting = 0;
    std::uint32_t in_progress = 0;
};

struct endpoint_status {
    std::string name;
    std::string agent;
    std::string zone;
    std::string health;
    std::uint32_t slots = 0;
    std::uint32_t used_slots = 0;
    bool draining = false;
    std::uint32_t entry_share = 0; ///< Part of this entry in the slots; 0 with a single entry.
    double speed = 1; ///< Learned speed relative to the fleet; 1 if none is learned.
};

struct entry_status {
    protocol::process_id id;
    std::string leader; ///< Control member that last answered as leader.
    bool lease_valid = false;
    protocol::view_number applied_view = 0;
    protocol::view_number settled_view = 0;
    std::size_t running_jobs = 0;
    std::size_t held_requests = 0;
    std::size_t held_request_bytes = 0;
    share_status shares;
    bool learns_speed = false; ///< Whether the speeds of the endpoints are learned.
    std::vector<team_status> teams;
    std::vector<endpoint_status> endpoints;
};

/// Counters since the start of the process.
struct entry_counters {
    std::uint64_t jobs_accepted = 0;
    std::uint64_t jobs_refused = 0;
    std::uint64_t jobs_complete = 0;
    std::uint64_t jobs_failed = 0;
    std::uint64_t first_attempts = 0;
    std::uint64_t refused_starts = 0; ///< Starts that an agent did not admit.
    std::uint64_t retries = 0;
    std::uint64_t hedges = 0;
    std::uint64_t submissions_held = 0; ///< Sent here while another entry might run them.
    std::uint64_t requests_held = 0; ///< During a recovery of this entry.
    std::uint64_t held_requests_resumed = 0;
    std::uint64_t held_requests_expired = 0;
    std::uint64_t held_requests_left = 0; ///< Their callers have closed their connections.
    std::uint64_t held_requests_shut_down = 0;
    std::uint64_t hold_overflows = 0; ///< Not held because of the limit of bytes.
    std::uint64_t hold_time_refusals = 0; ///< Not held because too little time was left.
    std::uint64_t overload_refusals = 0; ///< Before the content of the request was read.
    std::uint64_t messages_sent = 0;
    std::uint64_t wasted_outcomes = 0; ///< Outcomes that contributed nothing to an answer.
};

class entry_core {
public:
    entry_core(entry_settings settings, protocol::message_sender& sender, base::steady_time now);
    ~entry_core();
    entry_core(entry_core const&) = delete;
    entry_core& operator=(entry_core const&) = delete;

    /// Calls `reply` once: with the final answer, or after `wait` with the current state.
    /// @param caller_left asked before tasks of an ephemeral job start: whether the caller no
    /// longer waits. Such a caller may have sent the job to another entry. May be empty.
    /// @param arrived when the request has arrived, if it was held since; the target of the job
    /// counts from then.
    void submit(protocol::job_request request, std::chrono::milliseconds wait,
                std::function<void(submit_reply const&)> reply, base::steady_time now,
                std::function<bool()> caller_left = {},
                std::optional<base::steady_time> arrived = {});
    /// Whether the event loop runs behind, so that `refuse_overloaded` may refuse.
    [[nodiscard]] bool runs_behind() const;
    /// Refuses an ephemeral submission that has just been read, because the event loop runs behind.
    /// Never refuses one that may have run or may run, here or at another entry. Returns when its
    /// caller may return; empty if it is not refused.
    std::optional<std::chrono::seconds> refuse_overloaded(submission_head const& head,
                                                          base::steady_time now);
    /// Whether a request that lacks state of this entry may be held now.
    [[nodiscard]] bool recovering(base::steady_time now) const;
    /// Holds the request until its state is back, or leaves it unchanged and returns false.
    bool hold(held_request& request, base::steady_time now);
    /// Refuses the held requests, and holds none from now on.
    void stop_holding(base::steady_time now);
    /// Answer or decisions of a job of any entry. An empty `answer` means that the job is not
    /// known.
    void query(std::string const& job, bool explain, std::chrono::milliseconds wait,
               std::function<void(protocol::job_reply const&)> reply, base::steady_time now);
    /// Cancels a job; replies with its answer once it is final, or after two seconds.
    void cancel(std::string const& job, std::function<void(protocol::job_reply const&)> reply,
                base::steady_time now);
    /// Stops an ephemeral job, unless somebody still waits for it. To be called when every caller
    /// that has submitted it here has left.
    void abandon(std::string const& job, base::steady_time now);
    /// Cancels an ephemeral submission, whichever entries run it now or are sent it within
    /// `policy::cancellation_memory`. Returns whether this entry knows it.
    bool cancel_ephemeral(std::string const& team, std::string const& submission,
                          base::steady_time now);
    /// Sends an operator's request to the control leader, following leader hints and resending
    /// under the same request id. Replies with `error_code::timeout` when no answer came within
    /// `timeout`; the change may then be in force, or come into force later.
    void control(protocol::control_request_body body, std::chrono::milliseconds timeout,
                 std::function<void(protocol::control_result const&)> reply, base::steady_time now);

    /// Replaces the control members named by the settings.
    void set_configured_controls(std::vector<std::string> peers);
    void receive(std::string const& peer, protocol::message const& body, base::steady_time now);
    /// Must be called every 10 ms.
    void tick(base::steady_time now);
    void peer_up(std::string const& peer, base::steady_time now);
    void peer_down(std::string const& peer, base::steady_time now);

    /// From now on, refuses new jobs that may not end within `remaining`. Accepted jobs continue.
    void begin_shutdown(base::steady_time now, std::chrono::milliseconds remaining);
    /// Called shortly before the process ends: answers all current and later callers at once with
    /// the current state.
    void answer_all_waiters(base::steady_time now);
    /// Whether no accepted job is unfinished and no reply is outstanding.
    [[nodiscard]] bool idle() const;

    /// Whether any endpoint can get work.
    [[nodiscard]] bool has_endpoints() const;

    [[nodiscard]] entry_status status(base::steady_time now) const;
    [[nodiscard]] entry_counters const& counters() const;
    [[nodiscard]] restart_counts const& restarts() const;
    /// Counters of accounts and what the fleet has served to them recently.
    [[nodiscard]] account_metrics accounts() const;
    /// Counts a request that was refused before it became a job.
    /// @param team empty if it is not known.
    void count_refusal(std::string const& team, policy::refusal_cause cause);
    [[nodiscard]] protocol::view const& applied_view() const;
    /// Job id of an ephemeral submission to this entry.
    [[nodiscard]] std::string ephemeral_id(std::string const& team,
                                           std::string const& submission) const;

    using view_signal = sigc::signal<void(protocol::view const&)>;
    using controls_signal = sigc::signal<void(protocol::control_group const&)>;
    view_signal view_applied; ///< A newer view has been applied.
    controls_signal control_group_changed; ///< The members of the control group have changed.

private:
    struct impl;
    std::unique_ptr<impl> pimpl;
};

} // namespace greengagehead::entry
