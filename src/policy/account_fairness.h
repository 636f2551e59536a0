// How far each account is below or above its fair part of what the fleet has served recently, and
// how long its jobs may therefore wait.

#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "protocol/message.h"

namespace greengagehead::policy {

/// Fleet settings of an account.
struct account_limits {
    std::uint32_t weight = 1; ///< Relative to other accounts; at least 1.
    /// Largest part of the served slot time while others wait, 1 to 100.
    std::uint32_t share_percent = 100;
};

/// What an account is allowed while capacity is short.
struct account_standing {
    /// Longest wait relative to that of an account with its fair part: 100 for no difference, 0
    /// when its jobs may not wait at all.
    std::int64_t wait_percent = 100;
    /// Nothing was served to the account recently. Its jobs may wait for their whole slack.
    bool newcomer = false;
};

using limits_lookup = std::function<account_limits(std::string const& account)>;

/// Divides the served slot time among the accounts by weight. No account gets more than it has
/// requested or than its `share_percent`; what it leaves goes to the others by weight. An account
/// that was served less than this fair part may wait longer, one that was served more shorter.
class account_fairness {
public:
    /// Without rows, every account has the standing of one with its fair part.
    account_fairness() = default;
    account_fairness(std::vector<protocol::account_share> const& rows, limits_lookup const& limits);

    [[nodiscard]] account_standing standing(std::string const& account) const;
    /// Fair part of the served slot time; 0 for an account without a row.
    [[nodiscard]] std::chrono::microseconds fair_part(std::string const& account) const;

private:
    struct position {
        double fair = 0; ///< Microseconds of slot time.
        account_standing standing;
    };

    std::map<std::string, position> positions;
};

} // namespace greengagehead::policy
