// Table of routes and dispatch.

#include "api/entry_routes.h"

#include <algorithm>
#include <array>
#include <string_view>

#include "api/control_routes.h"
#include "api/job_routes.h"
#include "api/json_replies.h"
#include "api/status_routes.h"

namespace greengagehead::api {

namespace {

using transport::http_method;

struct route {
    http_method method;
    std::string_view path;
    bool is_prefix; ///< Matches longer paths that begin with `path`, but not `path` itself.
    bool is_public; ///< Served without a token.
    route_function handle;
};

// The first route that matches serves the request.
constexpr std::array routes {
    route {http_method::post, "/v1/jobs", false, false, &submit_job},
    route {http_method::get, "/v1/jobs/", true, false, &show_job},
    route {http_method::del, "/v1/jobs/", true, false, &cancel_job},
    route {http_method::get, "/v1/config/", true, false, &show_setting},
    route {http_method::put, "/v1/config/", true, false, &change_setting},
    route {http_method::get, "/v1/zones", false, false, &show_zones},
    route {http_method::put, "/v1/zones/", true, false, &change_zone},
    route {http_method::post, "/v1/endpoints/", true, false, &drain_endpoint},
    route {http_method::get, "/v1/control", false, false, &show_control},
    route {http_method::post, "/v1/control", false, false, &change_control},
    route {http_method::get, "/v1/status", false, false, &show_status},
    route {http_method::get, "/healthz", false, true, &show_health},
    route {http_method::get, "/readyz", false, true, &show_readiness},
    route {http_method::get, "/metrics", false, true, &show_metrics},
};

bool path_matches(route const& candidate, std::string const& path)
{
    return candidate.is_prefix
        ? path.size() > candidate.path.size() && path.starts_with(candidate.path)
        : path == candidate.path;
}

void respond_error(transport::http_exchange& exchange, int status, base::error_code code,
                   std::string const& message)
{
    exchange.respond(error_response(status, {code, base::error_step::admission, {}, message}));
}

} // namespace

entry_routes::entry_routes(entry::entry_core& core, settings::process_settings const& settings,
                           transport::message_counters const& messages,
                           transport::connection_guard const& connections)
    : authenticator(settings.tokens), context {core,          settings, this->authenticator,
                                               this->metrics, messages, connections}
{
}

void entry_routes::handle(transport::http_request& request,
                          std::shared_ptr<transport::http_exchange> const& exchange)
{
    auto const matches = [&request](route const& candidate) {
        return candidate.method == request.method && path_matches(candidate, request.path);
    };
    auto const* const found = std::find_if(routes.begin(), routes.end(), matches);
    if (found == routes.end()) {
        bool const path_exists
            = std::any_of(routes.begin(), routes.end(), [&request](route const& candidate) {
                  return path_matches(candidate, request.path);
              });
        if (path_exists)
            return respond_error(*exchange, 405, base::error_code::invalid_argument,
                                 "the path does not support this method");
        return respond_error(*exchange, 404, base::error_code::not_found,
                             "no such path: " + request.path);
    }
    route_call call {request, exchange, this->authenticator.authenticate(request),
                     request.path.substr(found->path.size())};
    if (!found->is_public && call.sender.level == caller::access_level::anonymous)
        return respond_error(*exchange, 401, base::error_code::unauthorized,
                             "a bearer token is required");
    found->handle(this->context, call);
}

} // namespace greengagehead::api
