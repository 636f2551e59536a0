// Division of the slots among entries by demand: which table of weights the control leader issues,
// and which part an entry may count on while a table is being replaced.
//
// Every table is applied by every live entry before it is settled, and an entry never counts on
// more than its part in the last table that it knows to be settled. All parts in use therefore fit
// into one table, and no slot is counted by two entries. See docs/design/capacity-shares.md.

#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "policy/endpoint_table.h"
#include "protocol/message.h"

namespace greengagehead::policy {

/// Sum of the weights of a table.
constexpr std::uint32_t share_units = 1000;
/// An entry keeps at least an equal part divided by this, because demand varies within a renewal.
constexpr std::uint32_t min_part_divisor = 4;
/// A weight that changes by less than an equal part divided by this gives no new table.
constexpr std::uint32_t dead_band_divisor = 10;
/// Shortest time between two tables: one renewal of the entries.
constexpr std::chrono::milliseconds table_interval {300};
/// An entry that has been silent for longer may be lost. No table is issued then, because it could
/// not be settled, and the slots that it moves would stay unused. Two renewals, and their delay.
constexpr std::chrono::milliseconds renewal_silence {700};

/// A live entry as the control leader knows it.
struct share_member {
    std::string name;
    bool renewed = false; ///< It has renewed its lease at this leader.
    bool sends_demand = false; ///< The last renewal had a demand.
    /// The demand covers a whole averaging time. Otherwise the mean of the others is assumed.
    bool demand_settled = false;
    std::chrono::microseconds arriving {0}; ///< Slot time per second.
    std::uint64_t applied_table = 0;
    base::steady_time renewed_at;
};

/// Returns the weights for the members, in their order: proportional to the demands, but at least
/// the minimum part. Equal when there is no demand. They add up to `share_units`.
[[nodiscard]] std::vector<std::uint32_t>
weights_by_demand(std::vector<share_member> const& members);

/// An entry that uses an endpoint.
struct weighted_user {
    std::string const* name = nullptr; ///< Not null.
    std::uint32_t weight = 0;
};

/// Returns the part of `users[self]` in `slots` by the largest remainder method; ties go to the
/// lower name. All entries compute the same parts, which add up to `slots`.
[[nodiscard]] std::uint32_t part_of(std::vector<weighted_user> const& users, std::size_t self,
                                    std::uint32_t slots);

/// The tables of one leadership. Owned by the control leader; soft state.
class share_issuer {
public:
    /// Starts a leadership without a table. Its tables have numbers above `number_base`, which must
    /// exceed all numbers of earlier leaders.
    void reset(std::uint64_t number_base);
    /// Settles the last table if all `members`, the live entries, have applied it, and issues the
    /// next one if it is due. Returns whether a table was issued.
    bool update(std::vector<share_member> const& members, base::steady_time now);
    /// The last table, without the rows of accounts. Before the first one, `settled` is the highest
    /// table that an entry has applied, so that a new entry knows that equal parts are taken.
    [[nodiscard]] protocol::capacity_shares const& current() const { return this->table; }

private:
    void settle(std::vector<share_member> const& members);
    [[nodiscard]] bool due(std::vector<share_member> const& members, base::steady_time now) const;
    [[nodiscard]] bool differs(std::vector<share_member> const& members,
                               std::vector<std::uint32_t> const& weights) const;

    std::uint64_t last_number = 0;
    base::steady_time issued_at;
    bool equal_parts = false; ///< The last table is equal because an entry has not the setting.
    protocol::capacity_shares table;
};

/// The tables that one entry acts on.
class share_follower {
public:
    /// Applies the shares of a grant; empty when the leader does not divide the slots. Returns
    /// whether the tables in use have changed.
    bool on_grant(std::optional<protocol::capacity_shares> const& shares);
    /// The tables in use, the newest last, for `endpoint_table::set_entries`. An empty table gives
    /// the entry no part.
    /// @param live names of the live entries, for equal parts.
    /// @param lease_valid without a lease, the part is at most the equal one.
    [[nodiscard]] std::vector<entry_shares> in_use(std::vector<std::string> const& live,
                                                   bool lease_valid) const;
    /// Number of the newest table; 0 without one.
    [[nodiscard]] std::uint64_t applied() const;
    /// Whether the newest table is known to be settled.
    [[nodiscard]] bool settled() const;
    /// Weight of `entry` in the newest table; empty without one.
    [[nodiscard]] std::optional<std::uint32_t> weight_of(std::string const& entry) const;

private:
    struct known_table {
        std::uint64_t number = 0;
        entry_shares shares;
    };
    /// What the parts were before the oldest table in `tables`.
    enum class base_parts : std::uint8_t {
        unknown, ///< Others may count on everything, so this entry counts on nothing.
        equal,
        replaced, ///< The oldest table is settled.
    };

    void append(protocol::capacity_shares const& shares);
    void record_settled(std::uint64_t number);

    base_parts base = base_parts::unknown;
    /// The last table known to be settled, if any, and all later ones, oldest first. Each of them
    /// limits the part, because it may have been settled without this entry knowing.
    std::vector<known_table> tables;
};

} // namespace greengagehead::policy
