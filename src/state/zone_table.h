// Availability zones that operators have taken out, and endpoints that they drain.

#pragma once

#include <set>
#include <string>
#include <vector>

#include "protocol/command.h"
#include "state/change_memory.h"

namespace greengagehead::state {

/// Snapshot form of a zone_table.
struct zone_image {
    std::vector<std::string> zones_out;
    std::vector<std::string> draining;
    std::vector<remembered_change> remembered;
};

class zone_table {
public:
    /// Most zones and endpoints listed at once; bounds the size of a view.
    static constexpr std::size_t list_limit = 10'000;

    struct outcome {
        protocol::change_result result;
        bool changed = false; ///< False when refused, already so, or answered from memory.
    };

    /// `view` is the current view, which the change makes the previous one if it changes anything.
    outcome put(protocol::put_zone_state const& request, protocol::view_number view);
    outcome put(protocol::put_endpoint_drain const& request, protocol::view_number view);

    [[nodiscard]] std::vector<std::string> zones_out() const;
    [[nodiscard]] std::vector<std::string> draining() const;

    [[nodiscard]] zone_image image() const;
    void restore(zone_image const& image);

private:
    outcome set_listed(std::set<std::string>& list, std::string const& name, bool listed,
                       std::string const& key, protocol::view_number view);

    std::set<std::string> out;
    std::set<std::string> drained;
    change_memory memory;
};

} // namespace greengagehead::state
