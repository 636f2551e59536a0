// Runs tasks on a worker under leases: run numbers, fencing token, lease renewal, and the ends of
// runs. A task that is reported as ended is certain not to run any more.

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <sigc++/signal.h>

#include "agent/endpoint_runner.h"
#include "agent/fencing_token.h"
#include "agent/foreign_runs.h"
#include "agent/incarnation_tracker.h"
#include "agent/incarnation_verifier.h"
#include "agent/inferred_ends.h"
#include "agent/leased_worker.h"
#include "agent/run_progress.h"
#include "agent/worker_lease.h"
#include "base/clock.h"

namespace greengagehead::agent {

/// One instance serves the local worker, across its restarts.
class leased_runner : public endpoint_runner {
public:
    using clock_source = std::function<base::steady_time()>;

    /// @param initial_fence fencing token, higher than any that an earlier incarnation has used.
    leased_runner(leased_worker& worker, lease_limits limits, std::uint64_t initial_fence,
                  clock_source clock);
    ~leased_runner() override;
    leased_runner(leased_runner const&) = delete;
    leased_runner& operator=(leased_runner const&) = delete;

    void start(run_request const& request, callback done) override;
    void stop(std::string const& url, protocol::task_ref const& task) override;

    /// Handles an announcement that the worker has confirmed. Another id with the same start is
    /// another name of the present incarnation. A new incarnation has lost the runs of the previous
    /// one, but each run ends only when the new one has been heard: it may have accepted starts
    /// that were sent to the previous one.
    void announced(worker_incarnation const& incarnation, std::optional<worker_clock> clock);
    /// Asks the worker whether it is the incarnation that an announcement names. Calls `done`
    /// exactly once, unless the runner is destroyed first.
    void ask_incarnation(worker_incarnation const& announced,
                         std::function<void(incarnation_answer)> done);
    /// To be called every 10 ms.
    void tick();
    /// Interval between two announcements of the worker.
    void set_announcement_interval(std::chrono::milliseconds interval)
    {
        this->token.set_announcement_interval(interval);
    }
    /// From now on, a process that is superseded stays so: the other one replaces it.
    void begin_shutdown() { this->is_shutting_down = true; }

    /// True once no run that an earlier incarnation of this agent started can still be running. The
    /// agent accepts work only then, because entries may already start those tasks elsewhere.
    [[nodiscard]] bool settled() const { return this->is_settled; }
    /// Empty id while no incarnation is known.
    [[nodiscard]] worker_incarnation const& current_incarnation() const
    {
        return this->identity.present();
    }
    /// Whether the worker answers to its id and its present incarnation has announced itself. The
    /// capacity of an incarnation is unknown until then. False while another process of this agent
    /// has taken over the worker: then nothing is sent to it, and runs go on until the other
    /// process or their lease ends them, which this process does not learn.
    [[nodiscard]] bool available() const
    {
        return this->is_reachable && this->is_announced && !this->identity.is_denied()
            && !this->token.superseded();
    }
    sigc::signal<void(bool available)> availability_changed;
    /// Emitted at most once per run, when it has stalled or is far slower than expected.
    /// `remaining` is the estimated time until its end.
    sigc::signal<void(protocol::attempt_ref const& run, std::chrono::milliseconds remaining)>
        lag_detected;

private:
    enum class phase : std::uint8_t {
        starting, ///< The start command is in flight.
        running,
        unconfirmed, ///< The start was not answered. The run is stopped unless the worker lists it.
    };
    struct active_run {
        protocol::task_start task;
        worker_run run;
        /// Distinguishes this run from earlier and later ones of the same task and number.
        std::uint64_t serial = 0;
        phase state = phase::starting;
        std::optional<base::steady_time> stop_requested_at; ///< By the agent core.
        bool stop_sent = false;
        bool stop_confirmed = false;
        /// When the worker first confirmed a stop. From then on it refuses the start.
        std::optional<worker_clock> stop_confirmed_at;
        bool listed = false; ///< In a report of the present incarnation of the worker.
        base::steady_time first_stop; ///< When `stop_sent` was set.
        bool stop_delay_logged = false;
        /// The worker has restarted since the start was sent, and has not listed the run since.
        bool worker_restarted = false;
        /// No order to the former incarnation can start the run on the present one, so a list of
        /// the present one without the run proves its end.
        bool ended_unless_listed = false;
        std::uint32_t start_attempts = 0;
        std::uint32_t unanswered = 0; ///< Start attempts in flight or with a lost answer.
        std::uint32_t in_flight = 0; ///< Start attempts in flight.
        base::steady_time last_start_attempt;
        base::steady_time next_start_attempt;
        /// Number of a report. Those requested later must list the run.
        std::uint64_t expected_after_report = 0;
        std::uint32_t missing_reports = 0; ///< Consecutive reports that did not list the run.
        /// When the first of `missing_reports` was read.
        std::optional<base::steady_time> unlisted_since;
        /// Number of a report. One that was requested later and does not list the end of the run
        /// proves that the run has ended.
        std::optional<std::uint64_t> ended_after_report;
        base::steady_time start_before; ///< As in `run_request`.
        std::function<base::steady_time()> permitted_until; ///< As in `run_request`.
        run_progress progress;
        bool lag_reported = false;
        base::steady_time next_stop;
        callback done;
    };
    using run_list = std::map<std::string, active_run>; // By the worker's name of the task.
    /// `run_numbers` and `ended_run_numbers` are cleared when they exceed this size.
    static constexpr std::size_t max_tracked_tasks = 20'000;
    /// Ends within this time share one report.
    static constexpr std::chrono::milliseconds report_delay {3};

