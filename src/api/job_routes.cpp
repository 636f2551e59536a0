// Job routes.

#include "api/job_routes.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <string_view>
#include <utility>

#include "api/json_replies.h"
#include "base/log_record.h"
#include "entry/entry_core.h"
#include "protocol/job_json.h"

namespace greengagehead::api {

namespace {

using std::chrono::milliseconds;

/// Reads `?wait=MS`; 0 when absent.
base::result<milliseconds> read_wait(route_context const& context, route_call const& call)
{
    auto const found = call.request.query.find("wait");
    if (found == call.request.query.end())
        return milliseconds(0);
    auto const& text = found->second;
    std::int64_t value = -1;
    auto const [end, failure] = std::from_chars(text.data(), text.data() + text.size(), value);
    auto const most = context.settings.limits.max_wait.count();
    if (failure != std::errc() || end != text.data() + text.size() || value < 0 || value > most)
        return base::error {base::error_code::invalid_argument,
                            base::error_step::admission,
                            {},
                            "wait must be whole milliseconds from 0 to " + std::to_string(most)};
    return milliseconds(value);
}

base::error forbidden(std::string message)
{
    return {base::error_code::unauthorized, base::error_step::admission, {}, std::move(message)};
}

transport::http_response refused(base::error const& failure, milliseconds retry_after)
{
    transport::http_response response;
    response.status = http_status(failure.code);
    response.body = protocol::refusal_json(failure, retry_after);
    return response;
}

protocol::job_limits job_limits_of(settings::limit_settings const& limits)
{
    protocol::job_limits result;
    result.tasks = limits.tasks_per_job;
    result.deadline = limits.max_deadline;
    return result;
}

void reject(route_call const& call, base::error const& failure)
{
    base::log_record(base::log_event::http_rejected)
        .with("path", call.request.path)
        .with("reason", failure.message);
    call.exchange->respond(refused(failure, milliseconds(0)));
}

std::string const& team_of(protocol::job_reply const& reply)
{
    return reply.answer->team;
}

} // namespace

void submit_job(route_context& context, route_call& call)
{
    auto const wait = read_wait(context, call);
    if (!wait)
        return reject(call, wait.error());
    auto request
        = protocol::parse_job_request(call.request.body, job_limits_of(context.settings.limits));
    if (!request)
        return reject(call, request.error());
    if (!call.sender.may_use_team(request.value().team))
        return reject(call, forbidden("the token does not belong to team " + request.value().team));

    auto const begin = base::steady_now();
    auto const team = request.value().team;
    context.core.submit(
        std::move(request).value(), wait.value(),
        [exchange = call.exchange, &metrics = context.metrics, team,
         begin](entry::submit_reply const& reply) {
            if (reply.status == entry::submit_reply::kind::answered)
                metrics.record(team,
                               std::chrono::duration_cast<std::chrono::microseconds>(
                                   base::steady_now() - begin));
            exchange->respond(submit_response(reply));
        },
        begin);
}

void show_job(route_context& context, route_call& call)
{
    static constexpr std::string_view suffix = "/explain";
    std::string job = call.rest;
    bool const explain = job.size() > suffix.size() && job.ends_with(suffix);
    if (explain)
        job.resize(job.size() - suffix.size());
    auto const wait = read_wait(context, call);
    if (!wait)
        return call.exchange->respond(error_response(wait.error()));
    context.core.query(
        job, explain, explain ? milliseconds(0) : wait.value(),
        [exchange = call.exchange, sender = call.sender, job,
         explain](protocol::job_reply const& reply) {
            // A job of another team is reported as unknown, so that ids reveal nothing.
            protocol::job_reply const unknown;
            bool const visible = reply.answer && sender.may_use_team(team_of(reply));
            exchange->respond(job_response(job, visible ? reply : unknown, explain));
        },
        base::steady_now());
}

void cancel_job(route_context& context, route_call& call)
{
    std::string const job = call.rest;
    // The team is only known from the job itself, so it is looked up before it is cancelled.
    context.core.query(
        job, false, milliseconds(0),
        [&context, exchange = call.exchange, sender = call.sender,
         job](protocol::job_reply const& reply) {
            if (!reply.answer || !sender.may_use_team(team_of(reply)))
                return exchange->respond(job_response(job, {}, false));
            context.core.cancel(
                job,
                [exchange, job](protocol::job_reply const& cancelled) {
                    exchange->respond(job_response(job, cancelled, false));
                },
                base::steady_now());
        },
        base::steady_now());
}

} // namespace greengagehead::api
