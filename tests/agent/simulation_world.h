// Virtual time, events, random numbers and the trace of one seeded simulation.

#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"

namespace greengagehead::agent::fakes {

class simulation_world {
public:
    using action = std::function<void()>;

    explicit simulation_world(std::uint64_t seed) : random(seed) { }

    void at(base::steady_time time, action due) { this->events.emplace(time, std::move(due)); }
    void after(std::chrono::milliseconds delay, action due)
    {
        this->at(this->now + delay, std::move(due));
    }
    /// Runs the events that are due, in the order of their times.
    void run_due()
    {
        while (!this->events.empty() && this->events.begin()->first <= this->now) {
            auto const due = std::move(this->events.begin()->second);
            this->events.erase(this->events.begin());
            due();
        }
    }

    /// Both bounds are included. The same on every machine, unlike the standard distributions.
    std::uint64_t draw(std::uint64_t low, std::uint64_t high)
    {
        return low + this->random() % (high - low + 1);
    }
    std::chrono::milliseconds draw_time(std::uint64_t low, std::uint64_t high)
    {
        return std::chrono::milliseconds(this->draw(low, high));
    }
    bool chance(std::uint32_t percent) { return this->draw(0, 99) < percent; }

    void note(std::string const& text)
    {
        this->trace.push_back(std::to_string(this->elapsed().count()) + " ms: " + text);
    }
    [[nodiscard]] std::chrono::milliseconds elapsed() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(this->now - this->began);
    }

    base::steady_time const began {std::chrono::hours(1)};
    base::steady_time now {began};
    std::vector<std::string> trace;

private:
    std::mt19937_64 random;
    std::multimap<base::steady_time, action> events;
};

} // namespace greengagehead::agent::fakes
