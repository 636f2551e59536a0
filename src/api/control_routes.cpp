// Routes whose requests are forwarded to the control leader.

#include "api/control_routes.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <utility>

#include "api/json_replies.h"
#include "entry/entry_core.h"
#include "protocol/json_document.h"

namespace greengagehead::api {

namespace {

using json = nlohmann::json;

/// In a deployment of full size, a change must be in force everywhere within this time.
constexpr std::chrono::milliseconds change_timeout {18'000};
constexpr std::chrono::milliseconds read_timeout {5'000};

base::error invalid(std::string message)
{
    return {base::error_code::invalid_argument, base::error_step::settings, {}, std::move(message)};
}

base::error forbidden()
{
    return {base::error_code::unauthorized,
            base::error_step::admission,
            {},
            "the token does not permit this request"};
}

void forward_to_control(route_context& context, route_call const& call,
                        protocol::control_request_body body, std::chrono::milliseconds timeout)
{
    context.core.control(
        std::move(body), timeout,
        [exchange = call.exchange](protocol::control_result const& result) {
            exchange->respond(control_response(result));
        },
        base::steady_now());
}

/// Parses `If-Match: VERSION`, with or without quotes. Empty without the header.
base::result<std::optional<std::uint64_t>> parse_expected_version(route_call const& call)
{
    auto const found = call.request.headers.find("if-match");
    if (found == call.request.headers.end())
        return std::optional<std::uint64_t>();
    std::string text = found->second;
    std::erase(text, '"');
    std::uint64_t version = 0;
    auto const [end, failure] = std::from_chars(text.data(), text.data() + text.size(), version);
    if (failure != std::errc() || end != text.data() + text.size())
        return invalid("If-Match must be the version number of a setting");
    return std::optional(version);
}

std::string header_or_empty(route_call const& call, std::string const& name)
{
    auto const found = call.request.headers.find(name);
    return found == call.request.headers.end() ? std::string() : found->second;
}

/// Parses a JSON object that may only have `allowed_fields`, all of them strings.
base::result<std::map<std::string, std::string>>
parse_string_fields(std::string const& text, std::set<std::string> const& allowed_fields)
{
    BOOST_OUTCOME_TRY(body, protocol::parse_body(text));
    if (!body.is_object())
        return invalid("the body must be a JSON object");
    std::map<std::string, std::string> values;
    for (auto const& [key, value] : body.items()) {
        if (!allowed_fields.contains(key))
            return invalid("unknown field " + key);
        if (!value.is_string())
            return invalid(key + " must be a string");
        values[key] = value.get<std::string>();
    }
    return values;
}

std::string author_of(caller const& sender)
{
    return sender.may_operate() ? "operator" : "team " + sender.team;
}

} // namespace

void show_setting(route_context& context, route_call& call)
{
    std::string const path = "/" + call.path_suffix;
    if (!call.sender.may_use_path(path))
        return call.exchange->respond(error_response(forbidden()));
    if (call.request.query.contains("history"))
        return forward_to_control(context, call, protocol::read_history {path}, read_timeout);
    context.core.control(
        protocol::read_settings {path}, read_timeout,
        [exchange = call.exchange, path](protocol::control_result const& result) {
            auto const* const list = std::get_if<protocol::settings_list>(&result);
            // The reply to the path of a single setting is that setting, not a list.
            if (list != nullptr && list->settings.size() == 1 && list->settings[0].path == path) {
                protocol::change_result single;
                single.current = list->settings[0];
                return exchange->respond(control_response(single));
            }
            exchange->respond(control_response(result));
        },
        base::steady_now());
}

void change_setting(route_context& context, route_call& call)
{
    protocol::put_setting change;
    change.path = "/" + call.path_suffix;
    if (!call.sender.may_use_path(change.path))
        return call.exchange->respond(error_response(forbidden()));
    auto const parsed = protocol::parse_body(call.request.body);
    if (!parsed)
        return call.exchange->respond(error_response(parsed.error()));
    auto body = parsed.value();
    // Both a plain JSON value and {"value": ...} are accepted.
    if (body.is_object() && body.size() == 1 && body.contains("value"))
        body = json(body["value"]);
    if (body.is_structured() || body.is_null())
        return call.exchange->respond(
            error_response(invalid("the body must be a JSON number, string or boolean")));
    auto const expected = parse_expected_version(call);
    if (!expected)
        return call.exchange->respond(error_response(expected.error()));
    change.value = body.dump();
    change.expected_version = expected.value();
    change.idempotency_key = header_or_empty(call, "idempotency-key");
    change.author = author_of(call.sender);
    forward_to_control(context, call, protocol::command_body(std::move(change)), change_timeout);
}

void show_zones(route_context& context, route_call& call)
{
    auto const& view = context.core.applied_view();
    std::set<std::string> names(view.zones_out.begin(), view.zones_out.end());
    for (auto const& member : view.entries)
        names.insert(member.zone);
    for (auto const& endpoint : context.core.status(base::steady_now()).endpoints)
        names.insert(endpoint.zone);
    json zones = json::array();
    for (auto const& name : names) {
        bool const is_out
            = std::find(view.zones_out.begin(), view.zones_out.end(), name) != view.zones_out.end();
        zones.push_back({{"zone", name}, {"state", is_out ? "out" : "in"}});
    }
    transport::http_response response;
    response.body = dump({{"zones", std::move(zones)}, {"view", view.number}});
    call.exchange->respond(response);
}

void change_zone(route_context& context, route_call& call)
{
    if (!call.sender.may_operate())
        return call.exchange->respond(error_response(forbidden()));
    auto const body = parse_string_fields(call.request.body, {"state"});
    if (!body)
        return call.exchange->respond(error_response(body.error()));
    auto const state = body.value().find("state");
    if (call.path_suffix.empty() || state == body.value().end()
        || (state->second != "out" && state->second != "in"))
        return call.exchange->respond(error_response(invalid("state must be \"out\" or \"in\"")));
    protocol::put_zone_state change;
    change.zone = call.path_suffix;
    change.out = state->second == "out";
    forward_to_control(context, call, protocol::command_body(std::move(change)), change_timeout);
}

void drain_endpoint(route_context& context, route_call& call)
{
    static constexpr std::string_view suffix = "/drain";
    if (!call.sender.may_operate())
        return call.exchange->respond(error_response(forbidden()));
    if (call.path_suffix.size() <= suffix.size() || !call.path_suffix.ends_with(suffix))
        return call.exchange->respond(error_response(
            {base::error_code::not_found, base::error_step::admission, {}, "no such path"}));
    protocol::put_endpoint_drain change;
    change.endpoint = call.path_suffix.substr(0, call.path_suffix.size() - suffix.size());
    // `?undo=1` ends the drain.
    change.draining = !call.request.query.contains("undo");
    forward_to_control(context, call, protocol::command_body(std::move(change)), change_timeout);
}

void show_control(route_context& context, route_call& call)
{
    forward_to_control(context, call, protocol::read_control_status {}, read_timeout);
}

void change_control(route_context& context, route_call& call)
{
    if (!call.sender.may_operate())
        return call.exchange->respond(error_response(forbidden()));
    auto const body
        = parse_string_fields(call.request.body, {"action", "member", "replacement", "address"});
    if (!body)
        return call.exchange->respond(error_response(body.error()));
    auto values = body.value();
    static std::map<std::string, protocol::change_members::action> const actions {
        {"add", protocol::change_members::action::add},
        {"remove", protocol::change_members::action::remove},
        {"replace", protocol::change_members::action::replace},
    };
    auto const action = actions.find(values["action"]);
    if (action == actions.end() || values["member"].empty())
        return call.exchange->respond(error_response(invalid(
            "action must be \"add\", \"remove\" or \"replace\", and member must be given")));
    forward_to_control(context, call,
                       protocol::change_members {action->second, values["member"],
                                                 values["replacement"], values["address"]},
                       change_timeout);
}

} // namespace greengagehead::api
