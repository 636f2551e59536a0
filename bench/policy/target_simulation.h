// Plays the users' mix of jobs with targets against several entries that place on the same
// endpoints without shared memory. Entries use the real admission, queue, endpoint table and
// placement; agents use the real queue in front of an endpoint.

#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace greengagehead::policy {

constexpr std::size_t job_kind_count = 3;

/// The users' grown site: 60 endpoints of 64 cores, ten entries, tasks of 5.7 cores.
struct target_simulation_settings {
    double load = 0.8; ///< Part of all slots that the offered work keeps busy.
    std::vector<double> entry_weights {10, 10, 10, 10, 13,
                                       13, 13, 16, 16, 16}; ///< Of the arrivals.
    std::uint32_t endpoints = 60;
    std::uint32_t slots = 640; ///< Of an endpoint.
    std::chrono::microseconds latency {3000}; ///< One way, between entry and agent.
    std::chrono::seconds length {12};
    std::uint64_t seed = 1;
};

/// What the callers of one kind of job got.
struct kind_result {
    std::uint32_t submitted_jobs = 0;
    std::uint32_t in_target = 0;
    std::uint32_t late = 0;
    std::uint32_t refused = 0;

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
    double refused_starts = 0; ///< Per task.
    double used = 0; ///< Part of all slots that was in use, on average.
};

[[nodiscard]] target_simulation_result
run_target_simulation(target_simulation_settings const& settings);

} // namespace greengagehead::policy
