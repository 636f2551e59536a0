// Limits on the connections of a process, computed from its settings and its descriptors.

#pragma once

#include <cstddef>

#include "policy/connection_budget.h"
#include "settings/process_settings.h"

namespace greengagehead::app {

/// @param descriptors limit on open descriptors of the process; 0 if there is none.
[[nodiscard]] policy::connection_limits connection_limits(settings::limit_settings const& limits,
                                                          std::size_t descriptors);

/// Limit on open descriptors of this process; 0 if there is none.
[[nodiscard]] std::size_t descriptor_limit();

} // namespace greengagehead::app
