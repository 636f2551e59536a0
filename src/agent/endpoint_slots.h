// Slots of one endpoint and the small queue in front of them.

#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "agent/announcement.h"
#include "agent/attempt.h"
#include "base/clock.h"

namespace greengagehead::agent {

/// Holds the keys of waiting attempts only; their records are in the outcome store.
class endpoint_slots {
public:
    endpoint_slots(announcement description, std::uint32_t queue_limit, base::steady_time now);

    /// Takes over changed values. A lower number of slots ends no running task.
    void refresh(announcement const& description, base::steady_time now);

    [[nodiscard]] announcement const& description() const { return this->described; }
    [[nodiscard]] base::steady_time announced_at() const { return this->last_announced; }
    [[nodiscard]] bool offers(std::string const& kind) const;

    /// Tasks that may run at a time: its slots, or its connections where those are fewer.
    [[nodiscard]] std::uint32_t capacity() const;
    [[nodiscard]] std::uint32_t used() const
    {
        return static_cast<std::uint32_t>(this->running.size());
    }
    [[nodiscard]] bool full() const { return this->used() >= this->capacity(); }
    [[nodiscard]] std::size_t queued() const { return this->waiting.size(); }
    /// A slot or a place in the queue is free.
    [[nodiscard]] bool has_room() const;

    void enqueue(attempt_key const& key) { this->waiting.push_back(key); }
    /// Next attempt to start; empty while all slots are in use.
    [[nodiscard]] std::optional<attempt_key> take_next();
    /// Removes an attempt from the queue. Returns false when it is not in there.
    bool remove(attempt_key const& key);
    [[nodiscard]] std::deque<attempt_key> const& queue() const { return this->waiting; }

    void acquire(attempt_key const& key) { this->running.push_back(key); }
    void release(attempt_key const& key) { std::erase(this->running, key); }
    [[nodiscard]] std::vector<attempt_key> const& running_attempts() const { return this->running; }

private:
    announcement described;
    std::uint32_t queue_limit;
    base::steady_time last_announced;
    std::vector<attempt_key> running;
    std::deque<attempt_key> waiting;
};

} // namespace greengagehead::agent
