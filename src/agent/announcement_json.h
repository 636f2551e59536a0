// JSON form of announcements.

#pragma once

#include <string>
#include <string_view>

#include "agent/announcement.h"
#include "base/error.h"

namespace greengagehead::agent {

/// Reads an announcement and checks it field by field.
/// Errors: `error_code::invalid_argument` with a message that names the field.
[[nodiscard]] base::result<announcement> parse_announcement(std::string_view text);

} // namespace greengagehead::agent
