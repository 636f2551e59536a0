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

/// An attempt and the slots that it takes.
struct held_attempt {
    attempt_key key;
    std::uint32_t slots = 1;
    base::steady_time start_by; ///< A later start misses the target of the job.
};

/// How many attempts may wait when another one comes.
struct queue_limits {
    std::uint32_t untargeted = 2; ///< For a task that should start at once.
    /// For a task that has time until its latest start: more of them may wait, since the most
    /// urgent one goes first.
    std::uint32_t targeted = 4;
};

/// Holds the keys of waiting attempts only; their records are in the outcome store.
class endpoint_slots {
public:
    endpoint_slots(announcement description, queue_limits limits, base::steady_time now);

    /// Takes over changed values. A lower number of slots ends no running task.
    void refresh(announcement const& description, base::steady_time now);

    [[nodiscard]] announcement const& description() const { return this->described; }
    [[nodiscard]] base::steady_time announced_at() const { return this->last_announced; }
    [[nodiscard]] bool offers(std::string const& kind) const;

    /// Slots that may be in use at a time: its own, or its connections where those are fewer.
    [[nodiscard]] std::uint32_t capacity() const;
    /// Slots of the running attempts.
    [[nodiscard]] std::uint32_t used() const;
    [[nodiscard]] bool full() const { return this->used() >= this->capacity(); }
    [[nodiscard]] bool idle() const { return this->running.empty() && this->waiting.empty(); }
    /// Slots that the waiting attempts need.
    [[nodiscard]] std::uint32_t queued() const;
    /// The slots, or a place in the queue, are free.
    [[nodiscard]] bool can_admit(std::uint32_t slots, bool targeted) const;

    /// Puts an attempt before those that must start later, and behind those with the same time.
    void enqueue(attempt_key const& key, std::uint32_t slots, base::steady_time start_by);
    /// Next attempt to start; empty while too few slots are free for it.
    [[nodiscard]] std::optional<attempt_key> pop_startable();
    /// Removes an attempt from the queue. Returns false when it is not in there.
    bool remove(attempt_key const& key);
    [[nodiscard]] std::deque<held_attempt> const& queue() const { return this->waiting; }

    void acquire(attempt_key const& key, std::uint32_t slots)
    {
        this->running.push_back({key, slots, {}});
    }
    void release(attempt_key const& key);
    [[nodiscard]] std::vector<held_attempt> const& running_attempts() const
    {
        return this->running;
    }

private:
    announcement described;
    queue_limits limits;
    base::steady_time last_announced;
    std::vector<held_attempt> running;
    std::deque<held_attempt> waiting; ///< Ordered by `start_by`.
};

} // namespace greengagehead::agent
