// Types that all routes of the entry's HTTP interface share.

#pragma once

#include <chrono>
#include <memory>
#include <string>

#include "api/response_metrics.h"
#include "api/token_authenticator.h"
#include "base/clock.h"
#include "settings/process_settings.h"
#include "transport/connection_guard.h"
#include "transport/http_server.h"
#include "transport/message_counters.h"

namespace greengagehead::entry {
class entry_core;
}

namespace greengagehead::api {

/// State of the entry that the routes read and change. Refers to objects that outlive it.
struct route_context {
    entry::entry_core& core;
    settings::process_settings const& settings;
    token_authenticator const& authenticator;
    response_metrics& metrics;
    transport::message_counters const& messages; ///< On the links of this process.
    transport::connection_guard const& connections; ///< Of this process.
    bool shutting_down = false; ///< `/readyz` fails while set.
};

/// A request, its exchange and its authenticated sender.
struct route_call {
    transport::http_request& request;
    std::shared_ptr<transport::http_exchange> exchange;
    caller sender;
    std::string path_suffix; ///< Part of the path after the prefix of the route.
};

using route_function = void (*)(route_context&, route_call&);

} // namespace greengagehead::api
