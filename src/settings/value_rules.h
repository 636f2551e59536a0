// Table of all keys of a settings file: type, range, which roles need them, and where they go.

#pragma once

#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "settings/process_settings.h"

namespace greengagehead::settings {

enum class value_kind : std::uint8_t {
    text,
    address,
    loopback_address,
    number,
    choice,
    duration,
    flag
};

/// One plain key. Exactly one of the setters is set.
struct value_rule {
    std::string_view key; ///< Dotted path.
    value_kind kind = value_kind::text;
    std::vector<role> needed_by; ///< Required when the process has one of these roles.
    bool always_needed = false;
    std::uint64_t least = 0;
    std::uint64_t most = 0;
    std::vector<std::string_view> choices;
    std::function<void(process_settings&, std::string const&)> set_text;
    std::function<void(process_settings&, std::uint64_t)> set_number;
    std::string_view meaning; ///< For docs/settings.md.
};

[[nodiscard]] std::vector<value_rule> const& value_rules();

/// What the rule accepts, for error messages and docs.
[[nodiscard]] std::string allowed_values(value_rule const& rule);

} // namespace greengagehead::settings
