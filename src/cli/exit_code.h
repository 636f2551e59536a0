// Exit codes of all verbs.

#pragma once

namespace greengagehead::cli {

enum class exit_code : int {
    done = 0,
    failed = 1, ///< Failed or refused.
    usage = 2, ///< Wrong usage or invalid settings.
};

} // namespace greengagehead::cli
