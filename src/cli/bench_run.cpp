// Load loop of `greengagehead bench`.

#include "cli/bench_run.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

namespace greengagehead::cli {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds send_interval {1};
/// Connection set-up and parsing that every answer needs, besides its longest task.
constexpr double least_path_ms = 2;

} // namespace

bench_run::bench_run(bench_settings wanted) : settings(std::move(wanted)), client(this->loop)
{
    for (auto const& text : this->settings.jobs) {
        auto body = json::parse(text);
        body.erase("submission");
        prepared_job job;
        job.team = body.value("team", "");
        job.ideal_ms = static_cast<double>(longest_task(body).count()) + least_path_ms;
        job.tasks = body["tasks"].size();
        job.body_start = R"({"submission":")" + this->settings.run_id + "-";
        job.body_end = "\"," + body.dump().substr(1);
        this->jobs.push_back(std::move(job));
    }
}

milliseconds bench_run::longest_task(json const& job)
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
    this->began = steady_clock::now();
    auto const sender = this->loop.every(send_interval, [this] { this->send_due(); });
    this->loop.run();
    return std::exchange(this->results, {});
}

void bench_run::send_due()
{
    auto const elapsed = steady_clock::now() - this->began;
    auto const within = std::min<steady_clock::duration>(elapsed, this->settings.duration);
    auto const due = static_cast<std::uint64_t>(std::chrono::duration<double>(within).count()
                                                * this->settings.jobs_per_second);
    while (this->sent < due)
        this->send(this->sent++);
    if (elapsed >= this->settings.duration && this->answered == this->sent)
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
    request.body = job.body_start + std::to_string(number) + job.body_end;
    request.timeout = this->settings.answer_timeout + milliseconds(5'000);
    auto const begin = steady_clock::now();
    this->client.send(request, [this, &job, begin](transport::http_client_response&& response) {
        this->handle(job, begin, response);
    });
}

void bench_run::handle(prepared_job const& job, steady_clock::time_point begin,
                       transport::http_client_response const& response)
{
    ++this->answered;
    auto& result = this->results[job.team];
    auto const body = json::parse(response.body, nullptr, false);
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
    auto const time
        = std::chrono::duration<double, std::milli>(steady_clock::now() - begin).count();
    ++result.complete;
    result.tasks += job.tasks;
    result.responses_ms.push_back(time);
    result.stretches.push_back(time / job.ideal_ms);
}

} // namespace greengagehead::cli
