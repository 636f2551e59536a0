// Medians of the last runs per endpoint, divided by their median over the fleet.

#include "policy/endpoint_speed.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <optional>
#include <unordered_map>
#include <vector>

namespace greengagehead::policy {

namespace {

using std::chrono::microseconds;
using std::chrono::seconds;

/// Runs that an estimate is made of. It ignores single runs that take several times as long.
constexpr std::size_t window_runs = 25;
/// With fewer runs an endpoint is unknown.
constexpr std::size_t min_runs = 4;
/// The endpoint has become faster or slower when the median of this many last runs differs from its
/// estimate. Earlier runs are then forgotten.
constexpr std::size_t runs_to_detect_change = 8;
constexpr double min_change = 0.35; ///< Natural logarithm of the factor.
constexpr double min_difference = 0.2; ///< From ordinary; natural logarithm of the factor.
/// Standard error of the median of n runs, as a multiple of their mean deviation divided by the
/// root of n, for deviations with a normal distribution.
constexpr double error_of_median = 1.57;
/// Standard errors by which an estimate must differ to count as different: the runs of some dozens
/// of endpoints are compared again with each run, so that two would often be exceeded by chance.
constexpr double standard_errors = 3;
/// Deviations are capped, so that a few very long runs do not hide other differences.
constexpr double max_deviation = 1;
constexpr double initial_deviation = 0.3;
constexpr double deviation_weight = 0.01;
constexpr double max_log_speed = 2.302585; ///< ln 10.
/// Endpoints that have a known speed before any of them counts as faster or slower than others.
constexpr std::size_t min_known_endpoints = 3;
/// One in this many known endpoints has to differ from the median for speeds to count.
constexpr std::size_t min_uneven_divisor = 8;
/// Runs after which the median over the fleet is computed again.
constexpr std::uint64_t reference_interval = 32;
constexpr seconds memory_time {60};
/// Bounds the memory to about 1 MB.
constexpr std::size_t max_endpoints = 2048;

struct run_history {
    protocol::process_id agent;
    std::array<double, window_runs> log_speeds {}; ///< Ring of single runs.
    std::size_t count = 0;
    std::size_t next = 0;
    double estimate = 0; ///< Median of `log_speeds`; 0 before the first run.
    base::steady_time last_run;

    [[nodiscard]] bool known() const { return this->count >= min_runs; }
    /// @param deviation usual deviation of a run from the estimate of its endpoint.
    void add(double log_speed, double deviation);

private:
    [[nodiscard]] double recent(std::size_t age) const
    {
        return this->log_speeds.at((this->next + window_runs - 1 - age) % window_runs);
    }
    void keep_recent();
    [[nodiscard]] double median(std::size_t runs) const;
};

/// Difference beyond which the median of `runs` runs is not due to chance.
double significant_difference(std::size_t runs, double deviation)
{
    return standard_errors * error_of_median * deviation / std::sqrt(static_cast<double>(runs));
}

double median_of(std::vector<double>& values)
{
    auto const middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

void run_history::add(double log_speed, double deviation)
{
    this->log_speeds.at(this->next) = log_speed;
    this->next = (this->next + 1) % window_runs;
    this->count = std::min(this->count + 1, window_runs);
    auto const change
        = std::max(min_change, significant_difference(runs_to_detect_change, deviation));
    if (this->count > runs_to_detect_change
        && std::abs(this->median(runs_to_detect_change) - this->estimate) > change)
        this->keep_recent();
    this->estimate = this->median(this->count);
}

void run_history::keep_recent()
{
    std::array<double, window_runs> kept {};
    for (std::size_t age = 0; age < runs_to_detect_change; ++age)
        kept.at(age) = this->recent(age);
    this->log_speeds = kept;
    this->count = runs_to_detect_change;
    this->next = runs_to_detect_change;
}

double run_history::median(std::size_t runs) const
{
    std::vector<double> values;
    values.reserve(runs);
    for (std::size_t age = 0; age < runs; ++age)
        values.push_back(this->recent(age));
    return median_of(values);
}

} // namespace

struct endpoint_speed::implementation {
    std::unordered_map<std::string, run_history> histories;
    std::uint64_t runs = 0;
    /// Median estimate of the known endpoints; empty with too few of them.
    std::optional<double> reference;
    bool uneven = false; ///< As of the last update of `reference`.
    double deviation = initial_deviation; ///< Usual deviation of a run from the estimate.

