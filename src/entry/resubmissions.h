// Ephemeral submissions that callers send to more than one entry: each entry announces what it has
// in progress, and holds a submission that another entry may still run.

#pragma once

#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "entry/remote_runs.h"
#include "entry/waiter.h"
#include "policy/remote_submissions.h"
#include "policy/start_confirmations.h"
#include "protocol/job.h"
#include "protocol/message.h"

namespace greengagehead::entry {

struct entry_components;
struct job;
struct unstarted_submission;

class resubmissions {
public:
    explicit resubmissions(entry_components& components);

    // --- announcements of this entry's own jobs ---

    /// An ephemeral job has been admitted here. Other entries may ask for it from now on.
    void record_admitted(job const& job);
    /// The job has reached `policy::announcement_age`, or its deadline has moved, or it has ended
    /// with runs whose end is not confirmed.
    void announce(job const& job);
    /// Sends what `announce` has collected, and drops what has expired.
    void tick(base::steady_time now);
    /// Exchanges with an entry that has connected what is in progress.
    void peer_up(std::string const& peer, base::steady_time now);
    void peer_down(std::string const& peer, base::steady_time now);
    /// A newer view has been applied.
    void on_view(base::steady_time now);
    void on_announcement(std::string const& peer, protocol::submissions_running const& message,
                         base::steady_time now);

    // --- jobs of this entry that may have gone elsewhere ---

    /// Whether tasks of the job may be started. If not, the other entries are asked for it, and its
    /// tasks are queued again when none of them runs it.
    [[nodiscard]] bool may_start(job const& job, base::steady_time now);
    /// Asks the other entries for the jobs that wait for it, and gives up those that have waited
    /// for too long.
    void ask_before_starts(base::steady_time now);
    /// Another entry asks for a submission by its key. Returns false when the query is not for this
    /// component.
    bool on_query(std::string const& peer, protocol::job_query const& query, base::steady_time now);
    /// When the caller of a request that is read now has sent it at the earliest: before `now` when
    /// this entry has been paused.
    [[nodiscard]] base::steady_time earliest_sent(base::steady_time now) const;

    // --- submissions that were sent elsewhere before ---

    /// Takes the submission over when it was cancelled, or when another entry may still run it.
    /// Returns false, and leaves the arguments as they are, when it can be admitted here.
    /// @param key of the submission, the same at every entry.
    /// @param abandoned_here whether a job of this entry with the submission has been abandoned.
    /// The submission then waits for the end of its runs.
    bool take(protocol::job_request& request, waiter& caller, std::string const& key,
              bool abandoned_here, base::steady_time now);
    /// Also for queries of `ask_before_starts`. Returns false when the reply is not for this
    /// component.
    bool on_reply(std::string const& peer, protocol::job_reply const& reply, base::steady_time now);
    /// An agent states what it has of some jobs, also of other entries.
    void on_report(protocol::outcome_report const& report, base::steady_time now);
    void on_timer(std::uint64_t id, base::steady_time now);
    /// Holds a submission that a witness has granted to another entry.
    /// @param granted when it was granted.
    void hold(unstarted_submission submission, protocol::claim_ref const& holder,
              base::steady_time granted, base::steady_time now);
    /// A submission that was held here has become a job, or was refused.
    void announce_start(std::string const& key, std::string const& job, base::steady_time now);
    /// Tells the other entries that this one holds the submission no longer and has not started it.
    void announce_end(std::string const& key);
    /// Tells all other entries to stop the submission and to refuse it, also those that connect or
    /// announce it later. Returns whether it is known here.
    bool cancel(std::string const& team, std::string const& submission, base::steady_time now);
    /// Another entry has stated how long it has not heard its agents.
    void record_agents(std::vector<protocol::agent_silence> const& agents, base::steady_time now);
    /// The agents that may have runs, as far as this entry knows.
    [[nodiscard]] std::vector<protocol::agent_silence> known_agents(base::steady_time now) const
    {
        return this->runs.known_agents(now);
    }
    /// Whether this entry, or this incarnation of another one, has a link.
    [[nodiscard]] bool is_linked(protocol::process_id const& entry) const;
    /// Whether a job with this key is here, or may run or have been cancelled at another entry.
    [[nodiscard]] bool is_known(std::string const& key, base::steady_time now) const;
    /// A caller has cancelled the submission, here or elsewhere, a while ago at most.
    [[nodiscard]] bool is_cancelled(std::string const& key, base::steady_time now) const;
    /// Another entry states that a caller has cancelled the submission: stops what this entry has
    /// of it, and refuses it from now on.
    void record_cancelled(std::string const& key, base::steady_time now);
    /// Stops what this entry has of a submission that was cancelled at another one, and refuses it
    /// when it arrives. Ids of single jobs have no effect.
    void on_cancelled_elsewhere(std::string const& peer, std::string const& id,
                                base::steady_time now);
    /// Answers all callers that wait here that the state of their job is not known.
    void answer_all();
    [[nodiscard]] bool idle() const { return this->held.empty(); }

private:
    struct held_submission {
        std::uint64_t id = 0;
        std::string key;
        protocol::job_request request;
        waiter caller;
        base::steady_time submitted;
        base::steady_time deadline;
        protocol::process_id asked; ///< Entry that was asked last; empty name if none was.
        std::string asked_job; ///< Id of the job there.
        /// Claims of other entries that have ended since, and why that is known.
        std::vector<protocol::claim_ref> ended_claims;
        std::string ended_reason;
        base::steady_time earliest_sent; ///< As in `job`.
        /// Since when only the ends of runs are awaited that are to stop.
        std::optional<base::steady_time> ends_awaited_since;
        std::string searched_job; ///< Id of the job that the agents are asked for.
        base::steady_time next_step_at; ///< Timers that are due earlier are obsolete.
    };

