// Announcements to the other entries of the ephemeral submissions that this entry runs or holds.

#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "protocol/message.h"

namespace greengagehead::entry {

struct entry_components;
class entry_links;
struct job;

class submission_announcements {
public:
    submission_announcements(entry_components& components, entry_links const& links);

    /// An ephemeral job has been admitted here. Other entries may ask for it from now on.
    void record_admitted(job const& job);
    /// Job of this entry with this key; null if there is none.
    [[nodiscard]] job* find_job(std::string const& key) const;

    /// The job has reached `policy::announcement_age`, or its deadline has moved, or it has ended
    /// with runs whose end is not confirmed.
    void announce(job const& job);
    /// Sends what `announce` has collected, once in `policy::announcement_interval`.
    void tick(base::steady_time now);
    /// Drops jobs that this entry no longer has.
    void expire();

    /// Announcement of the jobs with these local numbers, without those that have ended.
    [[nodiscard]] protocol::submissions_running
    describe_jobs(std::vector<std::uint64_t> const& numbers, base::steady_time now) const;
    /// Announcement of all jobs that have reached `policy::announcement_age`.
    [[nodiscard]] protocol::submissions_running describe_older_jobs(base::steady_time now) const;

    /// Announces these jobs at once.
    void announce_jobs(std::vector<std::uint64_t> const& numbers, base::steady_time now) const;
    /// Announces a submission that this entry holds.
    void announce_hold(protocol::submissions_running::submission const& held) const;
    /// A submission that was held here has become the job of this id, or was refused.
    void announce_start(std::string const& key, std::string const& job,
                        base::steady_time now) const;
    /// This entry holds the submission no longer and has not started it.
    void announce_end(std::string const& key) const;

private:
    void send_to_all(protocol::submissions_running const& message) const;

    entry_components& components;
    entry_links const& links;
    std::vector<std::uint64_t> unannounced; ///< Local numbers of jobs.
    /// Local numbers of ephemeral jobs, by key. The jobs may have gone since the last `expire`.
    std::unordered_map<std::string, std::uint64_t> jobs_by_key;
    base::steady_time next_announcement;
};

} // namespace greengagehead::entry
