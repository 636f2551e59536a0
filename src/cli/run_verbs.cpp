// Verbs that need no running fleet: run and check.

#include <array>
#include <iostream>
#include <optional>
#include <string_view>
#include <utility>

#include <nlohmann/json.hpp>

#include "app/process.h"
#include "base/log_record.h"
#include "base/log_sink.h"
#include "cli/command_line.h"
#include "cli/verb_options.h"
#include "settings/settings_file.h"
#include "transport/socket_address.h"

namespace greengagehead::cli {

namespace {

/// No value for an unknown name.
std::optional<base::severity> parse_severity(std::string_view name)
{
    static constexpr std::array names {
        std::string_view {"debug"},
        std::string_view {"info"},
        std::string_view {"warning"},
        std::string_view {"error"},
    };
    auto const* const found = std::find(names.begin(), names.end(), name);
    if (found == names.end())
        return std::nullopt;
    return static_cast<base::severity>(found - names.begin());
}

/// Prints the problems of a settings file to standard error. Returns the exit code.
exit_code print_problems(settings::settings_check const& check)
{
    for (auto const& problem : check.problems)
        std::cerr << problem.to_string() << "\n";
    return exit_code::usage;
}

/// Opens the log and runs the process until it is told to stop.
/// @param reload called on SIGHUP for the new settings.
exit_code run_process_with(settings::process_settings const& run_settings,
                           app::adapter_set adapters, app::settings_source reload)
{
    auto const style
        = run_settings.log_format == "json" ? base::log_style::json : base::log_style::text;
    base::open_log(style, parse_severity(run_settings.log_level).value_or(base::severity::info));
    auto const result = app::run_process(run_settings, std::move(adapters), std::move(reload));
    base::flush_log();
    if (result)
        return exit_code::done;
    std::cerr << base::describe(result.error()) << "\n";
    return exit_code::failed;
}

/// Reads the settings file again. When it has problems, they are logged and the process keeps its
/// current settings.
std::optional<settings::process_settings> reload_settings_file(std::string const& file)
{
    auto check = settings::read_settings_file(file);
    for (auto const& problem : check.problems)
        base::log_record(base::log_event::settings_rejected).with("problem", problem.to_string());
    if (!check.problems.empty())
        return std::nullopt;
    return std::move(check.settings);
}

} // namespace

exit_code run_settings_file(std::string const& file, app::adapter_set adapters)
{
    auto const check = settings::read_settings_file(file);
    if (!check.problems.empty())
        return print_problems(check);
    return run_process_with(check.settings, std::move(adapters),
                            [file] { return reload_settings_file(file); });
}

exit_code run_verb(arguments const& args)
{
    verb_options options("run", "Run the roles of a settings file, or all roles on loopback.");
    options.add()("config", "Settings file.", cxxopts::value<std::string>())(
        "data", "Data directory.", cxxopts::value<std::string>())(
        "http", "Listen address of the HTTP interface, IP:PORT.", cxxopts::value<std::string>())(
        "announce", "Listen address for announcements of endpoints, 127.x.y.z:PORT.",
        cxxopts::value<std::string>())(
        "log-level", "Lowest level that is logged: debug, info, warning or error.",
        cxxopts::value<std::string>());
    auto const parsed = options.parse(args);
    if (!parsed)
        return options.early_exit_code;

    auto run_settings = settings::embedded_settings();
    if (parsed->count("config") > 0) {
        auto const check = settings::read_settings_file((*parsed)["config"].as<std::string>());
        if (!check.problems.empty())
            return print_problems(check);
        run_settings = check.settings;
    }
    for (auto const& [option, target] : {std::pair {"data", &run_settings.data_folder},
                                         std::pair {"http", &run_settings.entry_http},
                                         std::pair {"announce", &run_settings.agent_announce},
                                         std::pair {"log-level", &run_settings.log_level}}) {
        if (parsed->count(option) > 0)
            *target = (*parsed)[option].as<std::string>();
    }
    for (auto const& [option, address] : {std::pair {"http", &run_settings.entry_http},
                                          std::pair {"announce", &run_settings.agent_announce}}) {
        if (parsed->count(option) > 0 && !transport::parse_address(*address)) {
            options.report_usage_error(std::string("--") + option + " must be IP:PORT");
            return options.early_exit_code;
        }
    }
    if (!parse_severity(run_settings.log_level)) {
        options.report_usage_error("--log-level must be debug, info, warning or error");
        return options.early_exit_code;
    }
    app::settings_source reload;
    if (parsed->count("config") > 0)
        reload
            = [file = (*parsed)["config"].as<std::string>()] { return reload_settings_file(file); };
    return run_process_with(run_settings, {}, std::move(reload));
}

exit_code check_verb(arguments const& args)
{
    verb_options options("check", "Check a settings file and list every problem.");
    options.positional({"FILE"}, 1);
    auto const parsed = options.parse(args);
    if (!parsed)
        return options.early_exit_code;
    auto const file = (*parsed)["FILE"].as<std::string>();
    auto const check = settings::read_settings_file(file);
    if (parsed->count("json") > 0) {
        auto problems = nlohmann::json::array();
        for (auto const& problem : check.problems)
            problems.push_back({{"file", problem.file},
                                {"line", problem.line},
                                {"key", problem.key},
                                {"message", problem.message}});
        std::cout << nlohmann::json {{"problems", problems}}.dump() << "\n";
        return check.problems.empty() ? exit_code::done : exit_code::usage;
    }
    if (!check.problems.empty())
        return print_problems(check);
    std::cout << file << ": no problems\n";
    return exit_code::done;
}

} // namespace greengagehead::cli
