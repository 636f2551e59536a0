// Routing and responses of the announcement interface.

#include "agent/announce_routes.h"

#include <chrono>
#include <string>

#include <nlohmann/json.hpp>

#include "agent/agent_core.h"
#include "agent/announcement_json.h"
#include "base/log_record.h"

namespace greengagehead::agent {

namespace {

using transport::http_method;
using transport::http_request;
using transport::http_response;

constexpr std::string_view announce_path = "/v1/announce";
constexpr std::string_view leave_prefix = "/v1/announce/";

http_response refused(int status, base::error const& failure)
{
    base::log_record(base::log_event::http_rejected)
        .with("status", status)
        .with("reason", failure.message);
    nlohmann::json const body {
        {"error", {{"code", base::to_string(failure.code)}, {"message", failure.message}}}};
    http_response response;
    response.status = status;
    response.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return response;
}

http_response accepted()
{
    http_response response;
    response.body = "{}";
    return response;
}

} // namespace

void announce_routes::operator()(http_request& request,
                                 std::shared_ptr<transport::http_exchange> const& exchange)
{
    exchange->respond(this->answer(request));
}

http_response announce_routes::answer(http_request const& request)
{
    if (request.path == "/healthz" && request.method == http_method::get)
        return accepted();
    if (request.path == announce_path && request.method == http_method::post)
        return this->announce(request);
    if (request.path.starts_with(leave_prefix) && request.method == http_method::del)
        return this->leave(request);
    bool const known_path = request.path == "/healthz" || request.path == announce_path
        || request.path.starts_with(leave_prefix);
    return known_path ? refused(405,
                                {base::error_code::invalid_argument,
                                 base::error_step::admission,
                                 {},
                                 "method not allowed for " + request.path})
                      : refused(404,
                                {base::error_code::not_found,
                                 base::error_step::admission,
                                 {},
                                 "no such path: " + request.path});
}

http_response announce_routes::announce(http_request const& request)
{
    auto const endpoint = parse_announcement(request.body);
    if (!endpoint)
        return refused(400, endpoint.error());
    auto const result = this->core.announce(endpoint.value(), base::steady_now());
    return result ? accepted() : refused(400, result.error());
}

http_response announce_routes::leave(http_request const& request)
{
    auto const name = request.path.substr(leave_prefix.size());
    auto const result = this->core.leave(name, base::steady_now());
    return result ? accepted() : refused(404, result.error());
}

} // namespace greengagehead::agent
