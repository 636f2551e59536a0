// Learns from the control group where the entries are, for an agent whose settings name none.

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

/// Each question goes to the next control member.
class entry_directory {
public:
    /// @param self the agent. @param controls peer names of control members; may be out of date.
    entry_directory(protocol::process_id self, std::vector<std::string> controls,
                    protocol::message_sender& sender);

    /// The settings name these control members now.
    void set_configured(std::vector<std::string> members);
    void receive(protocol::directory const& answer, base::steady_time now);
    /// Expected every 10 ms.
    void tick(base::steady_time now);
    /// A link to a member has come up: while nothing is known it is asked at once.
    void peer_up(std::string const& peer, base::steady_time now);

    /// An entry is live at this link address. Emitted again when the address changes.
    sigc::signal<void(std::string const& name, std::string const& address)> entry_found;
    /// The control group has other members or another leader than before.
    sigc::signal<void(protocol::control_group const&)> controls_known;

private:
    void ask(base::steady_time now);
    /// The members to ask now.
    [[nodiscard]] std::vector<std::string> const& names(base::steady_time now) const;

    protocol::process_id self;
    protocol::control_peers controls;
    std::size_t next_member = 0; ///< Counts the questions; the remainder selects the member.
    base::steady_time last_answer; ///< The first question while there was none.
    protocol::message_sender& sender;
    protocol::view_number known_view = 0;
    base::steady_time next_question;
    /// Link addresses by entry. An entry that has left the view may only be cut off from control:
    /// its link is kept.
    std::map<std::string, std::string> addresses;
};

} // namespace greengagehead::agent
