// Logs what an entry lacks after its start until it can serve callers, and when it had each part.

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "base/clock.h"

namespace greengagehead::entry {

/// Parts of the state, in the order in which an entry usually gets them.
enum class state_part : std::uint8_t { control_link, leader, lease, view, endpoint };
constexpr std::size_t state_part_count = 5;
/// Whether each part is present, by `state_part`.
using state_parts = std::array<bool, state_part_count>;

class recovery_logger {
public:
    void set_started(base::steady_time now) { this->started = now; }
    /// Logs once per second what is missing, and once when all parts have been present.
    void tick(state_parts const& present, base::steady_time now);

private:
    void log_missing(base::steady_time now);
    void log_recovered(base::steady_time now) const;

    base::steady_time started;
    base::steady_time next_log;
    /// Milliseconds from the start, by `state_part`.
    std::array<std::optional<std::int64_t>, state_part_count> first_seen;
    bool recovered = false;
};

} // namespace greengagehead::entry
