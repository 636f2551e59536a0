// The agent's HTTP components, tested with an HTTP endpoint on the loopback address.

#include <catch2/catch.hpp>

#include "agent/agent_fixture.h"
#include "agent/announce_routes.h"
#include "agent/http_endpoint_runner.h"
#include "transport/event_loop.h"
#include "transport/http_client.h"
#include "transport/http_server.h"

namespace {

using namespace greengagehead;
using namespace greengagehead::agent::fakes;
using namespace greengagehead::transport;
using protocol::outcome_kind;

void run_for(event_loop& loop, milliseconds duration)
{
    auto const stop = loop.after(duration, [&loop] { loop.stop(); });
    loop.run();
}

} // namespace

SCENARIO("Tasks run on an endpoint over HTTP")
{
    event_loop loop;
    http_response answer {200, R"({"chairs":4})", "application/json", {}};
    std::vector<http_request> seen;
    std::shared_ptr<http_exchange> unanswered;
    bool silent = false;
    http_server endpoint(loop, {}, [&](http_request& request, auto const& exchange) {
        seen.push_back(request);
        if (silent && request.method == http_method::post)
            unanswered = exchange;
        else
            exchange->respond(answer);
    });
    auto const url = "http://" + endpoint.listen({"127.0.0.1", 0}).value().to_string();
    http_client client(loop);
    agent::http_endpoint_runner runner(loop, client);
    std::vector<agent::run_result> results;
    agent::run_request outgoing {url,
                                 make_start(3),
                                 milliseconds(200),
                                 std::chrono::steady_clock::now() + std::chrono::seconds(5),
                                 {}};
    auto const run = [&](milliseconds wait = milliseconds(50)) {
        runner.start(outgoing, [&](auto result, auto /*now*/) { results.push_back(result); });
        CHECK(results.empty());
        run_for(loop, wait);
        REQUIRE(results.size() == 1);
        return results[0].kind;
    };

    WHEN("the endpoint answers with JSON")
    {
        outgoing.task.kind = "hold/é";
        CHECK(run() == outcome_kind::succeeded);
        CHECK(results[0].result == answer.body);
        THEN("the request describes the task")
        {
            CHECK(seen.at(0).path == "/tasks/hold/é");
            CHECK(agent::encode_path_segment(outgoing.task.kind) == "hold%2F%C3%A9");
            CHECK(seen[0].body == "{}");
            CHECK(seen[0].headers["idempotency-key"] == job_id + "/3");
            CHECK(seen[0].headers["x-attempt"] == "1");
            CHECK(seen[0].headers["x-deadline-ms"] == "200");
        }
    }
    // Guards against preferring an endpoint that quickly answers 2xx without doing any work.
    WHEN("the endpoint answers 2xx without JSON")
    {
        answer.body = GENERATE("", "done", "{");
        THEN("the task failed")
        {
            CHECK(run() == outcome_kind::failed);
        }
    }
    // Guards against a false "not run" answer.
    WHEN("the endpoint answers with an error")
    {
        auto const [status, mark, expected]
            = GENERATE(table<int, char const*, outcome_kind>({{404, "0", outcome_kind::failed},
                                                              {409, "1", outcome_kind::failed},
                                                              {500, "1", outcome_kind::unknown},
                                                              {503, "0", outcome_kind::unknown},
                                                              {503, "1", outcome_kind::not_run}}));
        answer = {status, "{}", "application/json", {{"X-Not-Run", mark}}};
        THEN("only a marked 503 proves that the task did not run")
        {
            CHECK(run() == expected);
        }
    }
    WHEN("the endpoint does not answer in time")
    {
        silent = true;
        THEN("the outcome is unknown")
        {
            CHECK(run(milliseconds(500)) == outcome_kind::unknown);
        }
    }
    WHEN("nothing listens at the endpoint's address")
    {
        outgoing.url = "http://127.0.0.1:1";
        THEN("the task did not run")
        {
            CHECK(run() == outcome_kind::not_run);
        }
    }
    // Guards against starts by a process that was suspended after its last check.
    WHEN("the lease has ended when the request would be sent")
    {
        outgoing.start_before = std::chrono::steady_clock::now();
        CHECK(run() == outcome_kind::not_run);
        THEN("the endpoint gets no request")
        {
            CHECK(seen.empty());
        }
    }
    WHEN("a task is stopped")
    {
        runner.stop(url, {job_id, 3});
        run_for(loop, milliseconds(50));
        THEN("the request identifies the task by job and index")
        {
            CHECK(seen.at(0).method == http_method::del);
            CHECK(seen.at(0).path == "/tasks/" + job_id + "/3");
        }
    }
}

SCENARIO("Endpoints announce themselves over HTTP")
{
    agent_fixture agent;
    event_loop loop;
    http_server server(loop, {}, agent::announce_routes(agent.core));
    auto const address = server.listen({"127.0.0.1", 0}).value();
    http_client client(loop);
    auto const call = [&](http_method method, std::string const& path, std::string const& body) {
        http_client_response answer;
        client.send({method, address, path, {}, body, milliseconds(500)},
                    [&](http_client_response&& response) { answer = std::move(response); });
        run_for(loop, milliseconds(30));
        return answer;
    };
    std::string const valid
        = R"({"name":"chairs-2","url":"http://10.1.2.3:9000","kinds":["quote"],)"
          R"("slots":8,"connections":60,"cpu":64,"rack":"r1"})";

    WHEN("an endpoint announces itself and then leaves")
    {
        CHECK(call(http_method::post, "/v1/announce", valid).code == 200);
        CHECK(call(http_method::get, "/healthz", "").code == 200);
        THEN("the endpoint is known until it leaves")
        {
            CHECK(call(http_method::del, "/v1/announce/chairs-2", "").code == 200);
            CHECK(call(http_method::del, "/v1/announce/chairs-2", "").code == 404);
            CHECK(call(http_method::get, "/v1/announce", "").code == 405);
        }
    }
    WHEN("a field is wrong")
    {
        auto const [from, to, field] = GENERATE(table<std::string, std::string, std::string>(
            {{"chairs-2", "", "name"},
             {"http://10.1.2.3:9000", "http://example.org:80", "url"},
             {"http://10.1.2.3:9000", "http://10.1.2.3:9000/x", "url"},
             {"[\"quote\"]", "[7]", "kinds[0]"},
             {"\"slots\":8", "\"slots\":0", "slots"},
             {"\"cpu\":64", "\"cpu\":-1", "cpu"},
             {"\"rack\"", "\"room\"", "room"},
             {"}", "", "body"}}));
        auto body = valid;
        body.replace(body.find(from), from.size(), to);
        auto const answer = call(http_method::post, "/v1/announce", body);
        THEN("the error message names the field")
        {
            CHECK(answer.code == 400);
            CHECK_THAT(answer.body, Catch::Contains(field));
            CHECK_THAT(answer.body, Catch::Contains("\"code\":\"invalid_argument\""));
        }
    }
}
