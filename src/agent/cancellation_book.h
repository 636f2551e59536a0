// Cancellations that arrived ahead of the start message they are for.

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

/// A cancellation counts for starts by the same entry only: the next owner of a job may use the
/// same attempt numbers.
class cancellation_book {
public:
    explicit cancellation_book(std::chrono::milliseconds kept_for) : retention(kept_for) { }

    void add(std::string const& peer, protocol::attempt_ref const& attempt, base::steady_time now);
    [[nodiscard]] bool contains(std::string const& peer, protocol::task_ref const& task,
                                std::uint32_t attempt) const;
    /// Forgets what is past the retention.
    void expire(base::steady_time now);

private:
    struct cancelled_attempt {
        std::string peer;
        std::uint32_t index = 0;
        std::uint32_t attempt = 1;
    };

    std::chrono::milliseconds retention;
    std::map<std::string, std::vector<cancelled_attempt>> by_job; // Oldest first.
    std::deque<std::pair<base::steady_time, std::string>> order; // One per cancellation.
};

} // namespace greengagehead::agent
