// End of a role whose event loop is late, or whose callers send requests until its end.

#include <catch2/catch.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include "app/role_task.h"
#include "transport/http_server.h"

namespace {

using namespace greengagehead;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::string_view request_text = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
constexpr timeval receive_limit {3, 0};

/// Blocking socket of a client.
class client_socket {
public:
    explicit client_socket(transport::socket_address const& server)
        : descriptor(::socket(AF_INET, SOCK_STREAM, 0))
    {
        auto const target = transport::to_sockaddr(server);
        (void)connect(this->descriptor, reinterpret_cast<sockaddr const*>(&target), sizeof target);
        setsockopt(this->descriptor, SOL_SOCKET, SO_RCVTIMEO, &receive_limit, sizeof receive_limit);
    }
    ~client_socket() { close(this->descriptor); }
    client_socket(client_socket const&) = delete;
    client_socket& operator=(client_socket const&) = delete;
    client_socket(client_socket&&) = delete;
    client_socket& operator=(client_socket&&) = delete;

    void send_request() const
    {
        (void)send(this->descriptor, request_text.data(), request_text.size(), MSG_NOSIGNAL);
    }
    /// Number of answers until the server closes the connection, or for 3 s.
    [[nodiscard]] std::size_t count_answers() const
    {
        std::string received;
        std::array<char, 4096> part {};
        for (;;) {
            auto const size = recv(this->descriptor, part.data(), part.size(), 0);
            if (size <= 0)
                break;
            received.append(part.data(), static_cast<std::size_t>(size));
        }
        std::size_t count = 0;
        for (auto at = received.find("HTTP/1.1 "); at != std::string::npos;
             at = received.find("HTTP/1.1 ", at + 1))
            ++count;
        return count;
    }

private:
    int descriptor;
};

/// Actions of a test on the thread of a role.
struct role_hooks {
    std::function<void()> on_tick;
    std::function<void()> on_close_intake;
    std::function<void()> on_answer_all;
};

/// Keeps requests waiting until it is told that it ends, or answers them at once.
class hooked_task final : public app::role_task {
public:
    explicit hooked_task(bool answers_now)
        : role_task({"entry.test", "key"}),
          server(this->loop, {}, [this, answers_now](auto& /*request*/, auto const& exchange) {
              ++this->received;
              if (answers_now)
                  exchange->respond({});
              else
                  this->waiting.push_back(exchange);
          })
    {
    }
    ~hooked_task() override { this->stop(); }

    hooked_task(hooked_task const&) = delete;
    hooked_task& operator=(hooked_task const&) = delete;
    hooked_task(hooked_task&&) = delete;
    hooked_task& operator=(hooked_task&&) = delete;

    transport::socket_address open() { return this->server.listen({"127.0.0.1", 0}).value(); }
    void wait_for_request() const
    {
        while (this->received == 0)
            std::this_thread::sleep_for(milliseconds(5));
    }
    [[nodiscard]] std::size_t requests_received() const { return this->received; }

    role_hooks hooks; // Set before the start.

private:
    static void run(std::function<void()> const& action)
    {
        if (action)
            action();
    }

    void controls_configured(std::vector<std::string> const& /*peers*/) override { }
    void tick(base::steady_time /*now*/) override { run(this->hooks.on_tick); }
    void begin_shutdown(base::steady_time /*now*/) override { }
    void close_intake() override
    {
        run(this->hooks.on_close_intake);
        this->server.finish_listening();
    }
    [[nodiscard]] bool intake_closed() const override { return !this->server.listening(); }
    void close_idle_connections() override { this->server.close_idle_connections(); }
    void answer_all(base::steady_time /*now*/) override
    {
        for (auto const& exchange : this->waiting)
            exchange->respond({});
        this->waiting.clear();
        run(this->hooks.on_answer_all);
    }
    [[nodiscard]] bool idle() const override { return this->server.open_exchanges() == 0; }
    [[nodiscard]] std::size_t open_requests() const override
    {
        return this->server.open_exchanges();
    }

    std::atomic<std::size_t> received {0};
    std::vector<std::shared_ptr<transport::http_exchange>> waiting;
    transport::http_server server;
};

} // namespace

// Guards against requests that a late role accepts after its last answers, and cuts.
SCENARIO("a client connects while a role writes its last answers", "[app]")
{
    GIVEN("a role that still listens, and a request in progress")
    {
        hooked_task task(false);
        auto const address = task.open();
        std::unique_ptr<client_socket> late;
        task.hooks.on_answer_all = [&] {
            if (late)
                return;
            late = std::make_unique<client_socket>(address);
            late->send_request();
        };
        task.start();
        client_socket const waiting(address);
        waiting.send_request();
        task.wait_for_request();

        WHEN("the role stops at its limit")
        {
            task.stop();
            THEN("every request that was read is answered")
            {
                CHECK(waiting.count_answers() + late->count_answers() == task.requests_received());
            }
        }
    }
}

// Guards against a request that is read behind the last answer on the same connection, and cut.
SCENARIO("a client sends its next request before the last answer", "[app]")
{
    GIVEN("two requests on one connection, the first in progress")
    {
        hooked_task task(false);
        auto const address = task.open();
        task.start();
        client_socket const client(address);
        client.send_request();
        client.send_request();
        task.wait_for_request();

        WHEN("the role stops at its limit")
        {
            task.stop();
            THEN("every request that was read is answered")
            {
                CHECK(client.count_answers() == task.requests_received());
            }
        }
    }
}

// Guards against a process that is killed because an error on its last ticks keeps it from ending.
SCENARIO("the ticks of a role fail while it stops", "[app]")
{
    GIVEN("a request that is not answered completely, and ticks that fail")
    {
        std::atomic<bool> failing {true};
        hooked_task task(false);
        auto const address = task.open();
        task.hooks.on_tick = [&] {
            if (failing)
                throw std::runtime_error("tick");
        };
        task.start();
        client_socket const client(address);
        client.send_request();
        task.wait_for_request();

        WHEN("the role stops")
        {
            auto stopped = std::async(std::launch::async, [&] { task.stop(); });
            bool const in_time = stopped.wait_for(seconds(2)) == std::future_status::ready;
            failing = false;
            stopped.wait();
            THEN("it ends all the same")
            {
                CHECK(in_time);
            }
        }
    }
}

// Guards against connections that a late loop accepts and closes before it has read their requests.
SCENARIO("a client connects in the last moment of an idle role whose loop is late", "[app]")
{
    GIVEN("a role whose turns take longer than the time for late requests")
    {
        hooked_task task(true);
        auto const address = task.open();
        std::unique_ptr<client_socket> late;
        task.hooks.on_tick = [] { std::this_thread::sleep_for(milliseconds(150)); };
        task.hooks.on_close_intake = [&] {
            if (late)
                return;
            late = std::make_unique<client_socket>(address);
            late->send_request();
        };
        task.start();

        WHEN("the role shuts down")
        {
            std::promise<void> done;
            task.shut_down([&done] { done.set_value(); });
            done.get_future().wait();
            task.stop();
            THEN("the request is answered")
            {
                CHECK(late->count_answers() == 1);
            }
        }
    }
}
