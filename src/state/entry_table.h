// Live entries, and entry incarnations that were replaced or removed recently.

#pragma once

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "protocol/message.h"

namespace greengagehead::state {

/// An incarnation that is no longer live.
struct retired_entry {
    protocol::process_id id;
    bool replaced = false; ///< A newer incarnation took its name; it may not join again.
    protocol::view_number retired_in_view = 0; ///< First view that does not contain it.
};

/// Snapshot form of an entry_table.
struct entry_image {
    std::vector<protocol::live_entry> live;
    std::vector<retired_entry> retired;
};

class entry_table {
public:
    /// Maximum number of retired incarnations. At 170 restarts a day this covers more than a day.
    static constexpr std::size_t retired_limit = 256;

    enum class join_outcome : std::uint8_t { unchanged, changed, refused };

    /// A new incarnation of a live entry replaces the current one. A replaced incarnation is
    /// refused, because its delayed join would otherwise displace its successor.
    join_outcome join(protocol::join_entry const& request, protocol::view_number next_view);
    /// Retires an incarnation. False when it is not live.
    bool remove(protocol::process_id const& id, protocol::view_number next_view);

    /// True when exactly this incarnation is live.
    [[nodiscard]] bool live(protocol::process_id const& id) const;
    /// Live incarnation of `name`; null for none.
    [[nodiscard]] protocol::live_entry const* find(std::string const& name) const;
    /// Null when `id` is live, was never live, or was dropped beyond `retired_limit`.
    [[nodiscard]] retired_entry const* find_retired(protocol::process_id const& id) const;
    [[nodiscard]] std::vector<protocol::live_entry> list() const;

    [[nodiscard]] entry_image image() const;
    void restore(entry_image image);

private:
    void retire(protocol::process_id const& id, bool replaced, protocol::view_number next_view);

    /// Invariant: no id is both live and retired.
    std::map<std::string, protocol::live_entry> entries;
    std::deque<retired_entry> retired;
};

} // namespace greengagehead::state
