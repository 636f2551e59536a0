// The entry's lease: renewals at control, the applied view, and the stamps that pass the lease on
// to agents. See docs/design.md, section 3.3.

#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <string>

#include <sigc++/signal.h>

#include "base/clock.h"
#include "protocol/message.h"
#include "protocol/message_sender.h"

namespace greengagehead::entry {

class agent_table;
class control_client;
struct agent_record;
struct entry_settings;

class lease_manager {
public:
    lease_manager(entry_settings const& settings, protocol::message_sender& sender,
                  control_client& control, agent_table& agents);

    void on_grant(std::string const& peer, protocol::grant_lease const& grant,
                  base::steady_time now);
    void on_view(protocol::view_update const& update, base::steady_time now);
    void on_not_leader(base::steady_time now);
    /// Called after a report of an agent: sends its first stamp and updates the settled view.
    void on_report(agent_record& agent, base::steady_time now);
    void tick(base::steady_time now);
    /// Renews at the next tick instead of after the rest of the interval.
    void renew_soon();

    /// Renewals carry the latest takeover notice, so that control stops repeating it.
    void record_takeover(std::uint64_t sequence);

    /// Whether starts are allowed now.
    [[nodiscard]] bool valid(base::steady_time now) const;
    /// Stamp for one agent, which expires with the lease and at most 780 ms after `now`; empty
    /// without a valid lease or without a report of the agent.
    [[nodiscard]] std::optional<protocol::lease_stamp> stamp(agent_record& agent,
                                                             base::steady_time now);

    /// Stamp for ephemeral tasks while there is no lease, which expires 780 ms after `now` at the
    /// latest; empty without a report of the agent.
    [[nodiscard]] std::optional<protocol::lease_stamp> unleased_stamp(agent_record& agent,
                                                                      base::steady_time now) const;

    /// The entry that holds the lease.
    [[nodiscard]] protocol::process_id const& self() const;
    [[nodiscard]] protocol::view const& applied() const { return this->current; }
    [[nodiscard]] protocol::view_number settled() const { return this->settled_view; }
    [[nodiscard]] protocol::live_entry const* find_live_entry(protocol::process_id const& id) const;

    /// Supplies the demand of a renewal; may be empty.
    std::function<std::optional<protocol::entry_demand>(base::steady_time)> demand;
    /// A new view has been applied.
    sigc::signal<void(base::steady_time)> view_applied;
    /// The entry may have been removed from the view, and its jobs taken over.
    sigc::signal<void(base::steady_time)> ownership_in_doubt;

private:
    void renew(base::steady_time now);
    void update_settled();
    void update_agents(base::steady_time now);
    /// Sends the view, under the lease if there is one.
    void update_agent(agent_record& agent, base::steady_time now);

    entry_settings const& settings;
    protocol::message_sender& sender;
    control_client& control;
    agent_table& agents;

    protocol::view current;
    protocol::view_number settled_view = 0;
    std::uint64_t seen_takeover = 0; // Sequence of the latest takeover notice.
    bool in_view = false; ///< The current view lists this incarnation.
    /// Expiry of the entry's lease. Only used when a view of at least `lease_view` is applied.
    base::steady_time expires_at;
    protocol::view_number lease_view = 0;

    base::steady_time next_renewal;
    base::steady_time next_agent_update;
    bool renewals_answered = true; ///< No renewal is unanswered.
    base::steady_time unanswered_since;
};

} // namespace greengagehead::entry
