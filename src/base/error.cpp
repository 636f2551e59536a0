// Names of error codes and steps.

#include "base/error.h"

#include <array>

namespace greengagehead::base {

namespace {

constexpr std::array code_names {
    std::string_view {"invalid_argument"}, std::string_view {"not_found"},
    std::string_view {"conflict"},         std::string_view {"version_mismatch"},
    std::string_view {"unavailable"},      std::string_view {"timeout"},
    std::string_view {"refused"},          std::string_view {"expired"},
    std::string_view {"unauthorized"},     std::string_view {"io"},
    std::string_view {"corrupt"},          std::string_view {"malformed"},
    std::string_view {"internal"},         std::string_view {"abandoned"},
};

constexpr std::array step_names {
    std::string_view {"settings"},  std::string_view {"listen"},    std::string_view {"connect"},
    std::string_view {"handshake"}, std::string_view {"decode"},    std::string_view {"admission"},
    std::string_view {"claim"},     std::string_view {"placement"}, std::string_view {"start"},
    std::string_view {"run"},       std::string_view {"assemble"},  std::string_view {"replicate"},
    std::string_view {"sync"},      std::string_view {"recover"},
};

} // namespace

std::string_view to_string(error_code code)
{
    return code_names.at(static_cast<std::size_t>(code));
}

std::string_view to_string(error_step step)
{
    return step_names.at(static_cast<std::size_t>(step));
}

std::string describe(error const& failure)
{
    std::string line(to_string(failure.step));
    if (!failure.peer.empty())
        line += " (" + failure.peer + ")";
    return line + ": " + failure.message;
}

} // namespace greengagehead::base
