// Streaming quantiles per team and kind. Two overlapping generations of P-square estimators let the
// estimate follow changes: the older one is used until the younger one has enough samples.

#include "policy/run_time_estimator.h"

#include <algorithm>
#include <array>
#include <unordered_map>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>

namespace greengagehead::policy {

namespace {

namespace acc = boost::accumulators;
using std::chrono::microseconds;
using quantiles = acc::accumulator_set<double, acc::stats<acc::tag::extended_p_square>>;

constexpr std::array<double, 2> probabilities {0.5, 0.95};
/// P-square initializes its seven markers for two quantiles with the first seven samples.
constexpr std::uint64_t min_samples = 8;
/// Samples after which a new generation starts; it replaces the older one after as many more. The
/// 95th percentile needs a few dozen samples, and the estimate follows a change within 128.
constexpr std::uint64_t generation_samples = 64;
/// Bounds the memory to about 4 MB, however many team and kind names callers send.
constexpr std::size_t max_keys = 4096;
constexpr microseconds default_time {100'000};
/// `slow` of an estimate without samples, as a multiple of `typical`.
constexpr int default_slow_factor = 4;

quantiles make_quantiles()
{
    return quantiles(acc::extended_p_square_probabilities = probabilities);
}

struct series {
    quantiles older = make_quantiles();
    quantiles younger = make_quantiles();
    std::uint64_t older_samples = 0;
    std::uint64_t younger_samples = 0;
    std::uint64_t last_used = 0;

    void add(double value)
    {
        this->older(value);
        ++this->older_samples;
        if (this->older_samples <= generation_samples)
            return;
        this->younger(value);
        if (++this->younger_samples < generation_samples)
            return;
        this->older = this->younger;
        this->older_samples = this->younger_samples;
        this->younger = make_quantiles();
        this->younger_samples = 0;
    }

    [[nodiscard]] microseconds quantile(std::ptrdiff_t position) const
    {
        auto const value = acc::extended_p_square(this->older)[position];
        return microseconds(static_cast<std::int64_t>(std::max(value, 1.0)));
    }
};

std::string key_of(std::string const& team, std::string const& kind)
{
    std::string key;
    key.reserve(team.size() + kind.size() + 1);
    return key.append(team).append(1, '\0').append(kind);
}

} // namespace

struct run_time_estimator::implementation {
    std::unordered_map<std::string, series> series_by_key;
    std::uint64_t record_count = 0; ///< Calls of record(); orders keys by last use.

    void evict_least_recent()
    {
        auto const oldest = std::min_element(
            this->series_by_key.begin(), this->series_by_key.end(),
            [](auto const& a, auto const& b) { return a.second.last_used < b.second.last_used; });
        this->series_by_key.erase(oldest);
    }
};

run_time_estimator::run_time_estimator() : impl(std::make_unique<implementation>()) { }

run_time_estimator::~run_time_estimator() = default;

void run_time_estimator::record(std::string const& team, std::string const& kind,
                                microseconds run_time)
{
    auto const key = key_of(team, kind);
    if (this->impl->series_by_key.size() >= max_keys && !this->impl->series_by_key.contains(key))
        this->impl->evict_least_recent();
    auto& entry = this->impl->series_by_key[key];
    entry.last_used = ++this->impl->record_count;
    entry.add(static_cast<double>(run_time.count()));
}

run_time_estimate run_time_estimator::estimate(std::string const& team, std::string const& kind,
                                               microseconds declared) const
{
    auto const found = this->impl->series_by_key.find(key_of(team, kind));
    if (found != this->impl->series_by_key.end() && found->second.older_samples >= min_samples) {
        auto const& entry = found->second;
        auto const typical = entry.quantile(0);
        return {typical, std::max(typical, entry.quantile(1)), entry.older_samples};
    }
    auto const typical = declared > microseconds(0) ? declared : default_time;
    return {typical, typical * default_slow_factor, 0};
}

std::size_t run_time_estimator::keys() const
{
    return this->impl->series_by_key.size();
}

} // namespace greengagehead::policy
