// Lease stamps of the entries, and the part of the view that the agent acts on.

#pragma once

#include <chrono>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "protocol/message.h"

namespace greengagehead::agent {

/// Invariant: `adopted` never exceeds `highest_seen`, and neither ever decreases.
class entry_leases {
public:
    /// Stamps that expire later than `max_lease` from now are invalid: they were made with another
    /// clock, for example that of this agent before its VM was restarted.
    explicit entry_leases(std::chrono::milliseconds max_lease) : max_lease(max_lease) { }

    /// Records a stamp. A view above the highest one seen so far fences all lower views at once.
    void record(protocol::lease_stamp const& stamp, base::steady_time now);
    /// Records the stamp and adopts the view. Returns true if the view was new.
    bool record(protocol::lease_update const& update, base::steady_time now);

    /// Latest stamp of one incarnation of an entry.
    [[nodiscard]] std::optional<protocol::lease_stamp>
    latest(protocol::process_id const& entry) const;

    [[nodiscard]] bool valid(protocol::lease_stamp const& stamp, base::steady_time now) const;
    [[nodiscard]] bool live(protocol::process_id const& entry) const;
    [[nodiscard]] bool zone_out(std::string const& zone) const;
    [[nodiscard]] bool draining(std::string const& endpoint) const;

    /// Highest view named by any stamp. Stamps of lower views are refused.
    [[nodiscard]] protocol::view_number highest_view() const { return this->highest_seen; }
    /// View whose zones, endpoints and entries apply here. Starts require it to be the highest one.
    [[nodiscard]] protocol::view_number adopted_view() const { return this->adopted; }

private:
    std::chrono::milliseconds max_lease;
    std::vector<protocol::lease_stamp> stamps; // Unexpired, at most one per entry incarnation.
    protocol::view_number highest_seen = 0;
    protocol::view_number adopted = 0;
    std::set<std::string> zones_out; // Of the adopted view, like the following two members.
    std::set<std::string> draining_endpoints;
    std::vector<protocol::process_id> live_entries;
};

} // namespace greengagehead::agent
