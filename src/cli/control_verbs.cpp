// Verbs for operators: config, zone, drain, status, control.

#include <chrono>
#include <iostream>
#include <string>
#include <thread>

#include "base/random.h"
#include "cli/command_line.h"
#include "cli/entry_session.h"
#include "cli/table_printer.h"
#include "cli/verb_options.h"
#include "protocol/json_document.h"

namespace greengagehead::cli {

namespace {

using nlohmann::json;
using transport::http_method;

constexpr std::chrono::milliseconds watch_interval {1'000};

/// Strings without quotes, other values as JSON.
std::string to_text(json const& value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

exit_code print_json(std::optional<json> const& reply)
{
    if (!reply)
        return exit_code::failed;
    std::cout << reply->dump() << "\n";
    return exit_code::done;
}

/// Percent-encodes the segments of a settings path and adds the leading slash if it is missing.
std::string encode_path(std::string path)
{
    if (path.empty() || path.front() != '/')
        path.insert(0, "/");
    std::string encoded;
    std::size_t begin = 1;
    while (begin <= path.size()) {
        auto const end = std::min(path.find('/', begin), path.size());
        encoded += "/" + percent_encode_segment(path.substr(begin, end - begin));
        begin = end + 1;
    }
    return encoded;
}

void print_settings(json const& settings_list, bool with_history)
{
    table_printer table(with_history
                            ? std::vector<std::string> {"PATH", "VALUE", "VERSION", "AUTHOR"}
                            : std::vector<std::string> {"PATH", "VALUE", "VERSION"});
    for (auto const& setting : settings_list) {
        std::vector<std::string> row {to_text(setting["path"]), to_text(setting["value"]),
                                      to_text(setting["version"])};
        if (with_history)
            row.push_back(to_text(setting["author"]));
        table.add(std::move(row));
    }
    table.print(std::cout);
}

exit_code show_config(entry_session& session, std::string const& action, std::string const& path)
{
    std::string const query = action == "history" ? "?history=1" : "";
    auto const reply
        = session.call({http_method::get, "/v1/config" + encode_path(path) + query, "", {}});
    if (!reply || session.json())
        return print_json(reply);
    if (reply->contains("history"))
        print_settings((*reply)["history"], true);
    else if (reply->contains("settings"))
        print_settings((*reply)["settings"], false);
    else
        std::cout << to_text((*reply)["value"]) << "\n";
    bool const is_missing
        = action == "get" && reply->contains("settings") && (*reply)["settings"].empty();
    if (is_missing)
        std::cerr << "no setting at " << path << "\n";
    return is_missing ? exit_code::failed : exit_code::done;
}

/// Returns the idempotency key from `--key`, or a random one. A random key is printed before the
/// change is sent, so that the operator can resend a change that got no response.
std::string choose_idempotency_key(cxxopts::ParseResult const& parsed)
{
    if (parsed.count("key") > 0)
        return parsed["key"].as<std::string>();
    auto key = std::to_string(base::random_number());
    std::cerr << "idempotency key " << key << "\n";
    return key;
}

exit_code set_config(entry_session& session, cxxopts::ParseResult const& parsed)
{
    auto const text = parsed["VALUE"].as<std::string>();
    // A value that is not valid JSON is sent as a string.
    auto const value = protocol::parse_json_or(text, text);
    api_client::request request {http_method::put,
                                 "/v1/config" + encode_path(parsed["PATH"].as<std::string>()),
                                 value.dump(),
                                 {{"Idempotency-Key", choose_idempotency_key(parsed)}}};
    if (parsed.count("expect") > 0)
        request.headers.emplace_back("If-Match",
                                     std::to_string(parsed["expect"].as<std::uint64_t>()));
    auto const reply = session.call(request);
    if (!reply || session.json())
        return print_json(reply);
    std::cout << (*reply)["path"].get<std::string>() << " is " << to_text((*reply)["value"])
              << " everywhere, version " << (*reply)["version"] << "\n";
    return exit_code::done;
}

void print_status(json const& status)
{
    auto const& entry = status["entry"];
    std::cout << "entry " << to_text(entry["entry"]) << ", lease "
              << (entry["lease_valid"].get<bool>() ? "valid" : "NOT VALID") << ", view "
              << entry["applied_view"] << " applied, " << entry["settled_view"] << " settled, "
              << entry["running_jobs"] << " jobs running\n";
    for (auto const& reason : status["degraded"])
        std::cout << "DEGRADED: " << to_text(reason) << "\n";
    for (auto const& zone : status["zones_out"])
        std::cout << "ZONE OUT: " << to_text(zone) << "\n";
    std::cout << "\n";

    table_printer members({"CONTROL", "ADDRESS", "VOTER", "LEADER", "REACHABLE"});
    if (status["control"].is_object()) {
        for (auto const& member : status["control"]["members"])
            members.add({to_text(member["name"]), to_text(member["address"]),
                         to_text(member["voter"]), to_text(member["leader"]),
                         to_text(member["reachable"])});
    }
    members.print(std::cout);
    std::cout << "\n";

    table_printer entries({"ENTRY", "ZONE", "HTTP"});
    for (auto const& listed : status["entries"])
        entries.add({to_text(listed["name"]), to_text(listed["zone"]), to_text(listed["http"])});
    entries.print(std::cout);
    std::cout << "\n";

    table_printer endpoints({"ENDPOINT", "ZONE", "SLOTS", "USED", "HEALTH", "DRAINING"});
    for (auto const& endpoint : entry["endpoints"])
        endpoints.add({to_text(endpoint["name"]), to_text(endpoint["zone"]),
                       to_text(endpoint["slots"]), to_text(endpoint["used_slots"]),
                       to_text(endpoint["health"]), to_text(endpoint["draining"])});
    endpoints.print(std::cout);
    std::cout << "\n";

    table_printer teams({"TEAM", "WAITING", "IN PROGRESS"});
    for (auto const& team : entry["teams"])
        teams.add({to_text(team["team"]), to_text(team["waiting"]), to_text(team["in_progress"])});
    teams.print(std::cout);
}

} // namespace

exit_code config_verb(arguments const& args)
{
    verb_options options("config", "Read or change settings of the fleet.");
    options.add()("expect", "Change the setting only if it has this version.",
                  cxxopts::value<std::uint64_t>())(
        "key", "Idempotency key, needed to resend a change; random by default.",
        cxxopts::value<std::string>());
    options.positional({"ACTION", "PATH", "VALUE"}, 2);
    auto const parsed = options.parse(args);
    if (!parsed)
        return options.early_exit_code;
    auto const action = (*parsed)["ACTION"].as<std::string>();
    entry_session session(*parsed);
    if (action == "get" || action == "list" || action == "history")
        return show_config(session, action, (*parsed)["PATH"].as<std::string>());
    if (action == "set" && parsed->count("VALUE") > 0)
        return set_config(session, *parsed);
    options.report_usage_error("ACTION must be get, set, list or history; set needs a VALUE");
    return options.early_exit_code;
}

exit_code zone_verb(arguments const& args)
{
    verb_options options("zone", "Take a zone out of service or bring it back.");
    options.positional({"ACTION", "ZONE"}, 2);
    auto const parsed = options.parse(args);
    if (!parsed)
        return options.early_exit_code;
    auto const action = (*parsed)["ACTION"].as<std::string>();
    auto const zone = (*parsed)["ZONE"].as<std::string>();
    if (action != "out" && action != "in") {
        options.report_usage_error("ACTION must be out or in");
        return options.early_exit_code;
    }
    entry_session session(*parsed);
    auto const reply = session.call({http_method::put,
                                     "/v1/zones/" + percent_encode_segment(zone),
                                     json {{"state", action}}.dump(),
                                     {}});
    if (!reply || session.json())
        return print_json(reply);
    std::cout << "zone " << zone << " is " << action << " everywhere\n";
    if (reply->contains("warning"))
        std::cerr << "warning: " << to_text((*reply)["warning"]) << "\n";
    return exit_code::done;
}

exit_code drain_verb(arguments const& args)
{
    verb_options options("drain", "Stop sending new work to an endpoint.");
    options.add()("undo", "Undo the drain: send new work to the endpoint again.");
    options.positional({"ENDPOINT"}, 1);
    auto const parsed = options.parse(args);
    if (!parsed)
        return options.early_exit_code;
    auto const endpoint = (*parsed)["ENDPOINT"].as<std::string>();
    bool const undo = parsed->count("undo") > 0;
    entry_session session(*parsed);
    auto const reply = session.call(
        {http_method::post,
         "/v1/endpoints/" + percent_encode_segment(endpoint) + "/drain" + (undo ? "?undo=1" : ""),
         "",
         {}});
    if (!reply || session.json())
        return print_json(reply);
    std::cout << "endpoint " << endpoint
              << (undo ? " gets work again\n" : " gets no new work anywhere\n");
    return exit_code::done;
}

exit_code status_verb(arguments const& args)
{
    verb_options options("status", "Show processes, zones, endpoints and queues.");
    options.add()("watch", "Refresh every second until interrupted.");
    auto const parsed = options.parse(args);
    if (!parsed)
        return options.early_exit_code;
    bool const watch = parsed->count("watch") > 0;
    entry_session session(*parsed);
    while (true) {
        auto const reply = session.call({http_method::get, "/v1/status", "", {}});
        if (session.json()) {
            if (auto const code = print_json(reply); !watch)
                return code;
        } else if (reply) {
            // Clears the terminal before each refresh.
            std::cout << (watch ? "\033[2J\033[H" : "");
            print_status(*reply);
        }
        if (!watch)
            return reply ? exit_code::done : exit_code::failed;
        std::cout << std::flush;
        std::this_thread::sleep_for(watch_interval);
    }
}

exit_code control_verb(arguments const& args)
{
    verb_options options("control", "Show or change the members of the control group.");
    options.add()("address", "Address at which the new member accepts connections, IP:PORT.",
                  cxxopts::value<std::string>()->default_value(""));
    options.positional({"ACTION", "MEMBER", "REPLACEMENT"}, 1);
    auto const parsed = options.parse(args);
    if (!parsed)
        return options.early_exit_code;
    auto const action = (*parsed)["ACTION"].as<std::string>();
    entry_session session(*parsed);
    if (action == "list") {
        auto const reply = session.call({http_method::get, "/v1/control", "", {}});
        if (!reply || session.json())
            return print_json(reply);
        table_printer table({"MEMBER", "ADDRESS", "VOTER", "LEADER", "REACHABLE", "MATCH"});
        for (auto const& member : (*reply)["members"])
            table.add({to_text(member["name"]), to_text(member["address"]),
                       to_text(member["voter"]), to_text(member["leader"]),
                       to_text(member["reachable"]), to_text(member["match_index"])});
        table.print(std::cout);
        return exit_code::done;
    }
    if ((action != "add" && action != "remove" && action != "replace")
        || parsed->count("MEMBER") == 0) {
        options.report_usage_error("ACTION must be list, or add, remove or replace with a MEMBER");
        return options.early_exit_code;
    }
    json body {{"action", action},
               {"member", (*parsed)["MEMBER"].as<std::string>()},
               {"address", (*parsed)["address"].as<std::string>()}};
    if (parsed->count("REPLACEMENT") > 0)
        body["replacement"] = (*parsed)["REPLACEMENT"].as<std::string>();
    auto const reply = session.call({http_method::post, "/v1/control", body.dump(), {}});
    if (!reply || session.json())
        return print_json(reply);
    std::cout << "change of the control group accepted\n";
    return exit_code::done;
}

} // namespace greengagehead::cli
