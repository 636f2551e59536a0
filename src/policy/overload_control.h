// Decides which requests an entry refuses while its event loop runs behind.

#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

#include "base/clock.h"
#include "policy/loop_delay.h"

namespace greengagehead::policy {

/// Feedback control of the delay of an event loop: while the loop stays late by more than
/// `max_delay`, a part of the requests is to be refused, so that the others are answered in time.
/// Without I/O; not thread-safe.
///
/// A pass of the loop handles what arrived during the one before. The accepted part of the requests
/// is 2^-u. With a load of L times the capacity, log2 of the delay therefore changes by log2(L) - u
/// with each pass. A proportional-integral controller on log2(delay / max_delay) sets u.
class overload_control {
public:
    /// A loop that was late once, or for a shorter time than this in a row, only had a pause.
    static constexpr std::chrono::milliseconds min_late_time {100};

    /// @param max_delay delay that the control aims at; 0 accepts everything.
    explicit overload_control(std::chrono::milliseconds max_delay);

    /// To be called by the timer of the loop every 10 ms.
    void record_tick(base::steady_time now);
    /// Whether any request may have to be refused. Requests need no check otherwise.
    [[nodiscard]] bool behind() const { return this->restriction > 0 || this->late_for_long(); }
    /// Whether a request that is read now is refused.
    /// @param kind requests of one kind are refused at even distances.
    /// @param priority 0 is the highest; requests of lower priorities are refused more often.
    [[nodiscard]] bool refuse_next(std::string const& kind, std::uint32_t priority);
    /// Whether a request that is read now certainly gets no answer within `useful`, counted from
    /// when it was sent. An answer needs two more passes of the loop, one to start the tasks and
    /// one to read their outcome.
    /// @param run_time of its longest task.
    [[nodiscard]] bool misses(std::chrono::microseconds useful, std::chrono::microseconds run_time,
                              base::steady_time now) const;
    /// When the caller of a request that is refused now may return. Varies from call to call, so
    /// that refused callers do not return at the same time.
    [[nodiscard]] std::chrono::seconds next_retry_after();

    /// Part of the requests of this priority that is accepted.
    [[nodiscard]] double accepted_part(std::uint32_t priority) const;
    /// Delay of the loop at the latest tick.
    [[nodiscard]] std::chrono::microseconds delay() const { return this->delays.latest(); }

private:
    /// Lower priorities are treated as the last of these.
    static constexpr std::size_t priority_count = 3;
    static constexpr int min_late_ticks = 2;

    [[nodiscard]] bool late_for_long() const
    {
        return this->late_ticks >= min_late_ticks && this->late_time >= min_late_time;
    }
    /// log2 of the delay relative to the one that is aimed at.
    [[nodiscard]] double excess_of(std::chrono::microseconds delay) const;
    void count_late(std::chrono::microseconds delay);
    void set_restriction(double value);

    std::chrono::microseconds max_delay;
    loop_delay delays;
    base::steady_time last_tick;
    /// Shorter one of the last two delays. A single pause does not show in it.
    std::chrono::microseconds lasting_delay {0};
    int late_ticks = 0; ///< Successive ticks that were late by more than `max_delay`.
    std::chrono::microseconds late_time {0}; ///< Sum of their delays.
    double last_excess = 0; ///< `excess_of` the delay at the latest tick.
    /// log2 of the inverse of the part that is accepted. Invariant: from 0 to `max_restriction`.
    double restriction = 0;
    /// By priority; follows from `restriction`.
    std::array<double, priority_count> accepted_parts {1, 1, 1};
    /// Sum of the accepted parts of the requests of a kind since the last accepted one, from 0 to
    /// 1. Empty while nothing is refused.
    std::unordered_map<std::string, double> credits;
    std::uint64_t retries = 0; ///< Calls of `next_retry_after`.
};

} // namespace greengagehead::policy
