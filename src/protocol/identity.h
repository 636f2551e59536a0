// Identifiers used by both messages and replicated state.

#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace greengagehead::protocol {

/// Number of a committed view; a higher number is newer.
using view_number = std::uint64_t;

/// Random number chosen at process start; tells a restarted process from its predecessor.
using incarnation_number = std::uint64_t;

/// The numbers of an incarnation's requests follow this one. Answers reach a process by its name,
/// so incarnations must not use the same numbers: a late answer to a former one would be taken for
/// that to another request. The ranges of two incarnations are equal with a probability of 2^-32.
[[nodiscard]] constexpr std::uint64_t request_number_base(incarnation_number incarnation)
{
    return incarnation << 32U;
}

/// Counts the owners of a job. A higher epoch fences every lower one.
using job_epoch = std::uint64_t;

/// Identifies one incarnation of an entry or agent process.
struct process_id {
    std::string name; ///< Peer name, for example `entry.recife-1`.
    incarnation_number incarnation = 0;

    // clang-tidy 14 mistakes the comparison with zero in a defaulted operator for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(process_id const&) const = default;
};

/// Identifies one task of a job.
struct task_ref {
    std::string job; ///< Job id, 32 hex digits.
    std::uint32_t index = 0; ///< Position in the job's list of tasks, from 0.

    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(task_ref const&) const = default;
};

} // namespace greengagehead::protocol
