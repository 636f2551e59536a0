// Event queue with virtual time for the simulations in this folder.

#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <queue>
#include <tuple>
#include <utility>
#include <vector>

#include "base/clock.h"

namespace greengagehead::policy {

/// Runs scheduled actions in the order of their times. Actions with the same time run in the order
/// in which they were added.
class event_queue {
public:
    [[nodiscard]] base::steady_time now() const { return this->time; }
    [[nodiscard]] bool empty() const { return this->events.empty(); }

    /// Schedules `action` at the virtual time `delay` from now.
    void after(std::chrono::microseconds delay, std::function<void()> action)
    {
        this->events.push({this->time + delay, this->next_sequence++, std::move(action)});
    }
    /// Advances the virtual time to the next action and runs it. The queue must not be empty.
    void run_next()
    {
        auto const next = this->events.top();
        this->events.pop();
        this->time = next.due;
        next.action();
    }

private:
    struct event {
        base::steady_time due;
        std::uint64_t sequence = 0;
        std::function<void()> action;
        /// Inverted, since std::priority_queue returns the greatest element first.
        bool operator<(event const& other) const
        {
            return std::tie(other.due, other.sequence) < std::tie(this->due, this->sequence);
        }
    };

    base::steady_time time {std::chrono::seconds(100)};
    std::uint64_t next_sequence = 0;
    std::priority_queue<event> events;
};

} // namespace greengagehead::policy
