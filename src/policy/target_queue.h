// Waiting tasks whose answers lose most of their value after a target time, ordered by the latest
// start that still meets it.

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "protocol/identity.h"

namespace greengagehead::policy {

/// Work of a task: its expected run time times its slots.
using slot_time = std::chrono::microseconds;

struct target_task {
    protocol::task_ref task;
    /// Tasks with the same class can run on the same endpoints.
    std::string placement_class;
    slot_time work {0};
    base::steady_time latest_start;
};

/// Answers bursts: with the queue of a burst served first in, first out, every task would start too
/// late. Among tasks that still meet their target this order lets the most meet it.
class target_queue {
public:
    /// A task that waits already is not added again.
    void push(target_task task);
    /// Takes the task with the earliest latest start whose class `placeable` accepts.
    std::optional<target_task>
    take(std::function<bool(std::string const& placement_class)> const& placeable);
    /// Drops a waiting task. Returns false when it does not wait.
    bool remove(protocol::task_ref const& task);
    /// Waiting tasks whose latest start was before `time`.
    [[nodiscard]] std::vector<protocol::task_ref> overdue(base::steady_time time) const;

    [[nodiscard]] std::size_t size() const { return this->places.size(); }
    /// Work of the tasks that are served before one with this latest start. Counted in steps of
    /// 16 ms.
    [[nodiscard]] slot_time work_before(base::steady_time latest_start) const;

private:
    using order = std::multimap<base::steady_time, target_task>;
    struct place {
        order* list = nullptr;
        order::iterator item;
    };
    struct task_hash {
        std::size_t operator()(protocol::task_ref const& task) const
        {
            return std::hash<std::string> {}(task.job) * 31 + task.index;
        }
    };

    target_task extract(place const& where);

    std::map<std::string, order> classes;
    /// Invariant: has exactly the tasks in `classes`.
    std::unordered_map<protocol::task_ref, place, task_hash> places;
    /// Invariant: the work of all waiting tasks by the step of their latest start; no entry is 0.
    std::map<std::int64_t, slot_time> work_by_step;
};

} // namespace greengagehead::policy
