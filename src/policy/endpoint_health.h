// Detects endpoints that fail or are slow, excludes them from placement, probes them and returns
// them gradually.

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "base/clock.h"

namespace greengagehead::policy {

enum class health_state : std::uint8_t { healthy, excluded, probing, returning };

class endpoint_health {
public:
    endpoint_health();
    ~endpoint_health();
    endpoint_health(endpoint_health const&) = delete;
    endpoint_health& operator=(endpoint_health const&) = delete;

    /// Records the result of one attempt. `succeeded` is false for failures, unknown outcomes and
    /// refusals by the endpoint, but not for refusals by the agent's admission.
    void record(std::string const& endpoint, bool succeeded, std::chrono::microseconds run_time,
                std::chrono::microseconds expected, base::steady_time now);
    void forget(std::string const& endpoint);

    /// Whether the endpoint may get one more task now. At most half of the known endpoints are
    /// excluded at a time, so that a failure with a common cause does not exclude the whole fleet.
    [[nodiscard]] bool accepts(std::string const& endpoint, std::uint32_t in_progress,
                               std::size_t known_endpoints, base::steady_time now);
    [[nodiscard]] health_state state(std::string const& endpoint) const;
    /// Records that the endpoint was chosen for a task. Called by the placement policy, so that an
    /// excluded endpoint gets only one probe at a time.
    void record_placement(std::string const& endpoint, base::steady_time now);
    [[nodiscard]] std::size_t excluded() const; ///< Endpoints excluded or being probed.

private:
    struct implementation;
    std::unique_ptr<implementation> impl;
};

} // namespace greengagehead::policy
