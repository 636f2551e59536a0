// Places waiting tasks on endpoints and sends their starts.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

#include "base/clock.h"
#include "policy/endpoint_table.h"
#include "policy/fair_queue.h"
#include "policy/placement_policy.h"

namespace greengagehead::entry {

struct attempt;
struct entry_components;
struct job;

class dispatcher {
public:
    explicit dispatcher(entry_components& components);

    /// Adds a waiting task to its queue, at the front if `front` is set, for example after a
    /// refusal. Tasks of ephemeral jobs are ordered by target instead.
    void enqueue(job& job, std::uint32_t index, bool front);
    /// Removes a task from its queue, if it is queued.
    void withdraw(job& job, std::uint32_t index);
    /// Places as many tasks as the lease and the free slots allow.
    void run(base::steady_time now);
    /// Whether an endpoint other than `endpoint` could take the task now.
    [[nodiscard]] bool has_room_elsewhere(job const& job, std::uint32_t index,
                                          std::string const& endpoint, base::steady_time now);
    /// Starts a second attempt on another endpoint. Returns false when no endpoint or no budget is
    /// left.
    bool hedge(job& job, std::uint32_t index, base::steady_time now);
    /// Sends the start of an open attempt again, to the same agent incarnation. The agent keeps a
    /// record of the task and so does not run it twice.
    void resend(job& job, std::uint32_t index, attempt const& open, base::steady_time now);
    /// Call this when slots may have become free: classes without an endpoint are then tried again.
    void capacity_changed() { this->capacity_generation = ++this->generation; }

private:
    struct placement_class {
        /// Its sizes are the smallest of the class, so an endpoint chosen for it may be too small
        /// for a task.
        policy::placement_request request;
        bool ephemeral = false; ///< Ephemeral tasks are also placed without a lease.
        std::optional<policy::placement_choice> choice;
        std::uint64_t chosen_generation = 0; ///< Generation in which `choice` was made.
        std::uint64_t blocked_generation = 0; ///< Generation in which no endpoint was free.
    };

    /// Requirements of a task, with its expected run time and its target.
    [[nodiscard]] static policy::placement_request request_for(job const& job, std::uint32_t index);
    bool placeable(std::string const& key, base::steady_time now);
    void place_ephemeral(base::steady_time now);
    /// Puts aside a task whose job may run at another entry. It is queued again when that is known
    /// not to be so.
    void put_aside(job& job, base::steady_time now);
    /// Whether every caller of an ephemeral job has left, so that it may run elsewhere soon.
    bool callers_left(job& job, base::steady_time now);
    /// Refuses ephemeral jobs that have not started and can no longer meet their target.
    void refuse_overdue(base::steady_time now);
    void place(policy::queued_task const& taken, base::steady_time now);
    /// Starts a waiting task. Returns false when it cannot start now.
    bool try_start(job& job, std::uint32_t index, std::string const& key, base::steady_time now);
    placement_class& find_or_add_class(job const& job, std::uint32_t index, std::string const& key);
    /// Chooses an endpoint with room for the task. Empty when only smaller tasks of its class fit.
    std::optional<policy::placement_choice> choose(job const& job, std::uint32_t index,
                                                   placement_class& group, base::steady_time now);
    bool start(job& job, std::uint32_t index, policy::placement_choice const& choice, bool hedge,
               base::steady_time now);
    void log_placement(job const& job, std::uint32_t index, attempt const& added,
                       policy::placement_choice const& choice,
                       policy::endpoint_record const& endpoint, base::steady_time now) const;
    void send(job& job, std::uint32_t index, attempt const& open, base::steady_time now);

    entry_components& components;
    std::unordered_map<std::string, placement_class> classes;
    std::uint64_t generation = 1;
    std::uint64_t capacity_generation = 1;
};

} // namespace greengagehead::entry
