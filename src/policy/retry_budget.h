// Limits extra attempts to a percentage of first attempts, so that failures do not multiply the
// load.

#pragma once

#include <cstdint>

namespace greengagehead::policy {

class retry_budget {
public:
    /// @param percent extra attempts allowed per hundred first attempts.
    /// @param reserve extra attempts allowed before any first attempt, so that small workloads can
    /// retry.
    retry_budget(std::uint32_t percent, std::uint32_t reserve);

    void record_first_attempt();
    /// Takes one extra attempt from the budget. Returns false when the budget is exhausted.
    [[nodiscard]] bool try_take();
    void set_percent(std::uint32_t percent);

private:
    [[nodiscard]] std::int64_t max_balance() const;

    std::int64_t percent;
    std::int64_t reserve;
    /// Budget in hundredths of an attempt, between 0 and `max_balance()`.
    std::int64_t balance;
};

} // namespace greengagehead::policy
