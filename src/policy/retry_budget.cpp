// Token balance behind the limit on extra attempts.

#include "policy/retry_budget.h"

#include <algorithm>

namespace greengagehead::policy {

namespace {

constexpr std::int64_t one_attempt = 100;
/// First attempts whose share may be saved up. Without a bound, a long quiet time would pay for an
/// unlimited burst of retries; with 10,000 the tasks of one lost rack can be retried at once.
constexpr std::int64_t saved_first_attempts = 10'000;

} // namespace

retry_budget::retry_budget(std::uint32_t percent_of_first, std::uint32_t attempts)
    : percent(percent_of_first), reserve(attempts), balance(attempts * one_attempt)
{
}

void retry_budget::record_first_attempt()
{
    this->balance = std::min(this->balance + this->percent, this->most());
}

bool retry_budget::try_take()
{
    if (this->balance < one_attempt)
        return false;
    this->balance -= one_attempt;
    return true;
}

void retry_budget::set_percent(std::uint32_t percent_of_first)
{
    this->percent = percent_of_first;
    this->balance = std::min(this->balance, this->most());
}

std::int64_t retry_budget::most() const
{
    return this->reserve * one_attempt + this->percent * saved_first_attempts;
}

} // namespace greengagehead::policy
