// Schema of the settings that operators may write, and the check of a path and value against it.

#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "base/error.h"

namespace greengagehead::state {

/// Rule for the settings whose paths match a pattern. All values are whole numbers. `TEAM` and
/// `KIND` in a pattern stand for any valid name.
struct setting_rule {
    std::string_view pattern;
    std::int64_t minimum = 0;
    std::int64_t maximum = 0; ///< Inclusive.
    std::string_view description; ///< Text for docs/settings.md.
};

[[nodiscard]] std::span<setting_rule const> setting_rules();

/// True for 1 to 64 bytes of letters (in well-formed UTF-8), digits, `-`, `_` and `.`. A name of
/// dots only is not valid.
[[nodiscard]] bool valid_name(std::string_view name);

/// Returns the canonical form of `value`, a JSON text.
/// Errors: `error_code::not_found` when no rule matches the path, `error_code::invalid_argument`
/// when the value is not allowed. The messages name the allowed paths and values.
[[nodiscard]] base::result<std::string> check_setting(std::string_view path,
                                                      std::string_view value);

} // namespace greengagehead::state
