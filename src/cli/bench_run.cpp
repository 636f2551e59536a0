// Sending jobs and recording the responses.

#include "cli/bench_run.h"

#include <algorithm>
#include <utility>

#include "protocol/json_document.h"

namespace greengagehead::cli {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds send_interval {1};
/// Connection setup and parsing, which each response needs in addition to its longest task.
constexpr double min_overhead_ms = 2;

} // namespace

bench_run::bench_run(bench_settings run_settings)
    : settings(std::move(run_settings)), client(this->loop)
{
    for (auto const& text : this->settings.jobs) {
        auto body = protocol::parse_json_or(text, json::object());
        body.erase("submission");
        prepared_job job;
        job.team = body.value("team", "");
        job.ideal_ms = static_cast<double>(max_task_time(body).count()) + min_overhead_ms;
        job.tasks = body["tasks"].size();
        job.body_prefix = R"({"submission":")" + this->settings.run_id + "-";
        job.body_suffix = "\"," + body.dump().substr(1);
        this->jobs.push_back(std::move(job));
    }
}

milliseconds bench_run::max_task_time(json const& job)
{
    milliseconds longest {0};
    for (auto const& task : job["tasks"]) {
        auto const payload = task.find("payload");
        if (payload != task.end() && payload->is_object())
            longest = std::max(longest, milliseconds(payload->value("run_ms", 0)));
    }
    return longest;
}

std::map<std::string, bench_result> bench_run::run()
{
    this->start_time = steady_clock::now();
    auto const sender = this->loop.every(send_interval, [this] { this->send_due_jobs(); });
    this->loop.run();
    return std::exchange(this->results, {});
}

void bench_run::send_due_jobs()
{
    auto const elapsed = steady_clock::now() - this->start_time;
    auto const capped_elapsed = std::min<steady_clock::duration>(elapsed, this->settings.duration);
    auto const due_jobs = static_cast<std::uint64_t>(
        std::chrono::duration<double>(capped_elapsed).count() * this->settings.jobs_per_second);
    while (this->sent_jobs < due_jobs)
        this->send(this->sent_jobs++);
    if (elapsed >= this->settings.duration && this->answered_jobs == this->sent_jobs)
        this->loop.stop();
}

void bench_run::send(std::uint64_t number)
{
    auto const& job = this->jobs[number % this->jobs.size()];
    auto const wait = this->settings.answer_timeout.count();
    transport::http_client_request request;
    request.method = transport::http_method::post;
    request.address = this->settings.entries[number % this->settings.entries.size()];
    request.path = "/v1/jobs?wait=" + std::to_string(wait);
    request.headers.emplace_back("Content-Type", "application/json");
    if (!this->settings.token.empty())
        request.headers.emplace_back("Authorization", "Bearer " + this->settings.token);
    request.body = job.body_prefix + std::to_string(number) + job.body_suffix;
    request.timeout = this->settings.answer_timeout + milliseconds(5'000);
    auto const send_time = steady_clock::now();
    this->client.send(request, [this, &job, send_time](transport::http_client_response&& response) {
        this->handle_response(job, send_time, response);
    });
}

void bench_run::handle_response(prepared_job const& job, steady_clock::time_point send_time,
                                transport::http_client_response const& response)
{
    ++this->answered_jobs;
    auto& result = this->results[job.team];
    auto const body = protocol::parse_json_or(response.body, nullptr, protocol::max_answer_depth);
    if (response.status != transport::http_client_status::answered || !body.is_object()) {
        ++result.unanswered;
        return;
    }
    if (response.code != 200) {
        auto const error = body.value("error", json::object());
        ++(error.value("ran", "unknown") == "none" ? result.refused : result.unanswered);
        return;
    }
    if (body.value("state", "") != "complete") {
        ++result.failed;
        return;
    }
    auto const response_ms
        = std::chrono::duration<double, std::milli>(steady_clock::now() - send_time).count();
    ++result.complete;
    result.tasks += job.tasks;
    result.response_times_ms.push_back(response_ms);
    result.stretches.push_back(response_ms / job.ideal_ms);
}

} // namespace greengagehead::cli
