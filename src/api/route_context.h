// What all routes of the entry's HTTP interface share.

#pragma once

#include <chrono>
#include <memory>
#include <string>

#include "api/access.h"
#include "api/response_metrics.h"
#include "base/clock.h"
#include "settings/process_settings.h"
#include "transport/http_server.h"

namespace greengagehead::entry {
class entry_core;
}

namespace greengagehead::api {

struct route_context {
    entry::entry_core& core;
    settings::process_settings const& settings;
    access const& tokens;
    response_metrics& metrics;
    bool shutting_down = false;
};

/// One request on its way through the routes.
struct route_call {
    transport::http_request& request;
    std::shared_ptr<transport::http_exchange> exchange;
    caller sender;
    std::string rest; ///< Path after the prefix of the route.
};

using route_function = void (*)(route_context&, route_call&);

} // namespace greengagehead::api
