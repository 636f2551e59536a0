// Control logic of one member: leases, views, claims and takeover on top of the replicated log.
// Only the leader grants leases, proposes commands and answers control requests; other members
// answer `not_leader`. Every member answers directory requests.

#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <sigc++/trackable.h>

#include "base/clock.h"
#include "consensus/replicated_log.h"
#include "control/demand_table.h"
#include "control/lease_table.h"
#include "control/request_table.h"
#include "control/view_sender.h"
#include "protocol/message.h"
#include "protocol/message_sender.h"
#include "state/control_state.h"

namespace greengagehead::control {

struct control_settings {
    std::string name; ///< Peer name of this member, for example `control.recife-1`.
    std::chrono::milliseconds lease_duration {1500};
    /// Time between the end of an entry's lease and the removal of the entry from the view.
    std::chrono::milliseconds entry_loss_timeout {1000};
    /// Time after which a finished claim is reduced to a tombstone and a past agent is deleted.
    std::chrono::milliseconds claim_retention {900'000};
    /// Time after which a tombstone is deleted.
    std::chrono::milliseconds tombstone_retention {86'400'000};
    std::uint32_t clock_drift_percent = 1;
};

class control_core : public sigc::trackable {
public:
    /// Connects to the signals of `log`, which must outlive this object and must not have replayed
    /// any entry yet.
    control_core(control_settings settings, protocol::message_sender& sender,
                 consensus::replicated_log& log);
    ~control_core();
    control_core(control_core const&) = delete;
    control_core& operator=(control_core const&) = delete;

    /// Handles renew_lease, control_request and directory_request; ignores all other messages.
    void receive(std::string const& peer, protocol::message const& body, base::steady_time now);
    /// Must be called every 10 ms. `wall` is the time since the Unix epoch.
    void tick(base::steady_time now, protocol::wall_time wall);

    [[nodiscard]] protocol::control_status status(base::steady_time now) const;
    /// State after the last committed log entry.
    [[nodiscard]] state::control_state const& committed_state() const;

private:
    using steady_time = base::steady_time;

    void on_committed(protocol::log_entry const& entry, steady_time now);
    void on_restored(std::string const& snapshot);
    void on_leadership_changed(bool leading, steady_time now);

    void handle_renewal(std::string const& peer, protocol::renew_lease const& renewal,
                        steady_time now);
    void join_if_allowed(std::string const& peer, protocol::renew_lease const& renewal,
                         steady_time now);
    void propose_join(protocol::renew_lease const& renewal, steady_time now);
    void send_grant(std::string const& peer, protocol::renew_lease const& renewal, steady_time now);

    void answer_directory(std::string const& peer, protocol::directory_request const& request);

    void handle_request(std::string const& peer, protocol::control_request const& request,
                        steady_time now);
    void serve(request_origin const& origin, protocol::control_request_body const& body,
               steady_time now);
    void serve_command(request_origin const& origin, protocol::command_body body, steady_time now);
    [[nodiscard]] protocol::control_result read(protocol::control_request_body const& body,
                                                steady_time now);
    void answer(request_origin const& origin, protocol::control_result const& result);
    void redirect(request_origin const& origin);

    /// Answers the request whose command was committed with `result`. The answer to a change that
    /// created a view is delayed until that view is in force.
    void complete(request_origin const& origin, protocol::control_result const& result);
    /// True when the log accepted the proposal.
    bool propose(protocol::command_body body, steady_time now);
    /// Proposes the command and returns its log position. Errors: those of
    /// `replicated_log::propose`.
    base::result<consensus::log_position> append(protocol::command_body body, steady_time now);
    void after_commit(protocol::command const& command, protocol::control_result const& result,
                      protocol::view_number view_before, steady_time now);
    void on_applied(protocol::join_entry const& request, protocol::control_result const& result,
                    steady_time now);
    void on_applied(protocol::remove_entry const& request, protocol::control_result const& result,
                    steady_time now);
    void on_applied(protocol::take_over const& request, protocol::control_result const& result,
                    steady_time now);
    void on_applied(protocol::expire_claims const& request, protocol::control_result const& result,
                    steady_time now);
    /// Redirects every request that has not been answered yet.
    void redirect_all();

    void advance_view_in_force(steady_time now);
    void remove_lost_entries(steady_time now);
    void take_over_orphaned_jobs(steady_time now);
    void send_takeover_notices(steady_time now);
    void propose_claim_expiry(steady_time now);
    /// Live entry with the fewest running jobs; empty when there is none.
    [[nodiscard]] std::string choose_fallback_owner() const;

    /// True when this member may grant leases and answer reads: it is `ready` and in recent contact
    /// with a quorum.
    [[nodiscard]] bool authoritative(steady_time now) const;
    /// Wall time at `now`, extrapolated from the last tick.
    [[nodiscard]] protocol::wall_time wall_at(steady_time now) const;

    control_settings settings;
    protocol::message_sender& sender;
    consensus::replicated_log& log;
    state::control_state state;
    lease_table leases;
    demand_table demands;
    request_table requests;
    view_sender views;

    /// Result of a command that was committed before `replicated_log::propose` returned its
    /// position.
    struct early_commit {
        consensus::log_position position;
        protocol::control_result result;
    };
    bool proposing = false; ///< True during the call of `replicated_log::propose`.
    std::vector<early_commit> early_commits;
    /// Requests that arrived after the election and before `ready`.
    std::vector<std::pair<request_origin, protocol::control_request_body>> waiting_requests;

    bool ready = false; ///< Leads and has applied every acknowledged command.
    protocol::view_number view_in_force = 0;
    /// Entries with an uncommitted proposal of this leadership, so that none is proposed twice.
    std::set<protocol::process_id> pending_joins;
    std::set<protocol::process_id> pending_removals;
    std::set<protocol::process_id> pending_takeovers;
    bool claim_expiry_pending = false;
    /// Highest takeover sequence number that each entry has acknowledged in a renewal.
    std::map<protocol::process_id, std::uint64_t> seen_takeovers;
    steady_time next_takeover_check_time;
    steady_time next_notice_time;
    steady_time next_expiry_time;

    /// Arguments of the last tick.
    steady_time tick_time;
    protocol::wall_time tick_wall {0};
};

} // namespace greengagehead::control
