// Weighted fair queue of waiting tasks over teams.

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/clock.h"
#include "protocol/identity.h"

namespace greengagehead::policy {

struct queued_task {
    protocol::task_ref task;
    std::string team;
    /// Tasks with the same class can run on the same endpoints: kind, required region and zone,
    /// processors and memory.
    std::string placement_class;
    std::chrono::microseconds cost {0}; ///< Expected run time, the unit of fairness.
    base::steady_time deadline;
};

struct team_share {
    std::uint32_t weight = 1;
    std::uint32_t quota_slots = 0; ///< Most tasks in progress at a time; 0 for no limit.
};

/// Work-conserving; O(log teams) per decision. Within a team and class the order is first in, first
/// out. A class without a free endpoint does not hold up the team's other classes, nor other teams.
class fair_queue {
public:
    fair_queue();
    ~fair_queue();
    fair_queue(fair_queue const&) = delete;
    fair_queue& operator=(fair_queue const&) = delete;

    void set_share(std::string const& team, team_share share);

    /// A task that waits already is not added again.
    void push(queued_task task);
    /// Puts a task back at the head of its class, for example after a refused start. A task that
    /// was taken must be reported as finished with an actual time of 0 before.
    void push_front(queued_task task);
    /// Takes the next task whose class `placeable` accepts and whose team is under its quota, and
    /// counts it as in progress.
    std::optional<queued_task>
    take(std::function<bool(std::string const& placement_class)> const& placeable);
    /// A taken task is no longer in progress. `cost` corrects the estimate by the true run time.
    void finished(std::string const& team, std::chrono::microseconds estimated,
                  std::chrono::microseconds actual);
    /// Drops a waiting task. Returns false when it does not wait.
    bool remove(protocol::task_ref const& task);

    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] std::size_t size(std::string const& team) const;
    [[nodiscard]] std::uint32_t in_progress(std::string const& team) const;
    /// Sum of the expected run times of all waiting tasks.
    [[nodiscard]] std::chrono::microseconds backlog() const;
    [[nodiscard]] std::chrono::microseconds backlog(std::string const& team) const;
    /// Most of the other teams' waiting work that can be served while `team` gets `work` at its
    /// weight: the sum over the other teams of min(backlog, work * their weight / team's weight).
    [[nodiscard]] std::chrono::microseconds competing_backlog(std::string const& team,
                                                              std::chrono::microseconds work) const;
    [[nodiscard]] team_share share(std::string const& team) const;

private:
    struct parts;
    std::unique_ptr<parts> own;
};

} // namespace greengagehead::policy
