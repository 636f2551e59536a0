// The only way for a core to reach another process.

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

    /// Sends at most once. The message may be lost, and messages may overtake each other.
    virtual void send(std::string const& peer, message const& body) = 0;
};

} // namespace greengagehead::protocol
