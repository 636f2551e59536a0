// Interface to an endpoint that runs tasks under leases measured on its own clock. An adapter
// carries the calls; leased_runner decides what their answers mean for a run.

#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "protocol/message.h"

namespace greengagehead::agent {

/// Reading of the worker's own steady clock, in milliseconds. Starts over when the worker restarts.
using worker_clock = std::chrono::milliseconds;

/// One incarnation of a worker process. A restarted worker may keep its id, but `born` is higher.
struct worker_incarnation {
    std::string id;
    std::uint64_t born = 0;

    bool operator==(worker_incarnation const&) const = default;
};

/// One run of a task. A worker accepts a run only if its number is higher than that of every run of
/// the task which it has stopped or which has ended.
struct worker_run {
    std::string task;
    std::uint64_t number = 0;

    bool operator==(worker_run const&) const = default;
};

enum class worker_answer : std::uint8_t {
    accepted,
    stale_fence, ///< The worker has seen a higher fencing token. Nothing was done.
    stale_run, ///< The worker has already seen a run with the same or a higher number.
    command_expired, ///< The lease in the command had ended when the command arrived.
    no_capacity, ///< The worker has too little free capacity for the task.
    unhealthy, ///< The worker currently accepts no commands. Nothing was done.
    wrong_incarnation, ///< The worker has restarted since.
    rejected, ///< The command itself is invalid.
    not_sent, ///< The command never reached the worker.
    no_answer, ///< The command may have been carried out, or may be later.
};

struct worker_reply {
    worker_answer answer = worker_answer::no_answer;
    std::optional<worker_clock> clock; ///< When the worker answered.
    std::optional<std::uint64_t> born; ///< Start of the incarnation that answered, if it says so.
};

enum class run_end_reason : std::uint8_t {
    done,
    failed, ///< By an error of the task or of the worker.
    stopped, ///< On request.
    lease_expired,
    gang_member_ended, ///< Another run of the gang (runs that start and end together) has ended.
};

struct ended_run {
    std::uint64_t sequence = 0; ///< Numbers the ends within one incarnation of the worker, from 1.
    worker_run run;
    run_end_reason reason = run_end_reason::lease_expired;
};

struct listed_run {
    worker_run run;
    std::uint32_t percent = 0; ///< Share of the work that is done, rounded down.
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

    /// Sent with every command.
    struct call_context {
        std::uint64_t fence = 0; ///< Fencing token.
        /// Only this incarnation may carry out the command; an empty id allows any.
        worker_incarnation incarnation;
    };

    /// Starts a run and extends the lease of all runs on the worker to `lease_until`.
    virtual void start(call_context const& context, worker_run const& run,
                       protocol::task_start const& task, worker_clock lease_until,
                       std::function<void(worker_reply const&)> done)
        = 0;
    virtual void stop(call_context const& context, worker_run const& run,
                      std::function<void(worker_reply const&)> done)
        = 0;
    /// Extends the lease unless `lease_until` is 0, acknowledges ends up to sequence number
    /// `last_seen_end`, and asks for the running tasks and for later ends. The worker answers at
    /// the next end, or after `wait`.
    virtual void report(call_context const& context, worker_clock lease_until,
                        std::uint64_t last_seen_end, std::chrono::milliseconds wait,
                        std::function<void(worker_report const&)> done)
        = 0;
};

} // namespace greengagehead::agent
