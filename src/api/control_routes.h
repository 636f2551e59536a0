// Routes of settings, zones, endpoints and control members: everything that control decides.

#pragma once

#include "api/route_context.h"

namespace greengagehead::api {

void show_setting(route_context& context, route_call& call);
void change_setting(route_context& context, route_call& call);
void show_zones(route_context& context, route_call& call);
void change_zone(route_context& context, route_call& call);
/// `POST /v1/endpoints/NAME/drain`.
void drain_endpoint(route_context& context, route_call& call);
void show_control(route_context& context, route_call& call);
/// `POST /v1/control` with `{"action": "add|remove|replace", "member", "replacement", "address"}`.
void change_control(route_context& context, route_call& call);

} // namespace greengagehead::api
