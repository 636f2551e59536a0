// Verbs of the greengagehead program.

#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "app/adapter.h"
#include "cli/exit_code.h"

namespace greengagehead::cli {

/// Command-line arguments after the verb.
using arguments = std::vector<std::string>;
using verb_function = exit_code (*)(arguments const&);

struct verb {
    std::string_view name;
    std::string_view usage;
    std::string_view summary;
    verb_function run;
};

/// Runs the verb that is the first argument.
/// @param args the arguments of main, program name included.
/// @param additional_verbs verbs of a deployment adapter.
[[nodiscard]] exit_code run_command_line(std::span<char const* const> args,
                                         std::span<verb const> additional_verbs = {});

/// Runs the roles of a settings file until the process is told to stop, with the adapters of a
/// deployment. The file is reloaded on SIGHUP. Prints the problems of the file or the error that
/// ended the process to standard error.
[[nodiscard]] exit_code run_settings_file(std::string const& file, app::adapter_set adapters);

// --- run_verbs.cpp ---
[[nodiscard]] exit_code run_verb(arguments const& args);
[[nodiscard]] exit_code check_verb(arguments const& args);

// --- job_verbs.cpp ---
[[nodiscard]] exit_code submit_verb(arguments const& args);
[[nodiscard]] exit_code job_verb(arguments const& args);
[[nodiscard]] exit_code cancel_verb(arguments const& args);
[[nodiscard]] exit_code explain_verb(arguments const& args);

// --- bench_verb.cpp ---
[[nodiscard]] exit_code bench_verb(arguments const& args);

// --- control_verbs.cpp ---
[[nodiscard]] exit_code config_verb(arguments const& args);
[[nodiscard]] exit_code zone_verb(arguments const& args);
[[nodiscard]] exit_code drain_verb(arguments const& args);
[[nodiscard]] exit_code status_verb(arguments const& args);
[[nodiscard]] exit_code control_verb(arguments const& args);

} // namespace greengagehead::cli
