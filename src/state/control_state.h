// The replicated state of the control group. Every member applies the same commands in the same
// order and reaches the same state; nothing here reads a clock.

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
    /// changes what `current_view` returns. Refused commands return base::error or a result that
    /// says so.
    protocol::control_result apply(protocol::command const& command);

    [[nodiscard]] protocol::view current_view() const;
    [[nodiscard]] protocol::view_number view() const;

    [[nodiscard]] settings_tree const& settings() const;
    [[nodiscard]] entry_table const& entries() const;
    [[nodiscard]] agent_table const& agents() const;
    [[nodiscard]] claim_table const& claims() const;
    [[nodiscard]] protocol::document const& routing_document() const { return this->routing; }
    /// True when `expire_claims` with these times would drop anything.
    [[nodiscard]] bool has_expirable(protocol::wall_time before,
                                     protocol::wall_time tombstones_before) const;

    /// Equal states give equal bytes.
    [[nodiscard]] std::string snapshot() const;
    /// Replaces the whole state. On error it is left as it was.
    /// Errors: `error_code::corrupt` for anything that is not a snapshot of this version.
    base::result<void> restore(std::string_view bytes);

private:
    template <typename Outcome> protocol::change_result after(Outcome outcome);
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

    base::result<protocol::claim_result> claim(protocol::job_claim const& wanted,
                                               std::uint64_t request_id);
    [[nodiscard]] protocol::wall_time forget_agents_before(protocol::wall_time before) const;
    [[nodiscard]] protocol::control_result view_now() const;

    claim_limits limits;
    protocol::view_number number = 0;
    /// Highest time of any applied command. Leaders' clocks differ, so a later command may carry an
    /// earlier time; retention needs times that never go back.
    protocol::wall_time latest {0};
    settings_tree tree;
    zone_table zones;
    entry_table live;
    agent_table known_agents;
    claim_table jobs;
    /// Invariant: its version never falls.
    protocol::document routing;
};

} // namespace greengagehead::state