    void add(run_history& history, double log_speed, base::steady_time now);
    void make_room();
    void update_reference(base::steady_time now);
    [[nodiscard]] double log_speed(run_history const& history, base::steady_time now) const;
};

void endpoint_speed::implementation::make_room()
{
    if (this->histories.size() < max_endpoints)
        return;
    auto const oldest = std::min_element(
        this->histories.begin(), this->histories.end(),
        [](auto const& a, auto const& b) { return a.second.last_run < b.second.last_run; });
    this->histories.erase(oldest);
}

void endpoint_speed::implementation::add(run_history& history, double log_speed,
                                         base::steady_time now)
{
    if (history.known()) {
        auto const difference = std::min(std::abs(log_speed - history.estimate), max_deviation);
        this->deviation += deviation_weight * (difference - this->deviation);
    }
    history.add(log_speed, this->deviation);
    if (++this->runs % reference_interval == 0)
        this->update_reference(now);
}

void endpoint_speed::implementation::update_reference(base::steady_time now)
{
    std::vector<double> estimates;
    for (auto const& [name, history] : this->histories)
        if (history.known())
            estimates.push_back(history.estimate);
    this->reference.reset();
    this->uneven = false;
    if (estimates.size() < min_known_endpoints)
        return;
    this->reference = median_of(estimates);
    auto const different
        = std::count_if(this->histories.begin(), this->histories.end(),
                        [&](auto const& item) { return this->log_speed(item.second, now) != 0; });
    this->uneven = static_cast<std::size_t>(different) * min_uneven_divisor >= estimates.size();
}

double endpoint_speed::implementation::log_speed(run_history const& history,
                                                 base::steady_time now) const
{
    if (!history.known() || !this->reference)
        return 0;
    auto const relative
        = std::clamp(history.estimate - *this->reference, -max_log_speed, max_log_speed);
    auto const difference
        = std::max(min_difference, significant_difference(history.count, this->deviation));
    if (std::abs(relative) < difference)
        return 0;
    auto const age = std::chrono::duration<double>(now - history.last_run);
    auto const left = 1 - age / std::chrono::duration<double>(memory_time);
    return relative * std::clamp(left, 0.0, 1.0);
}

endpoint_speed::endpoint_speed() : impl(std::make_unique<implementation>()) { }

endpoint_speed::~endpoint_speed() = default;

void endpoint_speed::record(endpoint_run const& run, base::steady_time now)
{
    if (run.run_time <= microseconds(0) || run.expected <= microseconds(0))
        return;
    auto& self = *this->impl;
    if (!self.histories.contains(run.endpoint))
        self.make_room();
    auto& history = self.histories[run.endpoint];
    if (history.agent != run.agent || now - history.last_run >= memory_time)
        history = {};
    history.agent = run.agent;
    history.last_run = now;
    self.add(history,
             std::log(static_cast<double>(run.expected.count())
                      / static_cast<double>(run.run_time.count())),
             now);
}

bool endpoint_speed::uneven() const
{
    return this->impl->uneven;
}

double endpoint_speed::speed(std::string const& endpoint, protocol::process_id const& agent,
                             base::steady_time now) const
{
    auto const found = this->impl->histories.find(endpoint);
    if (found == this->impl->histories.end() || found->second.agent != agent)
        return 1;
    return std::exp(this->impl->log_speed(found->second, now));
}

microseconds endpoint_speed::run_time_on(std::string const& endpoint,
                                         protocol::process_id const& agent, microseconds ordinary,
                                         base::steady_time now) const
{
    auto const scaled = static_cast<double>(ordinary.count()) / this->speed(endpoint, agent, now);
    return microseconds(static_cast<std::int64_t>(scaled));
}

std::size_t endpoint_speed::size() const
{
    return this->impl->histories.size();
}

} // namespace greengagehead::policy
