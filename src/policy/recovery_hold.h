// Decides whether a request waits for state that the entry is recovering, or is refused.

#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

#include "base/clock.h"

namespace greengagehead::policy {

struct recovery_hold_limits {
    /// Longest time that a recovery is expected to take; 0 holds no request.
    std::chrono::milliseconds max_recovery {0};
    std::size_t max_bytes = 4UL << 20U; ///< All held requests together.
};

/// A request that lacks state of the entry.
struct hold_request {
    base::steady_time deadline; ///< Later answers are of no use to the caller.
    std::chrono::microseconds run_time {0}; ///< Expected, of its longest task.
    std::size_t bytes = 0;
};

enum class hold_verdict : std::uint8_t {
    hold,
    not_recovering, ///< The state is not expected to come back soon.
    too_little_time, ///< The request cannot end by its deadline after the recovery.
    no_memory, ///< The bytes of the held requests reach their limit.
};

struct hold_decision {
    hold_verdict verdict = hold_verdict::not_recovering;
    base::steady_time until; ///< With `hold`: the request is then continued or refused.
};

/// Knows when the entry recovers its state: after its start, and after the loss of its last usable
/// endpoint. Learns how long recoveries take. Not thread-safe.
class recovery_hold {
public:
    using steady_time = base::steady_time;

    recovery_hold(recovery_hold_limits initial_limits, steady_time started);

    /// To be called regularly.
    /// @param complete whether the entry has its configuration and a usable endpoint.
    void record_state(bool complete, steady_time now);

    /// Whether requests may be held now.
    [[nodiscard]] bool recovering(steady_time now) const;
    /// When the state is expected to be back; never before `now`. Only while recovering.
    [[nodiscard]] steady_time expected_end(steady_time now) const;
    /// @param bytes_held of the requests that are held already.
    [[nodiscard]] hold_decision decide(hold_request const& request, std::size_t bytes_held,
                                       steady_time now) const;

private:
    static constexpr std::size_t learned_recoveries = 4;

    [[nodiscard]] steady_time latest_end() const;
    [[nodiscard]] std::chrono::milliseconds longest_learned() const;
    void learn(std::chrono::milliseconds duration);

    recovery_hold_limits limits;
    steady_time began; ///< Start of the latest recovery.
    bool complete = false; ///< The latest recovery has ended.
    std::array<std::chrono::milliseconds, learned_recoveries> learned {}; ///< 0: none yet.
    std::size_t next_learned = 0;
};

} // namespace greengagehead::policy
