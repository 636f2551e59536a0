// Verbs of the greengagehead program.

#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "app/adapter.h"
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
/// @param further verbs of a deployment adapter.
[[nodiscard]] exit_code run_command_line(std::span<char const* const> words,
                                         std::span<verb const> further = {});

/// Runs the roles of a settings file until the process is told to stop, with the adapters of a
/// deployment attached. The file is read again on SIGHUP.
[[nodiscard]] exit_code run_settings_file(std::string const& file, app::adapter_set adapters);

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
