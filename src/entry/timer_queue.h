// Timers of one entry, ordered by time, so that a tick touches only those that are due.

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
    cancel_grace, ///< Time for outcomes of stopped tasks has passed.
    waiter,
    attempt_check, ///< Hedge a slow attempt, or ask the agent for it.
    requeue, ///< A refused task may be placed again.
    attempt_over, ///< The run of an attempt at a lost agent has surely ended.
    forget, ///< The answer of an ephemeral job is dropped.
    attachment, ///< `job` is the number of an attachment to a job of another entry.
};

struct timer {
    base::steady_time at;
    timer_kind kind = timer_kind::job_deadline;
    std::uint64_t job = 0; ///< Local job number. Timers of jobs that are gone do nothing.
    std::uint32_t index = 0; ///< Task.
    std::uint32_t attempt = 0;
};

/// Timers cannot be withdrawn: whoever handles one checks that it still applies.
class timer_queue {
public:
    void add(timer entry);
    /// Takes one due timer, the earliest first.
    std::optional<timer> take_due(base::steady_time now);

private:
    struct later {
        bool operator()(timer const& a, timer const& b) const { return a.at > b.at; }
    };
    std::priority_queue<timer, std::vector<timer>, later> heap;
};

} // namespace greengagehead::entry
