// Ephemeral jobs whose tasks must not start before the other entries have stated that they do not
// run them.

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"

namespace greengagehead::policy {

/// Pause before a job that another entry still runs is asked for again.
constexpr std::chrono::milliseconds confirmation_interval {50};
/// Queries that have not been answered by all entries for this long are repeated.
constexpr std::chrono::milliseconds confirmation_timeout {250};
/// How long the statements count. The other entries have got an announcement of the job with the
/// query, and hold an announced submission for at least `longest_run_end`, 1.4 s.
constexpr std::chrono::milliseconds confirmation_validity {1200};
/// A job that has waited for this long is given up. An entry that has ended has left the view by
/// then: its lease lasts 1.5 s, and control removes it 1 s later.
constexpr std::chrono::milliseconds confirmation_limit {3000};
/// Jobs that are asked for in one interval, which bounds the number of messages.
constexpr std::size_t max_jobs_asked {32};

/// A caller that gets no answer sends its job to another entry after `caller_return_delay`. Tasks
/// of an older job are started, or started again, only when no other entry runs it.
class start_confirmations {
public:
    using steady_time = base::steady_time;
    using job_number = std::uint64_t;

    /// Whether tasks of the job may be started now. If not, the job waits for statements.
    /// @param sent when its caller has sent it at the earliest.
    [[nodiscard]] bool may_start(job_number job, steady_time sent, steady_time now);
    /// The jobs that are to be asked for now, those that wait longest first.
    [[nodiscard]] std::vector<job_number> take_due(steady_time now);
    /// The entries are asked for a job that waits. Statements to earlier queries for it have no
    /// effect any more.
    /// @param id of the query, not used before.
    void begin_query(job_number job, std::uint64_t id, std::set<std::string> entries,
                     steady_time now);

    /// Whether an open query has this id.
    [[nodiscard]] bool contains(std::uint64_t id) const;
    /// The entry has stated whether it runs the job, or has run it and does not know the end of the
    /// run. Returns the job if its tasks may be started now.
    [[nodiscard]] std::optional<job_number> record_reply(std::string const& entry, std::uint64_t id,
                                                         bool running);

    /// The job waits no longer.
    void forget(job_number job);
    /// The jobs that have waited for `confirmation_limit`. They wait no longer.
    [[nodiscard]] std::vector<job_number> take_expired(steady_time now);
    /// Drops statements that no longer count.
    void expire(steady_time now);

private:
    struct waiting_job {
        steady_time since;
        steady_time next_query;
        std::uint64_t query = 0; ///< 0 when no query is open.
        steady_time asked;
        std::set<std::string> unanswered;
    };

    std::unordered_map<job_number, waiting_job> waiting;
    std::unordered_map<std::uint64_t, job_number> queries; ///< Open ones.
    std::unordered_map<job_number, steady_time> confirmed; ///< Until when it counts.
    steady_time interval_end;
    std::size_t asked_in_interval = 0;
};

} // namespace greengagehead::policy
