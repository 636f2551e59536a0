// Runs that were reported as ended although the worker has not listed their end: what proved it,
// and whether the worker lists an end after all.

#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "agent/leased_worker.h"
#include "base/clock.h"

namespace greengagehead::agent {

/// What an end that the worker has not listed was concluded from.
enum class end_proof : std::uint8_t {
    start_refused, ///< A confirmed stop makes the worker refuse the start from then on.
    lease_expired,
    later_incarnation, ///< Another incarnation of the worker has answered.
};

struct inferred_end {
    worker_run run;
    end_proof proof = end_proof::lease_expired;
    std::uint32_t missing_reports = 0; ///< Consecutive reports that did not list the run.
    std::optional<base::steady_time> first_stop; ///< Empty if no stop was sent.
};

/// Remembers inferred ends, also those of runs whose worker is thought to have ended.
class inferred_ends {
public:
    /// Logs the end as `run_end_inferred`.
    void record(inferred_end const& end, std::string const& worker, base::steady_time now);
    /// The worker lists this end. Logs `end_after_outcome` if it was inferred before: the run went
    /// on when its outcome was reported.
    void check(ended_run const& listed, std::string const& worker, base::steady_time now);
    /// A run of this number starts, possibly again on another incarnation of the worker.
    void forget(worker_run const& run);
    /// Logs the number of conclusions by proof and the last of them, for a log of which only the
    /// last lines are kept. Nothing if there were none.
    void log_summary(base::steady_time now) const;

private:
    /// `ends` is cleared when it exceeds this size.
    static constexpr std::size_t max_ends = 1'000;
    static constexpr std::size_t max_recent = 8;
    static constexpr std::size_t proof_count = 3;

    struct recent_end {
        worker_run run;
        end_proof proof;
        base::steady_time inferred_at;
    };

    /// When the end of each run was inferred, by task and run number.
    std::map<std::pair<std::string, std::uint64_t>, base::steady_time> ends;
    std::array<std::uint64_t, proof_count> counts {}; ///< By `end_proof`.
    std::uint64_t listed_afterwards = 0;
    std::deque<recent_end> recent;
};

} // namespace greengagehead::agent
