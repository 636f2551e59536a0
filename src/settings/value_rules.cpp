// The table of keys of a settings file.

#include "settings/value_rules.h"

#include <functional>
#include <type_traits>
#include <utility>

namespace greengagehead::settings {

namespace {

template <typename Member> auto make_text_setter(Member member)
{
    return [member](process_settings& target, std::string const& value) { target.*member = value; };
}

using number_setter = std::function<void(process_settings&, std::uint64_t)>;

template <typename Member> number_setter make_number_setter(Member member)
{
    return [member](process_settings& target, std::uint64_t value) {
        auto& field = target.*member;
        field = std::remove_reference_t<decltype(field)>(value);
    };
}

template <typename Group, typename Member>
number_setter make_number_setter(Group group, Member member)
{
    return [group, member](process_settings& target, std::uint64_t value) {
        auto& field = (target.*group).*member;
        field = std::remove_reference_t<decltype(field)>(value);
    };
}

value_rule text_rule(std::string_view key, value_kind kind, std::vector<role> required_by,
                     std::string process_settings::*member, std::string_view description)
{
    value_rule rule;
    rule.key = key;
    rule.kind = kind;
    rule.required_by = std::move(required_by);
    rule.set_text = make_text_setter(member);
    rule.description = description;
    return rule;
}

value_rule choice_rule(std::string_view key, std::vector<std::string_view> choices,
                       std::string process_settings::*member, std::string_view description)
{
    auto rule = text_rule(key, value_kind::choice, {}, member, description);
    rule.choices = std::move(choices);
    return rule;
}

value_rule number_rule(std::string_view key, value_kind kind, std::uint64_t min_value,
                       std::uint64_t max_value, number_setter set, std::string_view description)
{
    value_rule rule;
    rule.key = key;
    rule.kind = kind;
    rule.min_value = min_value;
    rule.max_value = max_value;
    rule.set_number = std::move(set);
    rule.description = description;
    return rule;
}

void add_process_rules(std::vector<value_rule>& rules)
{
    using settings = process_settings;
    rules.push_back(text_rule("name", value_kind::text, {}, &settings::name,
                              "Name of the process, unique in the fleet."));
    rules.push_back(text_rule("zone", value_kind::text, {}, &settings::zone,
                              "Availability zone that the process runs in."));
    for (auto& rule : rules)
        rule.always_required = true;
    rules.push_back(text_rule("region", value_kind::text, {}, &settings::region,
                              "Region of the zone; empty in a deployment with one region."));
    rules.push_back(text_rule("data", value_kind::text, {role::control}, &settings::data_folder,
                              "Folder for the files of the control role."));
    rules.push_back(text_rule("fleet_key", value_kind::text, {}, &settings::fleet_key,
                              "Shared secret of all processes of the fleet; without it links are "
                              "accepted from anyone."));
    rules.push_back(text_rule("control.listen", value_kind::address, {role::control},
                              &settings::control_listen, "Address for links to the control role."));
    rules.push_back(number_rule("control.bootstrap", value_kind::flag, 0, 1,
                                make_number_setter(&settings::bootstrap),
                                "Whether this control member may create the control group. If "
                                "false, it joins an existing one."));
    rules.push_back(number_rule("control.most_members", value_kind::number, 1, 7,
                                make_number_setter(&settings::max_control_members),
                                "With control.link_port: members that announce themselves are "
                                "admitted to the control group until it has this many."));
    rules.push_back(
        number_rule("control.tolerated_losses", value_kind::number, 0, 100,
                    make_number_setter(&settings::tolerated_losses),
                    "With control.link_port: number of control members that may be "
                    "lost at the same time. Twice this number plus one stay voters even "
                    "while they are unreachable; others are removed."));
    rules.push_back(number_rule("control.link_port", value_kind::number, 1, 65'535,
                                make_number_setter(&settings::control_link_port),
                                "Port for links to control members, if the addresses in "
                                "[[controls]] have another port. These are then only the initial "
                                "contacts."));
    rules.push_back(text_rule("entry.listen", value_kind::address, {role::entry},
                              &settings::entry_listen, "Address for links to the entry role."));
    rules.push_back(text_rule("entry.http", value_kind::address, {role::entry},
                              &settings::entry_http, "HTTP address for callers and operators."));
    rules.push_back(choice_rule("entry.placement", {"least_loaded", "random"}, &settings::placement,
                                "Placement policy."));
    rules.push_back(number_rule("entry.recovery_hold_ms", value_kind::duration, 0, 10'000,
                                make_number_setter(&settings::recovery_hold),
                                "Longest time that an entry is expected to take from its start "
                                "until it has its configuration and endpoints. Requests that "
                                "arrive meanwhile are held if they can end in time; 0 refuses "
                                "them."));
    rules.push_back(number_rule("entry.recovery_hold_bytes", value_kind::number, 65'536,
                                1'073'741'824, make_number_setter(&settings::recovery_hold_bytes),
                                "Largest memory of all requests that are held."));
    rules.push_back(number_rule("entry.fair_accounts", value_kind::flag, 0, 1,
                                make_number_setter(&settings::fair_accounts),
                                "Whether jobs of accounts below their fair part of the served "
                                "slot time may wait longer, and those of accounts above it "
                                "shorter."));
    rules.push_back(number_rule("entry.share_by_demand", value_kind::flag, 0, 1,
                                make_number_setter(&settings::share_by_demand),
                                "Whether the slots are divided among the entries by demand. If "
                                "false, or unless all entries have it, the parts are equal."));
    rules.push_back(number_rule("entry.learn_speed", value_kind::flag, 0, 1,
                                make_number_setter(&settings::learn_speed),
                                "Whether an entry learns the speeds of the endpoints and places "
                                "tasks by them."));
    rules.push_back(number_rule("entry.max_loop_delay_ms", value_kind::duration, 0, 10'000,
                                make_number_setter(&settings::max_loop_delay),
                                "While the event loop of an entry stays late by more than this, "
                                "it refuses a part of the requests; 0 refuses none for it."));
    rules.push_back(text_rule("agent.announce", value_kind::loopback_address, {role::agent},
                              &settings::agent_announce,
                              "Loopback HTTP address at which endpoints announce themselves."));
    rules.push_back(number_rule("agent.announcement_interval_ms", value_kind::duration, 100, 60'000,
                                make_number_setter(&settings::announcement_interval),
                                "Interval of endpoint announcements; an endpoint that misses three "
                                "is treated as departed."));
    rules.push_back(
        choice_rule("log.format", {"text", "json"}, &settings::log_format, "Format of log lines."));
    rules.push_back(choice_rule("log.level", {"debug", "info", "warning", "error"},
                                &settings::log_level, "Lowest level that is logged."));
}

void add_limit_and_timing_rules(std::vector<value_rule>& rules)
{
    using settings = process_settings;
    using limits = limit_settings;
    using timing = timing_settings;
    auto const limit_setter
        = [](auto member) { return make_number_setter(&settings::limits, member); };
    auto const timing_setter
        = [](auto member) { return make_number_setter(&settings::timing, member); };
    rules.push_back(number_rule("limits.body_bytes", value_kind::number, 1'024, 67'108'864,
                                limit_setter(&limits::body_bytes), "Largest HTTP body."));
    rules.push_back(number_rule("limits.header_bytes", value_kind::number, 1'024, 1'048'576,
                                limit_setter(&limits::header_bytes), "Largest HTTP header block."));
    rules.push_back(number_rule("limits.tasks_per_job", value_kind::number, 1, 10'000,
                                limit_setter(&limits::tasks_per_job),
                                "Largest number of tasks in one job."));
    rules.push_back(number_rule("limits.longest_deadline_ms", value_kind::duration, 1'000,
                                3'600'000, limit_setter(&limits::max_deadline),
                                "Longest deadline that a caller may request."));
    rules.push_back(number_rule("limits.longest_wait_ms", value_kind::duration, 0, 3'600'000,
                                limit_setter(&limits::max_wait),
                                "Longest wait for an answer in one call."));
    rules.push_back(number_rule("limits.memory_mb", value_kind::number, 0, 1'048'576,
                                limit_setter(&limits::memory_mb),
                                "Memory that the process may use, in MiB; 0 if unknown. A quarter "
                                "of it may be held for connections."));
    rules.push_back(number_rule("limits.connections", value_kind::number, 0, 1'000'000,
                                limit_setter(&limits::connections),
                                "Largest number of accepted connections; 0 derives it from the "
                                "descriptors of the process, which bound it in any case."));
    rules.push_back(number_rule("limits.address_connections", value_kind::number, 0, 1'000'000,
                                limit_setter(&limits::address_connections),
                                "Largest number of accepted connections from one address; 0 is "
                                "three quarters of all."));
    rules.push_back(number_rule("limits.receive_buffer_bytes", value_kind::number, 4'096, 1'048'576,
                                limit_setter(&limits::receive_buffer_bytes),
                                "Least number of bytes that may have arrived for each accepted "
                                "connection and are not read. A quarter of the memory bounds them "
                                "for all, so there are fewer connections if it is small."));
    rules.push_back(number_rule("limits.request_ms", value_kind::duration, 1'000, 600'000,
                                limit_setter(&limits::request_timeout),
                                "Longest time from the first byte of a request to its last one."));
    rules.push_back(number_rule("limits.answer_ms", value_kind::duration, 1'000, 600'000,
                                limit_setter(&limits::answer_timeout),
                                "Longest time until a client has taken its answer."));
    rules.push_back(number_rule("limits.idle_ms", value_kind::duration, 1'000, 600'000,
                                limit_setter(&limits::idle_timeout),
                                "Longest time between two requests of a connection."));
    rules.push_back(number_rule("limits.handshake_ms", value_kind::duration, 1'000, 60'000,
                                limit_setter(&limits::handshake_timeout),
                                "Longest handshake of a link between processes."));
    rules.push_back(number_rule("timing.claim_retention_ms", value_kind::duration, 1'000,
                                86'400'000, timing_setter(&timing::claim_retention),
                                "How long answers of finished jobs are kept."));
    rules.push_back(
        number_rule("timing.tombstone_retention_ms", value_kind::duration, 1'000, 604'800'000,
                    timing_setter(&timing::tombstone_retention),
                    "How long ids of older jobs are kept so that resubmissions are refused."));
    rules.push_back(
        number_rule("timing.leave_delay_ms", value_kind::duration, 0, 60'000,
                    timing_setter(&timing::leave_delay),
                    "How long an entry keeps accepting jobs after /readyz starts to fail."));
    rules.push_back(number_rule("timing.shutdown_limit_ms", value_kind::duration, 1'000, 600'000,
                                timing_setter(&timing::shutdown_limit),
                                "Longest duration of a graceful shutdown."));
}

} // namespace

std::vector<value_rule> const& value_rules()
{
    static std::vector<value_rule> const rules = [] {
        std::vector<value_rule> table;
        add_process_rules(table);
        add_limit_and_timing_rules(table);
        return table;
    }();
    return rules;
}

std::string allowed_values(value_rule const& rule)
{
    switch (rule.kind) {
    case value_kind::text:
        return "a non-empty string";
    case value_kind::address:
        return "an address of the form \"IP:PORT\"";
    case value_kind::loopback_address:
        return "a loopback address of the form \"127.x.y.z:PORT\"";
    case value_kind::number:
        return "a whole number from " + std::to_string(rule.min_value) + " to "
            + std::to_string(rule.max_value);
    case value_kind::duration:
        return "whole milliseconds from " + std::to_string(rule.min_value) + " to "
            + std::to_string(rule.max_value);
    case value_kind::flag:
        return "true or false";
    case value_kind::choice:
        break;
    }
    std::string text = "one of";
    for (auto choice : rule.choices)
        text.append(" \"").append(choice).append("\"");
    return text;
}

} // namespace greengagehead::settings
