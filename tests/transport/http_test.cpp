// HTTP server and client: delayed replies, clients that disconnect, and reuse of connections.

#include <catch2/catch.hpp>

#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

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

/// Answers every request with an empty reply and counts the connections.
struct counting_listener {
    explicit counting_listener(event_loop& loop)
    {
        auto native_address = to_sockaddr({"127.0.0.1", 0});
        this->listener = evconnlistener_new_bind(
            loop.base(), &counting_listener::on_accept, this, LEV_OPT_CLOSE_ON_FREE, -1,
            reinterpret_cast<sockaddr*>(&native_address), sizeof native_address);
        sockaddr_in bound {};
        socklen_t size = sizeof bound;
        getsockname(evconnlistener_get_fd(this->listener), reinterpret_cast<sockaddr*>(&bound),
                    &size);
        this->address = {"127.0.0.1", ntohs(bound.sin_port)};
    }
    ~counting_listener()
    {
        for (auto* stream : this->streams)
            bufferevent_free(stream);
        evconnlistener_free(this->listener);
    }
    counting_listener(counting_listener const&) = delete;
    counting_listener& operator=(counting_listener const&) = delete;

    static void on_accept(evconnlistener* source, int socket, sockaddr* /*address*/, int /*size*/,
                          void* self)
    {
        auto& instance = *static_cast<counting_listener*>(self);
        ++instance.connections;
        auto* const stream = bufferevent_socket_new(evconnlistener_get_base(source), socket,
                                                    BEV_OPT_CLOSE_ON_FREE);
        instance.streams.push_back(stream);
        bufferevent_setcb(stream, &counting_listener::on_read, nullptr, nullptr, nullptr);
        bufferevent_enable(stream, EV_READ | EV_WRITE);
    }
    static void on_read(bufferevent* stream, void* /*self*/)
    {
        static constexpr std::string_view reply = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        auto* const input = bufferevent_get_input(stream);
        evbuffer_drain(input, evbuffer_get_length(input));
        bufferevent_write(stream, reply.data(), reply.size());
    }

    evconnlistener* listener = nullptr;
    std::vector<bufferevent*> streams;
    socket_address address;
    int connections = 0;
};

} // namespace

