// Requests to a control member from inside its own process, for example from an interface for
// operators that the member itself serves.

#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <variant>

#include "base/clock.h"
#include "protocol/message.h"
#include "protocol/message_sender.h"

namespace greengagehead::control {

/// Stands between the core and the links: what the core sends to `local_peer` comes back here.
class local_requests : public protocol::message_sender {
public:
    /// The result; where to go instead; or no answer in time, which says nothing about the change.
    struct not_leading {
        std::string leader; ///< Peer name; empty when unknown.
    };
    struct no_answer { };
    using reply = std::variant<protocol::control_result, not_leading, no_answer>;
    using callback = std::function<void(reply const&)>;

    explicit local_requests(protocol::message_sender& links);

    /// Passes requests on. Called once, before the first request.
    void connect(std::function<void(std::string const& peer, protocol::control_request const&,
                                    base::steady_time now)>
                     target);

    /// Calls `done` once.
    void request(protocol::control_request_body body, std::chrono::milliseconds timeout,
                 callback done, base::steady_time now);
    void send(std::string const& peer, protocol::message const& body) override;
    /// Expected every 10 ms.
    void tick(base::steady_time now);

private:
    struct pending {
        callback done;
        base::steady_time until;
    };

    void finish(std::uint64_t id, reply const& result);

    protocol::message_sender& links;
    protocol::process_id self;
    std::function<void(std::string const&, protocol::control_request const&, base::steady_time)>
        forward;
    std::uint64_t last_id = 0;
    std::map<std::uint64_t, pending> open;
};

} // namespace greengagehead::control
