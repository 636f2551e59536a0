// Response times of submissions as seen by callers, per team, over Boost.Accumulators.

#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <string>

namespace greengagehead::api {

class response_metrics {
public:
    response_metrics();
    ~response_metrics();
    response_metrics(response_metrics const&) = delete;
    response_metrics& operator=(response_metrics const&) = delete;

    void record(std::string const& team, std::chrono::microseconds response);

    /// Appends lines in Prometheus' text format.
    void append_to(std::string& text) const;

private:
    struct team_times;

    // Bounded: teams beyond the limit are counted under one common name.
    std::map<std::string, std::unique_ptr<team_times>> teams;
};

} // namespace greengagehead::api
