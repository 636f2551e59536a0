// Verbs on jobs: submit, job, cancel, explain.

#include <charconv>
#include <chrono>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <string>

#include <unistd.h>

#include "base/random.h"
#include "cli/command_line.h"
#include "cli/entry_session.h"
#include "cli/verb_options.h"
#include "protocol/json_document.h"

namespace greengagehead::cli {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

/// Longest wait of one request, so that the progress display is refreshed between requests.
constexpr milliseconds max_poll_wait {1'000};
/// Added to the wait to get the request timeout, so that the reply of the entry arrives before the
/// client times out.
constexpr milliseconds reply_margin {10'000};

constexpr char const* wait_usage = "--wait must be a duration such as 500ms, 30s or 2m";

/// Parses a duration with the unit ms, s or m, such as "500ms". A number without a unit is in
/// milliseconds. Returns nothing when the text is malformed.
std::optional<milliseconds> parse_duration(std::string const& text)
{
    std::int64_t number = 0;
    char const* const last = text.data() + text.size();
    auto const [number_end, failure] = std::from_chars(text.data(), last, number);
    if (failure != std::errc() || number < 0)
        return std::nullopt;
    std::string const unit(number_end, last);
    if (unit.empty() || unit == "ms")
        return milliseconds(number);
    if (unit == "s")
        return std::chrono::seconds(number);
    if (unit == "m")
        return std::chrono::minutes(number);
    return std::nullopt;
}

/// The option `--wait`. Returns nothing, and reports the error, when it is malformed.
std::optional<milliseconds> parse_wait(cxxopts::ParseResult const& parsed, verb_options& options)
{
    auto const wait = parse_duration(parsed["wait"].as<std::string>());
    if (!wait)
        options.report_usage_error(wait_usage);
    return wait;
}

/// Reads a file, or standard input when `file` is "-". Returns nothing when the file cannot be
/// opened.
std::optional<std::string> read_input(std::string const& file)
{
    std::ostringstream text;
    if (file == "-") {
        text << std::cin.rdbuf();
        return text.str();
    }
    std::ifstream input(file);
    if (!input)
        return std::nullopt;
    text << input.rdbuf();
    return text.str();
}

/// Shows the number of succeeded tasks when standard error is a terminal.
void show_progress(json const& answer)
{
    if (isatty(STDERR_FILENO) == 0)
        return;
    std::size_t finished = 0;
    for (auto const& task : answer["tasks"])
        finished += task.value("state", "") == "succeeded" ? 1 : 0;
    std::cerr << "\r" << finished << " of " << answer["tasks"].size() << " tasks done "
              << std::flush;
}

exit_code print_answer(json const& answer)
{
    std::cout << answer.dump() << "\n";
    return answer.value("state", "") == "complete" ? exit_code::done : exit_code::failed;
}

/// Polls the job until it has ended or `wait` has passed, then prints the latest answer.
exit_code wait_for_answer(entry_session& session, json answer, milliseconds wait)
{
    auto const deadline = std::chrono::steady_clock::now() + wait;
    bool progress_shown = false;
    while (answer.value("state", "") == "running") {
        auto const remaining_time
            = std::chrono::ceil<milliseconds>(deadline - std::chrono::steady_clock::now());
        if (remaining_time.count() <= 0)
            break;
        show_progress(answer);
        progress_shown = true;
        auto const request_wait = std::min(remaining_time, max_poll_wait);
        auto next = session.call({transport::http_method::get,
                                  "/v1/jobs/" + answer["job"].get<std::string>()
                                      + "?wait=" + std::to_string(request_wait.count()),
                                  "",
                                  {},
                                  request_wait + reply_margin});
        if (!next)
            return exit_code::failed;
        answer = std::move(*next);
    }
    if (progress_shown && isatty(STDERR_FILENO) != 0)
        std::cerr << "\n";
    return print_answer(answer);
}

/// Runs a verb whose only argument is a job id. `send_request` gets the session and the path of the
/// job.
template <typename Action>
exit_code run_job_verb(char const* name, char const* summary, arguments const& args,
                       Action send_request)
{
    verb_options options(name, summary);
    options.positional({"ID"}, 1);
    auto const parsed = options.parse(args);
    if (!parsed)
        return options.early_exit_code;
    entry_session session(*parsed);
    return send_request(session,
                        "/v1/jobs/" + percent_encode_segment((*parsed)["ID"].as<std::string>()));
}

} // namespace

exit_code submit_verb(arguments const& args)
{
    verb_options options("submit", "Submit a job from a file or standard input (-).");
    options.add()("team", "Team of the job.", cxxopts::value<std::string>())(
        "id", "Submission id; random by default.",
        cxxopts::value<std::string>())("wait", "How long to wait for the answer, for example 30s.",
                                       cxxopts::value<std::string>()->default_value("30s"));
    options.positional({"FILE"}, 1);
    auto const parsed = options.parse(args);
    if (!parsed)
        return options.early_exit_code;
    auto const wait = parse_wait(*parsed, options);
    if (!wait)
        return options.early_exit_code;
    auto const text = read_input((*parsed)["FILE"].as<std::string>());
    auto body = text ? protocol::parse_json_or(*text, nullptr) : json();
    if (!body.is_object()) {
        options.report_usage_error("FILE must be a readable file with a JSON object");
        return options.early_exit_code;
    }
    if (parsed->count("team") > 0)
        body["team"] = (*parsed)["team"].as<std::string>();
    if (parsed->count("id") > 0)
        body["submission"] = (*parsed)["id"].as<std::string>();
    if (!body.contains("submission")) {
        body["submission"] = "cli-" + std::to_string(base::random_number());
        // The caller needs the id to resend the same submission when the answer is lost.
        std::cerr << "submission " << body["submission"].get<std::string>() << "\n";
    }

    entry_session session(*parsed);
    auto const first_wait = std::min(*wait, max_poll_wait);
    auto const answer = session.call({transport::http_method::post,
                                      "/v1/jobs?wait=" + std::to_string(first_wait.count()),
                                      body.dump(),
                                      {{"Content-Type", "application/json"}},
                                      first_wait + reply_margin});
    return answer ? wait_for_answer(session, *answer, *wait - first_wait) : exit_code::failed;
}

exit_code job_verb(arguments const& args)
{
    verb_options options("job", "Print the answer of a job.");
    options.add()("wait", "How long to wait for the answer, for example 30s.",
                  cxxopts::value<std::string>()->default_value("0"));
    options.positional({"ID"}, 1);
    auto const parsed = options.parse(args);
    if (!parsed)
        return options.early_exit_code;
    auto const wait = parse_wait(*parsed, options);
    if (!wait)
        return options.early_exit_code;
    entry_session session(*parsed);
    auto const path = "/v1/jobs/" + percent_encode_segment((*parsed)["ID"].as<std::string>());
    auto const answer = session.call({transport::http_method::get, path, "", {}});
    if (!answer)
        return exit_code::failed;
    if (wait->count() > 0)
        return wait_for_answer(session, *answer, *wait);
    std::cout << answer->dump() << "\n";
    return exit_code::done;
}

exit_code cancel_verb(arguments const& args)
{
    return run_job_verb(
        "cancel", "Cancel a job.", args, [](entry_session& session, std::string const& path) {
            auto const answer = session.call({transport::http_method::del, path, "", {}});
            if (!answer)
                return exit_code::failed;
            std::cout << answer->dump() << "\n";
            return exit_code::done;
        });
}

exit_code explain_verb(arguments const& args)
{
    return run_job_verb("explain", "Print every decision made about a job.", args,
                        [](entry_session& session, std::string const& path) {
                            auto const reply = session.call(
                                {transport::http_method::get, path + "/explain", "", {}});
                            if (!reply)
                                return exit_code::failed;
                            if (session.json()) {
                                std::cout << reply->dump() << "\n";
                                return exit_code::done;
                            }
                            std::cout << "job " << (*reply)["job"].get<std::string>() << " "
                                      << (*reply)["state"].get<std::string>() << "\n";
                            for (auto const& decision : (*reply)["decisions"])
                                std::cout << "  " << decision.dump() << "\n";
                            return exit_code::done;
                        });
}

} // namespace greengagehead::cli
