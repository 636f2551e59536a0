// Fair parts by repeated division of what is left.

#include "policy/account_fairness.h"

#include <algorithm>
#include <cmath>

namespace greengagehead::policy {

namespace {

/// Change of the longest wait, in percent, for an account that was served nothing of its fair part;
/// in proportion for smaller differences. With 150 and more, placement_report serves fewer callers
/// and the worst account less; with 50, the worst account gets less.
constexpr double wait_gain_percent = 100;
constexpr std::int64_t max_wait_percent = 200;
constexpr std::int64_t min_wait_percent = 25;
/// An account above its `share_percent` does not wait, so that its work runs only in free slots.
constexpr std::int64_t above_share_wait_percent = 0;

/// An account lacks capacity when it was served less than this part of what it requested. Tasks are
/// requested shortly before they start, so that a little is always outstanding.
constexpr double served_in_full = 0.99;

struct claimant {
    std::string const* account = nullptr;
    double asked = 0;
    double served = 0;
    double weight = 1;
    double cap = 0; ///< Most that it may get, by request and share.
    double share_limit = 0; ///< Most that it may get while others wait.
    double fair = 0;

    [[nodiscard]] double unserved() const
    {
        return std::max(this->asked * served_in_full - this->served, 0.0);
    }
};

/// Gives each claimant min(cap, level * weight), with the level at which `total` is used up.
/// Returns with less in use when all caps are reached.
void divide(std::vector<claimant>& claimants, double total)
{
    std::vector<claimant*> by_level;
    double weights = 0;
    for (auto& item : claimants) {
        by_level.push_back(&item);
        weights += item.weight;
    }
    std::sort(by_level.begin(), by_level.end(), [](claimant const* left, claimant const* right) {
        return left->cap * right->weight < right->cap * left->weight;
    });
    for (auto* const item : by_level) {
        item->fair = std::min(item->cap, total * item->weight / weights);
        total -= item->fair;
        weights -= item->weight;
    }
}

std::int64_t wait_percent_of(claimant const& item)
{
    // Nothing was served to anybody, so nobody is ahead.
    if (item.fair <= 0)
        return 100;
    auto const difference = (item.fair - item.served) / item.fair;
    auto const change = wait_gain_percent * std::abs(difference);
    auto const percent = difference >= 0 ? 100 + change : 100 * 100 / (100 + change);
    return std::clamp(static_cast<std::int64_t>(percent), min_wait_percent, max_wait_percent);
}

} // namespace

account_fairness::account_fairness(std::vector<protocol::account_share> const& rows,
                                   limits_lookup const& limits)
{
    double total = 0;
    double unserved = 0;
    std::vector<claimant> claimants;
    for (auto const& row : rows) {
        auto const limit = limits(row.account);
        claimant item;
        item.account = &row.account;
        item.asked = std::max(static_cast<double>(row.asked.count()), 0.0);
        item.served = std::max(static_cast<double>(row.served.count()), 0.0);
        item.weight = std::max(limit.weight, 1U);
        item.share_limit = std::clamp(limit.share_percent, 1U, 100U) / 100.0;
        total += item.served;
        unserved += item.unserved();
        claimants.push_back(item);
    }
    for (auto& item : claimants) {
        bool const others_wait = unserved > item.unserved();
        item.share_limit = others_wait ? item.share_limit * total : total;
        item.cap = std::min(std::max(item.asked, item.served), item.share_limit);
    }
    divide(claimants, total);
    for (auto const& item : claimants) {
        auto& target = this->positions[*item.account];
        target.fair = item.fair;
        target.standing.newcomer = total > 0 && item.served <= 0;
        target.standing.wait_percent
            = item.served > item.share_limit ? above_share_wait_percent : wait_percent_of(item);
    }
}

account_standing account_fairness::standing(std::string const& account) const
{
    auto const found = this->positions.find(account);
    if (found != this->positions.end())
        return found->second.standing;
    account_standing unknown;
    unknown.newcomer = !this->positions.empty();
    return unknown;
}

std::chrono::microseconds account_fairness::fair_part(std::string const& account) const
{
    auto const found = this->positions.find(account);
    if (found == this->positions.end())
        return std::chrono::microseconds(0);
    return std::chrono::microseconds(std::llround(found->second.fair));
}

} // namespace greengagehead::policy
