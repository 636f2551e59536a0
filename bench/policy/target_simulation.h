// Simulation of several entries that place jobs with targets on the same endpoints without shared
// memory, with the users' mix of jobs. Entries use the real admission, queue, endpoint table and
// placement; agents use the real queue in front of an endpoint.

#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "policy/account_fairness.h"

namespace greengagehead::policy {

constexpr std::size_t job_kind_count = 3;

/// What the entries expect of the run times.
enum class run_time_knowledge : std::uint8_t {
    exact_means, ///< The mean of each kind.
    learned, ///< As run_time_estimator learns them.
    /// As normalized_run_times learns them. Placement uses the learned speeds of the endpoints.
    learned_with_speeds,
};

/// The defaults are the users' site after its growth: 60 endpoints of 64 cores, ten entries, tasks
/// of 5.7 cores.
struct target_simulation_settings {
    double load = 0.8; ///< Offered work relative to the capacity of all slots.
    /// Relative arrival rates of the entries.
    std::vector<double> entry_weights {10, 10, 10, 10, 13, 13, 13, 16, 16, 16};
    std::uint32_t endpoints = 60;
    std::uint32_t slots = 640; ///< Per endpoint.
    double mean_task_slots = 57; ///< 5.7 cores at ten slots a core.
    /// Speeds of the endpoints relative to the nominal one; the endpoints have them in turn.
    std::vector<double> speeds {1};
    double run_time_factor = 1; ///< Multiplies all run times of the mix.
    /// A caller declares the mean run time of its job, too high or too low by this fraction.
    double declared_error = 0;
    double long_run_share = 0; ///< Runs that take `long_run_factor` times as long.
    double long_run_factor = 7;
    /// Callers leave this long after their job has arrived; 0 if they wait for any answer.
    std::chrono::milliseconds deadline {0};
    run_time_knowledge knowledge = run_time_knowledge::exact_means;
    std::chrono::microseconds latency {3000}; ///< One way, between entry and agent.
    std::chrono::seconds length {12}; ///< Jobs arrive during this time.
    /// Arrival rates of the kinds relative to the users' mix, at the same load.
    std::array<double, job_kind_count> kind_rates {1, 1, 1};
    /// Each kind is an account, and entries report their use as with `entry.fair_accounts`.
    bool fair_accounts = false;
    std::array<account_limits, job_kind_count> limits; ///< Fleet settings of the accounts.
    std::uint64_t seed = 1;
    /// Slots are divided by demand. Otherwise each entry has an equal part.
    bool share_by_demand = false;
    /// A job that its entry would refuse goes to the entry that would make it wait least, once. The
    /// entry knows the queues of all others, which real entries do not: an upper bound.
    bool move_refused_jobs = false;
};

/// Outcomes of the jobs of one kind.
struct kind_result {
    std::uint32_t submitted_jobs = 0;
    std::uint32_t in_target = 0; ///< Answered within their target.
    std::uint32_t late = 0; ///< Answered after their target.
    std::uint32_t refused = 0;
    std::uint32_t expired = 0; ///< Ended after the deadline of their callers.
    double served_slot_seconds = 0; ///< Slots times run time of the started tasks.

    /// Jobs answered within their target relative to the submitted ones. 1 without jobs.
    [[nodiscard]] double in_target_share() const
    {
        return this->submitted_jobs == 0
            ? 1
            : static_cast<double>(this->in_target) / this->submitted_jobs;
    }
};

struct target_simulation_result {
    /// Quotes (8 tasks of 60 ms), holds (2 of 200 ms) and confirmations (4 of 900 ms).
    std::array<kind_result, job_kind_count> kinds;
    double refused_starts = 0; ///< Per accepted task.
    std::uint32_t moved_jobs = 0; ///< Jobs that went to another entry.
    std::uint64_t tables = 0; ///< Tables of weights that were issued.
    /// Highest share of refused jobs of one entry.
    double worst_entry_refused = 0;
    /// Slot time of the started tasks relative to the capacity of all slots during `length`.
    double utilization = 0;
};

[[nodiscard]] target_simulation_result
run_target_simulation(target_simulation_settings const& settings);

} // namespace greengagehead::policy
