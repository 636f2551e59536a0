#include <catch2/catch.hpp>

#include "transport/event_loop.h"
#include "transport/http_client.h"
#include "transport/http_server.h"

namespace {

using namespace greengagehead::transport;
using std::chrono::milliseconds;

void run_for(event_loop& loop, milliseconds duration)
{
    auto const stop = loop.after(duration, [&loop] { loop.stop(); });
    loop.run();
}

} // namespace

SCENARIO("HTTP requests are answered, possibly later")
{
    event_loop loop;
    std::shared_ptr<http_exchange> kept;
    http_server server(loop, {1024, 1024}, [&](http_request& request, auto const& exchange) {
        if (request.path == "/later") {
            kept = exchange;
            return;
        }
        exchange->respond({200, request.body + request.query["x"], "text/plain", {}});
    });
    auto const address = server.listen({"127.0.0.1", 0}).value();
    http_client client(loop);
    http_client_response last;
    int answers = 0;
    auto const remember = [&](http_client_response&& response) {
        last = std::move(response);
        ++answers;
    };

    WHEN("a request is answered at once")
    {
        client.send({http_method::post, address, "/now?x=1", {}, "body", milliseconds(500)},
                    remember);
        run_for(loop, milliseconds(50));
        THEN("the client gets status and body")
        {
            CHECK(last.status == http_client_status::answered);
            CHECK(last.body == "body1");
        }
    }

    // Guards against small writes that wait 40 ms for a delayed acknowledgement.
    WHEN("twenty requests with a body follow each other on one connection")
    {
        constexpr int wanted = 20;
        constexpr milliseconds delayed_acknowledgement(40);
        std::function<void()> next = [&] {
            client.send({http_method::post, address, "/now", {}, "body", milliseconds(500)},
                        [&](http_client_response&&) {
                            if (++answers == wanted)
                                loop.stop();
                            else
                                next();
                        });
        };
        auto const begin = std::chrono::steady_clock::now();
        next();
        run_for(loop, delayed_acknowledgement * wanted);
        THEN("none of them waits")
        {
            CHECK(answers == wanted);
            CHECK(std::chrono::steady_clock::now() - begin < delayed_acknowledgement * wanted / 2);
        }
    }

    // Guards against use of a request that evhttp has freed with its connection.
    WHEN("the caller gives up before the reply is sent")
    {
        client.send({http_method::get, address, "/later", {}, "", milliseconds(50)}, remember);
        run_for(loop, milliseconds(200));
        REQUIRE(kept);
        kept->respond({200, "late", "text/plain", {}});
        THEN("the client has reported a sent request without an answer")
        {
            CHECK(answers == 1);
            CHECK(last.status == http_client_status::no_answer);
        }
    }

    // Guards against a task being reported as possibly run when its endpoint refused the
    // connection.
    WHEN("nothing listens at the address")
    {
        server.stop_listening();
        client.send({http_method::post, {"127.0.0.1", 1}, "/", {}, "", milliseconds(500)},
                    remember);
        run_for(loop, milliseconds(50));
        THEN("the request counts as not sent")
        {
            CHECK(last.status == http_client_status::not_sent);
        }
    }

    WHEN("the body is over the limit")
    {
        client.send(
            {http_method::post, address, "/now", {}, std::string(4096, 'x'), milliseconds(500)},
            remember);
        run_for(loop, milliseconds(50));
        THEN("it is refused")
        {
            CHECK(last.code == 413);
        }
    }
    // Guards against a refusal in HTML to callers that parse JSON.
    WHEN("the body is a little over the limit")
    {
        client.send(
            {http_method::post, address, "/now", {}, std::string(1025, 'x'), milliseconds(500)},
            remember);
        run_for(loop, milliseconds(50));
        THEN("the refusal names the limit in JSON")
        {
            CHECK(last.code == 413);
            CHECK(last.body.find("1024 bytes") != std::string::npos);
        }
    }
}