    using call_context = leased_worker::call_context;

    [[nodiscard]] call_context context() const
    {
        return {this->token.value(), this->identity.addressed()};
    }
    /// Latest end of the lease that the permissions of all runs on the worker, and of the tasks
    /// that wait for their start, allow.
    [[nodiscard]] base::steady_time latest_lease_end() const;
    /// A command did not reach the worker, which may be between two incarnations.
    void on_not_sent(worker_lease::grants const& before, worker_lease::grants const& after);
    /// To be called first in each call. Time in which this process did not run says nothing of the
    /// worker: the whole machine may have been suspended, and the worker's leases go on then.
    void discount_pause();
    /// Latest end of the lease that the permission of this run allows.
    [[nodiscard]] base::steady_time latest_lease_end(active_run const& active) const;
    /// Why a run cannot start now; empty if it can.
    [[nodiscard]] std::string_view reason_not_to_start(run_request const& request,
                                                       std::string const& name) const;
    /// Whether a start may be sent again. The agent may have been paused since it sent the last
    /// one.
    [[nodiscard]] bool may_start_now(active_run const& active) const;
    void log_withheld_lease();
    void record_clock(std::optional<worker_clock> reading);
    void record_contact();
    void send_start(active_run& active);
    /// @param clock when the worker answered.
    void on_accepted(active_run& active, std::optional<worker_clock> clock);
    /// Whether a command that the worker has not answered may still be carried out by its next
    /// incarnation, which does not know that the lease in the command has ended.
    [[nodiscard]] static bool may_start_late(active_run const& active, base::steady_time time);
    /// An unreachable worker ends all runs when their leases expire.
    void finish_expired_runs(base::steady_time time);
    /// The start may still be carried out, so the next report decides: a run that it does not list
    /// is stopped.
    void on_unconfirmed(active_run& active);
    /// Null if the run has ended.
    active_run* find_run(std::string const& name, std::uint64_t serial);
    void on_started(std::string const& name, std::uint64_t serial, call_context const& context,
                    worker_reply const& reply);
    void on_start_unanswered(active_run& active);
    void send_stop(active_run& active);
    void on_stopped(std::string const& name, std::uint64_t serial, call_context const& context,
                    worker_reply const& reply);
    /// Stops a run that this incarnation of the agent did not start.
    void stop_foreign(worker_run const& run);
    enum class report_kind : std::uint8_t { renewal, probe };
    void send_report(report_kind kind);
    /// Asks whoever runs at the worker's address for its start and its runs. Grants no lease and
    /// acknowledges no end.
    /// @param named empty id if any incarnation may answer.
    void send_identity_check(worker_incarnation const& named);
    /// Asks while the worker denies its id: without an id for its start, and by its id whether the
    /// denial is over.
    void check_identity();
    void process_report(std::uint64_t number, call_context const& context,
                        worker_report const& report);
    void resend_commands(base::steady_time time);
    /// Logs a run that goes on long after it should have been stopped.
    static void log_stop_delay(active_run& active, base::steady_time time);
    void on_ended(ended_run const& ended);
    void reconcile_runs(std::uint64_t number, worker_report const& report);
    void stop_foreign_runs(worker_report const& report);
    /// A report does not list the run. That alone does not tell whether the run has ended: the
    /// worker may be stopping it.
    void on_unlisted(active_run& active);
    /// What proves that a run has ended which the worker has not listed for its end.
    [[nodiscard]] std::optional<end_proof> proof_of_end(active_run const& active,
                                                        worker_clock reading) const;
    /// Whether a report without the run shows that the run has ended with a former incarnation.
    [[nodiscard]] bool ended_with_former_life(active_run const& active,
                                              worker_reply const& reply) const;
    void check_progress(active_run& active, std::uint32_t percent, worker_clock time);
    /// The worker refused this token.
    void on_stale_fence(std::uint64_t sent);
    /// The worker announces itself. A superseded process may go on after a while.
    void resume_if_due();
    void log_raised_fence() const;
    /// Whether an answer is about the present incarnation of the worker. First acts on what the
    /// answer tells about incarnations: the worker denies its id, or another one has answered.
    /// @param named the incarnation that the call named.
    bool is_current(worker_incarnation const& named, worker_reply const& reply);
    /// The worker denies its id. Its runs go on until another incarnation has been heard.
    void on_denied();
    enum class former_orders : std::uint8_t {
        may_arrive, ///< Unanswered starts for the former incarnation may reach the next one.
        answered_only, ///< So may those starts, but answered ones are done with.
        refused, ///< The next incarnation has another id.
    };
    /// Another incarnation of the worker is the present one. Each run is unconfirmed until that one
    /// lists it, has been heard without it, or has confirmed that it refuses it.
    void on_life_ended(worker_incarnation const& next, former_orders orders);
    /// Forgets what the former incarnation has told about a run.
    void await_confirmation(active_run& active, former_orders orders);
    /// Forgets what answers of an earlier incarnation have told.
    void forget_worker_state();
    void update_availability(bool reachable, bool announced);
    /// @param before availability before a change.
    void emit_if_changed(bool before);
    void finish_run(std::string const& name, run_result result);
    void record_inferred_end(active_run const& active, end_proof proof);
    /// The worker has accepted a call with the token of this process.
    void on_token_accepted();
    /// Settles the runner by what a report does not list. From the first accepted call on, the
    /// worker refuses the starts of a former process, so it runs what it lists, and what it has
    /// been stopping since before.
    void settle_by_report(std::uint64_t number, worker_report const& report);
    void settle(std::string_view reason);
    /// Ends a run whose end the worker has not listed.
    void finish_unlisted_run(std::string const& name, end_proof proof);
    [[nodiscard]] static std::string name_of(protocol::task_start const& task);

