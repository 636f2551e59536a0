// Learns from the control group where the entries are, for an agent whose settings name none.

#pragma once

#include <string>
#include <vector>

#include <sigc++/signal.h>

#include "base/clock.h"
#include "protocol/message.h"
#include "protocol/message_sender.h"

namespace greengagehead::agent {

/// Asks one control member at a time and turns to the next when it does not answer.
class entry_directory {
public:
    /// @param self the agent. @param controls peer names of control members; may be out of date.
    entry_directory(protocol::process_id self, std::vector<std::string> controls,
                    protocol::message_sender& sender);

    void receive(protocol::directory const& answer);
    /// Expected every 10 ms.
    void tick(base::steady_time now);
    /// A link to a member has come up: while nothing is known it is asked at once.
    void peer_up(std::string const& peer, base::steady_time now);
    /// Replaces the members to ask, for example after the settings have changed.
    void set_controls(std::vector<std::string> names);

    /// An entry is live at this link address. Emitted again when the address changes.
    sigc::signal<void(std::string const& name, std::string const& address)> entry_found;
    /// The control group has other members than before.
    sigc::signal<void(std::vector<protocol::member_address> const&)> controls_known;

private:
    void ask(base::steady_time now);

    protocol::process_id self;
    std::vector<std::string> controls;
    std::size_t next_member = 0; ///< Index into `controls`.
    protocol::message_sender& sender;
    protocol::view_number known_view = 0;
    base::steady_time next_question;
    std::vector<protocol::live_entry> entries;
};

} // namespace greengagehead::agent
