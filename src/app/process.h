// One process: starts its roles, handles signals and shuts down.

#pragma once

#include <functional>
#include <optional>

#include "app/adapter.h"
#include "base/error.h"
#include "settings/process_settings.h"

namespace greengagehead::app {

/// Reads the settings again. Returns nothing when they are invalid.
using settings_source = std::function<std::optional<settings::process_settings>()>;

/// Runs the roles until SIGTERM or SIGINT. A second SIGINT ends them at once; further SIGTERMs have
/// no effect, because supervisors repeat them while callers wait, and are blocked afterwards.
/// Returns when all work in progress is finished or the shutdown limit has passed. Errors:
/// `error_step::listen`, `error_step::recover`.
/// @param reload called on SIGHUP; when empty, the signal is ignored.
base::result<void> run_process(settings::process_settings settings, adapter_set adapters = {},
                               settings_source reload = {});

} // namespace greengagehead::app
