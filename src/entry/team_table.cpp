// Parsing of team settings.

#include "entry/team_table.h"

#include <charconv>
#include <optional>
#include <string_view>

namespace greengagehead::entry {

namespace {

/// Retries or hedges that a team may start before it has made any first attempt.
constexpr std::uint32_t budget_reserve = 10;
constexpr std::uint32_t max_share_percent = 100;
constexpr std::string_view teams_prefix = "/teams/";

std::optional<std::uint32_t> parse_number(std::string_view text)
{
    std::uint32_t value = 0;
    auto const [end, failure] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (failure != std::errc {} || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

void set_kind(team_settings& team, std::string_view path, std::uint32_t value)
{
    auto const slash = path.find('/');
    if (slash == std::string_view::npos)
        return;
    auto& kind = team.kinds[std::string(path.substr(0, slash))];
    auto const name = path.substr(slash + 1);
    if (name == "expected_ms")
        kind.expected = std::chrono::milliseconds(value);
    if (name == "timeout_ms")
        kind.timeout = std::chrono::milliseconds(value);
}

void set_value(team_settings& team, std::string_view name, std::uint32_t value)
{
    constexpr std::string_view kinds_prefix = "kinds/";
    if (name.starts_with(kinds_prefix))
        set_kind(team, name.substr(kinds_prefix.size()), value);
    else if (name == "weight" && value > 0)
        team.share.weight = value;
    else if (name == "quota_slots")
        team.share.quota_slots = value;
    else if (name == "share_percent" && value > 0 && value <= max_share_percent)
        team.share_percent = value;
    else if (name == "queue_limit")
        team.queue_limit = value;
    else if (name == "deadline_ms")
        team.deadline = std::chrono::milliseconds(value);
    else if (name == "hedge_percent")
        team.hedge_percent = value;
    else if (name == "retry_percent")
        team.retry_percent = value;
}

} // namespace

void team_table::apply(std::vector<protocol::setting> const& settings, policy::fair_queue& queue)
{
    auto const previous = std::move(this->teams);
    this->teams.clear();
    for (auto const& [name, values] : previous)
        this->teams[name];
    for (auto const& item : settings) {
        std::string_view path = item.path;
        if (!path.starts_with(teams_prefix))
            continue;
        path.remove_prefix(teams_prefix.size());
        auto const slash = path.find('/');
        auto const value = parse_number(item.value);
        if (slash == std::string_view::npos || !value)
            continue;
        set_value(this->teams[std::string(path.substr(0, slash))], path.substr(slash + 1), *value);
    }
    for (auto const& [name, values] : this->teams) {
        queue.set_share(name, values.share);
        auto& budgets = this->budgets_of(name);
        budgets.retries.set_percent(values.retry_percent);
        budgets.hedges.set_percent(values.hedge_percent);
    }
}

team_settings const& team_table::settings_for(std::string const& team) const
{
    auto const found = this->teams.find(team);
    return found == this->teams.end() ? this->defaults : found->second;
}

std::map<std::string, policy::account_limits> team_table::account_limits() const
{
    std::map<std::string, policy::account_limits> limits;
    for (auto const& [name, values] : this->teams)
        limits[name] = {values.share.weight, values.share_percent};
    return limits;
}

kind_settings team_table::kind(std::string const& team, std::string const& kind) const
{
    auto const& kinds = this->settings_for(team).kinds;
    auto const found = kinds.find(kind);
    return found == kinds.end() ? kind_settings {} : found->second;
}

std::chrono::microseconds team_table::declared_time(std::string const& team,
                                                    protocol::task_request const& task) const
{
    if (task.expected.count() != 0)
        return task.expected;
    return this->kind(team, task.kind).expected;
}

team_table::budgets& team_table::budgets_of(std::string const& team)
{
    auto const found = this->budgets_by_team.find(team);
    if (found != this->budgets_by_team.end())
        return found->second;
    auto const& values = this->settings_for(team);
    return this->budgets_by_team
        .emplace(team,
                 budgets {policy::retry_budget(values.retry_percent, budget_reserve),
                          policy::retry_budget(values.hedge_percent, budget_reserve)})
        .first->second;
}

policy::retry_budget& team_table::retries(std::string const& team)
{
    return this->budgets_of(team).retries;
}

policy::retry_budget& team_table::hedges(std::string const& team)
{
    return this->budgets_of(team).hedges;
}

} // namespace greengagehead::entry
