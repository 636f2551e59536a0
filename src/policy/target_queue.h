// Queue of tasks whose answers lose most of their value after a target time. The tasks are ordered
// by the latest start that still meets the target.

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
    /// Tasks of the same class can run on the same endpoints.
    std::string placement_class;
    slot_time work {0};
    base::steady_time latest_start; ///< A later start misses the target.
};

/// Serves bursts by earliest latest start. In first in, first out order, every task of a long queue
/// would start too late; among tasks that can still meet their target, this order lets the most
/// tasks meet it.
class target_queue {
public:
    /// Does nothing if the task is already waiting.
    void push(target_task task);
    /// Takes the task with the earliest latest start whose class `placeable` accepts.
    std::optional<target_task>
    take(std::function<bool(std::string const& placement_class)> const& placeable);
    /// Removes a waiting task. Returns false when it is not waiting.
    bool remove(protocol::task_ref const& task);
    /// Waiting tasks whose latest start is before `time`.
    [[nodiscard]] std::vector<protocol::task_ref> overdue(base::steady_time time) const;

    [[nodiscard]] std::size_t size() const { return this->positions.size(); }
    /// Work of the tasks that are served before one with this latest start. The latest starts are
    /// rounded down to steps of 16 ms.
    [[nodiscard]] slot_time work_before(base::steady_time latest_start) const;

private:
    using start_order = std::multimap<base::steady_time, target_task>;
    struct queue_position {
        start_order* list = nullptr;
        start_order::iterator item;
    };
    struct task_hash {
        std::size_t operator()(protocol::task_ref const& task) const
        {
            return std::hash<std::string> {}(task.job) * 31 + task.index;
        }
    };

    target_task extract(queue_position const& position);

    /// By placement class. Invariant: no list is empty, so that `take` looks only at classes with
    /// waiting tasks.
    std::map<std::string, start_order> classes;
    /// Invariant: holds exactly the tasks in `classes`.
    std::unordered_map<protocol::task_ref, queue_position, task_hash> positions;
    /// Invariant: the work of all waiting tasks by the step of their latest start; no sum is 0.
    std::map<std::int64_t, slot_time> work_by_step;
};

} // namespace greengagehead::policy
