// The replicated state machine of the control group. Every member applies the same commands in the
// same order and reaches the same state, so nothing here may read a clock.

#pragma once

#include <string>
#include <string_view>

#include "base/error.h"
#include "protocol/message.h"
#include "state/agent_table.h"
#include "state/claim_table.h"
#include "state/entry_table.h"
#include "state/settings_tree.h"
#include "state/zone_table.h"

namespace greengagehead::state {

class control_state {
public:
    explicit control_state(claim_limits limits = {});

    /// Applies one committed command. The view number goes up by one exactly when the command
    /// changes what `current_view` returns.
    /// Errors: a refused command returns base::error or a result whose status says why.
    protocol::control_result apply(protocol::command const& command);

    [[nodiscard]] protocol::view current_view() const;
    [[nodiscard]] protocol::view_number view() const;

    [[nodiscard]] settings_tree const& settings() const;
    [[nodiscard]] entry_table const& entries() const;
    [[nodiscard]] agent_table const& agents() const;
    [[nodiscard]] claim_table const& claims() const;
    [[nodiscard]] protocol::document const& routing_document() const { return this->routing; }
    /// True when an `expire_claims` command with these times would drop anything.
    [[nodiscard]] bool has_expirable(protocol::wall_time before,
                                     protocol::wall_time tombstones_before) const;

    /// Encodes the whole state. Equal states give equal bytes.
    [[nodiscard]] std::string snapshot() const;
    /// Replaces the whole state. On error the state is unchanged.
    /// Errors: `error_code::corrupt` when `bytes` is not a valid snapshot of the current format
    /// version.
    base::result<void> restore(std::string_view bytes);

private:
    /// Advances the view number if the outcome changed anything, and returns the result of the
    /// outcome.
    template <typename Outcome> protocol::change_result update_view(Outcome outcome);
    protocol::control_result on(protocol::put_setting const& request);
    protocol::control_result on(protocol::put_zone_state const& request);
    protocol::control_result on(protocol::put_endpoint_drain const& request);
    protocol::control_result on(protocol::join_entry const& request);
    protocol::control_result on(protocol::remove_entry const& request);
    protocol::control_result on(protocol::claim_jobs const& request);
    protocol::control_result on(protocol::finish_jobs const& request);
    protocol::control_result on(protocol::take_over const& request);
    protocol::control_result on(protocol::expire_claims const& request);
    protocol::control_result on(protocol::join_agent const& request);
    protocol::control_result on(protocol::remove_agent const& request);
    protocol::control_result on(protocol::put_document const& request);
    protocol::control_result on(protocol::confirm_document const& request);

    base::result<protocol::claim_result> claim(protocol::job_claim const& requested,
                                               std::uint64_t request_id);
    [[nodiscard]] protocol::wall_time agent_expiry_time(protocol::wall_time before) const;
    [[nodiscard]] protocol::control_result current_view_result() const;

    claim_limits limits;
    protocol::view_number current_view_number = 0;
    /// Highest time of any applied command. The clocks of different leaders differ, so a later
    /// command may carry an earlier time, but retention needs times that never decrease.
    protocol::wall_time latest_time {0};
    settings_tree stored_settings;
    zone_table zones;
    entry_table live_entries;
    agent_table known_agents;
    claim_table job_claims;
    /// Invariant: its version never decreases.
    protocol::document routing;
};

} // namespace greengagehead::state
