// Batching and resending of outcomes.

#include "agent/outcome_sender.h"

#include <algorithm>
#include <utility>

#include "agent/outcome_store.h"

namespace greengagehead::agent {

namespace {

using std::chrono::milliseconds;

/// A lost acknowledgement delays no answer, so the first resend may wait longer than any round
/// trip. The delay doubles with each resend, to save messages.
constexpr milliseconds initial_resend_delay {200};
constexpr milliseconds max_resend_delay {2000};

constexpr std::size_t max_batch_outcomes = 256;
constexpr std::size_t max_batch_bytes = 1024UL * 1024;

} // namespace

outcome_sender::outcome_sender(protocol::process_id agent_id, protocol::message_sender& messages,
                               outcome_store& store)
    : self(std::move(agent_id)), sender(messages), outcomes(store)
{
}

void outcome_sender::enqueue(attempt_key const& key)
{
    auto const* const record = this->outcomes.find(key);
    if (record != nullptr && record->details)
        this->queued[record->details->owner].push_back(key);
}

void outcome_sender::flush(base::steady_time now)
{
    auto const due = std::exchange(this->queued, {});
    for (auto const& [peer, keys] : due) {
        std::vector<attempt_key> next;
        std::size_t bytes = 0;
        for (auto const& key : keys) {
            next.push_back(key);
            bytes += this->outcomes.result_bytes(key);
            if (next.size() < max_batch_outcomes && bytes < max_batch_bytes)
                continue;
            this->send_new(peer, std::exchange(next, {}), now);
            bytes = 0;
        }
        if (!next.empty())
            this->send_new(peer, std::move(next), now);
    }
}

void outcome_sender::tick(base::steady_time now)
{
    for (auto& [id, pending] : this->unacknowledged) {
        if (pending.resend_at <= now && this->connected.contains(pending.peer))
            this->send(id, pending, now);
    }
    std::erase_if(this->unacknowledged, [](auto const& item) { return item.second.keys.empty(); });
}

void outcome_sender::peer_up(std::string const& peer, base::steady_time now)
{
    this->connected.insert(peer);
    for (auto& [id, pending] : this->unacknowledged) {
        if (pending.peer != peer)
            continue;
        pending.delay = initial_resend_delay;
        this->send(id, pending, now);
    }
}

void outcome_sender::peer_down(std::string const& peer)
{
    this->connected.erase(peer);
}

void outcome_sender::acknowledge(std::string const& peer, std::uint64_t batch_id)
{
    auto const found = this->unacknowledged.find(batch_id);
    if (found == this->unacknowledged.end() || found->second.peer != peer)
        return;
    for (auto const& key : found->second.keys) {
        if (this->needs_delivery(key, peer))
            this->outcomes.acknowledge(key);
    }
    this->unacknowledged.erase(found);
}

void outcome_sender::send_new(std::string const& peer, std::vector<attempt_key> keys,
                              base::steady_time now)
{
    auto const id = this->next_batch++;
    auto& added = this->unacknowledged[id] = {peer, std::move(keys), now, initial_resend_delay};
    this->send(id, added, now);
}

bool outcome_sender::needs_delivery(attempt_key const& key, std::string const& peer) const
{
    auto const* const record = this->outcomes.find(key);
    return record != nullptr && !record->acknowledged && record->details
        && record->details->owner == peer;
}

void outcome_sender::send(std::uint64_t batch_id, batch& sent, base::steady_time now)
{
    std::erase_if(sent.keys,
                  [this, &sent](auto const& key) { return !this->needs_delivery(key, sent.peer); });
    if (sent.keys.empty())
        return;
    protocol::outcome_batch body {this->self, batch_id, {}, {}};
    if (this->usage)
        body.uses = this->usage(sent.peer);
    for (auto const& key : sent.keys)
        body.outcomes.push_back(this->outcomes.outcome(key));
    sent.resend_at = now + sent.delay;
    sent.delay = std::min(2 * sent.delay, max_resend_delay);
    this->sender.send(sent.peer, body);
}

} // namespace greengagehead::agent
