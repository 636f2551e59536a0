// Gets the link addresses of the entries from the control group, for an agent whose settings name
// no entries.

#pragma once

#include <map>
#include <string>
#include <vector>

#include <sigc++/signal.h>

#include "base/clock.h"
#include "protocol/control_peers.h"
#include "protocol/message.h"
#include "protocol/message_sender.h"

namespace greengagehead::agent {

/// Sends each request to the next control member in turn.
class entry_directory {
public:
    /// @param self id of the agent.
    /// @param controls peer names of control members; may be outdated.
    entry_directory(protocol::process_id self, std::vector<std::string> controls,
                    protocol::message_sender& sender);

    /// Replaces the control members named in the settings.
    void set_configured(std::vector<std::string> members);
    void receive(protocol::directory const& answer, base::steady_time now);
    /// To be called every 10 ms.
    void tick(base::steady_time now);
    /// The link to a control member has come up. Before the first answer with a view, the member is
    /// asked at once.
    void peer_up(std::string const& peer, base::steady_time now);

    /// Emitted when an entry is found, and again when its link address changes.
    sigc::signal<void(std::string const& name, std::string const& address)> entry_found;
    /// Emitted when the members or the leader of the control group change.
    sigc::signal<void(protocol::control_group const&)> controls_changed;

private:
    void send_request(base::steady_time now);
    /// The control members that requests currently go to.
    [[nodiscard]] std::vector<std::string> const& candidates(base::steady_time now) const;

    protocol::process_id self;
    protocol::control_peers controls;
    std::size_t next_member = 0; ///< Counts requests; taken modulo the number of members.
    base::steady_time last_answer; ///< Time of the first request before there was any answer.
    protocol::message_sender& sender;
    protocol::view_number latest_view = 0;
    base::steady_time next_request_at;
    /// Link addresses by entry name. Entries that leave the view stay here and keep their links,
    /// since they may only be cut off from control.
    std::map<std::string, std::string> addresses;
};

} // namespace greengagehead::agent
