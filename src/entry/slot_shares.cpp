// Demand and part of this entry.

#include "entry/slot_shares.h"

#include <algorithm>
#include <utility>

#include "base/log_record.h"
#include "entry/entry_core.h"
#include "policy/endpoint_table.h"

namespace greengagehead::entry {

slot_shares::slot_shares(entry_settings const& settings, policy::endpoint_table& endpoints)
    : settings(settings), endpoints(endpoints)
{
}

void slot_shares::record_arrival(std::chrono::microseconds slot_time, base::steady_time now)
{
    this->arrivals.add(slot_time, now);
}

std::optional<protocol::entry_demand> slot_shares::demand(base::steady_time now) const
{
    auto const has_accounts = static_cast<bool>(this->account_uses);
    if (!this->settings.share_by_demand && !has_accounts)
        return std::nullopt;
    protocol::entry_demand current;
    current.arriving = this->arrivals.per_second(now);
    current.applied_table = this->follower.applied();
    current.shares_slots = this->settings.share_by_demand;
    if (has_accounts)
        current.accounts = this->account_uses();
    return current;
}

void slot_shares::on_grant(protocol::grant_lease const& grant)
{
    if (grant.expires_at <= this->newest_lease_end)
        return;
    this->newest_lease_end = grant.expires_at;
    auto const& shares = grant.shares;
    if (shares) {
        this->latest_shares = shares;
        this->shares_received.emit(*shares);
    }
    if (!this->settings.share_by_demand)
        return;
    auto const before = this->follower.applied();
    if (!this->follower.on_grant(shares))
        return;
    this->apply();
    if (this->follower.applied() == before)
        return;
    ++this->changes;
    base::log_record(base::log_event::shares_applied)
        .with("table", this->follower.applied())
        .with("weight", this->follower.weight_of(this->settings.id.name).value_or(0))
        .with("entries", this->latest_shares->entries.size());
}

void slot_shares::on_view(std::vector<std::string> live)
{
    this->live_entries = std::move(live);
    // The others divide the slots without an entry that has been removed, also after it has joined
    // again.
    auto const& names = this->live_entries;
    if (std::find(names.begin(), names.end(), this->settings.id.name) == names.end())
        this->follower = {};
    this->apply();
}

void slot_shares::set_lease_valid(bool valid)
{
    if (std::exchange(this->lease_valid, valid) != valid && this->settings.share_by_demand)
        this->apply();
}

void slot_shares::apply()
{
    auto const& self = this->settings.id.name;
    if (this->settings.share_by_demand)
        this->endpoints.set_entries(this->follower.in_use(this->live_entries, this->lease_valid),
                                    self);
    else
        this->endpoints.set_entries(this->live_entries, self);
}

share_status slot_shares::status(base::steady_time now) const
{
    return {this->settings.share_by_demand,
            this->follower.applied(),
            this->follower.settled(),
            this->follower.weight_of(this->settings.id.name).value_or(0),
            this->arrivals.per_second(now),
            this->changes};
}

} // namespace greengagehead::entry
