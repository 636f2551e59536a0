// Compact records of non-idempotent runs whose outcome has been acknowledged.

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "agent/attempt.h"

namespace greengagehead::agent {

/// Needs less than half the memory of the records in the outcome store. At 63 starts per second an
/// agent holds 94,500 of them within the default retention.
class run_archive {
public:
    /// True for finished non-idempotent runs without details, of a job whose id has 32 hex digits.
    [[nodiscard]] static bool accepts(std::string const& job, attempt_record const& record);

    /// @param record one that `accepts` returns true for.
    void put(std::string const& job, attempt_record const& record);
    /// Removes and returns the runs of a job.
    [[nodiscard]] std::vector<attempt_record> take(std::string const& job);

    /// Removes runs that finished before `limit`. Each call examines a part of the runs.
    void expire(base::steady_time limit);

private:
    using packed_job = std::array<std::uint64_t, 2>;

    struct archived_run {
        base::steady_time finished_at;
        protocol::job_epoch epoch = 1;
        std::uint32_t index = 0;
        std::uint32_t attempt = 1;
        protocol::outcome_kind kind = protocol::outcome_kind::unknown;
    };

    [[nodiscard]] static std::optional<packed_job> pack(std::string const& job);

    std::multimap<packed_job, archived_run> runs;
    packed_job sweep_position {}; // Job at which the next call of `expire` continues.
};

} // namespace greengagehead::agent
