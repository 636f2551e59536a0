// Queries between entries, before tasks of an older ephemeral job start, whether another one runs
// it.

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.h"
#include "policy/start_confirmations.h"
#include "protocol/message.h"

namespace greengagehead::entry {

struct entry_components;
class entry_links;
struct job;
class submission_announcements;

class start_queries {
public:
    start_queries(entry_components& components, entry_links const& links,
                  submission_announcements const& announcements);

    /// Whether tasks of the job may be started. If not, the other entries are asked for it, and its
    /// tasks are queued again when none of them runs it.
    [[nodiscard]] bool may_start(job const& job, base::steady_time now);
    /// Asks the other entries for the jobs that wait for it, and gives up those that have waited
    /// for too long.
    void ask(base::steady_time now);
    /// An entry has answered. Returns false when the reply is not about a job that waits.
    bool on_reply(std::string const& peer, protocol::job_reply const& reply);
    /// Another entry asks for a submission by its key. Returns false when the query is not for this
    /// component.
    bool on_query(std::string const& peer, protocol::job_query const& query, base::steady_time now);
    /// Drops statements that no longer count.
    void expire(base::steady_time now) { this->confirmations.expire(now); }

private:
    /// Local numbers of the running jobs that are to be asked for now.
    [[nodiscard]] std::vector<std::uint64_t> take_due_jobs(base::steady_time now);
    void give_up(std::uint64_t number, base::steady_time now);
    /// Whether this entry may start the submission, runs it, or does not know the end of its runs.
    /// @param job of this entry with this key; may be null.
    [[nodiscard]] bool may_run(std::string const& key, job const* job) const;

    entry_components& components;
    entry_links const& links;
    submission_announcements const& announcements;
    policy::start_confirmations confirmations;
};

} // namespace greengagehead::entry
