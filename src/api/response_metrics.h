// Response times of submissions as seen by callers, per team.

#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <string>

namespace greengagehead::api {

/// Summarizes response times as streaming quantiles, a sum and a count.
class response_metrics {
public:
    response_metrics();
    ~response_metrics();
    response_metrics(response_metrics const&) = delete;
    response_metrics& operator=(response_metrics const&) = delete;

    void record(std::string const& team, std::chrono::microseconds response);

    /// Appends a summary in the Prometheus text format, in seconds.
    void append_to(std::string& text) const;

private:
    struct team_response_times;

    // Invariant: bounded by `max_teams` and one entry shared by all further teams.
    std::map<std::string, std::unique_ptr<team_response_times>> teams;
};

} // namespace greengagehead::api
