// Conversion of replies to HTTP responses.

#include "api/json_replies.h"

#include <utility>
#include <variant>

#include "protocol/job_json.h"
#include "protocol/json_document.h"

namespace greengagehead::api {

namespace {

using json = nlohmann::json;
using transport::http_response;

http_response json_response(int status, json const& body)
{
    http_response response;
    response.status = status;
    response.body = dump(body);
    return response;
}

json error_body(base::error const& failure)
{
    return {{"error",
             {{"code", base::to_string(failure.code)},
              {"message", failure.message},
              {"step", base::to_string(failure.step)},
              {"peer", failure.peer}}}};
}

json setting_json(protocol::setting const& setting)
{
    return {{"path", setting.path},
            {"value", protocol::parse_json_or(setting.value, nullptr)},
            {"version", setting.version}};
}

base::error failure_or_default(protocol::job_answer const& answer, base::error_code fallback,
                               std::string const& message)
{
    if (answer.failure)
        return *answer.failure;
    return {fallback, base::error_step::admission, {}, message};
}

http_response refusal_response(protocol::job_answer const& answer)
{
    auto const failure = failure_or_default(answer, base::error_code::refused, "refused");
    if (answer.ran != protocol::ran_extent::none) {
        auto body = error_body(failure);
        body["error"]["ran"] = protocol::to_string(answer.ran);
        body["job"] = answer.job;
        return json_response(http_status(failure.code), body);
    }
    http_response response;
    response.status = answer.retry_after.count() > 0 ? 503 : http_status(failure.code);
    response.body = protocol::refusal_json(failure, answer.retry_after);
    if (answer.retry_after.count() > 0) {
        auto const seconds = std::chrono::ceil<std::chrono::seconds>(answer.retry_after).count();
        response.headers.emplace_back("Retry-After", std::to_string(seconds));
    }
    return response;
}

http_response answer_response(int status, protocol::job_answer const& answer)
{
    http_response response;
    response.status = status;
    response.body = protocol::to_json(answer);
    response.headers.emplace_back("Location", "/v1/jobs/" + answer.job);
    return response;
}

/// One overload per alternative of control_result.
struct control_result_visitor {
    http_response operator()(protocol::change_result const& result) const
    {
        auto body = setting_json(result.current);
        body["view"] = result.view;
        switch (result.status) {
        case protocol::change_status::applied: {
            if (result.current.path.empty()) {
                json change {{"view", result.view}};
                if (!result.message.empty())
                    change["warning"] = result.message;
                return json_response(200, change);
            }
            auto response = json_response(200, body);
            response.headers.emplace_back("ETag", std::to_string(result.current.version));
            return response;
        }
        case protocol::change_status::version_mismatch:
            body["error"]
                = {{"code", "version_mismatch"},
                   {"message", "the setting has a different version than If-Match requires"}};
            return json_response(412, body);
        case protocol::change_status::unknown_path:
            return error_response(
                {base::error_code::not_found, base::error_step::settings, {}, result.message});
        case protocol::change_status::invalid:
            break;
        }
        return error_response(
            {base::error_code::invalid_argument, base::error_step::settings, {}, result.message});
    }

    http_response operator()(protocol::settings_list const& result) const
    {
        json list = json::array();
        for (auto const& current : result.settings)
            list.push_back(setting_json(current));
        return json_response(200, {{"settings", std::move(list)}});
    }

    http_response operator()(protocol::settings_history const& result) const
    {
        json list = json::array();
        for (auto const& change : result.changes) {
            auto change_body = setting_json(change.value);
            change_body["author"] = change.author;
            change_body["at_ms"] = change.at.count();
            list.push_back(std::move(change_body));
        }
        return json_response(200, {{"history", std::move(list)}});
    }

    http_response operator()(protocol::control_status const& result) const
    {
        return json_response(200, control_json(result));
    }

    http_response operator()(protocol::view_result const& result) const
    {
        return json_response(200, {{"view", result.view}});
    }

    http_response operator()(base::error const& failure) const
    {
        if (failure.code != base::error_code::timeout)
            return error_response(failure);
        auto unconfirmed = failure;
        unconfirmed.message
            += "; the change may be in force already or take effect later, resend it "
               "with the same Idempotency-Key to find out";
        return error_response(503, unconfirmed);
    }

