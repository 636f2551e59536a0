// HTTP interface of an entry: dispatches each request to its route.

#pragma once

#include <memory>

#include "api/route_context.h"

namespace greengagehead::api {

/// Serves the HTTP interface. Not thread-safe.
class entry_routes {
public:
    entry_routes(entry::entry_core& core, settings::process_settings const& settings,
                 transport::message_counters const& messages,
                 transport::connection_guard const& connections);

    /// Responds with 404 or 405 when no route matches, and with 401 when the route needs a token
    /// and the request has no valid one.
    void handle(transport::http_request& request,
                std::shared_ptr<transport::http_exchange> const& exchange);

    /// Makes `/readyz` fail from now on.
    void begin_shutdown() { this->context.shutting_down = true; }

private:
    token_authenticator authenticator;
    response_metrics metrics;
    route_context context;
};

} // namespace greengagehead::api
