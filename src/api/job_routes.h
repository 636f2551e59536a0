// Routes of jobs: submit, query, cancel, explain.

#pragma once

#include "api/route_context.h"

namespace greengagehead::api {

void submit_job(route_context& context, route_call& call);
/// `GET /v1/jobs/ID` and `GET /v1/jobs/ID/explain`.
void show_job(route_context& context, route_call& call);
void cancel_job(route_context& context, route_call& call);

} // namespace greengagehead::api
