// Tests the validation of job requests in JSON and the JSON text of answers.

#include <catch2/catch.hpp>

#include "protocol/job_json.h"

namespace {

using namespace greengagehead;
using namespace greengagehead::protocol;

std::string refusal_of(std::string const& text)
{
    auto const parsed = parse_job_request(text, job_limits {});
    REQUIRE_FALSE(parsed);
    CHECK(parsed.error().code == base::error_code::invalid_argument);
    return parsed.error().message;
}

} // namespace

SCENARIO("a job request is validated field by field")
{
    GIVEN("a request with the required fields only")
    {
        auto const parsed = parse_job_request(
            R"({"submission":"s1","team":"hospital","tasks":[{"kind":"hold"}]})", job_limits {});
        REQUIRE(parsed);

        // Guards against a task being run twice because the caller omitted the flag.
        THEN("its task is not idempotent")
        {
            CHECK_FALSE(parsed.value().tasks[0].idempotent);
        }
    }

    // Guards against misspelt or invalid fields of a request being ignored silently.
    GIVEN("requests with one mistake each")
    {
        CHECK(
            refusal_of(R"({"submission":"s","team":"t","tasks":[{"kind":"q","idempotnet":true}]})")
            == "unknown field tasks[0].idempotnet");
        CHECK(refusal_of(R"({"team":"t","tasks":[{"kind":"q"}]})") == "missing field submission");
        CHECK(refusal_of(R"({"submission":"s","team":"t","tasks":[]})")
              == "tasks must be an array of 1 to 2000 tasks");
        CHECK(refusal_of(R"({"submission":"s","team":"t","tasks":[{"kind":"q","cpu":-1}]})")
              == "tasks[0].cpu must be a whole number from 0 to 1024");
        CHECK(refusal_of("{\"submission\":\"\xff\"}") == "body is not well-formed JSON in UTF-8");
    }
}

SCENARIO("the JSON text of an answer has results only if the job is complete")
{
    job_answer answer;
    answer.tasks = {{0, task_state::succeeded, R"({"price":12})"}};

    // Guards against the answer of a failed job being mistaken for a complete one.
    GIVEN("a job that failed after one of its tasks succeeded")
    {
        answer.state = job_state::failed;
        THEN("the result is left out")
        {
            CHECK(to_json(answer).find("price") == std::string::npos);
        }
    }
    GIVEN("a complete job")
    {
        answer.state = job_state::complete;
        THEN("the result is included")
        {
            CHECK(to_json(answer).find("price") != std::string::npos);
        }
    }
}
