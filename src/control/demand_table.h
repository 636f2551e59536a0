// Demands of the entries for slots, as their renewals report them, the table of weights that
// follows from them, and the sums of what the accounts had. Soft state of the control leader: the
// entries report again to the next one.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "policy/account_sums.h"
#include "policy/capacity_shares.h"
#include "protocol/message.h"

namespace greengagehead::control {

class demand_table {
public:
    /// Starts a new leadership without demands. The tables of a higher `term` have higher numbers.
    void reset(std::uint64_t term);
    /// Records the demand of a renewal; empty when the entry sends none.
    void record(protocol::process_id const& entry,
                std::optional<protocol::entry_demand> const& demand, base::steady_time now);
    /// Forgets entries that are not in `live`, and issues a new table when one is due.
    void update(std::vector<protocol::live_entry> const& live, base::steady_time now);
    /// Shares for the answer to a renewal with this demand; empty without one.
    [[nodiscard]] std::optional<protocol::capacity_shares>
    answer_to(std::optional<protocol::entry_demand> const& demand, base::steady_time now) const;

private:
    struct known_entry {
        std::optional<protocol::entry_demand> demand;
        base::steady_time first_renewal;
        base::steady_time last_renewal;
        bool had_table = false; ///< It acted on a table at its first renewal.
    };

    [[nodiscard]] policy::share_member member_for(protocol::process_id const& entry,
                                                  base::steady_time now) const;

    std::map<protocol::process_id, known_entry> known;
    policy::share_issuer issuer;
    policy::account_sums accounts; ///< What the accounts had from all entries recently.
};

} // namespace greengagehead::control
