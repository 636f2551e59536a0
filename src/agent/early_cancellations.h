// Cancellations that arrived before the start message of their attempt.

#pragma once

#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "protocol/message.h"

namespace greengagehead::agent {

/// A cancellation applies only to starts by the same entry, since the next owner of a job may use
/// the same attempt numbers.
class early_cancellations {
public:
    explicit early_cancellations(std::chrono::milliseconds max_age) : retention(max_age) { }

    void add(std::string const& peer, protocol::attempt_ref const& attempt, base::steady_time now);
    [[nodiscard]] bool contains(std::string const& peer, protocol::task_ref const& task,
                                std::uint32_t attempt) const;
    /// Removes cancellations that are past the retention.
    void expire(base::steady_time now);

private:
    struct cancelled_attempt {
        std::string peer;
        std::uint32_t index = 0;
        std::uint32_t attempt = 1;
    };

    std::chrono::milliseconds retention;
    std::map<std::string, std::vector<cancelled_attempt>> by_job; // Oldest first.
    /// Time and job of each cancellation, oldest first.
    std::deque<std::pair<base::steady_time, std::string>> by_time;
};

} // namespace greengagehead::agent
