// Virtual time of the loops in this folder: runs actions in the order of their times.

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

/// Actions of the same time run in the order in which they were added.
class event_queue {
public:
    [[nodiscard]] base::steady_time now() const { return this->time; }
    [[nodiscard]] bool empty() const { return this->events.empty(); }

    void after(std::chrono::microseconds delay, std::function<void()> action)
    {
        this->events.push({this->time + delay, this->count++, std::move(action)});
    }
    /// Moves the time to the next action and runs it. There must be one.
    void run_next()
    {
        auto const next = this->events.top();
        this->events.pop();
        this->time = next.at;
        next.action();
    }

private:
    struct event {
        base::steady_time at;
        std::uint64_t order = 0;
        std::function<void()> action;
        bool operator<(event const& other) const
        {
            return std::tie(other.at, other.order) < std::tie(this->at, this->order);
        }
    };

    base::steady_time time {std::chrono::seconds(100)};
    std::uint64_t count = 0;
    std::priority_queue<event> events;
};

} // namespace greengagehead::policy
