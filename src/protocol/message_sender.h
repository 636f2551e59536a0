// Interface for sending messages, the only way for a core class to reach another process.

#pragma once

#include <string>

#include "protocol/message.h"

namespace greengagehead::protocol {

class message_sender {
public:
    message_sender() = default;
    virtual ~message_sender() = default;

    message_sender(message_sender const&) = delete;
    message_sender& operator=(message_sender const&) = delete;
    message_sender(message_sender&&) = delete;
    message_sender& operator=(message_sender&&) = delete;

    /// Sends a message to the process with this peer name, at most once. The message may be lost,
    /// and messages to one peer may arrive in another order.
    virtual void send(std::string const& peer, message const& body) = 0;
};

} // namespace greengagehead::protocol
