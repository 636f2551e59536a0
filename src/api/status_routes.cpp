// Health, status and metrics.

#include "api/status_routes.h"

#include <array>
#include <chrono>
#include <string_view>
#include <utility>

#include <nlohmann/json.hpp>

#include "api/account_metrics.h"
#include "api/json_replies.h"
#include "base/log_sink.h"
#include "entry/account_usage.h"
#include "entry/entry_core.h"
#include "entry/restart_counts.h"

namespace greengagehead::api {

namespace {

using json = nlohmann::json;

/// Without a reply from control within this time, the status is reported without it.
constexpr std::chrono::milliseconds status_timeout {1'000};

void respond_json(route_call const& call, int status, json const& body)
{
    transport::http_response response;
    response.status = status;
    response.body = dump(body);
    call.exchange->respond(response);
}

/// Conditions that need an operator's attention, as readable text.
json degradation_reasons(entry::entry_status const& status, protocol::control_status const* control)
{
    json reasons = json::array();
    if (!status.lease_valid)
        reasons.push_back("this entry has no valid lease: it starts no task");
    if (control == nullptr) {
        reasons.push_back("no control leader answers");
        return reasons;
    }
    for (auto const& member : control->members) {
        if (!member.reachable)
            reasons.push_back("control member " + member.name + " does not answer");
    }
    if (control->in_force < control->view)
        reasons.push_back("view " + std::to_string(control->view) + " is not in force everywhere");
    return reasons;
}

struct counter_metric {
    std::string_view name;
    std::string_view help;
    std::uint64_t entry::entry_counters::*value;
};

constexpr std::array counter_metrics {
    counter_metric {"jobs_accepted_total", "Jobs admitted.", &entry::entry_counters::jobs_accepted},
    counter_metric {"jobs_refused_total", "Jobs refused, nothing ran.",
                    &entry::entry_counters::jobs_refused},
    counter_metric {"jobs_complete_total", "Jobs answered whole.",
                    &entry::entry_counters::jobs_complete},
    counter_metric {"jobs_failed_total", "Jobs marked failed.",
                    &entry::entry_counters::jobs_failed},
    counter_metric {"first_attempts_total", "First attempts of tasks.",
                    &entry::entry_counters::first_attempts},
    counter_metric {"refused_starts_total", "Starts that an agent did not admit.",
                    &entry::entry_counters::refused_starts},
    counter_metric {"retries_total", "Further attempts after a failure.",
                    &entry::entry_counters::retries},
    counter_metric {"hedges_total", "Second attempts of stragglers.",
                    &entry::entry_counters::hedges},
    counter_metric {"requests_held_total", "Requests held while the entry recovered its state.",
                    &entry::entry_counters::requests_held},
    counter_metric {"held_requests_resumed_total", "Held requests that were continued.",
                    &entry::entry_counters::held_requests_resumed},
    counter_metric {"held_requests_expired_total", "Held requests whose time was up.",
                    &entry::entry_counters::held_requests_expired},
    counter_metric {"held_requests_left_total", "Held requests whose callers left.",
                    &entry::entry_counters::held_requests_left},
    counter_metric {"held_requests_shut_down_total", "Held requests that a shutdown ended.",
                    &entry::entry_counters::held_requests_shut_down},
    counter_metric {"hold_overflows_total", "Requests not held for lack of memory.",
                    &entry::entry_counters::hold_overflows},
    counter_metric {"hold_time_refusals_total",
                    "Requests not held because too little time was left.",
                    &entry::entry_counters::hold_time_refusals},
    counter_metric {"overload_refusals_total",
                    "Requests refused before they were read because the event loop ran behind.",
                    &entry::entry_counters::overload_refusals},
    counter_metric {"messages_sent_total", "Messages to other processes.",
                    &entry::entry_counters::messages_sent},
    counter_metric {"submissions_held_total",
                    "Submissions that another entry might run when they arrived.",
                    &entry::entry_counters::submissions_held},
    counter_metric {"wasted_outcomes_total", "Outcomes that added nothing to an answer.",
                    &entry::entry_counters::wasted_outcomes},
};

void append_sample(std::string& text, std::string_view name, std::string const& labels,
                   std::uint64_t value)
{
    text.append("greengagehead_").append(name);
    if (!labels.empty())
        text += "{" + labels + "}";
    text += " " + std::to_string(value) + "\n";
}

void append_counter(std::string& text, std::string_view name, std::string_view help,
                    std::uint64_t value)
{
    text.append("# HELP greengagehead_").append(name).append(" ").append(help);
    text.append("\n# TYPE greengagehead_").append(name).append(" counter\n");
    append_sample(text, name, "", value);
}

/// A value of a label, as the text format writes it.
std::string label_value(std::string const& text)
{
    std::string escaped;
    for (char const letter : text) {
        if (letter == '\\' || letter == '"')
            escaped += '\\';
        escaped += letter == '\n' ? ' ' : letter;
    }
    return escaped;
}

void append_restarts(std::string& text, entry::restart_counts const& restarts)
{
    constexpr std::string_view name = "task_restarts_total";
    text.append("# HELP greengagehead_").append(name);
    text.append(" Tasks queued again, by why their attempt had ended without a result.");
    text.append("\n# TYPE greengagehead_").append(name).append(" counter\n");
    for (auto const& [reason, count] : restarts.by_reason())
        append_sample(text, name, "reason=\"" + label_value(reason) + "\"", count);
}

/// One part of the message counters as a metric.
struct message_metric {
    std::string_view name;
    std::string_view help;
    std::uint64_t transport::message_count::*value;
};

constexpr std::array message_metrics {
    message_metric {"link_messages_total",
                    "Messages on links to other processes, by direction and kind.",
                    &transport::message_count::messages},
    message_metric {"link_message_bytes_total",
                    "Encoded bytes of the messages on links, by direction and kind.",
                    &transport::message_count::bytes},
};

/// Kinds that have not occurred are left out.
void append_messages(std::string& text, transport::message_counters const& counters)
{
    for (auto const& metric : message_metrics) {
        text.append("# HELP greengagehead_").append(metric.name).append(" ").append(metric.help);
        text.append("\n# TYPE greengagehead_").append(metric.name).append(" counter\n");
        auto const append_direction = [&](std::string const& direction, auto const& counts) {
            for (std::size_t kind = 0; kind < counts.size(); ++kind) {
                auto const name = std::string(protocol::message_kind_name(kind));
                auto const labels = "direction=\"" + direction + "\",kind=\"" + name + "\"";
                if (auto const value = counts.at(kind).*(metric.value); value > 0)
                    append_sample(text, metric.name, labels, value);
            }
        };
        append_direction("sent", counters.sent);
        append_direction("received", counters.received);
    }
}

struct share_metric {
    std::string_view name;
    std::string_view type;
    std::string_view help;
    std::uint64_t (*value)(entry::share_status const& shares);
};

constexpr std::array share_metrics {
    share_metric {"share_weight", "gauge",
                  "Weight of this entry in the table of capacity shares, in parts of 1,000.",
                  [](auto const& shares) { return std::uint64_t {shares.weight}; }},
    share_metric {"share_table", "gauge", "Number of the table of capacity shares; 0 for none.",
                  [](auto const& shares) { return shares.table; }},
    share_metric {"share_table_settled", "gauge", "Whether the table is known to be settled.",
                  [](auto const& shares) { return std::uint64_t {shares.settled}; }},
    share_metric {"share_tables_applied_total", "counter", "Tables of capacity shares applied.",
                  [](auto const& shares) { return shares.changes; }},
    share_metric {"arriving_slot_ms", "gauge",
                  "Slot time that arrives per second in milliseconds, refused work included.",
                  [](auto const& shares) {
                      return static_cast<std::uint64_t>(shares.arriving.count() / 1000);
                  }},
};

void append_shares(std::string& text, entry::share_status const& shares)
{
    if (!shares.enabled)
        return;
    for (auto const& metric : share_metrics) {
        text.append("# HELP greengagehead_").append(metric.name).append(" ").append(metric.help);
        text.append("\n# TYPE greengagehead_").append(metric.name).append(" ");
        text.append(metric.type).append("\n");
        append_sample(text, metric.name, "", metric.value(shares));
    }
}

void append_connections(std::string& text, transport::connection_counts const& counts)
{
    text += "# HELP greengagehead_connections_closed_total Connections closed or refused, by the "
            "limit that was reached.\n"
            "# TYPE greengagehead_connections_closed_total counter\n";
    for (std::size_t index = 0; index < counts.closed.size(); ++index) {
        auto const reason = std::string(to_string(static_cast<policy::close_reason>(index)));
        append_sample(text, "connections_closed_total", "reason=\"" + reason + "\"",
                      counts.closed.at(index));
    }
    text += "# TYPE greengagehead_connections gauge\n";
    append_sample(text, "connections", "", counts.open);
    text += "# TYPE greengagehead_connection_bytes gauge\n";
    append_sample(text, "connection_bytes", "", counts.held_bytes);
}

/// Learned speeds of the endpoints, 1 for an ordinary one.
void append_speeds(std::string& text, std::vector<entry::endpoint_status> const& endpoints)
{
    text += "# TYPE greengagehead_endpoint_speed gauge\n";
    for (auto const& endpoint : endpoints)
        text.append("greengagehead_endpoint_speed{endpoint=\"")
            .append(endpoint.name)
            .append("\",zone=\"")
            .append(endpoint.zone)
            .append("\"} ")
            .append(std::to_string(endpoint.speed))
            .append("\n");
}

void append_gauges(std::string& text, entry::entry_status const& status)
{
    text += "# TYPE greengagehead_lease_valid gauge\n";
    append_sample(text, "lease_valid", "", status.lease_valid ? 1 : 0);
    text += "# TYPE greengagehead_running_jobs gauge\n";
    append_sample(text, "running_jobs", "", status.running_jobs);
    text += "# TYPE greengagehead_held_requests gauge\n";
    append_sample(text, "held_requests", "", status.held_requests);
    text += "# TYPE greengagehead_held_request_bytes gauge\n";
    append_sample(text, "held_request_bytes", "", status.held_request_bytes);
    text += "# TYPE greengagehead_waiting_tasks gauge\n";
    for (auto const& team : status.teams)
        append_sample(text, "waiting_tasks", "team=\"" + team.team + "\"", team.waiting);
    text += "# TYPE greengagehead_tasks_in_progress gauge\n";
    for (auto const& team : status.teams)
        append_sample(text, "tasks_in_progress", "team=\"" + team.team + "\"", team.in_progress);
    text += "# TYPE greengagehead_slots gauge\n";
    for (auto const& endpoint : status.endpoints)
        append_sample(text, "slots",
                      "endpoint=\"" + endpoint.name + "\",zone=\"" + endpoint.zone + "\"",
                      endpoint.slots);
    text += "# TYPE greengagehead_used_slots gauge\n";
    for (auto const& endpoint : status.endpoints)
        append_sample(text, "used_slots",
                      "endpoint=\"" + endpoint.name + "\",zone=\"" + endpoint.zone + "\"",
                      endpoint.used_slots);
    if (status.learns_speed)
        append_speeds(text, status.endpoints);
}

} // namespace

void show_health(route_context& /*context*/, route_call& call)
{
    respond_json(call, 200, {{"status", "ok"}});
}

void show_readiness(route_context& context, route_call& call)
{
    if (context.shutting_down)
        return respond_json(call, 503, {{"ready", false}, {"reason", "shutting down"}});
    if (!context.core.status(base::steady_now()).lease_valid)
        return respond_json(call, 503, {{"ready", false}, {"reason", "no valid lease"}});
    respond_json(call, 200, {{"ready", true}});
}

void show_status(route_context& context, route_call& call)
{
    context.core.control(
        protocol::read_control_status {}, status_timeout,
        [&core = context.core, exchange = call.exchange](protocol::control_result const& result) {
            auto const status = core.status(base::steady_now());
            auto const* const control = std::get_if<protocol::control_status>(&result);
            json body {{"entry", status_json(status)},
                       {"control", control == nullptr ? json() : control_json(*control)},
                       {"zones_out", core.applied_view().zones_out},
                       {"degraded", degradation_reasons(status, control)}};
            json entries = json::array();
            for (auto const& member : core.applied_view().entries)
                entries.push_back({{"name", member.id.name},
                                   {"zone", member.zone},
                                   {"http", member.http_address}});
            body["entries"] = std::move(entries);
            transport::http_response response;
            response.body = dump(body);
            exchange->respond(response);
        },
        base::steady_now());
}

void show_metrics(route_context& context, route_call& call)
{
    std::string text;
    auto const& counters = context.core.counters();
    for (auto const& metric : counter_metrics)
        append_counter(text, metric.name, metric.help, counters.*(metric.value));
    append_counter(text, "log_lines_dropped_total",
                   "Log lines of this process that standard output did not take.",
                   base::dropped_log_lines());
    append_restarts(text, context.core.restarts());
    append_messages(text, context.messages);
    append_connections(text, context.connections.counts());
    append_account_metrics(text, context.core.accounts());
    auto const status = context.core.status(base::steady_now());
    append_gauges(text, status);
    append_shares(text, status.shares);
    context.metrics.append_to(text);
    call.exchange->respond({200, text, "text/plain; version=0.0.4; charset=utf-8", {}});
}

} // namespace greengagehead::api
