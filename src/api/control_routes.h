// Routes for settings, zones, endpoint drains and control members: state that the control group
// decides on.

#pragma once

#include "api/route_context.h"

namespace greengagehead::api {

/// `GET /v1/config/PATH`; with `?history` the changes of the settings.
void show_setting(route_context& context, route_call& call);
/// `PUT /v1/config/PATH`, conditional with `If-Match: VERSION`.
void change_setting(route_context& context, route_call& call);
/// `GET /v1/zones`.
void show_zones(route_context& context, route_call& call);
/// `PUT /v1/zones/ZONE` with `{"state": "out|in"}`.
void change_zone(route_context& context, route_call& call);
/// `POST /v1/endpoints/NAME/drain`; `?undo` ends the drain.
void drain_endpoint(route_context& context, route_call& call);
/// `GET /v1/control`.
void show_control(route_context& context, route_call& call);
/// `POST /v1/control` with `{"action": "add|remove|replace", "member", "replacement", "address"}`.
void change_control(route_context& context, route_call& call);

} // namespace greengagehead::api
