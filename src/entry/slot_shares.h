// The part of this entry in the slots: measures its demand, which renewals report to the control
// leader, and applies the tables of weights that the leader grants. See
// docs/design/capacity-shares.md.

#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <sigc++/signal.h>

#include "base/clock.h"
#include "policy/capacity_shares.h"
#include "policy/demand_meter.h"
#include "protocol/message.h"

namespace greengagehead::policy {
class endpoint_table;
} // namespace greengagehead::policy

namespace greengagehead::entry {

struct entry_settings;

/// State of the shares, for operators.
struct share_status {
    bool enabled = false;
    std::uint64_t table = 0; ///< Number of the newest table; 0 for none.
    bool settled = false;
    std::uint32_t weight = 0; ///< Of this entry in the newest table, in parts of 1,000.
    std::chrono::microseconds arriving {0}; ///< Slot time per second.
    std::uint64_t changes = 0; ///< Tables applied since the start of the process.
};

class slot_shares {
public:
    slot_shares(entry_settings const& settings, policy::endpoint_table& endpoints);

    /// Records the work of a job that has arrived, whether it is admitted or refused.
    void record_arrival(std::chrono::microseconds slot_time, base::steady_time now);
    /// Demand for the next renewal; empty unless a setting asks for shares.
    [[nodiscard]] std::optional<protocol::entry_demand> demand(base::steady_time now) const;
    /// Applies the answer to a renewal. An answer that is older than the last one is ignored.
    void on_grant(protocol::grant_lease const& grant);
    /// Applies the names of the live entries.
    void on_view(std::vector<std::string> live);
    /// Limits the part while there is no lease.
    void set_lease_valid(bool valid);

    /// The shares of the last grant, with the rows of accounts; empty before the first one.
    [[nodiscard]] std::optional<protocol::capacity_shares> const& latest() const
    {
        return this->latest_shares;
    }
    [[nodiscard]] share_status status(base::steady_time now) const;

    /// Supplies the rows of accounts of the next renewal; may be empty.
    std::function<std::vector<protocol::account_use>()> account_uses;
    /// A renewal with a demand was answered.
    sigc::signal<void(protocol::capacity_shares const&)> shares_received;

private:
    void apply();

    entry_settings const& settings;
    policy::endpoint_table& endpoints;
    policy::demand_meter arrivals;
    policy::share_follower follower;
    std::optional<protocol::capacity_shares> latest_shares;
    base::clock_reading newest_lease_end {0}; ///< Of the last grant.
    std::vector<std::string> live_entries;
    bool lease_valid = false;
    std::uint64_t changes = 0;
};

} // namespace greengagehead::entry
