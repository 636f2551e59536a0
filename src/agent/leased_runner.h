// Runs tasks on a worker under leases: run numbers, fencing token, lease renewal, and the ends of
// runs, with the certainty that a task reported as over does not run any more.

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include <sigc++/signal.h>

#include "agent/endpoint_runner.h"
#include "agent/leased_worker.h"
#include "agent/run_progress.h"
#include "base/clock.h"

namespace greengagehead::agent {

struct lease_limits {
    /// Longest lease that the worker grants.
    std::chrono::milliseconds longest {1000};
    /// How much slower than ours the worker's clock may run.
    std::uint32_t clock_drift_percent = 2;
    /// A report is due at least this often while something runs.
    std::chrono::milliseconds report_wait {200};
};

/// One instance serves the worker beside this agent, over all its lives.
class leased_runner : public endpoint_runner {
public:
    using clock_source = std::function<base::steady_time()>;

    /// @param first_fence above the token of any earlier incarnation of this agent.
    leased_runner(leased_worker& worker, lease_limits limits, std::uint64_t first_fence,
                  clock_source clock);

    void start(run_request const& request, callback done) override;
    void stop(std::string const& url, protocol::task_ref const& task) override;

    /// The worker has announced itself. A new incarnation has lost all runs of the former one.
    void announced(worker_incarnation const& incarnation, std::optional<worker_clock> clock);
    /// Expected every 10 ms.
    void tick();

    /// No run of an earlier incarnation of this agent can be under way any more. Work may be taken
    /// on only then, because its entries may start those tasks elsewhere.
    [[nodiscard]] bool settled() const { return this->is_settled; }
    [[nodiscard]] bool reachable() const { return this->is_reachable; }
    /// The worker answers. Emitted when this changes.
    sigc::signal<void(bool reachable)> reachable_changed;
    /// A run stands still or is far slower than expected. Emitted once a run.
    sigc::signal<void(protocol::attempt_ref const& run, std::chrono::milliseconds remaining)>
        lag_detected;

private:
    enum class phase : std::uint8_t {
        starting, ///< The command is under way.
        running,
        doubtful, ///< The command was not answered. Unless the worker lists the run, it is stopped.
    };
    struct open_run {
        protocol::task_start task;
        worker_run run;
        phase state = phase::starting;
        bool stop_wanted = false;
        bool stop_sent = false;
        bool stop_answered = false;
        std::uint32_t tries = 0;
        std::uint32_t unanswered = 0; ///< Tries that are under way, or whose answer was lost.
        std::uint32_t under_way = 0;
        base::steady_time next_try;
        std::uint64_t known_since = 0; ///< Reports sent later must list it.
        std::uint32_t missing = 0; ///< Reports in a row that did not list it.
        run_progress progress;
        bool lag_reported = false;
        base::steady_time next_stop;
        callback done;
    };
    using run_list = std::map<std::string, open_run>; // By name at the worker.
    /// Bounds `numbers` and `ended_numbers`.
    static constexpr std::size_t most_numbers = 20'000;
    /// Several ends within this time share one report.
    static constexpr std::chrono::milliseconds report_gap {3};
    /// A run may be missing from one report that crossed its start.
    static constexpr std::uint32_t missing_reports_until_over = 3;

    [[nodiscard]] leased_worker::call_context terms() const
    {
        return {this->fence, this->incarnation};
    }
    [[nodiscard]] worker_clock lease_end() const;
    void note_clock(std::optional<worker_clock> reading);
    void note_contact();
    void send_start(open_run& item);
    void on_accepted(open_run& item);
    /// The command may still be carried out: the worker decides by listing the run.
    void on_doubt(open_run& item);
    void on_started(std::string const& name, std::uint64_t number, worker_reply const& reply);
    void send_stop(open_run& item);
    void stop_foreign(worker_run const& run);
    enum class report_kind : std::uint8_t { renewal, probe };
    void send_report(report_kind kind);
    void on_report(std::uint64_t number, report_kind kind, worker_report const& report);
    void take_report(std::uint64_t number, worker_report const& report);
    void repeat_orders(base::steady_time time);
    void on_ended(ended_run const& ended);
    void check_listed(std::uint64_t number, worker_report const& report);
    void check_progress(open_run& item, std::uint32_t percent, worker_clock time);
    void raise_fence();
    void lose_life(std::string const& reason);
    void end(std::string const& name, run_result result);
    [[nodiscard]] static std::string name_of(protocol::task_start const& task);

    leased_worker& worker;
    lease_limits limits;
    std::uint64_t fence;
    clock_source now;
    base::steady_time created;

    worker_incarnation incarnation; ///< Empty id until the worker has announced itself.
    std::optional<worker_clock> clock; ///< Last reading in this incarnation.
    base::steady_time clock_read_at;
    base::steady_time last_contact;
    /// No lease given out so far ends later, in our clock and with the worker's drift.
    base::steady_time leases_over;
    bool is_reachable = false;
    bool is_settled = false;

    run_list runs;
    std::map<std::string, std::uint64_t> numbers; ///< Highest run number used, by task.
    /// Highest run number with a listed end, by task: a report that was answered earlier may arrive
    /// later and list the run still.
    std::map<std::string, std::uint64_t> ended_numbers;
    std::uint64_t seen_end = 0;
    std::uint64_t reports_sent = 0;
    bool report_open = false;
    base::steady_time next_report;
    base::steady_time next_probe;
    std::shared_ptr<bool> alive; // Callbacks of the worker hold it weakly.
};

} // namespace greengagehead::agent
