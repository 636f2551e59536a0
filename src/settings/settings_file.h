// Reads and checks a settings file as a whole and reports all problems at once.

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "settings/process_settings.h"

namespace greengagehead::settings {

struct settings_problem {
    std::string file;
    std::uint32_t line = 0; ///< From 1; 0 if the problem has no position, such as a missing key.
    std::string key; ///< Dotted path; empty if the problem concerns the whole file.
    std::string message; ///< States what is wrong or which values are allowed.

    /// One line for a terminal or a log: file, line, key and message.
    [[nodiscard]] std::string to_string() const;
};

struct settings_check {
    process_settings settings; ///< Valid only if `problems` is empty.
    std::vector<settings_problem> problems;
};

/// Reads and checks `file`. Relative paths in it are relative to the working directory.
[[nodiscard]] settings_check read_settings_file(std::string const& file);

/// Checks `text` as the content of `file`, whose name is only used in problems.
[[nodiscard]] settings_check read_settings_text(std::string const& text, std::string const& file);

} // namespace greengagehead::settings