SCENARIO("HTTP requests are answered, possibly later")
{
    event_loop loop;
    std::shared_ptr<http_exchange> pending_exchange;
    http_server server(loop, {1024, 1024}, [&](http_request& request, auto const& exchange) {
        if (request.path == "/later") {
            pending_exchange = exchange;
            return;
        }
        exchange->respond({200, request.body + request.query["x"], "text/plain", {}});
    });
    auto const address = server.listen({"127.0.0.1", 0}).value();
    http_client client(loop);
    http_client_response last;
    int answers = 0;
    auto const record_response = [&](http_client_response&& response) {
        last = std::move(response);
        ++answers;
    };

    WHEN("a request is answered at once")
    {
        client.send({http_method::post, address, "/now?x=1", {}, "body", milliseconds(500)},
                    record_response);
        run_for(loop, milliseconds(50));
        THEN("the client gets status and body")
        {
            CHECK(last.status == http_client_status::answered);
            CHECK(last.body == "body1");
        }
    }

    // Guards against a request that is sent without a header that says whom it is for.
    WHEN("a header of a request cannot be sent as it is")
    {
        using namespace std::string_literals;
        std::string const value = GENERATE("a\r\nb"s, "a\nb"s, "a\0b"s);
        CAPTURE(value);
        client.send({http_method::post,
                     address,
                     "/now?x=1",
                     {{"X-Receiver", value}},
                     "body",
                     milliseconds(500)},
                    record_response);
        run_for(loop, milliseconds(50));
        THEN("the request is not sent")
        {
            CHECK(answers == 1);
            CHECK(last.status == http_client_status::not_sent);
        }
    }

    // Guards against a missing TCP_NODELAY: a small write then waits 40 ms for the delayed
    // acknowledgement of the write before it.
    WHEN("twenty requests with a body follow each other on one connection")
    {
        constexpr int request_count = 20;
        constexpr milliseconds delayed_acknowledgement(40);
        std::function<void()> send_next = [&] {
            client.send({http_method::post, address, "/now", {}, "body", milliseconds(500)},
                        [&](http_client_response&&) {
                            if (++answers == request_count)
                                loop.stop();
                            else
                                send_next();
                        });
        };
        auto const begin = std::chrono::steady_clock::now();
        send_next();
        run_for(loop, delayed_acknowledgement * request_count);
        THEN("none of them is delayed")
        {
            CHECK(answers == request_count);
            CHECK(std::chrono::steady_clock::now() - begin
                  < delayed_acknowledgement * request_count / 2);
        }
    }

    // Guards against use after free: evhttp frees the request together with its connection.
    WHEN("the client times out before the reply is sent")
    {
        client.send({http_method::get, address, "/later", {}, "", milliseconds(50)},
                    record_response);
        run_for(loop, milliseconds(200));
        REQUIRE(pending_exchange);
        pending_exchange->respond({200, "late", "text/plain", {}});
        THEN("the client reports once that the request was sent but not answered")
        {
            CHECK(answers == 1);
            CHECK(last.status == http_client_status::no_answer);
        }
    }

    // Guards against requests that are lost because clients reuse a connection to a process that is
    // about to stop.
    WHEN("the server closes connections after their replies")
    {
        server.close_after_replies();
        client.send({http_method::get, address, "/now", {}, "", milliseconds(500)},
                    record_response);
        run_for(loop, milliseconds(50));
        THEN("the reply asks the client to close the connection")
        {
            CHECK(last.code == 200);
            CHECK(last.headers["connection"] == "close");
        }
    }

    // Guards against a new connection for each request: evhttp applied the timeout of the last
    // request to the idle connection and closed it.
    WHEN("a connection is idle for longer than the timeout of its last request")
    {
        counting_listener listener(loop);
        for (int request = 0; request < 2; ++request) {
            client.send({http_method::get, listener.address, "/", {}, "", milliseconds(60)},
                        record_response);
            run_for(loop, milliseconds(200));
        }
        THEN("the next request reuses the connection")
        {
            CHECK(answers == 2);
            CHECK(listener.connections == 1);
        }
    }

    // Guards against a task being reported as possibly run although its endpoint refused the
    // connection.
    WHEN("nothing listens at the address")
    {
        server.stop_listening();
        client.send({http_method::post, {"127.0.0.1", 1}, "/", {}, "", milliseconds(500)},
                    record_response);
        run_for(loop, milliseconds(50));
        THEN("the request is reported as not sent")
        {
            CHECK(last.status == http_client_status::not_sent);
        }
    }

    // Guards against a body far over the limit being handled. evhttp itself refuses this one.
    WHEN("the body is over twice the limit")
    {
        client.send(
            {http_method::post, address, "/now", {}, std::string(4096, 'x'), milliseconds(500)},
            record_response);
        run_for(loop, milliseconds(50));
        THEN("the request is refused with status 413")
        {
            CHECK(last.code == 413);
        }
    }

    // Guards against an HTML error page for clients that parse JSON.
    WHEN("the body is a little over the limit")
    {
        client.send(
            {http_method::post, address, "/now", {}, std::string(1025, 'x'), milliseconds(500)},
            record_response);
        run_for(loop, milliseconds(50));
        THEN("the request is refused with a JSON error that gives the limit")
        {
            CHECK(last.code == 413);
            CHECK(last.body.find("1024 bytes") != std::string::npos);
        }
    }
}

SCENARIO("a client disconnects before it gets its reply")
{
    GIVEN("a handler that replies later")
    {
        event_loop loop;
        std::shared_ptr<http_exchange> pending_exchange;
        bool disconnected = false;
        http_server server(loop, {1024, 1024}, [&](http_request&, auto const& exchange) {
            pending_exchange = exchange;
            pending_exchange->on_disconnected([&disconnected] { disconnected = true; });
        });
        auto const address = server.listen({"127.0.0.1", 0}).value();
        http_client client(loop);

        // Guards against work that continues although nobody will receive the reply.
        WHEN("the client closes its connection")
        {
            client.send({http_method::get, address, "/", {}, "", milliseconds(50)},
                        [](http_client_response&&) {});
            run_for(loop, milliseconds(200));
            THEN("the disconnect callback runs")
            {
                CHECK(disconnected);
            }
        }
    }
}

