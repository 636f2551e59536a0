// Decay and bounds of the sums.

#include "policy/account_sums.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace greengagehead::policy {

namespace {

using std::chrono::microseconds;

/// Smaller sums are less than one short task and are dropped.
constexpr double min_sum_us = 1'000;
/// Largest time of one row, so that a faulty message cannot overflow a sum.
constexpr microseconds max_row_time = std::chrono::hours(24 * 365);

bool valid_row(protocol::account_use const& row)
{
    return !row.account.empty() && row.account.size() <= max_account_name_bytes;
}

double checked_time(microseconds time)
{
    return static_cast<double>(std::clamp(time, microseconds(0), max_row_time).count());
}

microseconds to_time(double value)
{
    return microseconds(static_cast<std::int64_t>(value));
}

} // namespace

double remaining_part(microseconds elapsed)
{
    auto const half_lives = std::chrono::duration<double>(std::max(elapsed, microseconds(0)))
        / std::chrono::duration<double>(account_half_life);
    return std::exp2(-half_lives);
}

void account_sums::record(std::vector<protocol::account_use> const& rows, base::steady_time now)
{
    this->decay_to(now);
    auto const count = std::min(rows.size(), max_account_rows);
    for (std::size_t index = 0; index < count; ++index) {
        auto const& row = rows[index];
        if (!valid_row(row))
            continue;
        auto& target = this->sums[row.account];
        target.asked += checked_time(row.asked);
        target.served += checked_time(row.served);
    }
    this->drop_smallest();
}

std::vector<protocol::account_share> account_sums::shares(base::steady_time now) const
{
    auto const part
        = remaining_part(std::chrono::duration_cast<microseconds>(now - this->sums_time));
    std::vector<protocol::account_share> rows;
    for (auto const& [account, value] : this->sums) {
        auto const asked = value.asked * part;
        auto const served = value.served * part;
        if (std::max(asked, served) >= min_sum_us)
            rows.push_back({account, to_time(asked), to_time(served)});
    }
    return rows;
}

void account_sums::decay_to(base::steady_time now)
{
    if (now <= this->sums_time)
        return;
    auto const part
        = remaining_part(std::chrono::duration_cast<microseconds>(now - this->sums_time));
    this->sums_time = now;
    for (auto item = this->sums.begin(); item != this->sums.end();) {
        auto& [asked, served] = item->second;
        asked *= part;
        served *= part;
        item = std::max(asked, served) < min_sum_us ? this->sums.erase(item) : std::next(item);
    }
}

void account_sums::drop_smallest()
{
    if (this->sums.size() <= max_accounts)
        return;
    using position = std::map<std::string, sum>::iterator;
    std::vector<position> positions;
    positions.reserve(this->sums.size());
    for (auto item = this->sums.begin(); item != this->sums.end(); ++item)
        positions.push_back(item);
    auto const excess = static_cast<std::ptrdiff_t>(this->sums.size() - max_accounts);
    std::nth_element(positions.begin(), positions.begin() + excess, positions.end(),
                     [](position const& left, position const& right) {
                         return left->second.asked < right->second.asked;
                     });
    for (auto const& item : std::vector(positions.begin(), positions.begin() + excess))
        this->sums.erase(item);
}

} // namespace greengagehead::policy
