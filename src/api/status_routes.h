// Routes for health checks, monitoring and `greengagehead status`.

#pragma once

#include "api/route_context.h"

namespace greengagehead::api {

/// `GET /healthz`: succeeds while the process responds.
void show_health(route_context& context, route_call& call);
/// `GET /readyz`: fails as soon as a shutdown starts, or without a valid lease, so that the load
/// balancer sends callers to another entry.
void show_readiness(route_context& context, route_call& call);
/// `GET /v1/status`.
void show_status(route_context& context, route_call& call);
/// `GET /metrics`, in the Prometheus text format.
void show_metrics(route_context& context, route_call& call);

} // namespace greengagehead::api
