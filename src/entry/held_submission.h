// A submission that another entry may run. Its caller waits here until that is settled.

#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "entry/submission_claims.h"
#include "protocol/identity.h"
#include "protocol/message.h"

namespace greengagehead::entry {

struct held_submission {
    /// Why it is not to be started any more; empty if it may be.
    [[nodiscard]] std::optional<std::string_view> end_reason(base::steady_time now) const;
    /// Id of its job at the entry.
    [[nodiscard]] std::string job_at(protocol::process_id const& entry) const;
    /// Whether the reply is one of the entry that was asked last, about the job that it was asked
    /// for.
    [[nodiscard]] bool has_asked(std::string const& peer, protocol::job_reply const& reply) const;
    /// Its announcement to the other entries.
    [[nodiscard]] protocol::submissions_running::submission
    announcement(base::steady_time now) const;
    /// The submission as the entry `self` is to start it now.
    [[nodiscard]] unstarted_submission to_start(protocol::process_id const& self,
                                                base::steady_time now) &&;

    std::uint64_t id = 0; ///< Of the hold, and of all its queries.
    unstarted_submission submission;
    protocol::process_id asked; ///< Entry that was asked last; empty name if none was.
    std::string asked_job; ///< Id of the job there.
    std::string searched_job; ///< Id of the job that the agents are asked for; empty if none.
    /// Since when only the ends of runs are awaited that are to stop.
    std::optional<base::steady_time> ends_awaited_since;
    /// Timers that are due earlier are obsolete. Not after the deadline.
    base::steady_time next_step_at;
};

} // namespace greengagehead::entry
