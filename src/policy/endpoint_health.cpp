// Failure detection per endpoint and the way back: excluded, probed with single tasks, returned
// with a growing number of tasks.

#include "policy/endpoint_health.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <unordered_map>

namespace greengagehead::policy {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Runs of failures by chance, at the failure rate of the whole fleet, must be rarer than this per
/// attempt. Without the allowance, tasks that fail anywhere would take sound endpoints out.
constexpr double chance_of_false_alarm = 1e-5;
constexpr double least_consecutive = 3;
constexpr double most_consecutive = 16;
/// Attempts of the sliding failure rate, and the failures among them that exclude an endpoint.
constexpr std::uint32_t history_length = 16;
constexpr double history_failures = 8;
/// A run this many times slower than the fleet's usual multiple of the expected time is a failure.
constexpr double slow_factor = 5;
constexpr microseconds least_slow_time {200'000};
constexpr milliseconds first_exclusion {1000};
constexpr milliseconds longest_exclusion {16'000};
/// A probe without a result is repeated after this time; its task may have been cancelled.
constexpr milliseconds probe_timeout {5000};
/// Tasks at a time of a returning endpoint. As many successes as the limit double it.
constexpr std::uint32_t first_limit = 1;
constexpr std::uint32_t full_limit = 16;
/// The failure rate of the fleet is smoothed over about 30 periods. That is slow, so that a sudden
/// failure of many endpoints is noticed before it counts as usual; a period has the same weight
/// whatever its length, so that one failure after a quiet time does not count as usual either.
constexpr std::chrono::seconds fleet_period {1};
constexpr double fleet_weight = 1.0 / 30;
constexpr double pace_weight = 0.01;

struct endpoint_history {
    health_state state = health_state::healthy;
    std::uint32_t failures_in_row = 0;
    std::uint32_t outcomes = 0xffff; ///< One bit per attempt of the history; 1 for success.
    std::uint32_t exclusions = 0; ///< In a row, without a full return between them.
    std::uint32_t limit = full_limit; ///< Tasks at a time while returning.
    std::uint32_t successes = 0; ///< Since the limit was last raised.
    base::steady_time until; ///< End of the exclusion, or time at which a probe may be repeated.
};

} // namespace

struct endpoint_health::parts {
    std::unordered_map<std::string, endpoint_history> known;
    std::size_t excluded = 0; ///< Endpoints in the states excluded and probing.
    std::size_t fleet = 0; ///< Known endpoints as last passed to accepts().
    double failure_rate = 0; ///< Of the fleet, smoothed.
    double pace = 0; ///< Usual multiple of the expected run time; 0 before the first success.
    std::uint64_t attempts = 0; ///< Since `counted_from`.
    std::uint64_t failures = 0;
    base::steady_time counted_from;

    void count(bool failed, base::steady_time now);
    bool slow(microseconds run_time, microseconds expected);
    [[nodiscard]] bool failing(endpoint_history const& entry) const;
    void exclude(endpoint_history& entry, base::steady_time now);
    void begin_return(endpoint_history& entry);
    void note_success(endpoint_history& entry);
    [[nodiscard]] bool room() const { return (this->excluded + 1) * 2 <= this->fleet; }
};

void endpoint_health::parts::count(bool failed, base::steady_time now)
{
    if (this->counted_from == base::steady_time())
        this->counted_from = now;
    ++this->attempts;
    this->failures += failed ? 1 : 0;
    if (now - this->counted_from < fleet_period)
        return;
    auto const rate = static_cast<double>(this->failures) / static_cast<double>(this->attempts);
    this->failure_rate += fleet_weight * (rate - this->failure_rate);
    this->counted_from = now;
    this->attempts = 0;
    this->failures = 0;
}

bool endpoint_health::parts::slow(microseconds run_time, microseconds expected)
{
    if (expected <= microseconds(0))
        return false;
    auto const multiple
        = static_cast<double>(run_time.count()) / static_cast<double>(expected.count());
    if (this->pace == 0)
        this->pace = multiple;
    auto const usual = std::max(this->pace, 1.0);
    // Capped, so that a few very long runs do not hide other slow endpoints.
    this->pace += pace_weight * (std::min(multiple, usual * slow_factor) - this->pace);
    return multiple > usual * slow_factor && run_time > least_slow_time;
}

bool endpoint_health::parts::failing(endpoint_history const& entry) const
{
    auto const usual = std::clamp(this->failure_rate, 0.001, 0.99);
    auto const in_row = std::clamp(std::ceil(std::log(chance_of_false_alarm) / std::log(usual)),
                                   least_consecutive, most_consecutive);
    if (entry.failures_in_row >= in_row)
        return true;
    auto const failed = history_length - static_cast<std::uint32_t>(std::popcount(entry.outcomes));
    return failed >= std::min(history_failures + usual * history_length, double {history_length});
}

void endpoint_health::parts::exclude(endpoint_history& entry, base::steady_time now)
{
    auto const was_out
        = entry.state == health_state::excluded || entry.state == health_state::probing;
    if (!was_out && !this->room())
        return;
    this->excluded += was_out ? 0 : 1;
    entry.state = health_state::excluded;
    auto const period = first_exclusion * (1U << std::min(entry.exclusions, 10U));
    entry.until = now + std::min<milliseconds>(period, longest_exclusion);
    ++entry.exclusions;
}

void endpoint_health::parts::begin_return(endpoint_history& entry)
{
    --this->excluded;
    entry.state = health_state::returning;
    entry.limit = first_limit;
    entry.successes = 0;
    entry.failures_in_row = 0;
    entry.outcomes = 0xffff;
}

void endpoint_health::parts::note_success(endpoint_history& entry)
{
    if (entry.state == health_state::probing)
        return this->begin_return(entry);
    if (entry.state != health_state::returning || ++entry.successes < entry.limit)
        return;
    entry.successes = 0;
    entry.limit *= 2;
    if (entry.limit < full_limit)
        return;
    entry.state = health_state::healthy;
    entry.exclusions = 0;
}

endpoint_health::endpoint_health() : own(std::make_unique<parts>()) { }

endpoint_health::~endpoint_health() = default;

void endpoint_health::record(std::string const& endpoint, bool succeeded, microseconds run_time,
                             microseconds expected, base::steady_time now)
{
    auto const good = succeeded && !this->own->slow(run_time, expected);
    this->own->count(!good, now);
    auto& entry = this->own->known[endpoint];
    entry.outcomes = ((entry.outcomes << 1U) | (good ? 1U : 0U)) & 0xffffU;
    entry.failures_in_row = good ? 0 : entry.failures_in_row + 1;
    if (good)
        return this->own->note_success(entry);
    // Results of tasks that were running when the endpoint was excluded say nothing new.
    if (entry.state == health_state::excluded)
        return;
    if (entry.state == health_state::probing || entry.state == health_state::returning
        || this->own->failing(entry))
        this->own->exclude(entry, now);
}

void endpoint_health::forget(std::string const& endpoint)
{
    auto const found = this->own->known.find(endpoint);
    if (found == this->own->known.end())
        return;
    auto const state = found->second.state;
    if (state == health_state::excluded || state == health_state::probing)
        --this->own->excluded;
    this->own->known.erase(found);
}

bool endpoint_health::accepts(std::string const& endpoint, std::uint32_t in_progress,
                              std::size_t known_endpoints, base::steady_time now)
{
    this->own->fleet = known_endpoints;
    auto const found = this->own->known.find(endpoint);
    if (found == this->own->known.end())
        return true;
    auto& entry = found->second;
    if (entry.state == health_state::healthy)
        return true;
    if (entry.state == health_state::returning)
        return in_progress < entry.limit;
    // The fleet became smaller, so that fewer endpoints may be excluded.
    if (this->own->excluded * 2 > known_endpoints) {
        this->own->begin_return(entry);
        return in_progress < entry.limit;
    }
    return now >= entry.until;
}

void endpoint_health::record_placement(std::string const& endpoint, base::steady_time now)
{
    auto const found = this->own->known.find(endpoint);
    if (found == this->own->known.end())
        return;
    auto& entry = found->second;
    if (entry.state != health_state::excluded && entry.state != health_state::probing)
        return;
    entry.state = health_state::probing;
    entry.until = now + probe_timeout;
}

health_state endpoint_health::state(std::string const& endpoint) const
{
    auto const found = this->own->known.find(endpoint);
    return found == this->own->known.end() ? health_state::healthy : found->second.state;
}

std::size_t endpoint_health::excluded() const
{
    return this->own->excluded;
}

} // namespace greengagehead::policy
