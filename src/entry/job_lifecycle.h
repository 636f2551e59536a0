// Lifecycle of a job at its owner: submission, claim, copy, start, end and replies.

#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "base/clock.h"
#include "base/error.h"
#include "entry/agent_table.h"
#include "entry/waiter.h"
#include "policy/admission.h"
#include "policy/target_admission.h"
#include "protocol/command.h"
#include "protocol/job.h"
#include "protocol/message.h"

namespace greengagehead::entry {

struct entry_components;
struct job;
struct timer;
struct unstarted_submission;
enum class hold_end : std::uint8_t;
enum class timer_kind : std::uint8_t;

class job_lifecycle {
public:
    explicit job_lifecycle(entry_components& components);

    void submit(protocol::job_request request, waiter caller, base::steady_time now);
    /// Starts an ephemeral submission when the other entries agree, unless it is refused.
    void claim_or_refuse(unstarted_submission submission, base::steady_time now);
    /// Makes a job of an ephemeral submission. None of its tasks starts before `start_claimed`.
    void admit(unstarted_submission submission, base::steady_time now);
    /// Ends the hold of a submission that this entry could not place while it recovered.
    void end_hold(unstarted_submission submission, hold_end reason, base::steady_time now);
    /// The other entries agree that the job starts here.
    void start_claimed(job& job, base::steady_time now);
    /// Refuses an ephemeral submission to which the other entries have not agreed.
    void refuse_unclaimed(unstarted_submission submission, std::string const& reason,
                          base::steady_time now);
    void cancel(job& job, base::steady_time now);
    /// Cancels an ephemeral job. One that was abandoned before counts as cancelled from now on.
    void cancel_submission(job& job, base::steady_time now);
    /// Stops an ephemeral job that every caller at this entry has left, once no other entry waits
    /// for it.
    void stop_abandoned(job& job, base::steady_time now);
    /// Stops an ephemeral job that the other entry runs too, or may start. Its caller may still
    /// wait.
    void stop_for_other_entry(job& job, std::string const& entry, std::string const& reason,
                              base::steady_time now);
    /// Moves the deadline of a running job to `time` if that is later.
    void extend_deadline(job& job, base::steady_time time);
    /// Adds a waiter, or answers it at once when the job is final.
    void attach(job& job, waiter caller, base::steady_time now);

    void on_claim_decided(std::string const& id, protocol::claim_result const& result,
                          base::steady_time now);
    void on_claim_failed(std::string const& id, base::error const& failure, base::steady_time now);
    void on_finish_committed(std::string const& id, base::steady_time now);
    void on_copy_ack(protocol::job_copy_ack const& ack, base::steady_time now);
    void on_finished_ack(protocol::job_finished_ack const& ack, base::steady_time now);
    void on_timer(timer const& due, base::steady_time now);

    /// Ends a job of which all tasks have succeeded.
    void complete(job& job, base::steady_time now);
    /// Stops a job that can no longer succeed: dequeues its waiting tasks and cancels its running
    /// ones.
    void fail(job& job, base::error failure, base::steady_time now);
    /// Ends a stopping job once no outcome is awaited.
    void end_if_stopped(job& job, base::steady_time now);
    /// Creates the task states and estimates from the content.
    void prepare_tasks(job& job);
    /// Finishes a running job that was taken over, with the answer of its former owner.
    void adopt_answer(job& job, protocol::job_answer const& answer, base::steady_time now);
    /// Queues every waiting task of a running job.
    void enqueue_waiting(job& job);
    /// Claims the running jobs again, to confirm that this entry still owns them; starts none of
    /// their tasks before control has answered.
    void check_ownership(base::steady_time now);

    /// Refuses an ephemeral job of which nothing has started, because it can no longer meet its
    /// target.
    void refuse_unstarted(job& job, base::steady_time now);
    /// From now on, refuses jobs that may not end by `end`.
    void begin_shutdown(base::steady_time end) { this->shutdown_end = end; }
    /// Answers all waiters with the current state, later ones at once, and admits no further job.
    void answer_all_waiters(base::steady_time now);

