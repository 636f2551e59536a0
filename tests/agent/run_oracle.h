// Judges which runs may be on a worker, from what the agent and the entries have sent and from what
// the worker does. Knows nothing of how the agent decides.
//
// Rules:
// (a) once the agent has sent an outcome of an attempt, no run of it is on the worker;
// (b) 1.3 s after the last stamp of an entry, no run of that entry is on the worker;
// (c) once an entry has given up an attempt, no run of it is on the worker;
// (d) a run ends by itself only, unless a trouble concerns its agent, its worker or its entry.
//     A denial of the worker, or another id of it, ends no run;
// (e) each attempt has an outcome 35 s after the last trouble.
//
// Exempt, because no agent can prevent them:
// - a start for a former life that a new life of the worker carries out before the first call of an
//   agent that knows of the new life, unless the agent has sent an outcome although no life had
//   started or stopped the run before. It must end soon after the worker has listed it;
// - what is on a worker while its machine is frozen. It must have ended when the machine goes on.

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "agent/simulation_world.h"
#include "agent/worker_model.h"

namespace greengagehead::agent::fakes {

class run_oracle {
public:
    /// After this time without a message of its entry a caller may start the job elsewhere.
    static constexpr std::chrono::milliseconds resubmission_delay {1300};
    /// Longest time from the end of the last trouble to the outcome of an attempt.
    static constexpr std::chrono::seconds longest_wait {35};
    /// A trouble concerns the runs that start within this time after it: leases and stamps of the
    /// trouble have expired then.
    static constexpr std::chrono::seconds trouble_aftermath {3};
    /// An exempt run ends this long after an answer that lists it has reached the agent. It covers
    /// a lease that was extended just before (0.82 s) and the time in which orders to stop are sent
    /// before the lease is withheld (0.3 s).
    static constexpr std::chrono::milliseconds longest_exempt_run {1300};

    explicit run_oracle(simulation_world& simulated) : world(simulated) { }

    void on_stamp_sent(protocol::process_id const& entry);
    void on_attempt_sent(protocol::attempt_ref const& attempt, protocol::process_id const& entry);
    void on_cancel(protocol::attempt_ref const& attempt);
    /// The agent has sent an outcome.
    void on_outcome(protocol::task_outcome const& outcome);
    /// The entry no longer waits for an outcome.
    void on_given_up(protocol::attempt_ref const& attempt, std::string const& reason);

    /// @param exempt a start for a former life, see above.
    void on_run_started(model_run const& run, bool exempt);
    void on_stop_accepted(worker_run const& run);
    void on_run_ended(model_run const& run, run_end_reason reason);
    /// An answer of the worker that lists what is on it has reached the agent.
    void on_list_received(std::vector<listed_run> const& listed);
    /// The worker has ended, and with it every run.
    void on_worker_ended() { this->present.clear(); }

    /// A trouble of the agent, its worker or the calls between them.
    void on_trouble(base::steady_time until);
    /// The worker may refuse starts until then. What runs goes on.
    void on_starts_refused(base::steady_time until);
    /// A trouble of an entry or its link.
    void on_entry_trouble(std::string const& entry, base::steady_time until);
    [[nodiscard]] base::steady_time last_trouble() const;

    /// To be called each millisecond.
    void check(bool machine_frozen);
    /// To be called once, after `longest_wait`. Attempts of `entries` must have an outcome.
    void check_outcomes(std::set<std::string> const& entries);
    /// Whether an attempt of `entries` has neither an outcome nor was given up.
    [[nodiscard]] bool awaits_outcome(std::set<std::string> const& entries) const;

    std::vector<std::string> violations;
    std::size_t runs = 0;
    std::size_t runs_done = 0;
    /// Runs that broke a rule and were exempt.
    std::size_t late_starts_exempted = 0;
    std::size_t frozen_runs_exempted = 0;

private:
    struct attempt_state {
        protocol::process_id entry;
        base::steady_time sent;
        bool cancelled = false;
        bool has_outcome = false;
        std::optional<std::string> closed; ///< Why no run may be on the worker.
    };
    struct present_run {
        model_run run;
        base::steady_time started;
        bool exempt = false; ///< See above.
        std::optional<base::steady_time> listed;
        bool reported = false; ///< A violation by this run was reported.
        bool exemption_counted = false;
    };

    static std::string name_of(protocol::attempt_ref const& attempt);
    void violate(std::string const& text);
    void close(protocol::attempt_ref const& attempt, std::string const& reason);
    /// Why the run may not be on the worker; empty if it may.
    [[nodiscard]] std::string objection(present_run const& run) const;
    [[nodiscard]] bool calm_since(base::steady_time time, std::string const& entry) const;
    [[nodiscard]] bool all_calm_since(base::steady_time time) const;

    simulation_world& world;
    std::map<std::string, attempt_state> attempts;
    std::map<std::string, base::steady_time> last_stamp; // By name and incarnation of the entry.
    std::map<std::string, present_run> present; // By task.
    std::set<std::string> met_runs; // Started or stopped by the worker; by task and run number.
    base::steady_time trouble_until;
    base::steady_time starts_refused_until;
    std::map<std::string, base::steady_time> entry_trouble_until;
};

} // namespace greengagehead::agent::fakes
