// Load generator: submits jobs to a running fleet at a constant rate and measures the response
// times.

#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "transport/event_loop.h"
#include "transport/http_client.h"

namespace greengagehead::cli {

struct bench_settings {
    std::vector<transport::socket_address> entries; ///< Used round robin.
    std::string token;
    std::string run_id; ///< Prefix of the submission ids, so that two runs never share a job.
    std::vector<std::string> jobs; ///< Jobs of the workload in JSON, used round robin.
    double jobs_per_second = 10;
    std::chrono::milliseconds duration {10'000};
    std::chrono::milliseconds answer_timeout {60'000};
};

/// Measured responses to the jobs of one team.
struct bench_result {
    /// Response time divided by the ideal response time, one per complete job.
    std::vector<double> stretches;
    std::vector<double> response_times_ms; ///< One per complete job.
    std::uint64_t complete = 0;
    std::uint64_t failed = 0;
    std::uint64_t refused = 0;
    std::uint64_t unanswered = 0; ///< No response, or one that does not say which tasks ran.
    std::uint64_t tasks = 0; ///< Tasks of the complete jobs.
};

/// Open-loop load: jobs are sent at fixed times, whether or not earlier responses have arrived, so
/// that a slow fleet does not reduce the load that it is measured under.
class bench_run {
public:
    explicit bench_run(bench_settings run_settings);

    /// Blocks until each job has been answered or has timed out. Returns the results by team.
    std::map<std::string, bench_result> run();

    /// Run time of the longest task of a job, from `run_ms` in its payloads. It is a lower bound of
    /// the response time.
    [[nodiscard]] static std::chrono::milliseconds max_task_time(nlohmann::json const& job);

private:
    struct prepared_job {
        std::string team;
        std::string body_prefix; ///< JSON up to the number in the submission id.
        std::string body_suffix; ///< JSON after the submission id.
        double ideal_ms = 0; ///< Ideal response time: the longest task plus the fixed overhead.
        std::uint64_t tasks = 0;
    };

    void send_due_jobs();
    void send(std::uint64_t number);
    void handle_response(prepared_job const& job, std::chrono::steady_clock::time_point send_time,
                         transport::http_client_response const& response);

    bench_settings settings;
    std::vector<prepared_job> jobs;
    transport::event_loop loop;
    transport::http_client client;
    std::chrono::steady_clock::time_point start_time;
    std::uint64_t sent_jobs = 0;
    std::uint64_t answered_jobs = 0; ///< Jobs with a response or a timeout.
    std::map<std::string, bench_result> results;
};

} // namespace greengagehead::cli