    held_submission& add_hold(unstarted_submission submission, std::string const& entry,
                              base::steady_time now);
    /// Nothing of the submission runs at the entry any more, and it will start nothing.
    void record_ended(held_submission& item, protocol::process_id const& entry,
                      std::string const& reason);
    void record_present_entries();
    void proceed_all(base::steady_time now);
    // These may end the hold, after which `item` no longer exists.
    /// Asks the entry that may run the job, or waits for its runs to end, or admits the job here.
    void proceed(held_submission& item, base::steady_time now);
    void ask(held_submission& item, protocol::process_id const& entry, base::steady_time now);
    /// Asks the agents for runs of an entry that cannot be asked.
    void search(held_submission& item, policy::remote_submission const& elsewhere,
                base::steady_time now);
    void on_state(held_submission& item, protocol::job_answer const* state, base::steady_time now);
    void start_here(held_submission& item, base::steady_time now);
    void give_up(held_submission& item, std::string const& reason);
    void finish(held_submission& item, protocol::job_answer const& answer);

    /// Ends the hold and returns the submission.
    held_submission release(held_submission& item, std::string_view outcome);
    void end_search(held_submission& item);
    /// Waits for the ends of runs that are to stop, but not for long: their machine may not be
    /// heard for a while. This may end the hold.
    void wait_for_ends(held_submission& item, base::steady_time now);
    void wait_until(held_submission& item, base::steady_time time);
    [[nodiscard]] bool must_wait_for_newer(held_submission const& item,
                                           base::steady_time now) const;
    /// Job of this entry with this submission that all callers have left; null if there is none.
    [[nodiscard]] job* find_abandoned(protocol::job_request const& request) const;
    /// Announcement of the jobs with these local numbers.
    [[nodiscard]] protocol::submissions_running
    describe_jobs(std::vector<std::uint64_t> const& numbers, base::steady_time now);
    /// Announcement of everything that is in progress.
    [[nodiscard]] protocol::submissions_running describe_all(base::steady_time now);
    [[nodiscard]] static protocol::submissions_running::submission
    describe_hold(held_submission const& item, base::steady_time now);
    void send_to_all(protocol::submissions_running const& message);
    /// The other entries. One may serve callers without being in the view, and be in it without a
    /// link.
    [[nodiscard]] std::set<std::string> other_entries() const;
    /// Job of this entry with this key; null if there is none.
    [[nodiscard]] job* find_job(std::string const& key) const;
    void record_tick(base::steady_time now);
    /// Queues the tasks of a job that waits when all entries have answered. Returns false when the
    /// reply is not about such a job.
    bool on_start_reply(std::string const& peer, protocol::job_reply const& reply);
    void give_up_unconfirmed(std::uint64_t number, base::steady_time now);
    /// Stops the job of this entry that another one runs too since its caller went there.
    void stop_superseded(protocol::submissions_running::submission const& announced,
                         std::string const& peer, base::steady_time now);
    /// Ends the holds of a cancelled submission. Returns whether there were any.
    bool end_holds(std::string const& key);
    void send_cancel(std::string const& key, policy::submission_name const& name,
                     protocol::process_id const& entry);

    entry_components& components;
    policy::remote_submissions known;
    remote_runs runs;
    std::vector<std::uint64_t> unannounced; ///< Local numbers of jobs.
    std::unordered_map<std::string, std::uint64_t> jobs_by_key; ///< Local numbers of jobs.
    policy::start_confirmations confirmations;
    base::steady_time last_tick;
    base::steady_time pause_began; ///< Of the last pause of this entry.
    base::steady_time pause_ended;
    std::set<std::string> linked; ///< Other entries with a link.
    /// The incarnation that has last announced something through a present link, by name.
    std::unordered_map<std::string, protocol::incarnation_number> incarnations;
    bool closing = false; ///< The process ends: nothing is held any more.
    base::steady_time next_announcement;
    base::steady_time next_expiry;
    std::unordered_map<std::uint64_t, held_submission> held; ///< By id.
};

} // namespace greengagehead::entry
