// Requests of one entry to the control leader: finds the leader, resends under the same id.

#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "entry/control_watch.h"
#include "protocol/control_peers.h"
#include "protocol/message.h"
#include "protocol/message_sender.h"

namespace greengagehead::entry {

class control_client {
public:
    using callback = std::function<void(protocol::control_result const&, base::steady_time now)>;

    control_client(protocol::process_id self, std::vector<std::string> controls,
                   protocol::message_sender& sender);

    /// Sends until a reply arrives or `timeout` has passed, then calls `done` with
    /// `error_code::timeout`. A `timeout` of 0 means no end.
    void request(protocol::control_request_body body, std::chrono::milliseconds timeout,
                 callback done, base::steady_time now);

    void on_reply(std::string const& peer, protocol::control_reply const& reply,
                  base::steady_time now);
    void on_not_leader(std::string const& peer, protocol::not_leader const& answer,
                       base::steady_time now);
    void on_peer_up(std::string const& peer);
    void on_peer_down(std::string const& peer, base::steady_time now);
    void tick(base::steady_time now);

    /// The member to talk to. A guess until a member has answered.
    [[nodiscard]] std::string const& target() const;
    /// The member that last answered as leader; empty when it has not been heard since it failed.
    [[nodiscard]] std::string const& leader() const;
    /// Called when `peer` answered as leader, also for other messages than replies.
    void note_leader(std::string const& peer, base::steady_time now);
    /// Turns to the next member when `peer` is the present target.
    void give_up_on(std::string const& peer, base::steady_time now);
    /// The settings name these members now.
    void set_configured(std::vector<std::string> members);
    /// Returns whether the group has other members or another leader than before.
    bool learn(protocol::control_group const& group);
    [[nodiscard]] protocol::control_group const& group() const { return this->controls.latest(); }
    [[nodiscard]] bool idle() const { return this->open.empty(); }

private:
    struct pending {
        protocol::control_request_body body;
        callback done;
        base::steady_time deadline;
        base::steady_time next_send;
    };

    void send(std::uint64_t id, pending& request, base::steady_time now);
    void resend_all(base::steady_time now);

    protocol::process_id self;
    protocol::control_peers controls;
    protocol::message_sender& sender;
    std::string current;
    std::string known_leader;
    std::uint64_t last_id = 0;
    base::steady_time last_turn;
    control_watch watch;
    std::map<std::uint64_t, pending> open;
};

} // namespace greengagehead::entry
