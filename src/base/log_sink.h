// Process-wide log output over Boost.Log.

#pragma once

#include <cstdint>
#include <string>

#include "base/log_event.h"

namespace greengagehead::base {

enum class log_style : std::uint8_t { text, json };

/// Sends log lines of at least `least` to standard error. Called once, before any task starts;
/// until then nothing is logged.
void open_log(log_style style, severity least);

/// Writes out buffered lines.
void flush_log();

[[nodiscard]] bool log_enabled(severity level);
[[nodiscard]] log_style log_format();
void write_log_line(severity level, std::string const& fields);

} // namespace greengagehead::base
