// Values under paths, each with its own version and a bounded history.

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/command.h"
#include "state/change_memory.h"

namespace greengagehead::state {

struct setting_image {
    protocol::setting current;
    std::vector<protocol::setting_change> history; ///< Oldest first.
};

/// Snapshot form of a settings_tree.
struct settings_image {
    std::vector<setting_image> settings;
    std::vector<remembered_change> remembered;
};

class settings_tree {
public:
    /// Changes kept per path.
    static constexpr std::size_t history_limit = 32;

    struct outcome {
        protocol::change_result result;
        bool changed = false; ///< False when refused, or answered from memory.
    };

    /// `next_view` is the view that carries the change if it is applied.
    outcome put(protocol::put_setting const& request, protocol::wall_time at,
                protocol::view_number next_view);

    /// All settings at or below `prefix`, sorted by path.
    [[nodiscard]] std::vector<protocol::setting> list(std::string_view prefix) const;
    [[nodiscard]] protocol::settings_history history(std::string const& path) const;

    [[nodiscard]] settings_image image() const;
    void restore(settings_image image);

private:
    struct node {
        std::string value;
        std::uint64_t version = 0;
        std::deque<protocol::setting_change> history;
    };

    [[nodiscard]] protocol::setting current(std::string const& path) const;
    outcome put_new(protocol::put_setting const& request, protocol::wall_time at,
                    protocol::view_number next_view);

    std::map<std::string, node> nodes;
    change_memory memory;
};

} // namespace greengagehead::state
