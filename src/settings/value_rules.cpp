// The table of keys.

#include "settings/value_rules.h"

#include <functional>
#include <type_traits>
#include <utility>

namespace greengagehead::settings {

namespace {

template <typename Member> auto text_into(Member member)
{
    return [member](process_settings& target, std::string const& value) { target.*member = value; };
}

using number_setter = std::function<void(process_settings&, std::uint64_t)>;

template <typename Member> number_setter number_into(Member member)
{
    return [member](process_settings& target, std::uint64_t value) {
        auto& field = target.*member;
        field = std::remove_reference_t<decltype(field)>(value);
    };
}

template <typename Group, typename Member> number_setter number_into(Group group, Member member)
{
    return [group, member](process_settings& target, std::uint64_t value) {
        auto& field = (target.*group).*member;
        field = std::remove_reference_t<decltype(field)>(value);
    };
}

value_rule text_rule(std::string_view key, value_kind kind, std::vector<role> needed_by,
                     std::string process_settings::*member, std::string_view meaning)
{
    value_rule rule;
    rule.key = key;
    rule.kind = kind;
    rule.needed_by = std::move(needed_by);
    rule.set_text = text_into(member);
    rule.meaning = meaning;
    return rule;
}

value_rule choice_rule(std::string_view key, std::vector<std::string_view> choices,
                       std::string process_settings::*member, std::string_view meaning)
{
    auto rule = text_rule(key, value_kind::choice, {}, member, meaning);
    rule.choices = std::move(choices);
    return rule;
}

value_rule number_rule(std::string_view key, value_kind kind, std::uint64_t least,
                       std::uint64_t most, number_setter set, std::string_view meaning)
{
    value_rule rule;
    rule.key = key;
    rule.kind = kind;
    rule.least = least;
    rule.most = most;
    rule.set_number = std::move(set);
    rule.meaning = meaning;
    return rule;
}

void add_identity_rules(std::vector<value_rule>& rules)
{
    using settings = process_settings;
    rules.push_back(text_rule("name", value_kind::text, {}, &settings::name,
                              "Name of the process, unique in the fleet."));
    rules.push_back(text_rule("zone", value_kind::text, {}, &settings::zone,
                              "Availability zone that the process runs in."));
    for (auto& rule : rules)
        rule.always_needed = true;
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
                                number_into(&settings::bootstrap),
                                "Whether this control member may found the group. With false it "
                                "joins one."));
    rules.push_back(number_rule("control.most_members", value_kind::number, 1, 7,
                                number_into(&settings::max_control_members),
                                "With control.link_port: members that announce themselves are let "
                                "into the control group until it has this many."));
    rules.push_back(number_rule("control.tolerated_losses", value_kind::number, 0, 100,
                                number_into(&settings::tolerated_losses),
                                "With control.link_port: control members that may be lost at the "
                                "same time. Twice as many and one more stay voters even while they "
                                "are unreachable; others are dropped."));
    rules.push_back(number_rule("control.link_port", value_kind::number, 1, 65'535,
                                number_into(&settings::control_link_port),
                                "Port of the links to control members, where the addresses in "
                                "[[controls]] name another port. Those are then only the first "
                                "members to ask."));
    rules.push_back(text_rule("entry.listen", value_kind::address, {role::entry},
                              &settings::entry_listen, "Address for links to the entry role."));
    rules.push_back(text_rule("entry.http", value_kind::address, {role::entry},
                              &settings::entry_http, "HTTP address for callers and operators."));
    rules.push_back(choice_rule("entry.placement", {"least_loaded", "random"}, &settings::placement,
                                "Placement policy."));
    rules.push_back(text_rule("agent.announce", value_kind::loopback_address, {role::agent},
                              &settings::agent_announce,
                              "Loopback HTTP address at which endpoints announce themselves."));
    rules.push_back(number_rule("agent.announcement_interval_ms", value_kind::duration, 100, 60'000,
                                number_into(&settings::announcement_interval),
                                "How often endpoints announce themselves; after three missed "
                                "announcements an endpoint counts as gone."));
    rules.push_back(
        choice_rule("log.format", {"text", "json"}, &settings::log_format, "Format of log lines."));
    rules.push_back(choice_rule("log.level", {"debug", "info", "warning", "error"},
                                &settings::log_level, "Least level that is logged."));
}

void add_number_rules(std::vector<value_rule>& rules)
{
    using settings = process_settings;
    using limits = limit_settings;
    using timing = timing_settings;
    auto const limit = [](auto member) { return number_into(&settings::limits, member); };
    auto const time = [](auto member) { return number_into(&settings::timing, member); };
    rules.push_back(number_rule("limits.body_bytes", value_kind::number, 1'024, 67'108'864,
                                limit(&limits::body_bytes), "Largest HTTP body."));
    rules.push_back(number_rule("limits.header_bytes", value_kind::number, 1'024, 1'048'576,
                                limit(&limits::header_bytes), "Largest HTTP header block."));
    rules.push_back(number_rule("limits.tasks_per_job", value_kind::number, 1, 10'000,
                                limit(&limits::tasks_per_job), "Most tasks of one job."));
    rules.push_back(number_rule("limits.longest_deadline_ms", value_kind::duration, 1'000,
                                3'600'000, limit(&limits::max_deadline),
                                "Longest deadline that a caller may ask for."));
    rules.push_back(number_rule("limits.longest_wait_ms", value_kind::duration, 0, 3'600'000,
                                limit(&limits::max_wait),
                                "Longest wait for an answer in one call."));
    rules.push_back(number_rule("timing.claim_retention_ms", value_kind::duration, 1'000,
                                86'400'000, time(&timing::claim_retention),
                                "How long answers of finished jobs are kept."));
    rules.push_back(number_rule("timing.tombstone_retention_ms", value_kind::duration, 1'000,
                                604'800'000, time(&timing::tombstone_retention),
                                "How long ids of older jobs are kept, to refuse resubmissions."));
    rules.push_back(number_rule("timing.leave_delay_ms", value_kind::duration, 0, 60'000,
                                time(&timing::leave_delay),
                                "How long an entry serves on after /readyz has failed."));
    rules.push_back(number_rule("timing.shutdown_limit_ms", value_kind::duration, 1'000, 600'000,
                                time(&timing::shutdown_limit),
                                "Longest time of a graceful shutdown."));
}

} // namespace

std::vector<value_rule> const& value_rules()
{
    static std::vector<value_rule> const rules = [] {
        std::vector<value_rule> made;
        add_identity_rules(made);
        add_number_rules(made);
        return made;
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
        return "a whole number from " + std::to_string(rule.least) + " to "
            + std::to_string(rule.most);
    case value_kind::duration:
        return "whole milliseconds from " + std::to_string(rule.least) + " to "
            + std::to_string(rule.most);
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
