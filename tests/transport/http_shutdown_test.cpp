// End of an HTTP server: requests that wait to be read, and connections without a request.

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <memory>
#include <string_view>
#include <utility>
#include <vector>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "transport/event_loop.h"
#include "transport/http_server.h"

namespace {

using namespace greengagehead::transport;
using std::chrono::milliseconds;

/// More than a listener accepts in one turn of its loop.
constexpr std::size_t waiting_clients = 3 * max_accepted_in_turn;

void run_for(event_loop& loop, milliseconds duration)
{
    auto const stop = loop.after(duration, [&loop] { loop.stop(); });
    loop.run();
}

/// Blocking socket of a client.
class client_socket {
public:
    explicit client_socket(socket_address const& server)
        : descriptor(::socket(AF_INET, SOCK_STREAM, 0))
    {
        auto const target = to_sockaddr(server);
        this->connected
            = connect(this->descriptor, reinterpret_cast<sockaddr const*>(&target), sizeof target)
            == 0;
    }
    ~client_socket() { close(this->descriptor); }
    client_socket(client_socket const&) = delete;
    client_socket& operator=(client_socket const&) = delete;
    client_socket(client_socket&& other) noexcept
        : descriptor(std::exchange(other.descriptor, -1)), connected(other.connected)
    {
    }
    client_socket& operator=(client_socket&&) = delete;

    [[nodiscard]] bool is_connected() const { return this->connected; }

    void send_request() const
    {
        constexpr std::string_view request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
        REQUIRE(send(this->descriptor, request.data(), request.size(), MSG_NOSIGNAL)
                == static_cast<ssize_t>(request.size()));
    }
    [[nodiscard]] bool has_answer() const
    {
        std::array<char, 1> first {};
        return recv(this->descriptor, first.data(), first.size(), MSG_DONTWAIT) == 1;
    }
    [[nodiscard]] bool closed_by_server() const
    {
        std::array<char, 1> first {};
        return recv(this->descriptor, first.data(), first.size(), MSG_DONTWAIT) == 0;
    }

private:
    int descriptor;
    bool connected = false;
};

} // namespace

// Guards against requests that an ending process resets although they had been sent before.
SCENARIO("a server stops listening while requests wait to be accepted", "[transport]")
{
    GIVEN("more connections with a request than are accepted in one turn")
    {
        event_loop loop;
        http_server server(loop, {},
                           [](http_request&, auto const& exchange) { exchange->respond({}); });
        auto const address = server.listen({"127.0.0.1", 0}).value();
        std::vector<client_socket> clients;
        for (std::size_t i = 0; i < waiting_clients; ++i) {
            clients.emplace_back(address);
            clients.back().send_request();
        }

        WHEN("the server finishes listening")
        {
            server.finish_listening();
            run_for(loop, milliseconds(200));
            THEN("all of them are answered, and nobody can connect any more")
            {
                CHECK(std::all_of(clients.begin(), clients.end(),
                                  [](auto const& client) { return client.has_answer(); }));
                CHECK_FALSE(server.listening());
                CHECK_FALSE(client_socket(address).is_connected());
            }
        }
    }
}

// Guards against requests that are read in the last turn of an ending process.
SCENARIO("a server closes the connections without a request", "[transport]")
{
    GIVEN("a connection without a request, and one whose request waits for its answer")
    {
        event_loop loop;
        std::shared_ptr<http_exchange> pending;
        http_server server(loop, {},
                           [&](http_request&, auto const& exchange) { pending = exchange; });
        auto const address = server.listen({"127.0.0.1", 0}).value();
        client_socket const idle(address);
        client_socket const waiting(address);
        waiting.send_request();
        run_for(loop, milliseconds(50));
        REQUIRE(pending);

        WHEN("the server closes idle connections")
        {
            server.close_idle_connections();
            CHECK(idle.closed_by_server());
            pending->respond({});
            run_for(loop, milliseconds(50));
            THEN("the request in progress is answered")
            {
                CHECK(waiting.has_answer());
            }
        }
    }
}
