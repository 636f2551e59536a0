// Strategies that choose an endpoint for one task.

#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"

namespace greengagehead::policy {

class endpoint_health;
class endpoint_speed;
class endpoint_table;

struct placement_request {
    std::string team;
    std::string kind;
    std::string region; ///< Required region; empty for any.
    std::string zone; ///< Required zone; empty for any.
    std::uint32_t cpu = 0;
    std::uint32_t memory_mb = 0;
    std::uint32_t slots = 1;
    std::vector<std::string> avoid; ///< Endpoints of earlier attempts, used only as a last resort.
    /// Expected run time on an ordinary endpoint; 0 when not known. Only used with learned speeds.
    std::chrono::microseconds expected {0};
    base::steady_time target; ///< Time by which the task should end, if `expected` is known.
};

struct placement_choice {
    std::string endpoint;
    std::string reason; ///< Short text for logs and `explain`.
    std::uint32_t candidates = 0; ///< Matching endpoints with a free slot.
    double speed = 1; ///< Learned speed of the endpoint; 1 without learned speeds.
};

class placement_policy {
public:
    placement_policy() = default;
    virtual ~placement_policy() = default;
    placement_policy(placement_policy const&) = delete;
    placement_policy& operator=(placement_policy const&) = delete;

    /// Chooses an endpoint; empty when no suitable endpoint has enough free slots now.
    [[nodiscard]] virtual std::optional<placement_choice>
    choose(placement_request const& request, endpoint_table const& endpoints,
           endpoint_health& health, base::steady_time now)
        = 0;
    [[nodiscard]] virtual std::string_view name() const = 0;
};

/// Creates a policy by name: `least_loaded`, or `random` as a baseline. Null for an unknown name.
/// @param speeds learned speeds, which must outlive the policy. `least_loaded` then prefers
/// endpoints on which the task ends within its target. Null to place tasks without regard to speed.
[[nodiscard]] std::unique_ptr<placement_policy>
make_placement_policy(std::string_view name, std::uint64_t seed,
                      endpoint_speed const* speeds = nullptr);

} // namespace greengagehead::policy
