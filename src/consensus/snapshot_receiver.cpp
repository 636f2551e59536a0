// Accepts chunks only in order; the reply tells the sender at which offset to continue.

#include "consensus/snapshot_receiver.h"

#include <utility>

namespace greengagehead::consensus {

std::optional<std::string> snapshot_receiver::receive(std::uint64_t sender_term,
                                                      protocol::snapshot_chunk const& chunk)
{
    log_position const position {chunk.last_index, chunk.last_term};
    if (sender_term != this->term || position != this->last) {
        this->term = sender_term;
        this->last = position;
        this->content.clear();
    }
    if (chunk.offset != this->content.size())
        return {};
    this->content += chunk.data;
    if (!chunk.done)
        return {};
    return std::exchange(this->content, {});
}

} // namespace greengagehead::consensus
