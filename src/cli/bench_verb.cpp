// Verb bench: sends the jobs of a workload file and prints the measurements as a table or JSON.

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <iterator>
#include <optional>
#include <set>
#include <sstream>
#include <string>

#include "base/random.h"
#include "cli/api_client.h"
#include "cli/bench_run.h"
#include "cli/command_line.h"
#include "cli/table_printer.h"
#include "cli/verb_options.h"
#include "protocol/json_document.h"

namespace greengagehead::cli {

namespace {

using nlohmann::json;

double quantile(std::vector<double>& values, double fraction)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    auto const position = fraction * static_cast<double>(values.size() - 1);
    return values[static_cast<std::size_t>(position)];
}

std::string format_fixed(double value, int digits)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(digits) << value;
    return text.str();
}

/// Reads a workload file: one job or an array of jobs in JSON. Returns each job as JSON text, or
/// nothing when the file cannot be read, holds no job or holds anything else.
std::optional<std::vector<std::string>> read_workload(std::string const& file)
{
    std::ifstream input(file);
    std::string const text(std::istreambuf_iterator<char>(input), {});
    auto const body = protocol::parse_json_or(text, nullptr);
    std::vector<std::string> jobs;
    auto const listed_jobs = body.is_array() ? body : json::array({body});
    for (auto const& job : listed_jobs) {
        if (!job.is_object() || !job.contains("tasks") || !job["tasks"].is_array())
            return std::nullopt;
        jobs.push_back(job.dump());
    }
    return jobs.empty() ? std::nullopt : std::optional(jobs);
}

/// Sums the counters listed below over the metrics of all entries. Entries that do not respond are
/// skipped.
std::map<std::string, double> read_counters(std::vector<std::string> const& urls)
{
    static std::set<std::string> const counter_names {
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
            std::istringstream fields(line);
            double value = 0;
            if (fields >> name >> value && counter_names.contains(name))
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
            {"response_ms_p50", quantile(result.response_times_ms, 0.5)},
            {"response_ms_p99", quantile(result.response_times_ms, 0.99)},
            {"stretch_p50", quantile(result.stretches, 0.5)},
            {"stretch_p99", quantile(result.stretches, 0.99)},
            {"stretch_p999", quantile(result.stretches, 0.999)}};
}

void print_table(json const& teams, json const& totals)
{
    table_printer table({"TEAM", "COMPLETE", "FAILED", "REFUSED", "UNANSWERED", "TASKS/S", "P50 MS",
                         "P99 MS", "STRETCH P50", "P99", "P99.9"});
    for (auto const& [team, team_result] : teams.items())
        table.add({team, team_result["complete"].dump(), team_result["failed"].dump(),
                   team_result["refused"].dump(), team_result["unanswered"].dump(),
                   format_fixed(team_result["tasks_per_second"], 1),
                   format_fixed(team_result["response_ms_p50"], 1),
                   format_fixed(team_result["response_ms_p99"], 1),
                   format_fixed(team_result["stretch_p50"], 3),
                   format_fixed(team_result["stretch_p99"], 3),
                   format_fixed(team_result["stretch_p999"], 3)});
    table.print(std::cout);
    std::cout << "messages per task " << format_fixed(totals["messages_per_task"], 2)
              << ", wasted outcomes per task " << format_fixed(totals["wasted_per_task"], 4)
              << ", retries " << totals["retries"] << ", hedges " << totals["hedges"] << "\n";
}

json compute_totals(std::map<std::string, double> before, std::map<std::string, double> after)
{
    auto const increase = [&](char const* name) {
        std::string const key = std::string("greengagehead_") + name + "_total";
        return after[key] - before[key];
    };
    auto const tasks = std::max(1.0, increase("first_attempts"));
    return {{"messages_per_task", increase("messages_sent") / tasks},
            {"wasted_per_task", increase("wasted_outcomes") / tasks},
            {"retries", increase("retries")},
            {"hedges", increase("hedges")}};
}

} // namespace

exit_code bench_verb(arguments const& args)
{
    verb_options options("bench", "Send load to a running fleet and measure its response times.");
    options.add()("entries", "Base URLs of the entries, separated by commas.",
                  cxxopts::value<std::vector<std::string>>())(
        "rate", "Jobs per second.", cxxopts::value<double>()->default_value("10"))(
        "seconds", "Duration of the run, in seconds.",
        cxxopts::value<double>()->default_value("10"));
    options.positional({"WORKLOAD"}, 1);
    auto const parsed = options.parse(args);
    if (!parsed)
        return options.early_exit_code;
    auto const jobs = read_workload((*parsed)["WORKLOAD"].as<std::string>());
    if (!jobs) {
        options.report_usage_error(
            "WORKLOAD must be a file with a job or an array of jobs in JSON");
        return options.early_exit_code;
    }
    auto const urls = parsed->count("entries") > 0
        ? (*parsed)["entries"].as<std::vector<std::string>>()
        : std::vector<std::string> {(*parsed)["entry"].as<std::string>()};
    bench_settings run_settings;
    for (auto const& url : urls) {
        auto const target = transport::parse_http_url(url);
        if (!target) {
            options.report_usage_error(target.error().message);
            return options.early_exit_code;
        }
        run_settings.entries.push_back(target.value().first);
    }
    auto const seconds = (*parsed)["seconds"].as<double>();
    run_settings.token = (*parsed)["token"].as<std::string>();
    run_settings.run_id = "bench-" + std::to_string(base::random_number());
    run_settings.jobs = *jobs;
    run_settings.jobs_per_second = (*parsed)["rate"].as<double>();
    run_settings.duration = std::chrono::milliseconds(static_cast<std::int64_t>(seconds * 1000));

    auto const before = read_counters(urls);
    auto results = bench_run(std::move(run_settings)).run();
    json teams = json::object();
    std::uint64_t unanswered = 0;
    for (auto& [team, result] : results) {
        unanswered += result.unanswered;
        teams[team] = summarize(result, seconds);
    }
    auto const totals = compute_totals(before, read_counters(urls));
    if (parsed->count("json") > 0)
        std::cout << json {{"teams", teams}, {"totals", totals}}.dump() << "\n";
    else
        print_table(teams, totals);
    return unanswered == 0 ? exit_code::done : exit_code::failed;
}

} // namespace greengagehead::cli
