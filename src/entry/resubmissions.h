// Ephemeral submissions that callers send to more than one entry: each entry announces what it has
// in progress, and holds a submission that another entry may still run. Passes inputs on to the
// parts, and carries out cancellations.

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.h"
#include "entry/entry_links.h"
#include "entry/pause_detector.h"
#include "entry/remote_runs.h"
#include "entry/start_queries.h"
#include "entry/submission_announcements.h"
#include "entry/submission_holds.h"
#include "entry/waiter.h"
#include "policy/remote_submissions.h"
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

    /// As in `submission_announcements`.
    void record_admitted(job const& job) { this->announcements.record_admitted(job); }
    void announce(job const& job) { this->announcements.announce(job); }
    /// Sends the announcements that are due, and drops what has expired.
    void tick(base::steady_time now);
    /// Exchanges with an entry that has connected what is in progress.
    void peer_up(std::string const& peer, base::steady_time now);
    void peer_down(std::string const& peer, base::steady_time now);
    /// A newer view has been applied.
    void on_view(base::steady_time now);
    void on_announcement(std::string const& peer, protocol::submissions_running const& message,
                         base::steady_time now);

    // --- jobs of this entry that may have gone elsewhere ---

    /// As in `start_queries`.
    [[nodiscard]] bool may_start(job const& job, base::steady_time now)
    {
        return this->starts.may_start(job, now);
    }
    void ask_before_starts(base::steady_time now) { this->starts.ask(now); }
    bool on_query(std::string const& peer, protocol::job_query const& query, base::steady_time now)
    {
        return this->starts.on_query(peer, query, now);
    }
    /// When the caller of a request that is read now has sent it at the earliest: before `now` when
    /// this entry has been paused.
    [[nodiscard]] base::steady_time earliest_sent(base::steady_time now) const
    {
        return this->pauses.earliest_sent(now);
    }

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
    void on_timer(std::uint64_t id, base::steady_time now) { this->holds.on_timer(id, now); }
    /// Holds a submission that a witness has granted to another entry.
    /// @param granted when it was granted.
    void hold(unstarted_submission submission, protocol::claim_ref const& holder,
              base::steady_time granted, base::steady_time now);
    /// As in `submission_announcements`.
    void announce_start(std::string const& key, std::string const& job, base::steady_time now) const
    {
        this->announcements.announce_start(key, job, now);
    }
    void announce_end(std::string const& key) const { this->announcements.announce_end(key); }
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
    [[nodiscard]] bool is_linked(protocol::process_id const& entry) const
    {
        return this->links.is_linked(entry);
    }
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
    void answer_all() { this->holds.answer_all(); }
    [[nodiscard]] bool idle() const { return this->holds.empty(); }

private:
    void record_present_entries();
    /// Announcement of everything that is in progress.
    [[nodiscard]] protocol::submissions_running describe_all(base::steady_time now) const;
    /// Stops the job of this entry that another one runs too since its caller went there.
    void stop_superseded(protocol::submissions_running::submission const& announced,
                         std::string const& peer, base::steady_time now);
    void send_cancel(std::string const& key, policy::submission_name const& name,
                     protocol::process_id const& entry);

    entry_components& components;
    // Later parts refer to earlier ones.
    entry_links links;
    submission_announcements announcements;
    start_queries starts;
    policy::remote_submissions known; ///< What other entries run and hold, and what was cancelled.
    remote_runs runs; ///< Of entries that cannot be asked.
    submission_holds holds;
    pause_detector pauses;
    base::steady_time next_expiry; ///< When the parts drop again what has expired.
};

} // namespace greengagehead::entry
