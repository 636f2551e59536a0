// Counts the messages on the links of one process, by kind.

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "protocol/message_kind.h"

namespace greengagehead::transport {

struct message_count {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0; ///< Encoded, without the headers of the link.

    void add(std::size_t message_bytes)
    {
        ++this->messages;
        this->bytes += message_bytes;
    }
};

/// Since the start of the process. The index is that of the alternative of `protocol::message`.
struct message_counters {
    std::array<message_count, protocol::message_kinds> sent;
    std::array<message_count, protocol::message_kinds> received;
};

} // namespace greengagehead::transport
