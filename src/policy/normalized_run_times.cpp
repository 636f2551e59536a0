// Quantiles of the last runs per team and kind, relative to a power of the declared time.

#include "policy/normalized_run_times.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <limits>
#include <unordered_map>
#include <vector>

namespace greengagehead::policy {

namespace {

using std::chrono::microseconds;

/// Tasks of a job have similar run times, so that 256 runs are those of a few dozen jobs.
constexpr std::size_t window_runs = 256;
constexpr std::size_t min_runs = 8;
/// Runs after which the quantiles are computed again.
constexpr std::uint64_t update_interval = 16;
/// Bounds the memory to about 4 MB.
constexpr std::size_t max_keys = 1024;
/// Powers of the declared time that are compared; 0 ignores it, 1 takes it in proportion.
constexpr std::array<double, 5> powers {0, 0.25, 0.5, 0.75, 1};
constexpr microseconds default_time {100'000};
/// `slow` of an estimate without samples, as a multiple of `typical`.
constexpr int default_slow_factor = 4;
constexpr double max_log_time = 25; ///< 20 hours in microseconds.

/// Natural logarithms of times in microseconds.
struct log_times {
    double run = 0;
    double declared = 0; ///< 0 when not given.
};

/// Quantiles of the run time divided by the declared time to the power of `power`.
struct scaled_quantiles {
    double power = 0;
    double median = 0;
    double slow = 0; ///< 95th percentile.
    double spread = std::numeric_limits<double>::infinity(); ///< Between the quartiles.
};

double log_of(microseconds time)
{
    return std::log(static_cast<double>(std::max<std::int64_t>(time.count(), 1)));
}

microseconds time_of(double log_time)
{
    auto const time = std::exp(std::clamp(log_time, 0.0, max_log_time));
    return microseconds(static_cast<std::int64_t>(time));
}

class run_series {
public:
    void add(log_times const& run)
    {
        if (this->runs.size() < window_runs)
            this->runs.push_back(run);
        else
            this->runs[this->count % window_runs] = run;
        ++this->count;
        if (this->count == min_runs || this->count % update_interval == 0)
            this->update();
    }
    [[nodiscard]] std::uint64_t samples() const { return this->count; }
    [[nodiscard]] scaled_quantiles const& quantiles(bool declared) const
    {
        return declared ? this->with_declared : this->without_declared;
    }

    std::uint64_t last_used = 0;

private:
    void update();
    [[nodiscard]] scaled_quantiles quantiles_for(double power) const;

    std::vector<log_times> runs; ///< Ring, once it is full.
    std::uint64_t count = 0;
    scaled_quantiles without_declared;
    scaled_quantiles with_declared; ///< With the power of the least spread.
};

scaled_quantiles run_series::quantiles_for(double power) const
{
    std::vector<double> values;
    values.reserve(this->runs.size());
    for (auto const& run : this->runs)
        if (power == 0 || run.declared > 0)
            values.push_back(run.run - power * run.declared);
    if (values.size() < min_runs)
        return {};
    std::sort(values.begin(), values.end());
    auto const at
        = [&values](std::size_t percent) { return values[(values.size() - 1) * percent / 100]; };
    return {power, at(50), at(95), at(75) - at(25)};
}

void run_series::update()
{
    this->without_declared = this->quantiles_for(0);
    this->with_declared = this->without_declared;
    for (auto const power : powers) {
        auto const candidate = this->quantiles_for(power);
        if (candidate.spread < this->with_declared.spread)
            this->with_declared = candidate;
    }
}

std::string key_of(std::string const& team, std::string const& kind)
{
    std::string key;
    key.reserve(team.size() + kind.size() + 1);
    return key.append(team).append(1, '\0').append(kind);
}

} // namespace

struct normalized_run_times::implementation {
    std::unordered_map<std::string, run_series> series_by_key;
    std::uint64_t record_count = 0; ///< Calls of record(); orders keys by last use.

    void evict_least_recent()
    {
        auto const oldest = std::min_element(
            this->series_by_key.begin(), this->series_by_key.end(),
            [](auto const& a, auto const& b) { return a.second.last_used < b.second.last_used; });
        this->series_by_key.erase(oldest);
    }
};

normalized_run_times::normalized_run_times() : impl(std::make_unique<implementation>()) { }

normalized_run_times::~normalized_run_times() = default;

void normalized_run_times::record(normalized_run const& run)
{
    if (run.run_time <= microseconds(0))
        return;
    auto const key = key_of(run.team, run.kind);
    if (this->impl->series_by_key.size() >= max_keys && !this->impl->series_by_key.contains(key))
        this->impl->evict_least_recent();
    auto& series = this->impl->series_by_key[key];
    series.last_used = ++this->impl->record_count;
    auto const declared = run.declared > microseconds(0) ? log_of(run.declared) : 0;
    series.add({log_of(run.run_time), declared});
}

run_time_estimate normalized_run_times::estimate(std::string const& team, std::string const& kind,
                                                 microseconds declared) const
{
    auto const found = this->impl->series_by_key.find(key_of(team, kind));
    if (found == this->impl->series_by_key.end() || found->second.samples() < min_runs) {
        auto const typical = declared > microseconds(0) ? declared : default_time;
        return {typical, typical * default_slow_factor, 0};
    }
    bool const is_declared = declared > microseconds(0);
    auto const& learned = found->second.quantiles(is_declared);
    auto const scale = is_declared ? learned.power * log_of(declared) : 0;
    auto const typical = time_of(learned.median + scale);
    auto const slow = time_of(learned.slow + scale);
    return {typical, std::max(typical, slow), found->second.samples()};
}

std::size_t normalized_run_times::keys() const
{
    return this->impl->series_by_key.size();
}

} // namespace greengagehead::policy
