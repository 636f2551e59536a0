// Assembles a snapshot from chunks that may be lost, duplicated or reordered.

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

    /// Offset of the next missing chunk, in bytes.
    [[nodiscard]] std::uint64_t next_offset() const { return this->content.size(); }

private:
    /// Term of the sender. Snapshots of two leaders up to the same entry may differ in their bytes.
    std::uint64_t term = 0;
    /// Last entry in the snapshot that is being received.
    log_position last;
    /// Chunks received so far, without a gap.
    std::string content;
};

} // namespace greengagehead::consensus
