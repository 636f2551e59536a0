// Per-team settings of the current view, and the retry and hedge budgets that depend on them.

#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "policy/account_fairness.h"
#include "policy/fair_queue.h"
#include "policy/retry_budget.h"
#include "protocol/command.h"
#include "protocol/job.h"

namespace greengagehead::entry {

/// Settings below `/teams/TEAM/kinds/KIND`.
struct kind_settings {
    std::chrono::milliseconds expected {0}; ///< `expected_ms`; 0 for none.
    std::chrono::milliseconds timeout {0}; ///< `timeout_ms`, longest run time; 0 for none.
};

/// Settings below `/teams/TEAM`. The initial values are the documented defaults.
struct team_settings {
    policy::team_share share; ///< `weight` 1, `quota_slots` 0 (no limit).
    /// `share_percent`, largest part of the fleet's served slot time while others wait.
    std::uint32_t share_percent = 100;
    std::size_t queue_limit = 50'000; ///< `queue_limit`, in waiting tasks.
    std::chrono::milliseconds deadline {0}; ///< `deadline_ms`; 0 for the default of the process.
    std::uint32_t hedge_percent = 5;
    std::uint32_t retry_percent = 10;
    std::map<std::string, kind_settings, std::less<>> kinds;
};

class team_table {
public:
    /// Replaces all settings by those of a view and passes the shares on to `queue`. A value that
    /// is not a number in the expected range keeps its default.
    void apply(std::vector<protocol::setting> const& settings, policy::fair_queue& queue);

    [[nodiscard]] team_settings const& settings_for(std::string const& team) const;
    [[nodiscard]] kind_settings kind(std::string const& team, std::string const& kind) const;
    /// Run time as the caller or the settings of the kind declare it; 0 when neither does.
    [[nodiscard]] std::chrono::microseconds declared_time(std::string const& team,
                                                          protocol::task_request const& task) const;
    [[nodiscard]] policy::retry_budget& retries(std::string const& team);
    [[nodiscard]] policy::retry_budget& hedges(std::string const& team);
    /// Settings that decide the fair parts, of the teams with settings.
    [[nodiscard]] std::map<std::string, policy::account_limits> account_limits() const;
    [[nodiscard]] std::map<std::string, team_settings> const& all() const { return this->teams; }

private:
    struct budgets {
        policy::retry_budget retries;
        policy::retry_budget hedges;
    };
    budgets& budgets_of(std::string const& team);

    team_settings defaults;
    std::map<std::string, team_settings> teams;
    std::unordered_map<std::string, budgets> budgets_by_team;
};

} // namespace greengagehead::entry
