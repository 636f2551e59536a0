// A whole process: its roles, signals and shutdown.

#pragma once

#include <functional>
#include <optional>

#include "app/adapter.h"
#include "base/error.h"
#include "settings/process_settings.h"

namespace greengagehead::app {

/// Reads the settings again. Empty when they have problems.
using settings_source = std::function<std::optional<settings::process_settings>()>;

/// Runs the roles until SIGTERM or SIGINT; a second signal ends the process at once.
/// Returns when everything in progress is finished. Errors: `error_step::listen`,
/// `error_step::recover`.
/// @param reload called on SIGHUP; without it the signal changes nothing.
base::result<void> run_process(settings::process_settings settings, adapter_set adapters = {},
                               settings_source reload = {});

} // namespace greengagehead::app
