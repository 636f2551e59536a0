// Delivers outcomes to their entries, in batches that are resent until they are acknowledged.

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "agent/attempt.h"
#include "base/clock.h"
#include "protocol/message_sender.h"

namespace greengagehead::agent {

class outcome_store;

/// An outcome is delivered to the owner named in its record. When the owner changes, resent batches
/// to the previous owner omit it.
class outcome_sender {
public:
    outcome_sender(protocol::process_id self, protocol::message_sender& sender,
                   outcome_store& outcomes);

    /// Returns the usage of the endpoints, to be reported to the receiver of a batch.
    std::function<std::vector<protocol::endpoint_use>(std::string const& receiver)> usage;

    /// Queues the outcome of a finished attempt for its owner.
    void enqueue(attempt_key const& key);
    /// Sends the queued outcomes.
    void flush(base::steady_time now);
    /// Resends batches whose acknowledgement is overdue.
    void tick(base::steady_time now);

    /// Resends all unacknowledged batches of the peer at once.
    void peer_up(std::string const& peer, base::steady_time now);
    void peer_down(std::string const& peer);

    void acknowledge(std::string const& peer, std::uint64_t batch_id);

private:
    struct batch {
        std::string peer;
        std::vector<attempt_key> keys;
        base::steady_time resend_at;
        std::chrono::milliseconds delay {0}; // Before the next resend.
    };

    [[nodiscard]] bool needs_delivery(attempt_key const& key, std::string const& peer) const;
    void send_new(std::string const& peer, std::vector<attempt_key> keys, base::steady_time now);
    void send(std::uint64_t batch_id, batch& sent, base::steady_time now);

    protocol::process_id self;
    protocol::message_sender& sender;
    outcome_store& outcomes;
    std::map<std::string, std::vector<attempt_key>> queued; // By owner.
    std::map<std::uint64_t, batch> unacknowledged;
    std::set<std::string> connected;
    std::uint64_t next_batch = 1;
};

} // namespace greengagehead::agent
