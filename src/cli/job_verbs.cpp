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
#include "cli/verb_options.h"
#include "cli/verb_reply.h"

namespace greengagehead::cli {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

/// Longest wait in one call, so that progress can be shown in between.
constexpr milliseconds poll_wait {1'000};
/// Added to the wait so that the entry's reply arrives before the client gives up.
constexpr milliseconds reply_margin {10'000};

/// "500ms", "2s", "1m" or plain milliseconds.
std::optional<milliseconds> parse_duration(std::string const& text)
{
    std::int64_t number = 0;
    char const* const last = text.data() + text.size();
    auto const [end, failure] = std::from_chars(text.data(), last, number);
    if (failure != std::errc() || number < 0)
        return std::nullopt;
    std::string const unit(end, last);
    if (unit.empty() || unit == "ms")
        return milliseconds(number);
    if (unit == "s")
        return std::chrono::seconds(number);
    if (unit == "m")
        return std::chrono::minutes(number);
    return std::nullopt;
}

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

/// Asks for the answer until the job is final or `wait` is over.
exit_code follow(entry_session& session, json answer, milliseconds wait)
{
    auto const until = std::chrono::steady_clock::now() + wait;
    bool shown = false;
    while (answer.value("state", "") == "running") {
        auto const left = std::chrono::ceil<milliseconds>(until - std::chrono::steady_clock::now());
        if (left.count() <= 0)
            break;
        show_progress(answer);
        shown = true;
        auto const step = std::min(left, poll_wait);
        auto next = session.call({transport::http_method::get,
                                  "/v1/jobs/" + answer["job"].get<std::string>()
                                      + "?wait=" + std::to_string(step.count()),
                                  "",
                                  {},
                                  step + reply_margin});
        if (!next)
            return exit_code::failed;
        answer = std::move(*next);
    }
    if (shown && isatty(STDERR_FILENO) != 0)
        std::cerr << "\n";
    return print_answer(answer);
}

/// Runs a verb whose only word is a job id.
template <typename Action>
exit_code with_job(char const* name, char const* summary, arguments const& words, Action action)
{
    verb_options options(name, summary);
    options.positional({"ID"}, 1);
    auto const parsed = options.parse(words);
    if (!parsed)
        return options.early_exit_code;
    entry_session session(*parsed);
    return action(session, "/v1/jobs/" + encode_segment((*parsed)["ID"].as<std::string>()));
}

} // namespace

exit_code submit_verb(arguments const& words)
{
    verb_options options("submit", "Submit a job from a file or standard input (-).");
    options.add()("team", "Team of the job.", cxxopts::value<std::string>())(
        "id", "Submission id; random when left out.",
        cxxopts::value<std::string>())("wait", "How long to wait for the answer, for example 30s.",
                                       cxxopts::value<std::string>()->default_value("30s"));
    options.positional({"FILE"}, 1);
    auto const parsed = options.parse(words);
    if (!parsed)
        return options.early_exit_code;
    auto const wait = parse_duration((*parsed)["wait"].as<std::string>());
    if (!wait) {
        options.report_usage_error("--wait must be a duration such as 500ms, 30s or 2m");
        return options.early_exit_code;
    }
    auto const text = read_input((*parsed)["FILE"].as<std::string>());
    auto body = text ? json::parse(*text, nullptr, false) : json(json::value_t::discarded);
    if (!body.is_object()) {
        options.report_usage_error("FILE must hold a JSON object");
        return options.early_exit_code;
    }
    if (parsed->count("team") > 0)
        body["team"] = (*parsed)["team"].as<std::string>();
    if (parsed->count("id") > 0)
        body["submission"] = (*parsed)["id"].as<std::string>();
    if (!body.contains("submission")) {
        body["submission"] = "cli-" + std::to_string(base::random_number());
        // Needed to send the same submission again after a lost answer.
        std::cerr << "submission " << body["submission"].get<std::string>() << "\n";
    }

    entry_session session(*parsed);
    auto const first = std::min(*wait, poll_wait);
    auto const answer = session.call({transport::http_method::post,
                                      "/v1/jobs?wait=" + std::to_string(first.count()),
                                      body.dump(),
                                      {{"Content-Type", "application/json"}},
                                      first + reply_margin});
    return answer ? follow(session, *answer, *wait - first) : exit_code::failed;
}

exit_code job_verb(arguments const& words)
{
    return with_job(
        "job", "Print the answer of a job.", words,
        [](entry_session& session, std::string const& path) {
            auto const answer = session.call({transport::http_method::get, path, "", {}});
            if (!answer)
                return exit_code::failed;
            std::cout << answer->dump() << "\n";
            return exit_code::done;
        });
}

exit_code cancel_verb(arguments const& words)
{
    return with_job(
        "cancel", "Stop a job.", words, [](entry_session& session, std::string const& path) {
            auto const answer = session.call({transport::http_method::del, path, "", {}});
            if (!answer)
                return exit_code::failed;
            std::cout << answer->dump() << "\n";
            return exit_code::done;
        });
}

exit_code explain_verb(arguments const& words)
{
    return with_job("explain", "Print every decision on a job.", words,
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
