// What each account has requested and received recently, summed over all entries.

#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "protocol/message.h"

namespace greengagehead::policy {

/// Rows in one message of an entry; the largest ones.
constexpr std::size_t max_account_rows = 64;
/// Longer names of accounts are not counted.
constexpr std::size_t max_account_name_bytes = 128;
/// Accounts with a sum. A further one replaces the account with the smallest sum.
constexpr std::size_t max_accounts = 1'000;
/// After this time without use, half of a sum is left.
constexpr std::chrono::seconds account_half_life {5};

/// Part of a sum that is left after `elapsed`: 1 for no time.
[[nodiscard]] double remaining_part(std::chrono::microseconds elapsed);

/// Exponentially decaying sums, held by the control leader. They are soft state: a new leader
/// starts with none and has them again after one renewal of each entry.
class account_sums {
public:
    /// Adds the rows of one renewal. Rows beyond `max_account_rows`, rows with an empty or too long
    /// name and negative times are ignored.
    void record(std::vector<protocol::account_use> const& rows, base::steady_time now);

    /// Sums of the accounts that have at least 1 ms of slot time left, by name.
    [[nodiscard]] std::vector<protocol::account_share> shares(base::steady_time now) const;

    /// Accounts in memory, at most `max_accounts`.
    [[nodiscard]] std::size_t size() const { return this->sums.size(); }

private:
    /// Slot time in microseconds at `sums_time`.
    struct sum {
        double asked = 0;
        double served = 0;
    };

    void decay_to(base::steady_time now);
    void drop_smallest();

    std::map<std::string, sum> sums;
    base::steady_time sums_time; ///< All sums are decayed up to this time.
};

} // namespace greengagehead::policy
