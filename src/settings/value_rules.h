// Table of the keys of a settings file: type, range, the roles that require them, and the member of
// process_settings that holds the value.

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

/// A key with a single value. Exactly one of the two setters is set.
struct value_rule {
    std::string_view key; ///< Dotted path.
    value_kind kind = value_kind::text;
    std::vector<role> required_by; ///< Required when the process has one of these roles.
    bool always_required = false;
    /// Range of numbers and durations, inclusive; durations in milliseconds.
    std::uint64_t min_value = 0;
    std::uint64_t max_value = 0;
    std::vector<std::string_view> choices; ///< Allowed values of a choice.
    std::function<void(process_settings&, std::string const&)> set_text;
    std::function<void(process_settings&, std::uint64_t)> set_number; ///< Flags: 0 or 1.
    std::string_view description; ///< Text for docs/settings.md.
};

/// All keys with a single value; [[controls]], [[entries]], [[tokens]] and `roles` have no rule.
[[nodiscard]] std::vector<value_rule> const& value_rules();

/// Describes the values that the rule accepts, for error messages and documentation.
[[nodiscard]] std::string allowed_values(value_rule const& rule);

} // namespace greengagehead::settings
