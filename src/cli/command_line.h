// Verbs of the greengagehead program.

#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "cli/exit_code.h"

namespace greengagehead::cli {

/// Arguments after the verb.
using arguments = std::vector<std::string>;
using verb_function = exit_code (*)(arguments const&);

struct verb {
    std::string_view name;
    std::string_view usage;
    std::string_view summary;
    verb_function run;
};

/// Runs the verb that the command line names.
[[nodiscard]] exit_code run_command_line(std::span<char const* const> words);

// --- run_verbs.cpp ---
[[nodiscard]] exit_code run_verb(arguments const& words);
[[nodiscard]] exit_code check_verb(arguments const& words);

// --- job_verbs.cpp ---
[[nodiscard]] exit_code submit_verb(arguments const& words);
[[nodiscard]] exit_code job_verb(arguments const& words);
[[nodiscard]] exit_code cancel_verb(arguments const& words);
[[nodiscard]] exit_code explain_verb(arguments const& words);

// --- bench_verb.cpp ---
[[nodiscard]] exit_code bench_verb(arguments const& words);

// --- control_verbs.cpp ---
[[nodiscard]] exit_code config_verb(arguments const& words);
[[nodiscard]] exit_code zone_verb(arguments const& words);
[[nodiscard]] exit_code drain_verb(arguments const& words);
[[nodiscard]] exit_code status_verb(arguments const& words);
[[nodiscard]] exit_code control_verb(arguments const& words);

} // namespace greengagehead::cli
