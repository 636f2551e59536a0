// Control core: periodic work of the leader. Removal of lost entries, takeover of their jobs,
// expiry of claims.

#include <algorithm>
#include <chrono>
#include <limits>

#include "base/log_record.h"
#include "control/control_core.h"

namespace greengagehead::control {

namespace {

using base::log_event;
using base::log_record;

constexpr std::chrono::milliseconds takeover_check_interval {100};
/// Notices are repeated until the owner acknowledges them in a renewal. Entries renew every 300 ms;
/// a shorter interval would repeat notices that have already arrived.
constexpr std::chrono::milliseconds notice_interval {500};
constexpr std::chrono::milliseconds expiry_interval {1000};
/// Bounds the time needed to apply one command.
constexpr std::uint32_t max_expiries_per_command = 2000;

/// True at most once per interval; sets `next` to the next due time.
bool due(base::steady_time& next, std::chrono::milliseconds interval, base::steady_time now)
{
    if (now < next)
        return false;
    next = now + interval;
    return true;
}

} // namespace

void control_core::remove_lost_entries(steady_time now)
{
    for (auto const& entry : this->leases.lost_entries(now))
        if (this->pending_removals.insert(entry).second
            && !this->propose(protocol::remove_entry {entry}, now))
            this->pending_removals.erase(entry);
}

/// Assigns a new owner to the jobs of each removed entry, once no agent accepts starts from that
/// entry any more.
void control_core::take_over_orphaned_jobs(steady_time now)
{
    if (!due(this->next_takeover_check_time, takeover_check_interval, now))
        return;
    for (auto const& owner : this->state.claims().running_owners()) {
        auto const& entries = this->state.entries();
        if (entries.live(owner) || this->pending_takeovers.contains(owner))
            continue;
        auto const* past = entries.find_retired(owner);
        auto const removal_view = past != nullptr ? past->retired_in_view : this->state.view();
        auto const fallback = this->choose_fallback_owner();
        if (this->view_in_force < removal_view || fallback.empty())
            continue;
        this->pending_takeovers.insert(owner);
        if (!this->propose(protocol::take_over {owner, fallback}, now))
            this->pending_takeovers.erase(owner);
    }
}

std::string control_core::choose_fallback_owner() const
{
    std::string chosen;
    auto fewest = std::numeric_limits<std::size_t>::max();
    for (auto const& entry : this->state.entries().list()) {
        auto const count = this->state.claims().running_count(entry.id);
        if (count >= fewest)
            continue;
        fewest = count;
        chosen = entry.id.name;
    }
    return chosen;
}

void control_core::send_takeover_notices(steady_time now)
{
    if (this->state.claims().takeover_count() == 0
        || !due(this->next_notice_time, notice_interval, now))
        return;
    for (auto const& owner : this->state.claims().running_owners()) {
        if (!this->state.entries().live(owner))
            continue;
        auto const notice = this->state.claims().taken_over_by(owner);
        if (notice.claims.empty() || this->seen_takeovers[owner] >= notice.sequence)
            continue;
        log_record(log_event::takeover_notified)
            .with("owner", owner.name)
            .with("sequence", notice.sequence)
            .with("jobs", notice.claims.size());
        this->sender.send(owner.name, notice);
    }
}

void control_core::propose_claim_expiry(steady_time now)
{
    auto const wall = this->wall_at(now);
    if (this->claim_expiry_pending || wall <= this->settings.claim_retention
        || !due(this->next_expiry_time, expiry_interval, now))
        return;
    protocol::expire_claims request {wall - this->settings.claim_retention,
                                     wall - this->settings.tombstone_retention,
                                     max_expiries_per_command};
    if (!this->state.has_expirable(request.before, request.tombstones_before))
        return;
    this->claim_expiry_pending = true;
    if (!this->propose(request, now))
        this->claim_expiry_pending = false;
}

} // namespace greengagehead::control
