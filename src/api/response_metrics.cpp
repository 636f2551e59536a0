// Streaming quantiles of response times with Boost.Accumulators.

#include "api/response_metrics.h"

#include <array>
#include <cstddef>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

namespace greengagehead::api {

namespace {

namespace acc = boost::accumulators;

constexpr std::array probabilities {0.5, 0.9, 0.99, 0.999};
constexpr std::size_t max_teams = 1'000;
char const* const overflow_team = "other";

using time_accumulator = acc::accumulator_set<
    double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square_quantile>>;

std::string escape_label(std::string const& label)
{
    std::string text;
    for (char const character : label) {
        if (character == '"' || character == '\\')
            text += '\\';
        text += character == '\n' ? ' ' : character;
    }
    return text;
}

} // namespace

struct response_metrics::team_response_times {
    time_accumulator seconds {acc::extended_p_square_probabilities = probabilities};
};

response_metrics::response_metrics() = default;
response_metrics::~response_metrics() = default;

void response_metrics::record(std::string const& team, std::chrono::microseconds response)
{
    bool const is_recorded = this->teams.contains(team);
    auto& accumulated
        = this->teams[is_recorded || this->teams.size() < max_teams ? team : overflow_team];
    if (!accumulated)
        accumulated = std::make_unique<team_response_times>();
    accumulated->seconds(std::chrono::duration<double>(response).count());
}

void response_metrics::append_to(std::string& text) const
{
    text += "# HELP greengagehead_response_seconds Time from submission to final answer.\n"
            "# TYPE greengagehead_response_seconds summary\n";
    for (auto const& [team, response_times] : this->teams) {
        std::string const label = "team=\"" + escape_label(team) + "\"";
        for (double const probability : probabilities) {
            auto const value
                = acc::quantile(response_times->seconds, acc::quantile_probability = probability);
            text += "greengagehead_response_seconds{" + label + ",quantile=\""
                + std::to_string(probability) + "\"} " + std::to_string(value) + "\n";
        }
        text += "greengagehead_response_seconds_sum{" + label + "} "
            + std::to_string(acc::sum(response_times->seconds)) + "\n";
        text += "greengagehead_response_seconds_count{" + label + "} "
            + std::to_string(acc::count(response_times->seconds)) + "\n";
    }
}

} // namespace greengagehead::api
