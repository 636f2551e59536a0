// Shutdown of a role: requests that still arrive are answered.

#include <catch2/catch.hpp>

#include <atomic>
#include <future>

#include "app/role_task.h"
#include "transport/http_client.h"
#include "transport/http_server.h"

namespace {

using namespace greengagehead;
using std::chrono::milliseconds;

/// Answers every request at once.
class answering_task final : public app::role_task {
public:
    answering_task()
        : role_task({"entry.test", "key"}),
          server(this->loop, {},
                 [](auto& /*request*/, auto const& exchange) { exchange->respond({}); })
    {
    }
    ~answering_task() override { this->stop(); }

    answering_task(answering_task const&) = delete;
    answering_task& operator=(answering_task const&) = delete;
    answering_task(answering_task&&) = delete;
    answering_task& operator=(answering_task&&) = delete;

    transport::socket_address open() { return this->server.listen({"127.0.0.1", 0}).value(); }

private:
    void controls_configured(std::vector<std::string> const& /*peers*/) override { }
    void tick(base::steady_time /*now*/) override { }
    void begin_shutdown(base::steady_time /*now*/) override { }
    [[nodiscard]] bool idle() const override { return this->server.open_exchanges() == 0; }

    transport::http_server server;
};

/// Answers requests only when it is told that it ends.
class waiting_task final : public app::role_task {
public:
    waiting_task()
        : role_task({"entry.test", "key"}),
          server(this->loop, {}, [this](auto& /*request*/, auto const& exchange) {
              this->waiting.push_back(exchange);
              this->received.set_value();
          })
    {
    }
    ~waiting_task() override { this->stop(); }

    waiting_task(waiting_task const&) = delete;
    waiting_task& operator=(waiting_task const&) = delete;
    waiting_task(waiting_task&&) = delete;
    waiting_task& operator=(waiting_task&&) = delete;

    transport::socket_address open() { return this->server.listen({"127.0.0.1", 0}).value(); }
    /// Returns once the task has got its request.
    void wait_for_request() { this->received.get_future().wait(); }

private:
    void controls_configured(std::vector<std::string> const& /*peers*/) override { }
    void tick(base::steady_time /*now*/) override { }
    void begin_shutdown(base::steady_time /*now*/) override { }
    void answer_all(base::steady_time /*now*/) override
    {
        for (auto const& exchange : this->waiting)
            exchange->respond({});
    }
    [[nodiscard]] bool idle() const override { return this->server.open_exchanges() == 0; }
    [[nodiscard]] std::size_t open_requests() const override
    {
        return this->server.open_exchanges();
    }

    std::promise<void> received;
    std::vector<std::shared_ptr<transport::http_exchange>> waiting;
    transport::http_server server;
};

} // namespace

SCENARIO("an idle role answers late requests before it shuts down", "[app]")
{
    GIVEN("an idle role whose shutdown has started")
    {
        auto task = std::make_unique<answering_task>();
        auto const address = task->open();
        task->start();
        std::promise<void> ended;
        task->shut_down([&ended] { ended.set_value(); });

        // Guards against dropping requests whose callers could not yet know of the shutdown.
        WHEN("a request is sent shortly afterwards")
        {
            transport::event_loop loop;
            transport::http_client client(loop);
            transport::http_client_response answer;
            auto const send = loop.after(milliseconds(30), [&] {
                client.send({transport::http_method::get, address, "/", {}, "", milliseconds(2000)},
                            [&](transport::http_client_response&& response) {
                                answer = std::move(response);
                                loop.stop();
                            });
            });
            // Destroys the role when it has shut down, as run_process does.
            std::thread owner([&] {
                ended.get_future().wait();
                task.reset();
            });
            loop.run();
            owner.join();
            THEN("the request is answered, and the role shuts down")
            {
                CHECK(answer.status == transport::http_client_status::answered);
                CHECK(answer.code == 200);
            }
        }
    }
}

// Guards against a shutdown limit that ends a late event loop before its last answers.
SCENARIO("a role is stopped while a request waits for its answer", "[app]")
{
    GIVEN("a request in progress")
    {
        auto task = std::make_unique<waiting_task>();
        auto const address = task->open();
        task->start();
        transport::event_loop loop;
        transport::http_client client(loop);
        transport::http_client_response answer;
        client.send({transport::http_method::get, address, "/", {}, "", milliseconds(2000)},
                    [&](transport::http_client_response&& response) {
                        answer = std::move(response);
                        loop.stop();
                    });

        WHEN("the role stops at its limit")
        {
            std::thread owner([&] {
                task->wait_for_request();
                task->stop();
            });
            loop.run();
            owner.join();
            THEN("the request is answered first")
            {
                CHECK(answer.status == transport::http_client_status::answered);
                CHECK(answer.code == 200);
            }
        }
    }
}
