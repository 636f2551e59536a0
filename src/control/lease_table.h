// Leases that this leader has granted, and what follows from them: which view is in force, and
// which entries are lost.

#pragma once

#include <chrono>
#include <map>
#include <vector>

#include "base/clock.h"
#include "protocol/message.h"

namespace greengagehead::control {

struct lease_terms {
    std::chrono::milliseconds duration {1500};
    std::chrono::milliseconds loss_timeout {1000};
    std::uint32_t drift_percent = 1;
};

class lease_table {
public:
    explicit lease_table(lease_terms terms);

    /// Begins a leadership. Leases of the predecessor are unknown, so that until a whole lease has
    /// passed, no view is in force and none of the `live` entries is lost.
    void start(std::vector<protocol::process_id> const& live, base::steady_time now);
    /// Starts to expect renewals of an entry that has become live.
    void add(protocol::process_id const& entry, base::steady_time now);
    /// Entries not in `live` are gone. Their leases count until they have expired.
    void keep_only_live(std::vector<protocol::live_entry> const& live);

    /// Notes a renewal. False when it is not newer than one seen before: it arrived late or twice
    /// and must be ignored.
    bool hear(protocol::process_id const& entry, base::clock_reading entry_clock,
              protocol::view_number settled);
    /// Notes a grant, and returns its end in the entry's clock.
    base::clock_reading grant(protocol::process_id const& entry, base::clock_reading entry_clock,
                              protocol::view_number view, base::steady_time now);

    /// Highest view up to `current` of which is certain that nobody acts on a lower one.
    [[nodiscard]] protocol::view_number in_force(protocol::view_number current,
                                                 base::steady_time now);
    /// Live entries without a valid lease for longer than the loss timeout.
    [[nodiscard]] std::vector<protocol::process_id> lost(base::steady_time now) const;

private:
    struct holder {
        bool live = true;
        base::clock_reading last_clock {base::clock_reading::min()};
        protocol::view_number settled = 0;
        /// End of the last lease in this member's clock, or when the entry became live.
        base::steady_time lease_end;
        /// Unexpired leases: the end of the last one per view.
        std::map<protocol::view_number, base::steady_time> leases;
    };

    [[nodiscard]] base::steady_time end_of_lease(base::steady_time start) const;
    static void expire(holder& target, base::steady_time now);

    lease_terms terms;
    std::map<protocol::process_id, holder> holders;
    base::steady_time predecessor_end;
    /// Never goes down during a leadership, because leases are granted on the current view only.
    protocol::view_number reached = 0;
};

} // namespace greengagehead::control
