// Places waiting tasks on endpoints: fair queue, placement policy and start batches.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

#include "base/clock.h"
#include "policy/fair_queue.h"
#include "policy/placement_policy.h"

namespace greengagehead::entry {

struct attempt;
struct entry_parts;
struct job;

class dispatcher {
public:
    explicit dispatcher(entry_parts& parts);

    /// Puts a waiting task into its queue, `front` for one that was refused. Tasks of ephemeral
    /// jobs have their place in the order by target.
    void enqueue(job& job, std::uint32_t index, bool front);
    /// Takes a task out of its queue, if it is there.
    void withdraw(job& job, std::uint32_t index);
    /// Places as many tasks as the lease and the free slots allow.
    void run(base::steady_time now);
    /// Whether an endpoint other than this one could take the task now.
    [[nodiscard]] bool has_room_beside(job const& job, std::uint32_t index,
                                       std::string const& endpoint, base::steady_time now);
    /// Starts a second attempt on another endpoint. False when there is none or no budget.
    bool hedge(job& job, std::uint32_t index, base::steady_time now);
    /// Sends the start of an open attempt again, to the same agent incarnation. The agent's record
    /// of the task keeps it from running twice.
    void resend(job& job, std::uint32_t index, attempt const& open, base::steady_time now);
    /// Slots may have become free: classes without an endpoint are tried again.
    void capacity_changed() { this->free_since = ++this->generation; }

private:
    struct placement_class {
        /// Sizes are the least of the class, so that a choice for the class may be too small.
        policy::placement_request request;
        bool ephemeral = false; ///< Placed without a lease, too.
        std::optional<policy::placement_choice> choice;
        std::uint64_t chosen_at = 0; ///< Generation of `choice`.
        std::uint64_t blocked_at = 0; ///< Generation in which no endpoint was free.
    };

    bool placeable(std::string const& key, base::steady_time now);
    void run_urgent(base::steady_time now);
    /// Gives up on ephemeral jobs that have not started and can no longer meet their target.
    void refuse_overdue(base::steady_time now);
    void place(policy::queued_task const& taken, base::steady_time now);
    /// Starts a waiting task. False when it cannot start now.
    bool try_start(job& job, std::uint32_t index, std::string const& key, base::steady_time now);
    placement_class& class_for(job const& job, std::uint32_t index, std::string const& key);
    /// An endpoint with room for the task. Empty when only smaller tasks of its class fit.
    std::optional<policy::placement_choice> choose(job const& job, std::uint32_t index,
                                                   placement_class& group, base::steady_time now);
    bool start(job& job, std::uint32_t index, policy::placement_choice const& choice, bool hedge,
               base::steady_time now);
    void send(job& job, std::uint32_t index, attempt const& open, base::steady_time now);

    entry_parts& parts;
    std::unordered_map<std::string, placement_class> classes;
    std::uint64_t generation = 1;
    std::uint64_t free_since = 1;
};

} // namespace greengagehead::entry
