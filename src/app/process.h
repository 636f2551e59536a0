// A whole process: its roles, signals and shutdown.

#pragma once

#include "base/error.h"
#include "settings/process_settings.h"

namespace greengagehead::app {

/// Runs the roles until SIGTERM or SIGINT; a second signal ends the process at once.
/// Returns when everything in progress is finished. Errors: `error_step::listen`,
/// `error_step::recover`.
base::result<void> run_process(settings::process_settings settings);

} // namespace greengagehead::app
