// Sends one entry's requests to the control leader: finds the leader and resends under the same
// request id.

#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "entry/control_outage_logger.h"
#include "protocol/control_peers.h"
#include "protocol/message.h"
#include "protocol/message_sender.h"

namespace greengagehead::entry {

class control_client {
public:
    using callback = std::function<void(protocol::control_result const&, base::steady_time now)>;

    control_client(protocol::process_id self, std::vector<std::string> controls,
                   protocol::message_sender& sender);

    /// Resends until a reply arrives or `timeout` has passed; then `done` gets
    /// `error_code::timeout`. A `timeout` of 0 means that the request never times out.
    void request(protocol::control_request_body body, std::chrono::milliseconds timeout,
                 callback done, base::steady_time now);

    void on_reply(std::string const& peer, protocol::control_reply const& reply,
                  base::steady_time now);
    void on_not_leader(std::string const& peer, protocol::not_leader const& answer,
                       base::steady_time now);
    void on_peer_up(std::string const& peer);
    void on_peer_down(std::string const& peer, base::steady_time now);
    void tick(base::steady_time now);

    /// The member that requests are sent to. Only a guess until a member has answered as leader.
    [[nodiscard]] std::string const& target() const;
    /// The member that last answered as leader; empty when it has since failed or lost
    /// the leadership.
    [[nodiscard]] std::string const& leader() const;
    /// Call this whenever `peer` has answered as leader, also with messages other than replies.
    void record_leader(std::string const& peer, base::steady_time now);
    /// Switches to the next member when `peer` is the current target.
    void fail_over_from(std::string const& peer, base::steady_time now);
    /// Replaces the members named by the settings.
    void set_configured(std::vector<std::string> members);
    /// Returns whether the group has other members or another leader than before.
    bool update_group(protocol::control_group const& group);
    [[nodiscard]] protocol::control_group const& group() const { return this->controls.latest(); }
    [[nodiscard]] bool idle() const { return this->pending_requests.empty(); }

private:
    struct pending_request {
        protocol::control_request_body body;
        callback done;
        base::steady_time deadline;
        base::steady_time next_send;
    };

    void send(std::uint64_t id, pending_request& request, base::steady_time now);
    void resend_all(base::steady_time now);

    protocol::process_id self;
    protocol::control_peers controls;
    protocol::message_sender& sender;
    std::string target_member;
    std::string known_leader;
    std::uint64_t last_request_id;
    base::steady_time last_switch;
    control_outage_logger outage_log;
    std::map<std::uint64_t, pending_request> pending_requests;
};

} // namespace greengagehead::entry
