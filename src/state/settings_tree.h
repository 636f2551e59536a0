// Settings by path. Each setting has its own version and a bounded history.

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/command.h"
#include "state/idempotency_table.h"

namespace greengagehead::state {

/// Snapshot form of one setting.
struct setting_image {
    protocol::setting current;
    std::vector<protocol::setting_change> history; ///< Oldest first.
};

/// Snapshot form of a settings_tree.
struct settings_image {
    std::vector<setting_image> settings;
    std::vector<recorded_change> recorded_changes;
};

class settings_tree {
public:
    /// Maximum number of changes in the history of a path.
    static constexpr std::size_t history_limit = 32;

    struct outcome {
        protocol::change_result result;
        bool changed = false; ///< False when rejected, or answered with a recorded result.
    };

    /// Checks and applies a change. `next_view` is the number of the view that contains the change
    /// if it is applied.
    outcome put(protocol::put_setting const& request, protocol::wall_time applied_at,
                protocol::view_number next_view);

    /// All settings whose path is `prefix` or below it, sorted by path.
    [[nodiscard]] std::vector<protocol::setting> list(std::string_view prefix) const;
    /// Recent changes of a setting, oldest first; empty for an unknown path.
    [[nodiscard]] protocol::settings_history history(std::string const& path) const;

    [[nodiscard]] settings_image image() const;
    void restore(settings_image image);

private:
    struct node {
        std::string value;
        std::uint64_t version = 0;
        std::deque<protocol::setting_change> history;
    };

    /// Version 0 with an empty value for a path without a setting.
    [[nodiscard]] protocol::setting current(std::string const& path) const;
    /// Applies a change whose idempotency key has no recorded result.
    outcome put_unrecorded(protocol::put_setting const& request, protocol::wall_time applied_at,
                           protocol::view_number next_view);

    std::map<std::string, node> nodes;
    idempotency_table recorded_changes;
};

} // namespace greengagehead::state
