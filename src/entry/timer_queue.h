// Timers of one entry, ordered by time, so that a tick handles only those that are due.

#pragma once

#include <cstdint>
#include <optional>
#include <queue>
#include <vector>

#include "base/clock.h"

namespace greengagehead::entry {

enum class timer_kind : std::uint8_t {
    job_deadline,
    claim_retry,
    claim_timeout,
    copy_timeout,
    finished_copy_timeout,
    cancel_grace, ///< The wait for outcomes of cancelled tasks has ended.
    waiter,
    attempt_check, ///< Hedge a slow attempt, or query its agent.
    requeue, ///< A refused task may be placed again.
    replaced_attempt_expired, ///< The run of an attempt at a replaced agent has ended.
    unconfirmed_check, ///< Ask for the ends of runs of a final ephemeral job.
    answer_expired, ///< The answer of an ephemeral job is dropped.
    announcement, ///< An unfinished ephemeral job is announced to the other entries.
    abandoned_check, ///< No other entry may wait any more for a job whose callers have left.
    held_submission, ///< `job` is the id of a submission that another entry may run.
    submission_claim, ///< `job` is the number of a claim whose witnesses are to be asked again.
    attachment, ///< `job` is the id of an attachment to a job of another entry.
};

struct timer {
    base::steady_time due_at;
    timer_kind kind = timer_kind::job_deadline;
    std::uint64_t job = 0; ///< Local job number. Timers of jobs that no longer exist do nothing.
    std::uint32_t index = 0; ///< Task index.
    std::uint32_t attempt = 0;
};

/// Timers cannot be cancelled: the handler checks whether a timer still applies.
class timer_queue {
public:
    void add(timer added);
    /// Removes and returns one due timer, the earliest first.
    std::optional<timer> take_due(base::steady_time now);

private:
    struct later {
        bool operator()(timer const& a, timer const& b) const { return a.due_at > b.due_at; }
    };
    std::priority_queue<timer, std::vector<timer>, later> heap;
};

} // namespace greengagehead::entry
