// Decides whether a task may start: a table of checks, each with its reason for a refusal.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "agent/attempt.h"
#include "base/clock.h"

namespace greengagehead::agent {

class cancellation_book;
class endpoint_list;
class lease_book;
class outcome_store;
class owner_watch;

/// Point at which an attempt is checked.
enum class admission_stage : std::uint8_t {
    receipt, ///< The start message has arrived.
    waiting, ///< In the queue. A lapsed lease may be renewed before a slot is free.
    start, ///< Right before the request is written.
};

struct refusal {
    std::string_view reason;
    /// The attempt may have run in an earlier life of this agent, or longer ago than this agent
    /// remembers, so that "not run" would not be proven.
    bool may_have_run = false;
};

class start_admission {
public:
    struct settings {
        protocol::process_id self;
        std::string zone;
        /// A start message whose lease ended longer ago than this may be a copy of one that the
        /// agent has forgotten.
        std::chrono::milliseconds longest_delay {0};
    };

    start_admission(settings own, lease_book const& leases, outcome_store const& outcomes,
                    cancellation_book const& cancellations, endpoint_list& endpoints,
                    owner_watch const& owners);

    /// The first check that fails; empty when the attempt may start.
    [[nodiscard]] std::optional<refusal> refuse(start_request const& request, admission_stage stage,
                                                base::steady_time now) const;

    void begin_shutdown() { this->shutting_down = true; }

private:
    struct check;
    static check const checks[];

    using predicate = bool (start_admission::*)(start_request const&, base::steady_time) const;

    [[nodiscard]] bool message_recent(start_request const& request, base::steady_time now) const;
    [[nodiscard]] bool incarnation_matches(start_request const& request, base::steady_time) const;
    [[nodiscard]] bool not_cancelled(start_request const& request, base::steady_time) const;
    [[nodiscard]] bool serving(start_request const& request, base::steady_time) const;
    [[nodiscard]] bool sender_matches(start_request const& request, base::steady_time) const;
    [[nodiscard]] bool lease_valid(start_request const& request, base::steady_time now) const;
    [[nodiscard]] bool arrived_in_time(start_request const& request, base::steady_time now) const;
    [[nodiscard]] bool owner_heard(start_request const& request, base::steady_time now) const;
    [[nodiscard]] bool zones_known(start_request const& request, base::steady_time) const;
    [[nodiscard]] bool view_current(start_request const& request, base::steady_time) const;
    [[nodiscard]] bool view_known(start_request const& request, base::steady_time) const;
    [[nodiscard]] bool entry_live(start_request const& request, base::steady_time) const;
    [[nodiscard]] bool zone_in(start_request const& request, base::steady_time) const;
    [[nodiscard]] bool epoch_current(start_request const& request, base::steady_time) const;
    [[nodiscard]] bool deadline_ahead(start_request const& request, base::steady_time now) const;
    [[nodiscard]] bool endpoint_present(start_request const& request, base::steady_time) const;
    [[nodiscard]] bool endpoint_staying(start_request const& request, base::steady_time) const;
    [[nodiscard]] bool kind_offered(start_request const& request, base::steady_time) const;
    [[nodiscard]] bool room_left(start_request const& request, base::steady_time) const;

    settings own;
    lease_book const& leases;
    outcome_store const& outcomes;
    cancellation_book const& cancellations;
    endpoint_list& endpoints;
    owner_watch const& owners;
    bool shutting_down = false;
};

} // namespace greengagehead::agent
