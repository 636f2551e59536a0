// Routes for jobs: submit, query, explain and cancel.

#pragma once

#include "api/route_context.h"

namespace greengagehead::api {

/// `POST /v1/jobs`; `?wait=MS` waits for the answer.
void submit_job(route_context& context, route_call& call);
/// `GET /v1/jobs/ID`, with `?wait=MS`, and `GET /v1/jobs/ID/explain`.
void show_job(route_context& context, route_call& call);
/// `DELETE /v1/jobs/ID`.
void cancel_job(route_context& context, route_call& call);

} // namespace greengagehead::api
