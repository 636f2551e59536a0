// Parses announcements from JSON.

#pragma once

#include <string>
#include <string_view>

#include "agent/announcement.h"
#include "base/error.h"

namespace greengagehead::agent {

/// Parses an announcement and validates each field.
/// Errors: `error_code::invalid_argument` with a message that names the field.
[[nodiscard]] base::result<announcement> parse_announcement(std::string_view text);

} // namespace greengagehead::agent