    template <typename Other> http_response operator()(Other const& /*result*/) const
    {
        return error_response({base::error_code::internal,
                               base::error_step::decode,
                               {},
                               "control sent a result of an unexpected type"});
    }
};

} // namespace

std::string dump(json const& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

int http_status(base::error_code code)
{
    switch (code) {
    case base::error_code::invalid_argument:
    case base::error_code::malformed:
        return 400;
    case base::error_code::unauthorized:
        return 403;
    case base::error_code::not_found:
        return 404;
    case base::error_code::conflict:
        return 409;
    case base::error_code::expired:
        return 410;
    case base::error_code::version_mismatch:
        return 412;
    case base::error_code::refused:
        return 422;
    case base::error_code::internal:
    case base::error_code::corrupt:
    case base::error_code::io:
        return 500;
    case base::error_code::abandoned:
    case base::error_code::unavailable:
    case base::error_code::timeout:
        break;
    }
    return 503;
}

http_response error_response(int status, base::error const& failure)
{
    return json_response(status, error_body(failure));
}

http_response error_response(base::error const& failure)
{
    return error_response(http_status(failure.code), failure);
}

http_response submit_response(entry::submit_reply const& reply)
{
    using kind = entry::submit_reply::kind;
    switch (reply.status) {
    case kind::answered:
        return answer_response(200, reply.answer);
    case kind::running:
        return answer_response(202, reply.answer);
    case kind::conflict:
        return error_response(
            failure_or_default(reply.answer, base::error_code::conflict,
                               "the submission id was already used for a job with other content"));
    case kind::refused:
        return refusal_response(reply.answer);
    case kind::unknown:
        break;
    }
    auto body
        = error_body(failure_or_default(reply.answer, base::error_code::unavailable,
                                        "the state of the job cannot be determined at present"));
    body["error"]["ran"] = "unknown";
    body["job"] = reply.answer.job;
    return json_response(503, body);
}

http_response job_response(std::string const& job, protocol::job_reply const& reply, bool explain)
{
    if (!reply.answer)
        return error_response({base::error_code::not_found,
                               base::error_step::admission,
                               {},
                               "no job " + job + " is known"});
    if (!explain)
        return answer_response(reply.answer->state == protocol::job_state::running ? 202 : 200,
                               *reply.answer);
    // An entry that holds only a replica of the answer has no record of the decisions.
    auto decisions
        = protocol::parse_json_or(reply.explanation, json::array(), protocol::max_answer_depth);
    json body {{"job", job},
               {"state", protocol::to_string(reply.answer->state)},
               {"decisions", std::move(decisions)}};
    return json_response(200, body);
}

http_response control_response(protocol::control_result const& result)
{
    return std::visit(control_result_visitor {}, result);
}

json status_json(entry::entry_status const& status)
{
    json teams = json::array();
    for (auto const& team : status.teams)
        teams.push_back(
            {{"team", team.team}, {"waiting", team.waiting}, {"in_progress", team.in_progress}});
    json endpoints = json::array();
    for (auto const& endpoint : status.endpoints)
        endpoints.push_back({{"name", endpoint.name},
                             {"agent", endpoint.agent},
                             {"zone", endpoint.zone},
                             {"health", endpoint.health},
                             {"slots", endpoint.slots},
                             {"used_slots", endpoint.used_slots},
                             {"draining", endpoint.draining}});
    return {{"entry", status.id.name},
            {"incarnation", status.id.incarnation},
            {"leader", status.leader},
            {"lease_valid", status.lease_valid},
            {"applied_view", status.applied_view},
            {"settled_view", status.settled_view},
            {"running_jobs", status.running_jobs},
            {"teams", std::move(teams)},
            {"endpoints", std::move(endpoints)}};
}

json control_json(protocol::control_status const& status)
{
    json members = json::array();
    for (auto const& member : status.members)
        members.push_back({{"name", member.name},
                           {"address", member.address},
                           {"voter", member.voter},
                           {"leader", member.leader},
                           {"reachable", member.reachable},
                           {"match_index", member.match_index}});
    return {{"members", std::move(members)},       {"term", status.term},
            {"commit_index", status.commit_index}, {"view", status.view},
            {"in_force", status.in_force},         {"claims", status.claims}};
}

} // namespace greengagehead::api