SCENARIO("a connection is reset before its request is read", "[transport]")
{
    GIVEN("a request that the server has not read yet")
    {
        event_loop loop;
        std::size_t handled = 0;
        http_server server(loop, {}, [&handled](http_request&, auto const& exchange) {
            ++handled;
            exchange->respond({});
        });
        auto const target = to_sockaddr(server.listen({"127.0.0.1", 0}).value());
        int const socket = ::socket(AF_INET, SOCK_STREAM, 0);
        REQUIRE(connect(socket, reinterpret_cast<sockaddr const*>(&target), sizeof target) == 0);
        std::string_view const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
        REQUIRE(send(socket, request.data(), request.size(), 0)
                == static_cast<ssize_t>(request.size()));

        // Guards against work that runs twice: the client may have sent the request to another
        // process after the reset.
        WHEN("the client resets the connection")
        {
            linger const reset_on_close {1, 0};
            REQUIRE(
                setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof reset_on_close)
                == 0);
            close(socket);
            run_for(loop, milliseconds(100));
            THEN("the request is not handled")
            {
                CHECK(handled == 0);
                CHECK(server.open_exchanges() == 0);
            }
        }
        // Guards against a half-closed connection being taken for a reset one.
        WHEN("the client only shuts down its sending side")
        {
            shutdown(socket, SHUT_WR);
            run_for(loop, milliseconds(100));
            THEN("the request is handled and answered")
            {
                CHECK(handled == 1);
                char first = 0;
                CHECK(recv(socket, &first, 1, MSG_DONTWAIT) == 1);
            }
            close(socket);
        }
    }
}

// Guards against work for clients that have left: after a pause of the process, a request is read
// before the event of its closed connection.
SCENARIO("a handler asks whether the client has left", "[transport]")
{
    GIVEN("a request that the server has not read yet")
    {
        event_loop loop;
        std::optional<bool> left;
        http_server server(loop, {}, [&left](http_request&, auto const& exchange) {
            left = exchange->client_left();
            exchange->respond({});
        });
        auto const target = to_sockaddr(server.listen({"127.0.0.1", 0}).value());
        int const socket = ::socket(AF_INET, SOCK_STREAM, 0);
        REQUIRE(connect(socket, reinterpret_cast<sockaddr const*>(&target), sizeof target) == 0);
        std::string_view const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
        auto const send_request = [&] {
            REQUIRE(send(socket, request.data(), request.size(), 0)
                    == static_cast<ssize_t>(request.size()));
        };
        send_request();

        WHEN("the connection is open")
        {
            run_for(loop, milliseconds(100));
            THEN("it has not left")
            {
                CHECK(left == false);
            }
            close(socket);
        }
        WHEN("the client has closed the connection")
        {
            close(socket);
            run_for(loop, milliseconds(100));
            THEN("it has left")
            {
                CHECK(left == true);
            }
        }
        WHEN("the client has sent more data and closed the connection")
        {
            send_request();
            close(socket);
            run_for(loop, milliseconds(100));
            THEN("it has left")
            {
                CHECK(left == true);
            }
        }
    }
}

