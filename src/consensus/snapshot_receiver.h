// Assembles a snapshot from chunks that may be lost, doubled or reordered.

#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "consensus/replicated_log.h"
#include "protocol/raft_message.h"

namespace greengagehead::consensus {

class snapshot_receiver {
public:
    /// Returns the whole snapshot once its last chunk has arrived.
    std::optional<std::string> receive(std::uint64_t term, protocol::snapshot_chunk const& chunk);

    /// Offset of the next chunk that is needed.
    [[nodiscard]] std::uint64_t next_offset() const { return this->content.size(); }

private:
    /// Term of the sender: another leader's snapshot up to the same entry may have other bytes.
    std::uint64_t term = 0;
    log_position last;
    std::string content;
};

} // namespace greengagehead::consensus
