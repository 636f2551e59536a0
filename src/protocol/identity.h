// Identifiers that messages and replicated state have in common.

#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace greengagehead::protocol {

using view_number = std::uint64_t;

/// Random number chosen at process start; tells a restarted process from its predecessor.
using incarnation_number = std::uint64_t;

/// Counts the owners of a job. A higher epoch fences every lower one.
using job_epoch = std::uint64_t;

/// One life of an entry or agent.
struct process_id {
    std::string name; ///< Peer name, for example `entry.recife-1`.
    incarnation_number incarnation = 0;

    // clang-tidy 14 takes the comparison with zero inside a defaulted operator for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(process_id const&) const = default;
};

/// One task of a job.
struct task_ref {
    std::string job; ///< Job id, 32 hex digits.
    std::uint32_t index = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(task_ref const&) const = default;
};

} // namespace greengagehead::protocol
