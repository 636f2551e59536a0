// What the answers of a worker to an order to start mean.

#include <catch2/catch.hpp>

#include <chrono>
#include <optional>

#include "platform/worker_client.h"
#include "transport/event_loop.h"
#include "transport/http_client.h"
#include "transport/http_server.h"

namespace {

using namespace greengagehead;
using agent::worker_answer;
using std::chrono::milliseconds;

/// Answers each call with one status.
struct status_fixture {
    explicit status_fixture(int status)
        : server(loop, {},
                 [status](auto const& /*request*/, auto const& exchange) {
                     exchange->respond({status, "{}", "application/json", {}});
                 }),
          http(loop), client(http, server.listen({"127.0.0.1", 0}).value())
    {
    }

    worker_answer start()
    {
        std::optional<worker_answer> answer;
        this->client.start({}, {"a.0.0.0", 1}, {}, agent::worker_clock(1000),
                           [this, &answer](agent::worker_reply const& reply) {
                               answer = reply.answer;
                               this->loop.stop();
                           });
        auto const give_up = this->loop.after(milliseconds(2000), [this] { this->loop.stop(); });
        this->loop.run();
        REQUIRE(answer);
        return *answer;
    }

    transport::event_loop loop;
    transport::http_server server;
    transport::http_client http;
    platform::worker_client client;
};

} // namespace

SCENARIO("a worker answers an order with a status", "[platform]")
{
    GIVEN("a status with which a worker says that it has done nothing")
    {
        THEN("the order counts as refused")
        {
            CHECK(status_fixture(429).start() == worker_answer::unhealthy);
            CHECK(status_fixture(503).start() == worker_answer::unhealthy);
            CHECK(status_fixture(400).start() == worker_answer::rejected);
        }
    }
    GIVEN("a status that does not say whether the order was carried out")
    {
        // Guards against a task that is started elsewhere although it runs here: a proxy answers so
        // after it has passed the order on.
        THEN("the order may have been carried out")
        {
            for (int const status : {408, 500, 502, 504})
                CHECK(status_fixture(status).start() == worker_answer::no_answer);
        }
    }
}
