// Weights by demand, and the way from one table to the next.

#include "policy/capacity_shares.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace greengagehead::policy {

namespace {

using std::chrono::microseconds;

/// Tables that an entry keeps while none of them is known to be settled. Only changes of the leader
/// add more than one; with more of them, the entry counts on nothing until one is settled.
constexpr std::size_t max_unsettled_tables = 4;

/// Rounds `exact`, whose sum is `total`, to whole numbers with the same sum.
std::vector<std::uint32_t> round_to_sum(std::vector<double> const& exact, std::uint32_t total)
{
    std::vector<std::uint32_t> rounded;
    rounded.reserve(exact.size());
    for (auto const value : exact)
        rounded.push_back(static_cast<std::uint32_t>(value));
    std::vector<std::size_t> order(exact.size());
    std::iota(order.begin(), order.end(), 0U);
    std::stable_sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
        return exact[left] - rounded[left] > exact[right] - rounded[right];
    });
    auto missing = total - std::accumulate(rounded.begin(), rounded.end(), 0U);
    for (std::size_t index = 0; missing > 0 && !order.empty(); ++index, --missing)
        ++rounded[order[index % order.size()]];
    return rounded;
}

/// The demands, with the mean of the settled ones for members whose own is not settled.
std::vector<double> assumed_demands(std::vector<share_member> const& members)
{
    double sum = 0;
    std::size_t count = 0;
    for (auto const& member : members) {
        sum += member.demand_settled ? static_cast<double>(member.arriving.count()) : 0;
        count += member.demand_settled ? 1 : 0;
    }
    auto const mean = count == 0 ? 0 : sum / static_cast<double>(count);
    std::vector<double> demands;
    demands.reserve(members.size());
    for (auto const& member : members)
        demands.push_back(member.demand_settled ? static_cast<double>(member.arriving.count())
                                                : mean);
    return demands;
}

/// Divides 1 in proportion to `demands`, of which not all are 0; no part is below `smallest`.
std::vector<double> divide(std::vector<double> const& demands, double smallest)
{
    std::vector<bool> raised(demands.size(), false);
    std::vector<double> parts(demands.size(), smallest);
    for (bool changed = true; changed;) {
        changed = false;
        double rest = 1;
        double demand = 0;
        for (std::size_t index = 0; index < demands.size(); ++index) {
            rest -= raised[index] ? smallest : 0;
            demand += raised[index] ? 0 : demands[index];
        }
        for (std::size_t index = 0; index < demands.size(); ++index) {
            if (raised[index])
                continue;
            parts[index] = demand > 0 ? rest * demands[index] / demand : smallest;
            if (parts[index] >= smallest)
                continue;
            parts[index] = smallest;
            raised[index] = true;
            changed = true;
        }
    }
    return parts;
}

bool all_send_demand(std::vector<share_member> const& members)
{
    return std::all_of(members.begin(), members.end(),
                       [](share_member const& member) { return member.sends_demand; });
}

std::uint64_t highest_applied(std::vector<share_member> const& members)
{
    std::uint64_t highest = 0;
    for (auto const& member : members)
        highest = std::max(highest, member.applied_table);
    return highest;
}

} // namespace

std::vector<std::uint32_t> weights_by_demand(std::vector<share_member> const& members)
{
    auto demands = assumed_demands(members);
    auto const count = static_cast<double>(members.size());
    // An entry without the setting uses an equal part whatever the table says.
    bool const proportional = all_send_demand(members)
        && std::any_of(demands.begin(), demands.end(), [](double demand) { return demand > 0; });
    if (!proportional)
        demands.assign(members.size(), 1);
    auto parts = divide(demands, 1 / count / min_part_divisor);
    for (auto& part : parts)
        part *= share_units;
    return round_to_sum(parts, members.empty() ? 0 : share_units);
}

std::uint32_t part_of(std::vector<weighted_user> const& users, std::size_t self,
                      std::uint32_t slots)
{
    std::uint64_t total = 0;
    for (auto const& user : users)
        total += user.weight;
    // Without any weight all users count alike.
    auto const weight_of
        = [total](weighted_user const& user) { return total == 0 ? 1ULL : user.weight; };
    auto const sum = total == 0 ? users.size() : total;
    auto const quotient = [&](weighted_user const& user) { return weight_of(user) * slots / sum; };
    auto const remainder = [&](weighted_user const& user) { return weight_of(user) * slots % sum; };
    std::uint64_t divided = 0;
    std::size_t before = 0; // Users that get a remaining slot before this one.
    auto const own_remainder = remainder(users[self]);
    for (auto const& user : users) {
        divided += quotient(user);
        auto const other = remainder(user);
        before
            += other > own_remainder || (other == own_remainder && *user.name < *users[self].name)
            ? 1
            : 0;
    }
    auto const extra = before < slots - divided ? 1U : 0U;
    return static_cast<std::uint32_t>(quotient(users[self])) + extra;
}

// --- control leader ---

void share_issuer::reset(std::uint64_t number_base)
{
    this->last_number = number_base;
    this->issued_at = {};
    this->equal_parts = false;
    this->table = {};
}

