// Availability zones that operators have taken out of service, and endpoints that they drain.

#pragma once

#include <set>
#include <string>
#include <vector>

#include "protocol/command.h"
#include "state/idempotency_table.h"

namespace greengagehead::state {

/// Snapshot form of a zone_table.
struct zone_image {
    std::vector<std::string> zones_out;
    std::vector<std::string> draining;
    std::vector<recorded_change> recorded_changes;
};

class zone_table {
public:
    /// Maximum number of zones, and of endpoints, listed at once. Bounds the size of a view.
    static constexpr std::size_t list_limit = 10'000;

    struct outcome {
        protocol::change_result result;
        /// False when rejected, without effect, or answered with a recorded result.
        bool changed = false;
    };

    /// Takes a zone out of service or returns it. `view` is the number of the current view; a
    /// change that has an effect belongs to the next one.
    outcome put(protocol::put_zone_state const& request, protocol::view_number view);
    /// Starts or ends the draining of an endpoint. `view` as above.
    outcome put(protocol::put_endpoint_drain const& request, protocol::view_number view);

    [[nodiscard]] std::vector<std::string> zones_out() const;
    [[nodiscard]] std::vector<std::string> draining() const;

    [[nodiscard]] zone_image image() const;
    void restore(zone_image const& image);

private:
    /// Adds `name` to `list` or removes it, as `listed` says.
    outcome set_listed(std::set<std::string>& list, std::string const& name, bool listed,
                       std::string const& key, protocol::view_number view);

    std::set<std::string> excluded_zones;
    std::set<std::string> draining_endpoints;
    idempotency_table recorded_changes;
};

} // namespace greengagehead::state
