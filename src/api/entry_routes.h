// HTTP interface of an entry: finds the route of a request.

#pragma once

#include <memory>

#include "api/route_context.h"

namespace greengagehead::api {

class entry_routes {
public:
    entry_routes(entry::entry_core& core, settings::process_settings const& settings);

    void handle(transport::http_request& request,
                std::shared_ptr<transport::http_exchange> const& exchange);

    /// `/readyz` fails from now on.
    void begin_shutdown() { this->context.shutting_down = true; }

private:
    access tokens;
    response_metrics metrics;
    route_context context;
};

} // namespace greengagehead::api
