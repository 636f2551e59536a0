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
