// Control logic of one member: leases, views, claims and takeover on top of the replicated log.
// Only the leader acts; other members answer `not_leader`.

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
#include "control/lease_table.h"
#include "control/request_table.h"
#include "protocol/message.h"
#include "protocol/message_sender.h"
#include "state/control_state.h"

namespace greengagehead::control {

struct control_settings {
    std::string name; ///< Peer name of this member, for example `control.recife-1`.
    std::chrono::milliseconds lease_duration {1500};
    /// An entry whose lease ran out this long ago is removed from the view.
    std::chrono::milliseconds entry_loss_timeout {1000};
    std::chrono::milliseconds claim_retention {900'000};
    std::chrono::milliseconds tombstone_retention {86'400'000};
    std::uint32_t clock_drift_percent = 1;
};

class control_core : public sigc::trackable {
public:
    /// Connects itself to `log`, which must outlive it and must not have replayed anything yet.
    control_core(control_settings settings, protocol::message_sender& sender,
                 consensus::replicated_log& log);
    ~control_core();
    control_core(control_core const&) = delete;
    control_core& operator=(control_core const&) = delete;

    /// Handles renew_lease, control_request and directory_request; ignores all other messages.
    void receive(std::string const& peer, protocol::message const& body, base::steady_time now);
    /// Expected every 10 ms. `wall` is the time since the Unix epoch.
    void tick(base::steady_time now, protocol::wall_time wall);

    [[nodiscard]] protocol::control_status status(base::steady_time now) const;
    /// State as of the last committed entry.
    [[nodiscard]] state::control_state const& replicated() const;

private:
    using steady_time = base::steady_time;

    void on_committed(protocol::log_entry const& entry, steady_time now);
    void on_restored(std::string const& snapshot);
    void on_leadership(bool leading, steady_time now);

    void renew(std::string const& peer, protocol::renew_lease const& renewal, steady_time now);
    void admit(std::string const& peer, protocol::renew_lease const& renewal, steady_time now);
    void join(protocol::renew_lease const& renewal, steady_time now);
    void grant(std::string const& peer, protocol::renew_lease const& renewal, steady_time now);

    void answer_directory(std::string const& peer, protocol::directory_request const& request);

    void request(std::string const& peer, protocol::control_request const& request,
                 steady_time now);
    void serve(request_origin const& origin, protocol::control_request_body const& body,
               steady_time now);
    void serve_command(request_origin const& origin, protocol::command_body body, steady_time now);
    [[nodiscard]] protocol::control_result read(protocol::control_request_body const& body,
                                                steady_time now);
    void answer(request_origin const& origin, protocol::control_result const& result);
    void redirect(request_origin const& origin);

    /// Outcome of one committed command for the request that asked for it.
    void complete(request_origin const& origin, protocol::control_result const& result);
    bool propose(protocol::command_body body, steady_time now);
    base::result<consensus::log_position> append(protocol::command_body body, steady_time now);
    void after_commit(protocol::command const& command, protocol::control_result const& result,
                      protocol::view_number view_before, steady_time now);
    void after(protocol::join_entry const& request, protocol::control_result const& result,
               steady_time now);
    void after(protocol::remove_entry const& request, protocol::control_result const& result,
               steady_time now);
    void after(protocol::take_over const& request, protocol::control_result const& result,
               steady_time now);
    void after(protocol::expire_claims const& request, protocol::control_result const& result,
               steady_time now);
    void redirect_all();

    void push_view();
    void advance_in_force(steady_time now);
    void remove_lost(steady_time now);
    void take_over_orphans(steady_time now);
    void notify_owners(steady_time now);
    void expire(steady_time now);
    [[nodiscard]] std::string choose_fallback() const;

    /// True when this member may grant leases and answer reads.
    [[nodiscard]] bool authoritative(steady_time now) const;
    [[nodiscard]] protocol::wall_time wall_at(steady_time now) const;

    control_settings settings;
    protocol::message_sender& sender;
    consensus::replicated_log& log;
    state::control_state state;
    lease_table leases;
    request_table requests;

    /// Result of an entry that was committed while its proposal was still being made.
    struct early_commit {
        consensus::log_position position;
        protocol::control_result result;
    };
    bool appending = false;
    std::vector<early_commit> early;
    /// Requests that came in after the election and before `ready`.
    std::vector<std::pair<request_origin, protocol::control_request_body>> waiting;

    bool ready = false; ///< Leads, and holds every acknowledged command.
    protocol::view_number in_force = 0;
    /// Proposals of this leadership that are not committed yet, so that none is made twice.
    std::set<protocol::process_id> joining;
    std::set<protocol::process_id> removing;
    std::set<protocol::process_id> taking_over;
    bool expiring = false;
    /// Highest takeover that each entry is known to have been told of.
    std::map<protocol::process_id, std::uint64_t> seen_takeovers;
    steady_time next_takeover_check;
    steady_time next_notice;
    steady_time next_expiry;

    steady_time tick_time;
    protocol::wall_time tick_wall {0};
};

} // namespace greengagehead::control
