// Streaming quantiles per team and kind. Two overlapping generations of P-square estimators make
// the estimate follow a change: the older one answers until the younger one has seen enough.

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
/// P-square places its seven markers for two quantiles with the first seven samples.
constexpr std::uint64_t least_samples = 8;
/// Samples after which a new generation starts; it takes over after as many more. The 95th
/// percentile needs a few dozen samples, and a change is followed within 128.
constexpr std::uint64_t generation_samples = 64;
/// Bounds the memory to about 4 MB, whatever team and kind names callers send.
constexpr std::size_t most_keys = 4096;
constexpr microseconds default_time {100'000};
/// Slow time of an unlearned estimate, as a multiple of the typical time.
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

struct run_time_estimator::parts {
    std::unordered_map<std::string, series> known;
    std::uint64_t clock = 0; ///< Counts records; orders keys by last use.

    void drop_least_recent()
    {
        auto const oldest = std::min_element(
            this->known.begin(), this->known.end(),
            [](auto const& a, auto const& b) { return a.second.last_used < b.second.last_used; });
        this->known.erase(oldest);
    }
};

run_time_estimator::run_time_estimator() : own(std::make_unique<parts>()) { }

run_time_estimator::~run_time_estimator() = default;

void run_time_estimator::record(std::string const& team, std::string const& kind,
                                microseconds run_time)
{
    auto const key = key_of(team, kind);
    if (this->own->known.size() >= most_keys && !this->own->known.contains(key))
        this->own->drop_least_recent();
    auto& entry = this->own->known[key];
    entry.last_used = ++this->own->clock;
    entry.add(static_cast<double>(run_time.count()));
}

run_time_estimate run_time_estimator::estimate(std::string const& team, std::string const& kind,
                                               microseconds declared) const
{
    auto const found = this->own->known.find(key_of(team, kind));
    if (found != this->own->known.end() && found->second.older_samples >= least_samples) {
        auto const& entry = found->second;
        auto const typical = entry.quantile(0);
        return {typical, std::max(typical, entry.quantile(1)), entry.older_samples};
    }
    auto const typical = declared > microseconds(0) ? declared : default_time;
    return {typical, typical * default_slow_factor, 0};
}

std::size_t run_time_estimator::keys() const
{
    return this->own->known.size();
}

} // namespace greengagehead::policy
