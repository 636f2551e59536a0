// Token balance that limits extra attempts.

#include "policy/retry_budget.h"

#include <algorithm>

namespace greengagehead::policy {

namespace {

constexpr std::int64_t attempt_cost = 100; ///< In hundredths of an attempt.
/// First attempts whose budget may accumulate. Without a bound, a long time without retries would
/// allow an unlimited burst of them; 10,000 let the tasks of one lost rack be retried at once.
constexpr std::int64_t max_saved_first_attempts = 10'000;

} // namespace

retry_budget::retry_budget(std::uint32_t percent_of_first, std::uint32_t attempts)
    : percent(percent_of_first), reserve(attempts), balance(attempts * attempt_cost)
{
}

void retry_budget::record_first_attempt()
{
    this->balance = std::min(this->balance + this->percent, this->max_balance());
}

bool retry_budget::try_take()
{
    if (this->balance < attempt_cost)
        return false;
    this->balance -= attempt_cost;
    return true;
}

void retry_budget::set_percent(std::uint32_t percent_of_first)
{
    this->percent = percent_of_first;
    this->balance = std::min(this->balance, this->max_balance());
}

std::int64_t retry_budget::max_balance() const
{
    return this->reserve * attempt_cost + this->percent * max_saved_first_attempts;
}

} // namespace greengagehead::policy
