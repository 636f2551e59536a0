// The slots of one endpoint and the short queue of attempts that wait for them.

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

/// An attempt and the slots that it needs.
struct attempt_slots {
    attempt_key key;
    std::uint32_t slots = 1;
    base::steady_time start_by; ///< A later start misses the latency target of the job.
};

/// Maximum queue length, by the kind of the attempt to be added.
struct queue_limits {
    /// For a task without a latency target, which should start at once.
    std::uint32_t untargeted = 2;
    /// For a task with a latency target. More of them may wait, since the most urgent one starts
    /// first.
    std::uint32_t targeted = 4;
};

/// Holds only the keys of attempts. Their records are in the outcome store.
class endpoint_slots {
public:
    endpoint_slots(announcement description, queue_limits limits, base::steady_time now);

    /// Applies a repeated announcement. Fewer slots than before do not end running tasks.
    void refresh(announcement const& description, base::steady_time now);

    [[nodiscard]] announcement const& description() const { return this->announced; }
    [[nodiscard]] base::steady_time announced_at() const { return this->last_announced; }
    [[nodiscard]] bool offers(std::string const& kind) const;

    /// Slots that may be in use at a time: the announced slots or connections, whichever are fewer.
    [[nodiscard]] std::uint32_t capacity() const;
    /// Slots of the running attempts.
    [[nodiscard]] std::uint32_t used() const;
    [[nodiscard]] bool full() const { return this->used() >= this->capacity(); }
    [[nodiscard]] bool idle() const { return this->running.empty() && this->waiting.empty(); }
    /// Slots that the waiting attempts need.
    [[nodiscard]] std::uint32_t queued() const;
    /// True if enough slots are free or the queue is not full.
    [[nodiscard]] bool can_admit(std::uint32_t slots, bool targeted) const;

    /// Inserts an attempt by its latest start, after attempts with the same one.
    void enqueue(attempt_key const& key, std::uint32_t slots, base::steady_time start_by);
    /// Removes and returns the next attempt to start. Empty if too few slots are free for it.
    [[nodiscard]] std::optional<attempt_key> pop_startable();
    /// Removes an attempt from the queue. Returns false if it was not queued.
    bool remove(attempt_key const& key);
    [[nodiscard]] std::deque<attempt_slots> const& queue() const { return this->waiting; }

    void acquire(attempt_key const& key, std::uint32_t slots)
    {
        this->running.push_back({key, slots, {}});
    }
    void release(attempt_key const& key);
    [[nodiscard]] std::vector<attempt_slots> const& running_attempts() const
    {
        return this->running;
    }

private:
    announcement announced;
    queue_limits limits;
    base::steady_time last_announced;
    std::vector<attempt_slots> running;
    std::deque<attempt_slots> waiting; ///< Ordered by `start_by`.
};

} // namespace greengagehead::agent
