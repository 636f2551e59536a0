// Counting of use, and the rows of renewals and grants.

#include "entry/account_usage.h"

#include <algorithm>
#include <utility>

#include "base/log_record.h"
#include "policy/account_sums.h"

namespace greengagehead::entry {

namespace {

using std::chrono::microseconds;

/// Grants come every 300 ms. When several are missing, the sums say nothing about the present.
constexpr std::chrono::seconds max_shares_age {3};
constexpr std::chrono::seconds refusal_line_interval {1};
/// The interval of renewals; use of that age is recent.
constexpr std::chrono::milliseconds decay_interval {300};

microseconds decayed(microseconds value, double part)
{
    return microseconds(static_cast<std::int64_t>(static_cast<double>(value.count()) * part));
}

/// Whether the leader accepts rows of an account of this name.
bool is_reportable(std::string const& account)
{
    return !account.empty() && account.size() <= policy::max_account_name_bytes;
}

bool larger_row(protocol::account_use const& left, protocol::account_use const& right)
{
    return std::max(left.asked, left.served) > std::max(right.asked, right.served);
}

} // namespace

void account_usage::record_asked(std::string const& account, policy::slot_time work,
                                 base::steady_time now)
{
    this->latest = std::max(this->latest, now);
    this->counters_of(account).asked += work;
    if (auto* const use = this->pending_of(account))
        use->asked += work;
}

void account_usage::record_served(std::string const& account, policy::slot_time work,
                                  base::steady_time now)
{
    this->latest = std::max(this->latest, now);
    auto counted = work;
    if (auto* const use = this->pending_of(account)) {
        auto const credited = std::min(use->credit, work);
        use->credit -= credited;
        counted -= credited;
        use->served += counted;
    }
    this->counters_of(account).served += counted;
}

void account_usage::record_refused_start(std::string const& account, policy::slot_time work)
{
    if (auto* const use = this->pending_of(account))
        use->credit += work;
}

void account_usage::record_refusal(std::string const& account, policy::refusal_cause cause)
{
    auto const index = static_cast<std::size_t>(cause);
    ++this->counters_of(account).refused.at(index);
    auto& logged = this->refusals.at(index);
    ++logged.count;
    logged.account = account;
}

std::vector<protocol::account_use> account_usage::take_rows()
{
    this->taken_at = this->latest;
    std::vector<protocol::account_use> rows;
    for (auto const& [account, use] : this->pending) {
        if (use.asked.count() > 0 || use.served.count() > 0)
            rows.push_back({account, use.asked, use.served});
    }
    if (rows.size() > policy::max_account_rows) {
        std::nth_element(rows.begin(), rows.begin() + policy::max_account_rows, rows.end(),
                         larger_row);
        rows.resize(policy::max_account_rows);
    }
    // Without use since the last call, no start follows a refused one.
    std::erase_if(this->pending, [](auto const& item) {
        return item.second.asked.count() == 0 && item.second.served.count() == 0;
    });
    for (auto const& row : rows) {
        auto& use = this->pending.at(row.account);
        use.asked = use.served = microseconds(0);
    }
    return rows;
}

void account_usage::restore(std::vector<protocol::account_use> const& rows)
{
    auto const part = policy::remaining_part(
        std::chrono::duration_cast<microseconds>(this->latest - this->taken_at));
    for (auto const& row : rows) {
        auto* const use = this->pending_of(row.account);
        if (use == nullptr)
            continue;
        use->asked += decayed(row.asked, part);
        use->served += decayed(row.served, part);
    }
}

void account_usage::apply(std::vector<protocol::account_share> const& rows)
{
    this->fleet_rows = rows;
    this->applied_at = this->latest;
    this->update_fairness();
}

void account_usage::set_limits(std::map<std::string, policy::account_limits> values)
{
    this->limits = std::move(values);
    this->update_fairness();
}

void account_usage::update_fairness()
{
    this->fairness = policy::account_fairness(this->fleet_rows, [this](std::string const& account) {
        auto const found = this->limits.find(account);
        return found == this->limits.end() ? policy::account_limits {} : found->second;
    });
}

policy::account_standing account_usage::standing(std::string const& account,
                                                 base::steady_time now) const
{
    // The use of an account that cannot be reported is not known, so it gains no precedence.
    if (now - this->applied_at > max_shares_age || !is_reportable(account))
        return {};
    return this->fairness.standing(account);
}

account_metrics account_usage::metrics(std::map<std::string, std::size_t> const& waiting) const
{
    account_metrics result;
    result.at_entry = this->counters;
    auto const label = [this](std::string const& account) {
        return this->counters.contains(account) ? account : std::string(other_accounts);
    };
    for (auto const& [account, tasks] : waiting)
        result.waiting[label(account)] += tasks;
    for (auto const& row : this->fleet_rows) {
        auto& target = result.fleet[label(row.account)];
        target.asked += row.asked;
        target.served += row.served;
    }
    return result;
}

void account_usage::decay_pending(base::steady_time now)
{
    auto const elapsed = now - this->decayed_at;
    if (elapsed < decay_interval)
        return;
    this->decayed_at = now;
    auto const part = policy::remaining_part(std::chrono::duration_cast<microseconds>(elapsed));
    for (auto& [account, use] : this->pending) {
        use.asked = decayed(use.asked, part);
        use.served = decayed(use.served, part);
        use.credit = decayed(use.credit, part);
    }
}

void account_usage::tick(base::steady_time now)
{
    this->latest = std::max(this->latest, now);
    this->decay_pending(now);
    for (std::size_t index = 0; index < this->refusals.size(); ++index) {
        auto& logged = this->refusals.at(index);
        if (logged.count == 0 || now - logged.last_line < refusal_line_interval)
            continue;
        base::log_record(base::log_event::refusals_counted)
            .with("reason", policy::to_string(static_cast<policy::refusal_cause>(index)))
            .with("count", logged.count)
            .with("latest_team", logged.account);
        logged.count = 0;
        logged.last_line = now;
    }
}

account_usage::pending_use* account_usage::pending_of(std::string const& account)
{
    if (!is_reportable(account))
        return nullptr;
    auto const found = this->pending.find(account);
    if (found != this->pending.end())
        return &found->second;
    if (this->pending.size() >= policy::max_accounts)
        return nullptr;
    return &this->pending[account];
}

account_counters& account_usage::counters_of(std::string const& account)
{
    auto const found = this->counters.find(account);
    if (found != this->counters.end())
        return found->second;
    auto const named = this->counters.size() - this->counters.count(other_accounts);
    return this
        ->counters[is_reportable(account) && named < max_named_accounts ? account : other_accounts];
}

} // namespace greengagehead::entry
