// Verb bench: load from a workload file, and its measures as table and JSON.

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <optional>
#include <set>
#include <sstream>
#include <string>

#include <nlohmann/json.hpp>

#include "base/random.h"
#include "cli/api_client.h"
#include "cli/bench_run.h"
#include "cli/command_line.h"
#include "cli/table_printer.h"
#include "cli/verb_options.h"

namespace greengagehead::cli {

namespace {

using nlohmann::json;

double quantile(std::vector<double>& values, double part)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    auto const position = part * static_cast<double>(values.size() - 1);
    return values[static_cast<std::size_t>(position)];
}

std::string fixed(double value, int digits)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(digits) << value;
    return text.str();
}

/// A workload is one job or an array of jobs.
std::optional<std::vector<std::string>> read_workload(std::string const& file)
{
    std::ifstream input(file);
    auto const body = json::parse(input, nullptr, false);
    std::vector<std::string> jobs;
    auto const list = body.is_array() ? body : json::array({body});
    for (auto const& job : list) {
        if (!job.is_object() || !job.contains("tasks") || !job["tasks"].is_array())
            return std::nullopt;
        jobs.push_back(job.dump());
    }
    return jobs.empty() ? std::nullopt : std::optional(jobs);
}

/// Messages and wasted outcomes of all entries, from their metrics.
std::map<std::string, double> read_counters(std::vector<std::string> const& urls)
{
    static std::set<std::string> const wanted {
        "greengagehead_messages_sent_total", "greengagehead_wasted_outcomes_total",
        "greengagehead_first_attempts_total", "greengagehead_retries_total",
        "greengagehead_hedges_total"};
    std::map<std::string, double> counters;
    for (auto const& url : urls) {
        auto const reply
            = api_client(url, "").call({transport::http_method::get, "/metrics", "", {}});
        std::istringstream lines(reply ? reply.value().body : "");
        std::string name;
        for (std::string line; std::getline(lines, line);) {
            std::istringstream words(line);
            double value = 0;
            if (words >> name >> value && wanted.contains(name))
                counters[name] += value;
        }
    }
    return counters;
}

json summarize(bench_result& result, double seconds)
{
    return {{"complete", result.complete},
            {"failed", result.failed},
            {"refused", result.refused},
            {"unanswered", result.unanswered},
            {"tasks_per_second", static_cast<double>(result.tasks) / seconds},
            {"response_ms_p50", quantile(result.responses_ms, 0.5)},
            {"response_ms_p99", quantile(result.responses_ms, 0.99)},
            {"stretch_p50", quantile(result.stretches, 0.5)},
            {"stretch_p99", quantile(result.stretches, 0.99)},
            {"stretch_p999", quantile(result.stretches, 0.999)}};
}

void print_table(json const& teams, json const& totals)
{
    table_printer table({"TEAM", "COMPLETE", "FAILED", "REFUSED", "UNANSWERED", "TASKS/S", "P50 MS",
                         "P99 MS", "STRETCH P50", "P99", "P99.9"});
    for (auto const& [team, item] : teams.items())
        table.add({team, item["complete"].dump(), item["failed"].dump(), item["refused"].dump(),
                   item["unanswered"].dump(), fixed(item["tasks_per_second"], 1),
                   fixed(item["response_ms_p50"], 1), fixed(item["response_ms_p99"], 1),
                   fixed(item["stretch_p50"], 3), fixed(item["stretch_p99"], 3),
                   fixed(item["stretch_p999"], 3)});
    table.print(std::cout);
    std::cout << "messages per task " << fixed(totals["messages_per_task"], 2)
              << ", wasted outcomes per task " << fixed(totals["wasted_per_task"], 4)
              << ", retries " << totals["retries"] << ", hedges " << totals["hedges"] << "\n";
}

json totals_of(std::map<std::string, double> before, std::map<std::string, double> after)
{
    auto const grown = [&](char const* name) {
        std::string const key = std::string("greengagehead_") + name + "_total";
        return after[key] - before[key];
    };
    auto const tasks = std::max(1.0, grown("first_attempts"));
    return {{"messages_per_task", grown("messages_sent") / tasks},
            {"wasted_per_task", grown("wasted_outcomes") / tasks},
            {"retries", grown("retries")},
            {"hedges", grown("hedges")}};
}

} // namespace

exit_code bench_verb(arguments const& words)
{
    verb_options options("bench", "Load a running fleet and measure its answers.");
    options.add()("entries", "Base URLs of the entries, separated by commas.",
                  cxxopts::value<std::vector<std::string>>())(
        "rate", "Jobs per second.", cxxopts::value<double>()->default_value("10"))(
        "seconds", "Length of the run.", cxxopts::value<double>()->default_value("10"));
    options.positional({"WORKLOAD"}, 1);
    auto const parsed = options.parse(words);
    if (!parsed)
        return options.early_exit_code;
    auto const jobs = read_workload((*parsed)["WORKLOAD"].as<std::string>());
    if (!jobs) {
        options.report_usage_error("WORKLOAD must hold a job or an array of jobs in JSON");
        return options.early_exit_code;
    }
    auto const urls = parsed->count("entries") > 0
        ? (*parsed)["entries"].as<std::vector<std::string>>()
        : std::vector<std::string> {(*parsed)["entry"].as<std::string>()};
    bench_settings wanted;
    for (auto const& url : urls) {
        auto const target = transport::parse_http_url(url);
        if (!target) {
            options.report_usage_error(target.error().message);
            return options.early_exit_code;
        }
        wanted.entries.push_back(target.value().first);
    }
    auto const seconds = (*parsed)["seconds"].as<double>();
    wanted.token = (*parsed)["token"].as<std::string>();
    wanted.run_id = "bench-" + std::to_string(base::random_number());
    wanted.jobs = *jobs;
    wanted.jobs_per_second = (*parsed)["rate"].as<double>();
    wanted.duration = std::chrono::milliseconds(static_cast<std::int64_t>(seconds * 1000));

    auto const before = read_counters(urls);
    auto results = bench_run(std::move(wanted)).run();
    json teams = json::object();
    std::uint64_t unanswered = 0;
    for (auto& [team, result] : results) {
        unanswered += result.unanswered;
        teams[team] = summarize(result, seconds);
    }
    auto const totals = totals_of(before, read_counters(urls));
    if (parsed->count("json") > 0)
        std::cout << json {{"teams", teams}, {"totals", totals}}.dump() << "\n";
    else
        print_table(teams, totals);
    return unanswered == 0 ? exit_code::done : exit_code::failed;
}

} // namespace greengagehead::cli
