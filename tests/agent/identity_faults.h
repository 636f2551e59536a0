// What a worker that lives says wrongly about itself for a while: it denies calls, states another
// start, or calls itself by another id.

#pragma once

#include <cstdint>
#include <optional>

#include "agent/leased_worker.h"
#include "agent/simulation_world.h"

namespace greengagehead::agent::fakes {

/// Which calls a worker answers as if they were meant for another incarnation.
enum class denied_calls : std::uint8_t {
    one,
    three,
    with_id, ///< All that name an id.
    all,
};
constexpr std::uint64_t denied_calls_count = 4;

/// What an answer says instead of the worker's start.
enum class born_fault : std::uint8_t {
    missing,
    off, ///< The same wrong time in all of these answers.
    off_variably,
};
constexpr std::uint64_t born_fault_count = 3;

class identity_faults {
public:
    explicit identity_faults(simulation_world& simulated) : world(simulated) { }

    void deny(denied_calls calls, base::steady_time until);
    /// @param percent share of the answers with the fault.
    void misstate_born(born_fault fault, std::uint32_t percent, base::steady_time until);

    /// Whether the call that has arrived is denied.
    [[nodiscard]] bool denies(leased_worker::call_context const& context);
    /// What an answer says.
    [[nodiscard]] std::optional<std::uint64_t> stated_born(std::uint64_t born);

private:
    /// Not 0.
    [[nodiscard]] std::int64_t draw_offset();

    simulation_world& world;
    denied_calls denied = denied_calls::one;
    std::uint32_t denials_left = 0; ///< For `one` and `three`.
    base::steady_time denied_until;
    born_fault fault = born_fault::missing;
    std::uint32_t fault_percent = 0;
    std::int64_t fault_offset = 0; ///< In milliseconds, as `born`.
    base::steady_time fault_until;
};

} // namespace greengagehead::agent::fakes