    /// Removes a job, with its waiting tasks and its attempts.
    void drop(job& job);

private:
    [[nodiscard]] std::optional<policy::refusal>
    check_admission(protocol::job_request const& request, std::chrono::milliseconds deadline,
                    base::steady_time now);
    /// Expected run times of all tasks times their slots.
    [[nodiscard]] policy::slot_time expected_work(protocol::job_request const& request);
    [[nodiscard]] std::chrono::microseconds longest_task(protocol::job_request const& request);
    /// Counts the work of a job that has arrived as demand of its account and of this entry.
    void count_arrival(protocol::job_request const& request, base::steady_time now);
    void refuse(protocol::job_request const& request, std::string const& id, waiter caller,
                policy::refusal const& refusal, base::steady_time now);
    job& add_job(std::string const& id, protocol::job_request request, waiter caller,
                 base::steady_time deadline, base::steady_time now);
    /// Refusal of an ephemeral submission, if its tasks cannot be queued now.
    /// @param latest_start set if there is no refusal.
    [[nodiscard]] std::optional<policy::refusal>
    check_submission(unstarted_submission const& submission, base::steady_time& latest_start,
                     base::steady_time now);
    /// Refusal of a submission whose answer would be of no use because the event loop runs behind.
    [[nodiscard]] std::optional<policy::refusal>
    check_loop_delay(protocol::job_request const& request, base::steady_time now);
    /// Whether a task has no endpoint that may get it.
    [[nodiscard]] bool lacks_endpoint(protocol::job_request const& request) const;
    /// Holds a refused submission if its endpoints are expected to come back in time. Otherwise
    /// leaves it unchanged and returns false.
    bool hold_for_recovery(unstarted_submission& submission, base::steady_time now);
    /// Submits it again, with the time that is left.
    void resume(unstarted_submission submission, base::steady_time now);
    void refuse_ephemeral(unstarted_submission submission, policy::refusal const& refusal,
                          base::steady_time now);
    void add_timer(job const& job, timer_kind kind, base::steady_time due_at);
    void send_claim(job& job, base::steady_time now);
    void send_copy(job& job, base::steady_time now);
    void on_owned(job& job, protocol::job_claim const& claim, base::steady_time now);
    void on_owned_elsewhere(job& job, protocol::job_claim const& claim, base::steady_time now);
    void end_without_claim(job& job, submit_reply::kind kind, base::error failure,
                           protocol::ran_extent ran);
    void start_if_ready(job& job, base::steady_time now);
    void abandon(job& job, protocol::job_state state, base::error failure, base::steady_time now);
    /// Answers the callers of a job whose claim was given up: "not run" if that is certain.
    void answer_given_up(job& job, base::steady_time now);
    /// Whether an entry may have run a job that has been given up here.
    [[nodiscard]] bool may_have_run(protocol::claim_lookup const& lookup) const;
    void stop(job& job, protocol::job_state state, base::error failure, base::steady_time now);
    void finalize(job& job, base::steady_time now);
    void record_unconfirmed_runs(job& job, base::steady_time now);
    /// Asks the agents for the ends of the runs that were cancelled when the job ended.
    void check_unconfirmed(job& job, base::steady_time now);
    void publish(job& job, base::steady_time now);
    void on_deadline(job& job, base::steady_time now);
    void answer_waiters(job& job);
    void answer_expired_waiters(job& job, base::steady_time now);
    void answer_before_shutdown(job& job, base::steady_time now);
    [[nodiscard]] std::string choose_backup() const;
    [[nodiscard]] std::chrono::microseconds expected_time(protocol::job_request const& request,
                                                          protocol::task_request const& task);
    /// Run time of the task that its target follows from.
    [[nodiscard]] std::chrono::microseconds usual_time(protocol::job_request const& request,
                                                       protocol::task_request const& task);
    [[nodiscard]] std::chrono::microseconds
    longest_usual_time(protocol::job_request const& request);
    /// When an answer to a submission that is held has no use any more.
    [[nodiscard]] base::steady_time useful_until(unstarted_submission const& submission);
    [[nodiscard]] policy::target_request make_target_request(protocol::job_request const& request,
                                                             std::chrono::milliseconds deadline,
                                                             base::steady_time arrived,
                                                             base::steady_time now);
    [[nodiscard]] std::string job_id_for(protocol::job_request const& request) const;

    entry_components& components;
    std::optional<base::steady_time> shutdown_end;
    bool waiting_disabled = false;
};

} // namespace greengagehead::entry
