// Table of the settings that operators may write, and the check of a path and value against it.

#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "base/error.h"

namespace greengagehead::state {

/// One kind of setting. All values are whole numbers. `TEAM` and `KIND` in a pattern stand for any
/// valid name.
struct setting_rule {
    std::string_view pattern;
    std::int64_t least = 0;
    std::int64_t greatest = 0;
    std::string_view meaning; ///< For docs/settings.md.
};

[[nodiscard]] std::span<setting_rule const> setting_rules();

/// True for 1 to 64 bytes of letters (in well-formed UTF-8), digits, `-`, `_` and `.` that are not
/// only dots.
[[nodiscard]] bool valid_name(std::string_view name);

/// Normal form of `value`, a JSON text. Errors: `error_code::not_found` when no setting has this
/// path, `error_code::invalid_argument` when the value is not allowed; both messages say what is.
[[nodiscard]] base::result<std::string> check_setting(std::string_view path,
                                                      std::string_view value);

} // namespace greengagehead::state