// Guards against work for a client that has left: bytes that it sent behind its request, which are
// not read before the reply, hid the end of its connection.
SCENARIO("a client sends more bytes while its request waits", "[transport]")
{
    GIVEN("a request whose handler replies later")
    {
        event_loop loop;
        std::vector<std::shared_ptr<http_exchange>> pending;
        int disconnected = 0;
        http_server server(loop, {}, [&](http_request&, auto const& exchange) {
            pending.push_back(exchange);
            exchange->on_disconnected([&disconnected] { ++disconnected; });
        });
        auto const target = to_sockaddr(server.listen({"127.0.0.1", 0}).value());
        int socket = ::socket(AF_INET, SOCK_STREAM, 0);
        REQUIRE(connect(socket, reinterpret_cast<sockaddr const*>(&target), sizeof target) == 0);
        std::string_view const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
        auto const send_request = [&] {
            REQUIRE(send(socket, request.data(), request.size(), 0)
                    == static_cast<ssize_t>(request.size()));
        };
        auto const close_client = [&](bool reset) {
            linger const on_close {reset ? 1 : 0, 0};
            REQUIRE(setsockopt(socket, SOL_SOCKET, SO_LINGER, &on_close, sizeof on_close) == 0);
            close(std::exchange(socket, -1));
        };
        auto const wait_until = [&loop](auto const& done) {
            for (int step = 0; step < 200 && !done(); ++step)
                run_for(loop, milliseconds(10));
            return done();
        };
        send_request();
        REQUIRE(wait_until([&] { return pending.size() == 1; }));

        for (bool const reset : {false, true}) {
            std::string const way = reset ? "resets" : "closes";
            WHEN("it sends a second request and " + way + " the connection")
            {
                send_request();
                run_for(loop, milliseconds(50));
                REQUIRE(disconnected == 0);
                close_client(reset);
                THEN("the handler is told, and the second request is not handled")
                {
                    CHECK(wait_until([&] { return disconnected == 1; }));
                    CHECK(pending.size() == 1);
                    CHECK(server.open_exchanges() == 0);
                }
            }
            WHEN("it sends a second request, " + way + " the connection, and both arrive at once")
            {
                send_request();
                close_client(reset);
                THEN("the handler is told")
                {
                    CHECK(wait_until([&] { return disconnected == 1; }));
                    CHECK(pending.size() == 1);
                }
            }
        }
        WHEN("it sends as many bytes as the sockets take, and resets the connection")
        {
            std::string const bytes(1UL << 16U, 'x');
            std::size_t taken = 0;
            ssize_t sent = 0;
            // The loop runs between the writes, so a server that reads ahead takes all of them.
            for (int step = 0; step < 2000 && sent >= 0; ++step) {
                sent = send(socket, bytes.data(), bytes.size(), MSG_DONTWAIT);
                taken += sent > 0 ? static_cast<std::size_t>(sent) : 0;
                run_for(loop, milliseconds(1));
            }
            THEN("the unread bytes are bounded, and the handler is told")
            {
                CHECK(sent < 0);
                CHECK(taken < 64UL << 20U);
                CHECK(disconnected == 0);
                close_client(true);
                CHECK(wait_until([&] { return disconnected == 1; }));
            }
        }
        // Guards against bytes of a caller that stays being lost or taken for a close.
        WHEN("it sends a second request in two pieces and stays")
        {
            auto const half = request.size() / 2;
            REQUIRE(send(socket, request.data(), half, 0) == static_cast<ssize_t>(half));
            run_for(loop, milliseconds(400));
            REQUIRE(send(socket, request.data() + half, request.size() - half, 0)
                    == static_cast<ssize_t>(request.size() - half));
            run_for(loop, milliseconds(400));
            THEN("both requests are handled and answered in order")
            {
                CHECK(disconnected == 0);
                REQUIRE(pending.size() == 1);
                pending.front()->respond({200, "first", "text/plain", {}});
                REQUIRE(wait_until([&] { return pending.size() == 2; }));
                pending.back()->respond({200, "second", "text/plain", {}});
                run_for(loop, milliseconds(100));
                std::string replies(4096, ' ');
                auto const size = recv(socket, replies.data(), replies.size(), MSG_DONTWAIT);
                REQUIRE(size > 0);
                replies.resize(static_cast<std::size_t>(size));
                CHECK(replies.find("first") < replies.find("second"));
                CHECK(replies.find("second") != std::string::npos);
                CHECK(disconnected == 0);
            }
            AND_WHEN("it closes the connection while the second one waits")
            {
                pending.front()->respond({200, "first", "text/plain", {}});
                REQUIRE(wait_until([&] { return pending.size() == 2; }));
                run_for(loop, milliseconds(200));
                close_client(false);
                THEN("the handler of the second one is told")
                {
                    CHECK(wait_until([&] { return disconnected == 1; }));
                }
            }
        }
        pending.clear();
        run_for(loop, milliseconds(10));
        if (socket >= 0)
            close(socket);
    }
}

SCENARIO("a client reads its reply slowly", "[transport]")
{
    GIVEN("a reply that is larger than the socket buffers")
    {
        event_loop loop;
        http_server server(loop, {}, [](http_request&, auto const& exchange) {
            exchange->respond({200, std::string(32UL * 1024 * 1024, 'x'), "text/plain", {}});
        });
        auto const address = server.listen({"127.0.0.1", 0}).value();
        auto const target = to_sockaddr(address);
        int socket = ::socket(AF_INET, SOCK_STREAM, 0);
        REQUIRE(connect(socket, reinterpret_cast<sockaddr const*>(&target), sizeof target) == 0);
        std::string_view const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
        REQUIRE(send(socket, request.data(), request.size(), 0)
                == static_cast<ssize_t>(request.size()));
        run_for(loop, milliseconds(200));

        // Guards against a shutdown that truncates a reply which is still being written.
        THEN("the exchange counts as open until the whole reply is written")
        {
            CHECK(server.open_exchanges() == 1);
            std::string buffer(1UL << 20U, ' ');
            for (int step = 0; step < 200 && server.open_exchanges() > 0; ++step) {
                while (recv(socket, buffer.data(), buffer.size(), MSG_DONTWAIT) > 0) { }
                run_for(loop, milliseconds(5));
            }
            CHECK(server.open_exchanges() == 0);
        }
        // Guards against a shutdown that waits for a reply which can no longer be written.
        WHEN("the client closes the connection")
        {
            close(std::exchange(socket, -1));
            run_for(loop, milliseconds(200));
            THEN("the exchange no longer counts as open")
            {
                CHECK(server.open_exchanges() == 0);
            }
        }
        if (socket >= 0)
            close(socket);
    }
}
