// Clock of a world that is simulated in steps of one millisecond.

#pragma once

#include <chrono>
#include <functional>

#include "base/clock.h"

namespace greengagehead::test {

class virtual_time {
public:
    virtual_time() = default;
    virtual ~virtual_time() = default;
    virtual_time(virtual_time const&) = delete;
    virtual_time& operator=(virtual_time const&) = delete;

    void run(std::chrono::milliseconds time)
    {
        this->run_until([] { return false; }, time);
    }

    /// Advances until `condition` holds, at most for `limit`.
    bool run_until(std::function<bool()> const& condition, std::chrono::milliseconds limit)
    {
        for (auto const end = this->now + limit; this->now < end;
             this->now += std::chrono::milliseconds(1)) {
            if (condition())
                return true;
            this->step();
        }
        return condition();
    }

    base::steady_time now {std::chrono::hours(1)};

protected:
    /// What happens at `now`.
    virtual void step() = 0;
};

} // namespace greengagehead::test
