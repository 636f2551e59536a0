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

SCENARIO("a refusal says \"not run\" only when that is true")
{
    GIVEN("a refused job of which nothing has run")
    {
        auto reply = refusal(base::error_code::refused, protocol::ran_extent::none);
        reply.answer.retry_after = std::chrono::milliseconds(1500);
        auto const response = api::submit_response(reply);
        THEN("the reply says so and when to retry")
        {
            CHECK(response.status == 503);
            CHECK(json::parse(response.body)["error"]["ran"] == "none");
            CHECK(json::parse(response.body)["error"]["retry_after_ms"] == 1500);
            REQUIRE(response.headers.size() == 1);
            CHECK(response.headers[0] == std::pair<std::string, std::string>("Retry-After", "2"));
        }
    }
    // Guards against a false "not run" for a submission that ran before its claim expired.
    GIVEN("an expired submission")
    {
        auto const response = api::submit_response(
            refusal(base::error_code::expired, protocol::ran_extent::unknown));
        THEN("the reply leaves open what has run")
        {
            CHECK(response.status == 410);
            CHECK(json::parse(response.body)["error"]["ran"] == "unknown");
        }
    }
    GIVEN("a submission whose state cannot be told")
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

SCENARIO("explain of a copied answer is well-formed JSON")
{
    // Guards against an entry without decisions of its own breaking the caller's parser.
    GIVEN("a reply without an explanation")
    {
        protocol::job_reply reply;
        reply.answer = protocol::job_answer {};
        auto const body = json::parse(api::job_response("00ff", reply, true).body, nullptr, false);
        THEN("it has an empty list of decisions")
        {
            REQUIRE(body.is_object());
            CHECK(body["decisions"] == json::array());
        }
    }
}
