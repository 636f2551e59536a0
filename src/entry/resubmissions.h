// Ephemeral submissions that callers send to more than one entry: each entry announces what it has
// in progress, and holds a submission that another entry may still run.

#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "entry/waiter.h"
#include "policy/remote_submissions.h"
#include "protocol/job.h"
#include "protocol/message.h"

namespace greengagehead::entry {

struct entry_components;
struct job;

class resubmissions {
public:
    explicit resubmissions(entry_components& components);

    // --- announcements of this entry's own jobs ---

    /// An ephemeral job has been admitted here.
    void add_own(job const& job);
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

    /// Another entry asks whether it has missed an announcement. It gets the answer behind those
    /// that are due, also after a pause.
    void on_contact_query(std::string const& peer, std::uint64_t query_id);

    // --- submissions that were sent elsewhere before ---

    /// Takes the submission over when it was cancelled, or when another entry may still run it.
    /// Returns false, and leaves the arguments as they are, when it can be admitted here.
    /// @param abandoned_here whether a job of this entry with the submission has been abandoned.
    /// The submission then waits for the end of its runs.
    bool take(protocol::job_request& request, waiter& caller, bool abandoned_here,
              base::steady_time now);
    /// Whether a task of a job of this entry may be started. Not when another entry may have
    /// started the job meanwhile, because its caller may have returned there, and an announcement
    /// of that may be missing.
    [[nodiscard]] bool may_start(job const& job, base::steady_time now) const;
    /// Returns false when the reply is not for this component.
    bool on_reply(std::string const& peer, protocol::job_reply const& reply, base::steady_time now);
    /// An agent answers what it knows of a submission that is searched. Returns false when the
    /// report is not for this component.
    bool on_report(protocol::outcome_report const& report, base::steady_time now);
    void on_timer(std::uint64_t id, base::steady_time now);
    /// Tells all other entries to stop the submission and to refuse it, also those that announce it
    /// later. Returns whether it is known here.
    bool cancel(std::string const& team, std::string const& submission, base::steady_time now);
    /// A caller has cancelled the submission at another entry. Stops what this one has of it, and
    /// refuses it when it arrives.
    void on_cancelled_elsewhere(std::string const& key, base::steady_time now);
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
        base::steady_time next_step_at; ///< Timers that are due earlier are obsolete.
        bool announced = false; ///< The other entries know that it is held here.
        std::optional<policy::run_search> search; ///< For runs of unheard entries.
        /// Entries that do not run it, and when that was known.
        std::map<protocol::process_id, base::steady_time> ruled_out;
    };

    void proceed_all(base::steady_time now);
    // These may end the hold, after which `item` no longer exists.
    /// Asks the entry that may run the job, or waits for its runs to end, or admits the job here.
    void proceed(held_submission& item, base::steady_time now);
    void ask(held_submission& item, protocol::process_id const& entry, base::steady_time now);
    void on_state(held_submission& item, protocol::job_answer const* state, base::steady_time now);
    /// Looks at the agents for runs of these entries, of which announcements may be missing.
    void search(held_submission& item, std::vector<protocol::process_id> const& entries,
                base::steady_time now);
    void start_here(held_submission& item, base::steady_time now);
    void give_up(held_submission& item, std::string const& reason);
    void finish(held_submission& item, protocol::job_answer const& answer);

    void send_search_round(held_submission& item, base::steady_time now);
    /// Unheard entries that may run the submission.
    [[nodiscard]] std::vector<protocol::process_id> possible_runners(held_submission const& item,
                                                                     base::steady_time now) const;
    void announce_hold(held_submission& item, base::steady_time now);
    /// Until then, entries may be unheard only because this one has been paused. In the past when
    /// it has not.
    [[nodiscard]] base::steady_time contact_expected_by(base::steady_time now) const;
    /// Queries all other entries, so that those that do not answer are noticed.
    void query_contacts(base::steady_time now);
    void update_contacts(base::steady_time now);
    /// Other entries that have a link or are in the view.
    [[nodiscard]] std::set<std::string> receivers() const;

    /// Ends the hold and returns the submission.
    held_submission release(held_submission& item, std::string_view outcome);
    void wait_until(held_submission& item, base::steady_time time);
    [[nodiscard]] bool must_wait_for_newer(held_submission const& item,
                                           base::steady_time now) const;
    /// Job of this entry with this submission that all callers have left; null if there is none.
    [[nodiscard]] job* find_abandoned(protocol::job_request const& request) const;
    /// Job of this entry with the key; null if there is none.
    [[nodiscard]] job* find_own(std::string const& key) const;
    /// Announcement of the jobs with these local numbers.
    [[nodiscard]] protocol::submissions_running
    describe_jobs(std::vector<std::uint64_t> const& numbers, base::steady_time now);
    /// Announcement of everything that is in progress.
    [[nodiscard]] protocol::submissions_running describe_all(base::steady_time now);
    [[nodiscard]] static protocol::submissions_running::submission
    describe_hold(held_submission const& item, base::steady_time now);
    /// Tells the other entries that this one holds the submission no longer and has not started it.
    void announce_end(std::string const& key);
    void send_to_all(protocol::submissions_running const& message);
    /// Stops the job of this entry that another one runs too since its caller went there.
    void stop_superseded(protocol::submissions_running::submission const& announced,
                         std::string const& peer, base::steady_time now);
    /// Ends the holds of a cancelled submission. Returns whether there were any.
    bool end_holds(std::string const& key);
    void send_cancel(std::string const& key, policy::submission_name const& name,
                     protocol::process_id const& entry);

    entry_components& components;
    policy::remote_submissions known;
    policy::entry_contacts contacts;
    base::steady_time next_contact_query;
    std::vector<std::pair<std::string, std::uint64_t>> contact_queries; ///< Not answered yet.
    base::steady_time last_tick;
    base::steady_time resumed; ///< When this entry went on after its last pause.
    std::vector<std::uint64_t> unannounced; ///< Local numbers of jobs.
    std::unordered_map<std::string, std::uint64_t> own; ///< Local numbers of jobs, by key.
    std::set<std::string> linked; ///< Other entries with a link.
    bool admitting = false; ///< A submission that was held is being admitted.
    bool closing = false; ///< The process ends: nothing is held any more.
    base::steady_time next_announcement;
    base::steady_time next_expiry;
    std::unordered_map<std::uint64_t, held_submission> held; ///< By id.
};

} // namespace greengagehead::entry
