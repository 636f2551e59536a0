// Process-wide log output through Boost.Log.

#pragma once

#include <cstdint>
#include <string>

#include "base/log_event.h"

namespace greengagehead::base {

enum class log_style : std::uint8_t { text, json };

/// Writes log lines of at least this severity to standard output. Called once, before any task
/// starts and any file is opened; until then nothing is logged.
void open_log(log_style style, severity min_severity);

/// Lines of the end of the process follow: from now on they wait for the reader, for a limited time
/// in all. Before, a line that cannot be written at once is dropped.
void begin_last_lines();

/// Writes what is left of the log, as after `begin_last_lines`.
void flush_log();

/// Number of lines of this process that were dropped. Thread-safe.
[[nodiscard]] std::uint64_t dropped_log_lines();

[[nodiscard]] bool log_enabled(severity level);
[[nodiscard]] log_style log_format();
/// The fields with which each line of an event begins, after time and level.
[[nodiscard]] std::string format_event(event_description const& event);
void write_log_line(severity level, std::string const& fields);

} // namespace greengagehead::base
