// Demands of the entries and the table of weights.

#include "control/demand_table.h"

#include <algorithm>

#include "base/log_record.h"
#include "policy/demand_meter.h"

namespace greengagehead::control {

namespace {

/// Numbers of a leadership: the term above, the tables of the term below.
constexpr unsigned term_shift = 32;

bool shares_slots(std::optional<protocol::entry_demand> const& demand)
{
    return demand && demand->shares_slots;
}

} // namespace

void demand_table::reset(std::uint64_t term)
{
    this->known.clear();
    this->issuer.reset(term << term_shift);
    this->accounts = {};
}

void demand_table::record(protocol::process_id const& entry,
                          std::optional<protocol::entry_demand> const& demand,
                          base::steady_time now)
{
    auto const [found, added] = this->known.try_emplace(entry);
    auto& state = found->second;
    if (added) {
        state.first_renewal = now;
        state.had_table = demand && demand->applied_table != 0;
    }
    state.last_renewal = now;
    state.demand = demand;
    if (demand)
        this->accounts.record(demand->accounts, now);
}

void demand_table::update(std::vector<protocol::live_entry> const& live, base::steady_time now)
{
    bool const unused = std::none_of(this->known.begin(), this->known.end(), [](auto const& item) {
        return shares_slots(item.second.demand);
    });
    if (unused)
        return;
    std::erase_if(this->known, [&live](auto const& item) {
        return std::none_of(live.begin(), live.end(),
                            [&item](auto const& entry) { return entry.id == item.first; });
    });
    std::vector<policy::share_member> members;
    members.reserve(live.size());
    for (auto const& entry : live)
        members.push_back(this->member_for(entry.id, now));
    if (this->issuer.update(members, now))
        base::log_record(base::log_event::shares_issued)
            .with("table", this->issuer.current().number)
            .with("entries", members.size());
}

policy::share_member demand_table::member_for(protocol::process_id const& entry,
                                              base::steady_time now) const
{
    policy::share_member member;
    member.name = entry.name;
    auto const found = this->known.find(entry);
    if (found == this->known.end())
        return member;
    auto const& state = found->second;
    member.renewed = true;
    member.renewed_at = state.last_renewal;
    member.sends_demand = shares_slots(state.demand);
    if (!member.sends_demand)
        return member;
    member.demand_settled
        = state.had_table || now - state.first_renewal >= policy::demand_averaging_time;
    member.arriving = std::max(state.demand->arriving, std::chrono::microseconds(0));
    member.applied_table = state.demand->applied_table;
    return member;
}

std::optional<protocol::capacity_shares>
demand_table::answer_to(std::optional<protocol::entry_demand> const& demand,
                        base::steady_time now) const
{
    if (!demand)
        return std::nullopt;
    auto answer = demand->shares_slots ? this->issuer.current() : protocol::capacity_shares {};
    answer.accounts = this->accounts.shares(now);
    return answer;
}

} // namespace greengagehead::control
