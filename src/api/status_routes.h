// Routes for probes, dashboards and `greengagehead status`.

#pragma once

#include "api/route_context.h"

namespace greengagehead::api {

void show_health(route_context& context, route_call& call);
/// Fails as soon as a shutdown starts, or without a valid lease, so that the balancer sends callers
/// to another entry.
void show_readiness(route_context& context, route_call& call);
void show_status(route_context& context, route_call& call);
/// Prometheus' text format.
void show_metrics(route_context& context, route_call& call);

} // namespace greengagehead::api
