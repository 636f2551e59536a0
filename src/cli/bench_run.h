// Load against a running fleet: submits jobs at a steady rate and measures their answers.

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
    std::vector<transport::socket_address> entries; ///< Used in turn.
    std::string token;
    std::string run_id; ///< Prefix of the submission ids, so that two runs never share a job.
    std::vector<std::string> jobs; ///< JSON of the jobs of the workload, used in turn.
    double jobs_per_second = 10;
    std::chrono::milliseconds duration {10'000};
    std::chrono::milliseconds answer_timeout {60'000};
};

/// Answers of one team.
struct bench_result {
    std::vector<double> stretches; ///< Response time over the ideal, one per complete answer.
    std::vector<double> responses_ms;
    std::uint64_t complete = 0;
    std::uint64_t failed = 0;
    std::uint64_t refused = 0;
    std::uint64_t unanswered = 0; ///< No answer, or one that does not tell what ran.
    std::uint64_t tasks = 0; ///< Tasks of complete answers.
};

/// Sends at fixed times, whether earlier answers have come or not, so that a slow fleet does not
/// lower the load it is measured with.
class bench_run {
public:
    explicit bench_run(bench_settings settings);

    /// Blocks until the last answer or its timeout. Results by team.
    std::map<std::string, bench_result> run();

    /// Run time of the longest task of a job, from `run_ms` of its payloads; the answer cannot be
    /// faster.
    [[nodiscard]] static std::chrono::milliseconds longest_task(nlohmann::json const& job);

private:
    struct prepared_job {
        std::string team;
        std::string body_start; ///< JSON up to the submission id.
        std::string body_end;
        double ideal_ms = 0;
        std::uint64_t tasks = 0;
    };

    void send_due();
    void send(std::uint64_t number);
    void handle(prepared_job const& job, std::chrono::steady_clock::time_point sent,
                transport::http_client_response const& response);

    bench_settings settings;
    std::vector<prepared_job> jobs;
    transport::event_loop loop;
    transport::http_client client;
    std::chrono::steady_clock::time_point began;
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::map<std::string, bench_result> results;
};

} // namespace greengagehead::cli
