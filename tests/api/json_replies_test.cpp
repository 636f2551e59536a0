// HTTP replies to submissions and to requests for the explanation of a job.

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "api/json_replies.h"

namespace {

using namespace greengagehead;
using nlohmann::json;

entry::submit_reply refusal(base::error_code code, protocol::ran_extent ran)
{
    entry::submit_reply reply;
    reply.status = entry::submit_reply::kind::refused;
    reply.answer.job = "00ff";
    reply.answer.state = protocol::job_state::refused;
    reply.answer.ran = ran;
    reply.answer.failure = base::error {code, base::error_step::admission, {}, "reason"};
    return reply;
}

} // namespace

SCENARIO("a refusal reports that nothing ran only when that is certain")
{
    GIVEN("a refused job of which nothing has run")
    {
        auto reply = refusal(base::error_code::refused, protocol::ran_extent::none);
        reply.answer.retry_after = std::chrono::milliseconds(1500);
        auto const response = api::submit_response(reply);
        THEN("the reply says that nothing ran and when to retry")
        {
            CHECK(response.status == 503);
            CHECK(json::parse(response.body)["error"]["ran"] == "none");
            CHECK(json::parse(response.body)["error"]["retry_after_ms"] == 1500);
            REQUIRE(response.headers.size() == 1);
            CHECK(response.headers[0] == std::pair<std::string, std::string>("Retry-After", "2"));
        }
    }
    // Guards against a reply that nothing ran for a submission that ran before its claim expired.
    GIVEN("an expired submission")
    {
        auto const response = api::submit_response(
            refusal(base::error_code::expired, protocol::ran_extent::unknown));
        THEN("the reply says that it is unknown what ran")
        {
            CHECK(response.status == 410);
            CHECK(json::parse(response.body)["error"]["ran"] == "unknown");
        }
    }
    // Guards against a caller resubmitting a job that may have run.
    GIVEN("a submission whose state cannot be determined")
    {
        entry::submit_reply reply;
        reply.status = entry::submit_reply::kind::unknown;
        auto const response = api::submit_response(reply);
        THEN("the reply does not say that nothing ran")
        {
            CHECK(response.status == 503);
            CHECK(json::parse(response.body)["error"]["ran"] == "unknown");
        }
    }
}

SCENARIO("the explanation of a replicated answer is well-formed JSON")
{
    // Guards against invalid JSON from an entry that holds the answer but no decisions.
    GIVEN("a reply without an explanation")
    {
        protocol::job_reply reply;
        reply.answer = protocol::job_answer {};
        auto const body = json::parse(api::job_response("00ff", reply, true).body, nullptr, false);
        THEN("the body has an empty list of decisions")
        {
            REQUIRE(body.is_object());
            CHECK(body["decisions"] == json::array());
        }
    }
}