bool share_issuer::update(std::vector<share_member> const& members, base::steady_time now)
{
    this->settle(members);
    if (!this->due(members, now))
        return false;
    auto const weights = weights_by_demand(members);
    if (!this->differs(members, weights))
        return false;
    if (this->table.number == 0)
        this->table.settled = 0;
    this->table.number = ++this->last_number;
    this->table.entries.clear();
    for (std::size_t index = 0; index < members.size(); ++index)
        this->table.entries.push_back({members[index].name, weights[index]});
    this->equal_parts = !all_send_demand(members);
    this->issued_at = now;
    return true;
}

void share_issuer::settle(std::vector<share_member> const& members)
{
    if (this->table.number == 0) {
        this->table.settled = highest_applied(members);
        return;
    }
    auto const has_applied = [this](share_member const& member) {
        return member.renewed
            && (member.applied_table == this->table.number
                || (!member.sends_demand && this->equal_parts));
    };
    if (std::all_of(members.begin(), members.end(), has_applied))
        this->table.settled = this->table.number;
}

bool share_issuer::due(std::vector<share_member> const& members, base::steady_time now) const
{
    // A table that is replaced before it is settled would let two entries count the same slot: one
    // that knows only the replacement, and one that counts on its part in the table.
    bool const unsettled = this->table.number != 0 && this->table.settled != this->table.number;
    if (members.empty() || unsettled || now - this->issued_at < table_interval)
        return false;
    return std::all_of(members.begin(), members.end(), [now](share_member const& member) {
        return member.renewed && now - member.renewed_at <= renewal_silence;
    });
}

bool share_issuer::differs(std::vector<share_member> const& members,
                           std::vector<std::uint32_t> const& weights) const
{
    bool const first = this->table.number == 0;
    // Entries that still act on a table of an earlier leader need one that replaces it.
    if (first && highest_applied(members) != 0)
        return true;
    if (!first
        && (this->table.entries.size() != members.size()
            || (!all_send_demand(members) && !this->equal_parts)))
        return true;
    auto const band = share_units / members.size() / dead_band_divisor;
    for (std::size_t index = 0; index < members.size(); ++index) {
        if (!first && this->table.entries[index].entry != members[index].name)
            return true;
        auto const before
            = first ? share_units / members.size() : this->table.entries[index].weight;
        auto const change
            = weights[index] > before ? weights[index] - before : before - weights[index];
        // Rounding alone changes a weight by one.
        if (change > std::max<std::size_t>(band, 1))
            return true;
    }
    return false;
}

// --- entry ---

bool share_follower::on_grant(std::optional<protocol::capacity_shares> const& shares)
{
    if (!shares || shares->number == 0) {
        // Tables stay in force when a new leader has none yet.
        auto const none_applied = !shares || shares->settled == 0;
        auto const parts = none_applied ? base_parts::equal : base_parts::unknown;
        return this->tables.empty() && std::exchange(this->base, parts) != parts;
    }
    if (shares->number < this->applied())
        return false;
    bool const new_table = shares->number > this->applied();
    bool const was_settled = this->settled();
    if (new_table)
        this->append(*shares);
    if (shares->settled == shares->number)
        this->record_settled(shares->settled);
    return new_table || this->settled() != was_settled;
}

void share_follower::append(protocol::capacity_shares const& shares)
{
    // A new leader has settled nothing yet; what this entry knows stays valid.
    if (shares.settled != 0)
        this->record_settled(shares.settled);
    known_table added {shares.number, {}};
    auto const by_weight
        = [](auto const& left, auto const& right) { return left.weight < right.weight; };
    auto const [lowest, highest]
        = std::minmax_element(shares.entries.begin(), shares.entries.end(), by_weight);
    for (auto const& row : shares.entries) {
        added.shares.names.push_back(row.entry);
        // Weights that differ by rounding only are equal parts.
        if (highest->weight - lowest->weight > 1)
            added.shares.weights.push_back(row.weight);
    }
    this->tables.push_back(std::move(added));
    if (this->tables.size() <= max_unsettled_tables)
        return;
    this->tables.erase(this->tables.begin(), this->tables.end() - 1);
    this->base = base_parts::unknown;
}

void share_follower::record_settled(std::uint64_t number)
{
    auto const found
        = std::find_if(this->tables.begin(), this->tables.end(),
                       [number](known_table const& known) { return known.number == number; });
    this->tables.erase(this->tables.begin(), found);
    this->base = this->tables.empty() ? base_parts::unknown : base_parts::replaced;
}

std::vector<entry_shares> share_follower::in_use(std::vector<std::string> const& live,
                                                 bool lease_valid) const
{
    std::vector<entry_shares> used;
    if (this->base == base_parts::unknown)
        used.emplace_back();
    if (this->base == base_parts::equal || this->tables.empty() || !lease_valid)
        used.push_back({live, {}});
    for (auto const& known : this->tables)
        used.push_back(known.shares);
    return used;
}

std::uint64_t share_follower::applied() const
{
    return this->tables.empty() ? 0 : this->tables.back().number;
}

bool share_follower::settled() const
{
    return this->base == base_parts::replaced && this->tables.size() == 1;
}

std::optional<std::uint32_t> share_follower::weight_of(std::string const& entry) const
{
    if (this->tables.empty())
        return std::nullopt;
    auto const& newest = this->tables.back().shares;
    auto const found = std::find(newest.names.begin(), newest.names.end(), entry);
    if (found == newest.names.end())
        return 0;
    if (newest.weights.empty())
        return share_units / static_cast<std::uint32_t>(newest.names.size());
    return newest.weights[static_cast<std::size_t>(found - newest.names.begin())];
}

} // namespace greengagehead::policy
