// Calls to an endpoint that runs tasks under leases on its own clock, in the product's terms. The
// calls are carried by an adapter; what they mean for a run is decided in leased_runner.

#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "protocol/message.h"

namespace greengagehead::agent {

/// Reading of the worker's own steady clock. It starts anew with each incarnation of the worker.
using worker_clock = std::chrono::milliseconds;

/// One incarnation of a worker. A restarted worker may keep its id, but was born later.
struct worker_incarnation {
    std::string id;
    std::uint64_t born = 0;

    bool operator==(worker_incarnation const&) const = default;
};

/// One run of a task. A worker accepts a run only when its number is above those that it has
/// stopped or ended before.
struct worker_run {
    std::string task;
    std::uint64_t number = 0;

    bool operator==(worker_run const&) const = default;
};

enum class worker_answer : std::uint8_t {
    accepted,
    stale_fence, ///< The worker has seen a higher fencing token. Nothing was done.
    stale_run, ///< A run of the same or a higher number was there before.
    command_expired, ///< The lease in the command had ended when the command arrived.
    no_capacity, ///< The task does not fit beside what runs.
    unhealthy, ///< The worker takes no orders now. Nothing was done.
    wrong_incarnation, ///< The worker has restarted since.
    rejected, ///< The command itself is invalid.
    not_sent, ///< The command never reached the worker.
    no_answer, ///< The command may be carried out now or later.
};

struct worker_reply {
    worker_answer answer = worker_answer::no_answer;
    std::optional<worker_clock> clock; ///< When the worker answered.
};

enum class run_end_reason : std::uint8_t {
    done,
    failed, ///< By its own fault or the worker's.
    stopped, ///< On request.
    lease_expired, ///< Its lease ran out.
    dependency_ended, ///< Another task that it depended on ended.
};

struct ended_run {
    std::uint64_t number = 0; ///< Counts the ends in one incarnation of the worker, from 1.
    worker_run run;
    run_end_reason how = run_end_reason::lease_expired;
};

struct listed_run {
    worker_run run;
    std::uint32_t percent = 0; ///< Of its work, rounded down.
};

struct worker_report {
    worker_reply reply;
    std::vector<listed_run> running;
    std::vector<ended_run> ended;
};

class leased_worker {
public:
    leased_worker() = default;
    virtual ~leased_worker() = default;
    leased_worker(leased_worker const&) = delete;
    leased_worker& operator=(leased_worker const&) = delete;

    /// What every command carries.
    struct call_context {
        std::uint64_t fence = 0;
        worker_incarnation
            incarnation; ///< Only this incarnation may carry it out; an empty id stands for any.
    };

    /// Starts a run. The lease of everything on the worker is extended to `lease_until`.
    virtual void start(call_context const& terms, worker_run const& run,
                       protocol::task_start const& task, worker_clock lease_until,
                       std::function<void(worker_reply const&)> done)
        = 0;
    virtual void stop(call_context const& terms, worker_run const& run,
                      std::function<void(worker_reply const&)> done)
        = 0;
    /// Extends the lease, acknowledges ends up to `seen_end`, and asks for what runs and what has
    /// ended since. The worker answers at the next end, or after `wait`.
    virtual void report(call_context const& terms, worker_clock lease_until, std::uint64_t seen_end,
                        std::chrono::milliseconds wait,
                        std::function<void(worker_report const&)> done)
        = 0;
};

} // namespace greengagehead::agent
