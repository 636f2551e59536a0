// Periodic work of the leader: removal of lost entries, takeover of their jobs, expiry of claims.

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
/// Notices are repeated until the owner has seen them; an entry renews every 300 ms, so that a
/// shorter interval would repeat notices that have arrived.
constexpr std::chrono::milliseconds notice_interval {500};
constexpr std::chrono::milliseconds expiry_interval {1000};
/// Bounds the time that applying one command takes.
constexpr std::uint32_t expiry_batch = 2000;

bool due(base::steady_time& next, std::chrono::milliseconds interval, base::steady_time now)
{
    if (now < next)
        return false;
    next = now + interval;
    return true;
}

} // namespace

void control_core::remove_lost(steady_time now)
{
    for (auto const& entry : this->leases.lost(now))
        if (this->removing.insert(entry).second
            && !this->propose(protocol::remove_entry {entry}, now))
            this->removing.erase(entry);
}

/// Moves the jobs of owners that are gone, once no agent accepts starts from them any more.
void control_core::take_over_orphans(steady_time now)
{
    if (!due(this->next_takeover_check, takeover_check_interval, now))
        return;
    for (auto const& owner : this->state.claims().running_owners()) {
        auto const& entries = this->state.entries();
        if (entries.live(owner) || this->taking_over.contains(owner))
            continue;
        auto const* past = entries.find_past(owner);
        auto const gone_in = past != nullptr ? past->gone_in : this->state.view();
        auto const fallback = this->choose_fallback();
        if (this->in_force < gone_in || fallback.empty())
            continue;
        this->taking_over.insert(owner);
        if (!this->propose(protocol::take_over {owner, fallback}, now))
            this->taking_over.erase(owner);
    }
}

/// Live entry with the fewest running jobs; empty for none.
std::string control_core::choose_fallback() const
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

void control_core::notify_owners(steady_time now)
{
    if (this->state.claims().takeover_count() == 0 || !due(this->next_notice, notice_interval, now))
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

void control_core::expire(steady_time now)
{
    auto const wall = this->wall_at(now);
    if (this->expiring || wall <= this->settings.claim_retention
        || !due(this->next_expiry, expiry_interval, now))
        return;
    protocol::expire_claims request {wall - this->settings.claim_retention,
                                     wall - this->settings.tombstone_retention, expiry_batch};
    if (!this->state.expirable(request.before, request.tombstones_before))
        return;
    this->expiring = true;
    if (!this->propose(request, now))
        this->expiring = false;
}

} // namespace greengagehead::control
