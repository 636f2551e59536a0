// Holds submissions that another entry may run, until it has stated their end, or its runs have
// certainly ended.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "entry/held_submission.h"
#include "policy/remote_submissions.h"
#include "protocol/job.h"
#include "protocol/message.h"

namespace greengagehead::entry {

struct entry_components;
class entry_links;
struct job;
class remote_runs;
class submission_announcements;

class submission_holds {
public:
    /// @param known what other entries run and hold.
    /// @param runs of entries that cannot be asked.
    submission_holds(entry_components& components, entry_links const& links,
                     submission_announcements const& announcements,
                     policy::remote_submissions& known, remote_runs& runs);

    /// Holds a submission that may run at the entry of this name.
    void hold(unstarted_submission submission, std::string const& entry, base::steady_time now);
    /// Holds a submission that a witness has granted to the entry of this name.
    void hold_denied(unstarted_submission submission, std::string const& entry,
                     base::steady_time now);
    /// What is known of the other entries has changed.
    void proceed_all(base::steady_time now);
    void on_timer(std::uint64_t id, base::steady_time now);
    /// Returns false when the reply is not to a query of a hold.
    bool on_reply(std::string const& peer, protocol::job_reply const& reply, base::steady_time now);
    /// Ends the holds of a cancelled submission. Returns whether there were any.
    bool cancel(std::string const& key);
    /// Answers all callers that wait here that the state of their job is not known. From now on
    /// nothing is held.
    void answer_all();
    /// Announcements of everything that is held.
    [[nodiscard]] std::vector<protocol::submissions_running::submission>
    announcements_of_all(base::steady_time now) const;
    [[nodiscard]] bool empty() const { return this->held.empty(); }
    /// Whether a submission with this key is held.
    [[nodiscard]] bool contains(std::string const& key) const;

private:
    held_submission& add(unstarted_submission submission, std::string const& entry,
                         base::steady_time now);
    /// Nothing of the submission runs at the entry any more, and it will start nothing.
    void record_ended(held_submission& item, protocol::process_id const& entry,
                      std::string const& reason);

    // These may end the hold, after which `item` no longer exists.
    /// Asks the entry that may run the job, or waits for its runs to end, or admits the job here.
    void proceed(held_submission& item, base::steady_time now);
    void ask(held_submission& item, protocol::process_id const& entry, base::steady_time now);
    /// Asks the agents for runs of an entry that cannot be asked.
    void search(held_submission& item, policy::remote_submission const& elsewhere,
                base::steady_time now);
    /// The entry that was asked has stated what it has of the job: null if it does not know it.
    void on_state(held_submission& item, protocol::job_answer const* state, base::steady_time now);
    void start_here(held_submission& item, base::steady_time now);
    /// Waits for the ends of runs that are to stop, but not for long: their machine may not be
    /// heard for a while.
    void wait_for_ends(held_submission& item, base::steady_time now);
    void give_up(held_submission& item, std::string_view reason);
    void finish(held_submission& item, protocol::job_answer const& answer);

    /// Ends the hold and returns the submission.
    held_submission release(held_submission& item, std::string_view outcome);
    void end_search(held_submission& item);
    void wait_until(held_submission& item, base::steady_time time);
    [[nodiscard]] bool must_wait_for_newer(held_submission const& item,
                                           base::steady_time now) const;
    /// Whether this entry has a job with this submission that all callers have left, and whose runs
    /// may not have ended.
    [[nodiscard]] bool awaits_abandoned(held_submission const& item) const;

    entry_components& components;
    entry_links const& links;
    submission_announcements const& announcements;
    policy::remote_submissions& known;
    remote_runs& runs;
    bool closing = false; ///< The process ends: nothing is held any more.
    std::unordered_map<std::uint64_t, held_submission> held; ///< By id.
};

} // namespace greengagehead::entry
