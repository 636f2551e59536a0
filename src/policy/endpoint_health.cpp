// Failure detection per endpoint. A failing endpoint is excluded, probed with single tasks and
// returned with a growing number of concurrent tasks.

#include "policy/endpoint_health.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <unordered_map>

namespace greengagehead::policy {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Upper bound of the probability, per attempt, that consecutive failures occur by chance at the
/// failure rate of the whole fleet. Without this allowance for the fleet's rate, tasks that fail on
/// every endpoint would exclude healthy endpoints.
constexpr double false_alarm_probability = 1e-5;
constexpr double min_consecutive_failures = 3;
constexpr double max_consecutive_failures = 16;
/// Attempts in the sliding window. An endpoint is excluded when at least
/// `excess_failures_to_exclude` more of them have failed than the fleet's failure rate predicts.
constexpr std::uint32_t window_length = 16;
constexpr double excess_failures_to_exclude = 8;
/// A run counts as a failure when its multiple of the expected time is this many times the fleet's
/// usual multiple.
constexpr double slow_factor = 5;
constexpr microseconds min_slow_time {200'000};
constexpr milliseconds initial_exclusion {1000};
constexpr milliseconds max_exclusion {16'000};
/// A probe without a result is repeated after this time, because its task may have been cancelled.
constexpr milliseconds probe_timeout {5000};
/// Concurrent tasks of a returning endpoint. The limit doubles after as many successes; at the
/// final limit the endpoint is healthy again.
constexpr std::uint32_t initial_task_limit = 1;
constexpr std::uint32_t final_task_limit = 16;
/// The failure rate of the fleet is smoothed over about 30 periods, so that a sudden failure of
/// many endpoints is detected before it raises the usual rate. A period has the same weight
/// whatever its length, so that a single failure after an idle time does not raise the rate either.
constexpr std::chrono::seconds failure_rate_period {1};
constexpr double failure_rate_weight = 1.0 / 30;
constexpr double slowdown_weight = 0.01;

struct endpoint_history {
    health_state state = health_state::healthy;
    std::uint32_t consecutive_failures = 0;
    std::uint32_t outcomes = 0xffff; ///< One bit per attempt of the window; 1 for success.
    std::uint32_t exclusions = 0; ///< Since the endpoint was last healthy.
    std::uint32_t task_limit = final_task_limit; ///< Concurrent tasks while returning.
    std::uint32_t successes = 0; ///< Since the limit was last raised.
    base::steady_time until; ///< End of the exclusion, or earliest time of another probe.
};

} // namespace

struct endpoint_health::implementation {
    std::unordered_map<std::string, endpoint_history> histories;
    std::size_t excluded = 0; ///< Endpoints in the states excluded and probing.
    std::size_t fleet_size = 0; ///< Known endpoints as last passed to accepts().
    double failure_rate = 0; ///< Of the fleet, smoothed.
    /// Usual multiple of the expected run time, smoothed; 0 before the first success.
    double usual_slowdown = 0;
    std::uint64_t attempts = 0; ///< Since `period_start`.
    std::uint64_t failures = 0;
    base::steady_time period_start;

    void count_outcome(bool failed, base::steady_time now);
    /// Whether the run was slow. Updates `usual_slowdown`.
    bool check_slow(microseconds run_time, microseconds expected);
    [[nodiscard]] bool is_failing(endpoint_history const& entry) const;
    void exclude(endpoint_history& entry, base::steady_time now);
    void begin_return(endpoint_history& entry);
    void record_success(endpoint_history& entry);
    [[nodiscard]] bool may_exclude_another() const
    {
        return (this->excluded + 1) * 2 <= this->fleet_size;
    }
};

void endpoint_health::implementation::count_outcome(bool failed, base::steady_time now)
{
    if (this->period_start == base::steady_time())
        this->period_start = now;
    ++this->attempts;
    this->failures += failed ? 1 : 0;
    if (now - this->period_start < failure_rate_period)
        return;
    auto const rate = static_cast<double>(this->failures) / static_cast<double>(this->attempts);
    this->failure_rate += failure_rate_weight * (rate - this->failure_rate);
    this->period_start = now;
    this->attempts = 0;
    this->failures = 0;
}

bool endpoint_health::implementation::check_slow(microseconds run_time, microseconds expected)
{
    if (expected <= microseconds(0))
        return false;
    auto const multiple
        = static_cast<double>(run_time.count()) / static_cast<double>(expected.count());
    if (this->usual_slowdown == 0)
        this->usual_slowdown = multiple;
    auto const usual = std::max(this->usual_slowdown, 1.0);
    // The multiple is capped, so that a few very long runs do not hide other slow endpoints.
    this->usual_slowdown
        += slowdown_weight * (std::min(multiple, usual * slow_factor) - this->usual_slowdown);
    return multiple > usual * slow_factor && run_time > min_slow_time;
}

bool endpoint_health::implementation::is_failing(endpoint_history const& entry) const
{
    auto const usual = std::clamp(this->failure_rate, 0.001, 0.99);
    auto const failures_to_exclude
        = std::clamp(std::ceil(std::log(false_alarm_probability) / std::log(usual)),
                     min_consecutive_failures, max_consecutive_failures);
    if (entry.consecutive_failures >= failures_to_exclude)
        return true;
    auto const failed = window_length - static_cast<std::uint32_t>(std::popcount(entry.outcomes));
    return failed
        >= std::min(excess_failures_to_exclude + usual * window_length, double {window_length});
}

void endpoint_health::implementation::exclude(endpoint_history& entry, base::steady_time now)
{
    auto const was_excluded
        = entry.state == health_state::excluded || entry.state == health_state::probing;
    if (!was_excluded && !this->may_exclude_another())
        return;
    this->excluded += was_excluded ? 0 : 1;
    entry.state = health_state::excluded;
    auto const period = initial_exclusion * (1U << std::min(entry.exclusions, 10U));
    entry.until = now + std::min<milliseconds>(period, max_exclusion);
    ++entry.exclusions;
}

void endpoint_health::implementation::begin_return(endpoint_history& entry)
{
    --this->excluded;
    entry.state = health_state::returning;
    entry.task_limit = initial_task_limit;
    entry.successes = 0;
    entry.consecutive_failures = 0;
    entry.outcomes = 0xffff;
}

void endpoint_health::implementation::record_success(endpoint_history& entry)
{
    if (entry.state == health_state::probing)
        return this->begin_return(entry);
    if (entry.state != health_state::returning || ++entry.successes < entry.task_limit)
        return;
    entry.successes = 0;
    entry.task_limit *= 2;
    if (entry.task_limit < final_task_limit)
        return;
    entry.state = health_state::healthy;
    entry.exclusions = 0;
}

endpoint_health::endpoint_health() : impl(std::make_unique<implementation>()) { }

endpoint_health::~endpoint_health() = default;

void endpoint_health::record(std::string const& endpoint, bool succeeded, microseconds run_time,
                             microseconds expected, base::steady_time now)
{
    auto const good = succeeded && !this->impl->check_slow(run_time, expected);
    this->impl->count_outcome(!good, now);
    auto& entry = this->impl->histories[endpoint];
    entry.outcomes = ((entry.outcomes << 1U) | (good ? 1U : 0U)) & 0xffffU;
    entry.consecutive_failures = good ? 0 : entry.consecutive_failures + 1;
    if (good)
        return this->impl->record_success(entry);
    // The task was already running when the endpoint was excluded, so its failure is no new
    // evidence.
    if (entry.state == health_state::excluded)
        return;
    if (entry.state == health_state::probing || entry.state == health_state::returning
        || this->impl->is_failing(entry))
        this->impl->exclude(entry, now);
}

void endpoint_health::forget(std::string const& endpoint)
{
    auto const found = this->impl->histories.find(endpoint);
    if (found == this->impl->histories.end())
        return;
    auto const state = found->second.state;
    if (state == health_state::excluded || state == health_state::probing)
        --this->impl->excluded;
    this->impl->histories.erase(found);
}

bool endpoint_health::accepts(std::string const& endpoint, std::uint32_t in_progress,
                              std::size_t known_endpoints, base::steady_time now)
{
    this->impl->fleet_size = known_endpoints;
    auto const found = this->impl->histories.find(endpoint);
    if (found == this->impl->histories.end())
        return true;
    auto& entry = found->second;
    if (entry.state == health_state::healthy)
        return true;
    if (entry.state == health_state::returning)
        return in_progress < entry.task_limit;
    // The fleet has become smaller, so fewer endpoints may be excluded.
    if (this->impl->excluded * 2 > known_endpoints) {
        this->impl->begin_return(entry);
        return in_progress < entry.task_limit;
    }
    return now >= entry.until;
}

void endpoint_health::record_placement(std::string const& endpoint, base::steady_time now)
{
    auto const found = this->impl->histories.find(endpoint);
    if (found == this->impl->histories.end())
        return;
    auto& entry = found->second;
    if (entry.state != health_state::excluded && entry.state != health_state::probing)
        return;
    entry.state = health_state::probing;
    entry.until = now + probe_timeout;
}

health_state endpoint_health::state(std::string const& endpoint) const
{
    auto const found = this->impl->histories.find(endpoint);
    return found == this->impl->histories.end() ? health_state::healthy : found->second.state;
}

std::size_t endpoint_health::excluded() const
{
    return this->impl->excluded;
}

} // namespace greengagehead::policy