    leased_worker& worker;
    lease_limits limits;
    clock_source now;
    base::steady_time created;
    fencing_token token;

    incarnation_tracker identity;
    bool is_announced = false; ///< The present incarnation has announced itself.
    base::steady_time last_contact;
    base::steady_time last_call; ///< To this runner.
    worker_lease lease;
    foreign_runs foreign;
    bool lease_withheld = false; ///< The last renewal could not extend the lease.
    bool is_reachable = false;
    /// The token was raised for the next incarnation of the worker, and no answer has come since.
    bool restart_expected = false;
    bool is_settled = false;
    bool is_shutting_down = false;
    /// The worker has accepted a call since this process began, or went on after it had been
    /// superseded.
    bool is_taken_over = false;
    /// Reading of the worker's clock since when every run of a former process that was listed has
    /// a listed end.
    std::optional<worker_clock> quiet_since;
    /// Number of a report. One that was requested later and lists no such run settles the runner.
    std::optional<std::uint64_t> settled_after_report;

    run_list runs;
    std::uint64_t last_serial = 0; ///< Of a run.
    /// Latest end of the lease that an answered start has granted, also to a next life of the
    /// worker, which shortens a lease by the former clock only to the longest one.
    base::steady_time start_lease_end;
    std::map<std::string, std::uint64_t> run_numbers; ///< Highest run number used, by task.
    /// Highest run number with a reported end, by task. Reports may arrive out of order, so that an
    /// older one may still list the run as running.
    std::map<std::string, std::uint64_t> ended_run_numbers;
    inferred_ends ends_without_row;
    std::uint64_t last_seen_end = 0;
    std::uint64_t reports_sent = 0;
    /// Number of a report. Those requested later carry the token that was raised after the last
    /// restart of the worker under its id, or when this process resumed.
    std::uint64_t restarted_after_report = 0;
    std::uint64_t renewal_in_flight = 0; ///< Number of the report; 0 while none is in flight.
    base::steady_time next_report;
    base::steady_time next_probe;
    base::steady_time next_identity_check;
    std::shared_ptr<bool> alive; // Callbacks of the worker hold weak references to it.
};

} // namespace greengagehead::agent
