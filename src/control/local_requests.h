// Requests to a control member from inside its own process, for example from the operator interface
// that the member itself serves.

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

/// Message sender of the control core. Replies to local requests complete the request; messages to
/// other peers go to the links.
class local_requests : public protocol::message_sender {
public:
    /// This member does not lead.
    struct not_leading {
        std::string leader; ///< Peer name; empty when unknown.
    };
    /// No answer before the timeout; a change may still have been applied or may be applied later.
    struct no_answer { };
    using reply = std::variant<protocol::control_result, not_leading, no_answer>;
    using callback = std::function<void(reply const&)>;

    explicit local_requests(protocol::message_sender& links);

    /// Sets the function that handles the requests. Must be called once, before the first request.
    void connect(std::function<void(std::string const& peer, protocol::control_request const&,
                                    base::steady_time now)>
                     handler);

    /// Calls `done` exactly once, at the latest on the first tick after `timeout`.
    void request(protocol::control_request_body body, std::chrono::milliseconds timeout,
                 callback done, base::steady_time now);
    void send(std::string const& peer, protocol::message const& body) override;
    /// Must be called every 10 ms.
    void tick(base::steady_time now);

private:
    struct pending_request {
        callback done;
        base::steady_time deadline;
    };

    void finish(std::uint64_t id, reply const& result);

    protocol::message_sender& link_sender;
    protocol::process_id sender_id;
    std::function<void(std::string const&, protocol::control_request const&, base::steady_time)>
        request_handler;
    std::uint64_t last_id = 0;
    std::map<std::uint64_t, pending_request> pending_requests;
};

} // namespace greengagehead::control
