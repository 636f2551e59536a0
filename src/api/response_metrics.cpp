// Streaming quantiles of response times.

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
constexpr std::size_t most_teams = 1'000;
char const* const overflow_team = "other";

using times = acc::accumulator_set<
    double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square_quantile>>;

std::string escaped(std::string const& label)
{
    std::string text;
    for (char const letter : label) {
        if (letter == '"' || letter == '\\')
            text += '\\';
        text += letter == '\n' ? ' ' : letter;
    }
    return text;
}

} // namespace

struct response_metrics::team_times {
    times seconds {acc::extended_p_square_probabilities = probabilities};
};

response_metrics::response_metrics() = default;
response_metrics::~response_metrics() = default;

void response_metrics::record(std::string const& team, std::chrono::microseconds response)
{
    bool const known = this->teams.contains(team);
    auto& slot = this->teams[known || this->teams.size() < most_teams ? team : overflow_team];
    if (!slot)
        slot = std::make_unique<team_times>();
    slot->seconds(std::chrono::duration<double>(response).count());
}

void response_metrics::append_to(std::string& text) const
{
    text += "# HELP greengagehead_response_seconds Time from submission to final answer.\n"
            "# TYPE greengagehead_response_seconds summary\n";
    for (auto const& [team, measured] : this->teams) {
        std::string const label = "team=\"" + escaped(team) + "\"";
        for (double const probability : probabilities) {
            auto const value
                = acc::quantile(measured->seconds, acc::quantile_probability = probability);
            text += "greengagehead_response_seconds{" + label + ",quantile=\""
                + std::to_string(probability) + "\"} " + std::to_string(value) + "\n";
        }
        text += "greengagehead_response_seconds_sum{" + label + "} "
            + std::to_string(acc::sum(measured->seconds)) + "\n";
        text += "greengagehead_response_seconds_count{" + label + "} "
            + std::to_string(acc::count(measured->seconds)) + "\n";
    }
}

} // namespace greengagehead::api
