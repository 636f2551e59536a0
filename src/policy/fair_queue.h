// Weighted fair queue that divides run time among teams.

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
    /// Tasks of the same class can run on the same endpoints. Made from the kind and the required
    /// region, zone, processors and memory.
    std::string placement_class;
    std::chrono::microseconds cost {0}; ///< Expected run time, which is charged to the team.
    base::steady_time deadline;
};

struct team_share {
    std::uint32_t weight = 1;
    std::uint32_t quota_slots = 0; ///< Maximum number of tasks in progress; 0 for no limit.
};

/// Work-conserving; O(log teams) per decision. Within a team and class the order is first in, first
/// out. A class without a free endpoint blocks neither the team's other classes nor other teams.
class fair_queue {
public:
    fair_queue();
    ~fair_queue();
    fair_queue(fair_queue const&) = delete;
    fair_queue& operator=(fair_queue const&) = delete;

    void set_share(std::string const& team, team_share share);

    /// Does nothing if the task is already waiting.
    void push(queued_task task);
    /// Adds a task at the front of its team and class, for example after a refused start. If the
    /// task was taken before, finished() must first be called for it with an actual time of 0.
    void push_front(queued_task task);
    /// Takes the next task whose class `placeable` accepts and whose team is under its quota, and
    /// counts it as in progress.
    std::optional<queued_task>
    take(std::function<bool(std::string const& placement_class)> const& placeable);
    /// Ends a taken task. Replaces the charge of the estimated run time by the actual one.
    void finished(std::string const& team, std::chrono::microseconds estimated,
                  std::chrono::microseconds actual);
    /// Removes a waiting task. Returns false when it is not waiting.
    bool remove(protocol::task_ref const& task);

    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] std::size_t size(std::string const& team) const;
    [[nodiscard]] std::uint32_t in_progress(std::string const& team) const;
    /// Sum of the expected run times of all waiting tasks.
    [[nodiscard]] std::chrono::microseconds backlog() const;
    [[nodiscard]] std::chrono::microseconds backlog(std::string const& team) const;
    /// Upper bound of the other teams' waiting work that is served while `team` gets `work` at its
    /// weight: the sum over the other teams of min(backlog, work * their weight / team's weight).
    [[nodiscard]] std::chrono::microseconds competing_backlog(std::string const& team,
                                                              std::chrono::microseconds work) const;
    /// The configured share, or the default one; its weight is at least 1.
    [[nodiscard]] team_share share(std::string const& team) const;

private:
    struct implementation;
    std::unique_ptr<implementation> impl;
};

} // namespace greengagehead::policy
