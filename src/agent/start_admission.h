// Decides whether a task may start, by a table of checks that each give a reason for a refusal.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "agent/attempt.h"
#include "base/clock.h"

namespace greengagehead::agent {

class early_cancellations;
class endpoint_list;
class entry_leases;
class outcome_store;
class entry_liveness;

/// Point at which an attempt is checked.
enum class admission_stage : std::uint8_t {
    receipt, ///< The start message has arrived.
    waiting, ///< In the queue. An expired lease may still be renewed before a slot is free.
    start, ///< Right before the request is sent to the endpoint.
};

struct refusal {
    std::string_view reason;
    /// The attempt may have run in an earlier incarnation of this agent, or so long ago that it is
    /// no longer on record. The outcome is then unknown instead of "not run".
    bool may_have_run = false;
};

class start_admission {
public:
    struct settings {
        protocol::process_id self;
        std::string zone;
        /// A start message whose lease ended longer ago than this may be a duplicate of one that is
        /// no longer on record.
        std::chrono::milliseconds longest_delay {0};
    };

    start_admission(settings config, entry_leases const& leases, outcome_store const& outcomes,
                    early_cancellations const& cancellations, endpoint_list& endpoints,
                    entry_liveness const& liveness);

    /// Returns the refusal of the first check that fails; empty if the attempt may start.
    [[nodiscard]] std::optional<refusal> refuse(start_request const& request, admission_stage stage,
                                                base::steady_time now) const;

    void begin_shutdown() { this->shutting_down = true; }

private:
    struct check;
    static check const checks[];

    using predicate = bool (start_admission::*)(start_request const&, base::steady_time) const;

    [[nodiscard]] bool message_not_outdated(start_request const& request,
                                            base::steady_time now) const;
    [[nodiscard]] bool incarnation_matches(start_request const& request, base::steady_time) const;
    [[nodiscard]] bool not_cancelled(start_request const& request, base::steady_time) const;
    [[nodiscard]] bool accepting_starts(start_request const& request, base::steady_time) const;
    [[nodiscard]] bool sender_matches(start_request const& request, base::steady_time) const;
    [[nodiscard]] bool lease_valid(start_request const& request, base::steady_time now) const;
    [[nodiscard]] bool stamp_unexpired(start_request const& request, base::steady_time now) const;
    [[nodiscard]] bool entry_alive(start_request const& request, base::steady_time now) const;
    [[nodiscard]] bool any_view_adopted(start_request const& request, base::steady_time) const;
    [[nodiscard]] bool view_current(start_request const& request, base::steady_time) const;
    [[nodiscard]] bool lease_view_adopted(start_request const& request, base::steady_time) const;
    [[nodiscard]] bool entry_in_view(start_request const& request, base::steady_time) const;
    [[nodiscard]] bool zone_available(start_request const& request, base::steady_time) const;
    [[nodiscard]] bool epoch_current(start_request const& request, base::steady_time) const;
    [[nodiscard]] bool before_deadline(start_request const& request, base::steady_time now) const;
    [[nodiscard]] bool endpoint_present(start_request const& request, base::steady_time) const;
    [[nodiscard]] bool endpoint_not_draining(start_request const& request, base::steady_time) const;
    [[nodiscard]] bool kind_offered(start_request const& request, base::steady_time) const;
    [[nodiscard]] bool capacity_left(start_request const& request, base::steady_time) const;

    settings config;
    entry_leases const& leases;
    outcome_store const& outcomes;
    early_cancellations const& cancellations;
    endpoint_list& endpoints;
    entry_liveness const& liveness;
    bool shutting_down = false;
};

} // namespace greengagehead::agent
