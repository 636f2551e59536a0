// Leases that this leader has granted. They determine which view is in force and which entries are
// lost.

#pragma once

#include <chrono>
#include <map>
#include <vector>

#include "base/clock.h"
#include "protocol/message.h"

namespace greengagehead::control {

struct lease_settings {
    std::chrono::milliseconds duration {1500};
    /// Time between the end of a lease and the loss of its entry.
    std::chrono::milliseconds loss_timeout {1000};
    /// Upper bound of how much slower the clock of an entry may run than that of this member.
    std::uint32_t clock_drift_percent = 1;
};

class lease_table {
public:
    explicit lease_table(lease_settings settings);

    /// Starts a new leadership. The leases of the previous leader are unknown: for one full lease
    /// duration, no view is in force and none of the `live` entries is lost.
    void reset(std::vector<protocol::process_id> const& live, base::steady_time now);
    /// Adds an entry that has become live; its renewals are expected from now on.
    void add(protocol::process_id const& entry, base::steady_time now);
    /// Marks entries that are not in `live` as removed. Their leases count until they expire.
    void update_live(std::vector<protocol::live_entry> const& live);

    /// Records a renewal. False when it is not newer than an earlier one: it is delayed or a
    /// duplicate and must be ignored.
    bool record_renewal(protocol::process_id const& entry, base::clock_reading entry_clock,
                        protocol::view_number settled_view);
    /// Records a new lease and returns its end in the entry's clock.
    base::clock_reading grant(protocol::process_id const& entry, base::clock_reading entry_clock,
                              protocol::view_number view, base::steady_time now);

    /// Highest view, at most `current`, for which it is certain that no entry or agent acts on a
    /// lower one. Drops expired leases.
    [[nodiscard]] protocol::view_number view_in_force(protocol::view_number current,
                                                      base::steady_time now);
    /// Live entries without a valid lease for longer than the loss timeout.
    [[nodiscard]] std::vector<protocol::process_id> lost_entries(base::steady_time now) const;

private:
    struct lease_holder {
        bool live = true;
        /// Entry clock of the newest renewal.
        base::clock_reading last_entry_clock {base::clock_reading::min()};
        protocol::view_number settled_view = 0;
        /// Latest end of the last lease in this member's clock. Before the first grant, one lease
        /// duration after the entry became live.
        base::steady_time lease_end;
        /// Unexpired leases: for each view, the end of its last lease.
        std::map<protocol::view_number, base::steady_time> leases;
    };

    [[nodiscard]] base::steady_time latest_lease_end(base::steady_time start) const;
    static void remove_expired_leases(lease_holder& holder, base::steady_time now);

    lease_settings settings;
    std::map<protocol::process_id, lease_holder> holders;
    /// No lease that the previous leader granted ends later.
    base::steady_time predecessor_lease_end;
    /// Never decreases during a leadership, because leases are only granted on the current view.
    protocol::view_number highest_in_force = 0;
};

} // namespace greengagehead::control
