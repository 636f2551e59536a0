// What each account has requested, received and been refused at this entry, and its standing by
// what it has received from the whole fleet.

#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "policy/account_fairness.h"
#include "policy/admission.h"
#include "policy/target_queue.h"
#include "protocol/message.h"

namespace greengagehead::entry {

/// Accounts that metrics name; the others are summed up.
constexpr std::size_t max_named_accounts = 100;
/// Label of the sum of the accounts that are not named.
constexpr char const* other_accounts = "other";

/// Counters of one account since the start of the process.
struct account_counters {
    std::chrono::microseconds asked {0};
    std::chrono::microseconds served {0};
    std::array<std::uint64_t, policy::refusal_cause_count> refused {};
};

/// Metrics of at most `max_named_accounts` accounts and of the sum of the others.
struct account_metrics {
    std::map<std::string, account_counters> at_entry;
    std::map<std::string, std::size_t> waiting; ///< Waiting tasks at this entry.
    std::map<std::string, protocol::account_share> fleet; ///< Sums of the control leader.
};

/// Memory is bounded: rows of at most `policy::max_accounts` accounts between two renewals, and
/// counters of at most `max_named_accounts` accounts.
class account_usage {
public:
    /// A job of `account` has arrived, whether it is accepted or not.
    void record_asked(std::string const& account, policy::slot_time work, base::steady_time now);
    /// A task of `account` was started.
    void record_served(std::string const& account, policy::slot_time work, base::steady_time now);
    /// An agent has refused a start. The next start of the account is counted without this work.
    void record_refused_start(std::string const& account, policy::slot_time work);
    /// A request was refused. @param account empty if it is not known.
    void record_refusal(std::string const& account, policy::refusal_cause cause);

    /// The largest rows since the last call, at most `policy::max_account_rows`, for a renewal.
    /// Smaller ones remain for the next one.
    [[nodiscard]] std::vector<protocol::account_use> take_rows();
    /// Puts back the rows of a renewal that got no answer, decayed by the time since they were
    /// taken. To be called at most once for the result of each take_rows().
    void restore(std::vector<protocol::account_use> const& rows);
    /// Replaces the sums of the fleet by those of a grant.
    void apply(std::vector<protocol::account_share> const& rows);
    /// Replaces the fleet settings of the accounts; others have the defaults.
    void set_limits(std::map<std::string, policy::account_limits> limits);

    /// Standing of an account by the sums of the last grant. Like that of an account with its fair
    /// part if there was no grant for some time.
    [[nodiscard]] policy::account_standing standing(std::string const& account,
                                                    base::steady_time now) const;

    /// Counters, and the sums of the fleet, of the accounts that are named.
    /// @param waiting waiting tasks by account.
    [[nodiscard]] account_metrics metrics(std::map<std::string, std::size_t> const& waiting) const;
    /// Decays what is not reported yet, and logs the refusals since the last line as
    /// `refusals_counted`, for each reason at most once a second. To be called every 10 ms.
    void tick(base::steady_time now);

private:
    /// Use that has not been reported yet.
    struct pending_use {
        std::chrono::microseconds asked {0};
        std::chrono::microseconds served {0};
        /// Work of refused starts, by which later starts are counted less.
        std::chrono::microseconds credit {0};
    };
    struct refusal_log {
        std::uint64_t count = 0; ///< Since the last line.
        std::string account; ///< Of the latest refusal.
        base::steady_time last_line;
    };

    /// Null if the account cannot be reported: no name, a too long one, or too many accounts.
    pending_use* pending_of(std::string const& account);
    account_counters& counters_of(std::string const& account);
    void decay_pending(base::steady_time now);
    void update_fairness();

    /// Decays as the sums of the leader do, so that use during an outage is not taken for recent.
    std::map<std::string, pending_use> pending;
    base::steady_time decayed_at; ///< Time of the last decay of `pending`.
    /// Time of the latest call with a time; the calls for renewals have none.
    base::steady_time latest;
    base::steady_time taken_at; ///< `latest` at the last take_rows().

    std::vector<protocol::account_share> fleet_rows;
    base::steady_time applied_at; ///< `latest` at the last apply().
    std::map<std::string, policy::account_limits> limits;
    policy::account_fairness fairness;

    /// Invariant: at most `max_named_accounts` names besides `other_accounts`.
    std::map<std::string, account_counters> counters;
    std::array<refusal_log, policy::refusal_cause_count> refusals;
};

} // namespace greengagehead::entry
