// Lease stamps of the entries and the part of the view that the agent acts on.

#pragma once

#include <chrono>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "protocol/message.h"

namespace greengagehead::agent {

/// Invariant: `known` never exceeds `highest`, and neither ever falls.
class lease_book {
public:
    /// Stamps that expire later than `longest_lease` from now are not plausible: they come from
    /// another clock, for example that of this agent before its VM was restarted.
    explicit lease_book(std::chrono::milliseconds longest_lease) : longest_lease(longest_lease) { }

    /// Remembers a stamp. A higher view than the highest seen fences all lower ones at once.
    void note(protocol::lease_stamp const& stamp, base::steady_time now);
    /// Remembers the stamp and adopts the view. Returns true when the view was new.
    bool note(protocol::lease_update const& update, base::steady_time now);

    /// Latest stamp of one life of an entry.
    [[nodiscard]] std::optional<protocol::lease_stamp>
    latest(protocol::process_id const& entry) const;

    [[nodiscard]] bool valid(protocol::lease_stamp const& stamp, base::steady_time now) const;
    [[nodiscard]] bool live(protocol::process_id const& entry) const;
    [[nodiscard]] bool zone_out(std::string const& zone) const;
    [[nodiscard]] bool draining(std::string const& endpoint) const;

    /// Highest view named by any stamp. Stamps of lower views are refused.
    [[nodiscard]] protocol::view_number highest_view() const { return this->highest; }
    /// View whose zones, endpoints and entries are known here. Starts need it to be the highest.
    [[nodiscard]] protocol::view_number known_view() const { return this->known; }

private:
    std::chrono::milliseconds longest_lease;
    std::vector<protocol::lease_stamp> stamps; // Unexpired, at most one per life of an entry.
    protocol::view_number highest = 0;
    protocol::view_number known = 0;
    std::set<std::string> zones_out; // Of view `known`, like the following two.
    std::set<std::string> draining_endpoints;
    std::vector<protocol::process_id> live_entries;
};

} // namespace greengagehead::agent
