// Control logic of one member: leases, views, claims and takeover on top of the replicated log.
// Only the leader acts; other members answer `not_leader`.

#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "base/clock.h"
#include "protocol/message.h"
#include "protocol/message_sender.h"

namespace greengagehead::consensus {
class replicated_log;
}

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

class control_core {
public:
    control_core(control_settings settings, protocol::message_sender& sender,
                 consensus::replicated_log& log);

    /// Handles renew_lease and control_request; ignores all other messages.
    void receive(std::string const& peer, protocol::message const& body, base::steady_time now);
    /// Expected every 10 ms. `wall` is the time since the Unix epoch.
    void tick(base::steady_time now, protocol::wall_time wall);

    [[nodiscard]] protocol::control_status status(base::steady_time now) const;
};

} // namespace greengagehead::control
