// Process-wide log output through Boost.Log.

#pragma once

#include <cstdint>
#include <string>

#include "base/log_event.h"

namespace greengagehead::base {

enum class log_style : std::uint8_t { text, json };

/// Writes log lines of at least this severity to standard output. Called once, before any task
/// starts; until then nothing is logged.
void open_log(log_style style, severity min_severity);

/// Writes out buffered lines.
void flush_log();

[[nodiscard]] bool log_enabled(severity level);
[[nodiscard]] log_style log_format();
void write_log_line(severity level, std::string const& fields);

} // namespace greengagehead::base
