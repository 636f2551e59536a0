// Reads and checks a settings file as a whole: every problem is reported at once.

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "settings/process_settings.h"

namespace greengagehead::settings {

struct settings_problem {
    std::string file;
    std::uint32_t line = 0; ///< 0 when the problem has no place in the file.
    std::string key;
    std::string message; ///< Says what is allowed.

    [[nodiscard]] std::string to_string() const;
};

struct settings_check {
    process_settings settings; ///< Only valid without problems.
    std::vector<settings_problem> problems;
};

/// Reads `file`. Relative paths in it are relative to the working directory.
[[nodiscard]] settings_check read_settings_file(std::string const& file);

/// Checks `text` as if it stood in `file`.
[[nodiscard]] settings_check read_settings_text(std::string const& text, std::string const& file);

} // namespace greengagehead::settings
