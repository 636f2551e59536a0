// Live entries, and the incarnations that recently stopped being live.

#pragma once

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "protocol/message.h"

namespace greengagehead::state {

/// An incarnation that is no longer live.
struct past_entry {
    protocol::process_id id;
    bool replaced = false; ///< A new incarnation took its name; it may never join again.
    protocol::view_number retired_in_view = 0; ///< First view without it.
};

/// Snapshot form of an entry_table.
struct entry_image {
    std::vector<protocol::live_entry> live;
    std::vector<past_entry> past;
};

class entry_table {
public:
    /// Past incarnations kept. At 170 restarts a day this covers more than a day.
    static constexpr std::size_t past_limit = 256;

    enum class join_outcome : std::uint8_t { unchanged, changed, refused };

    /// A new incarnation of a live name replaces the old one. A replaced incarnation is refused,
    /// because a delayed join of it would otherwise displace its successor.
    join_outcome join(protocol::join_entry const& request, protocol::view_number next_view);
    /// False when this incarnation is not live.
    bool remove(protocol::process_id const& id, protocol::view_number next_view);

    [[nodiscard]] bool live(protocol::process_id const& id) const;
    /// Live incarnation of `name`; null for none.
    [[nodiscard]] protocol::live_entry const* find(std::string const& name) const;
    /// Null when `id` is live, was never live, or is forgotten.
    [[nodiscard]] past_entry const* find_retired(protocol::process_id const& id) const;
    [[nodiscard]] std::vector<protocol::live_entry> list() const;

    [[nodiscard]] entry_image image() const;
    void restore(entry_image image);

private:
    void retire(protocol::process_id const& id, bool replaced, protocol::view_number next_view);

    /// Invariant: no id is both live and past.
    std::map<std::string, protocol::live_entry> entries;
    std::deque<past_entry> past;
};

} // namespace greengagehead::state
