// Links between two hubs: messages, heartbeats, authentication and reconnecting.

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <linux/sockios.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "protocol/codec.h"
#include "transport/connection_guard.h"
#include "transport/event_loop.h"
#include "transport/link_hub.h"

namespace {

using namespace greengagehead;
using namespace greengagehead::transport;
using std::chrono::milliseconds;

constexpr link_timing test_timing {milliseconds(20), milliseconds(100)};

void run_for(event_loop& loop, milliseconds duration)
{
    auto const stop = loop.after(duration, [&loop] { loop.stop(); });
    loop.run();
}

/// Lowers the limit of the process on descriptors while it exists.
class descriptor_limit {
public:
    explicit descriptor_limit(rlim_t highest)
    {
        getrlimit(RLIMIT_NOFILE, &this->before);
        rlimit const lowered {highest, this->before.rlim_max};
        setrlimit(RLIMIT_NOFILE, &lowered);
    }
    ~descriptor_limit() { setrlimit(RLIMIT_NOFILE, &this->before); }
    descriptor_limit(descriptor_limit const&) = delete;
    descriptor_limit& operator=(descriptor_limit const&) = delete;

private:
    rlimit before {};
};

socket_address listen_on_free_port(link_hub& hub)
{
    return hub.listen({"127.0.0.1", 0}).value();
}

} // namespace

SCENARIO("two processes exchange messages over a link")
{
    event_loop loop;
    link_hub server(loop, {"entry.a", "key"}, test_timing);
    auto const address = listen_on_free_port(server);
    std::vector<std::string> received;
    server.message_received.connect([&](std::string const& peer, protocol::message& body) {
        received.push_back(peer + ":" + std::get<protocol::job_cancel>(body).job);
    });

    GIVEN("a client with the same fleet key")
    {
        link_hub client(loop, {"agent.b", "key"}, test_timing);
        client.keep_connected("entry.a", address);
        run_for(loop, milliseconds(150));
        REQUIRE(client.connected("entry.a"));

        WHEN("it sends a message")
        {
            client.send("entry.a", protocol::job_cancel {"j1"});
            run_for(loop, milliseconds(50));
            THEN("the server receives it with the name of the client")
            {
                CHECK(received == std::vector<std::string> {"agent.b:j1"});
            }
            // Guards against metrics that miss messages or count them under another kind.
            THEN("both count one message of its kind, with its length")
            {
                auto const kind = protocol::message(protocol::job_cancel()).index();
                CHECK(protocol::message_kind_name(kind) == "job_cancel");
                auto const& sent = client.messages().sent.at(kind);
                auto const& arrived = server.messages().received.at(kind);
                CHECK(sent.messages == 1);
                CHECK(sent.bytes == protocol::encode(protocol::job_cancel {"j1"}).size());
                CHECK(arrived.messages == 1);
                CHECK(arrived.bytes == sent.bytes);
            }
        }
        // Guards against a counter that includes messages which never left.
        WHEN("it sends a message to a peer without a link")
        {
            client.send("entry.c", protocol::job_cancel {"j1"});
            THEN("none is counted")
            {
                CHECK(client.messages()
                          .sent.at(protocol::message(protocol::job_cancel()).index())
                          .messages
                      == 0);
            }
        }
        // Guards against a link that is closed because messages have taken the place of its
        // heartbeats.
        WHEN("messages are sent and then stop")
        {
            int disconnects = 0;
            client.peer_down.connect([&](std::string const&) { ++disconnects; });
            server.peer_down.connect([&](std::string const&) { ++disconnects; });
            auto messages = loop.every(milliseconds(7), [&client] {
                client.send("entry.a", protocol::job_cancel {"j1"});
            });
            run_for(loop, milliseconds(300));
            messages.reset();
            run_for(loop, milliseconds(300));
            THEN("the link stays open")
            {
                CHECK(disconnects == 0);
            }
        }

        // Guards against an idle link being closed as if its peer had failed.
        WHEN("no message is sent for several heartbeat timeouts")
        {
            int disconnects = 0;
            client.peer_down.connect([&](std::string const&) { ++disconnects; });
            run_for(loop, milliseconds(400));
            THEN("heartbeats keep the link open")
            {
                CHECK(disconnects == 0);
            }
        }
    }

    // Guards against a process outside the fleet exchanging messages with this one.
    GIVEN("a client with another fleet key")
    {
        link_hub client(loop, {"agent.b", "other"}, test_timing);
        client.keep_connected("entry.a", address);
        run_for(loop, milliseconds(150));
        THEN("neither side has a ready link")
        {
            CHECK_FALSE(client.connected("entry.a"));
            CHECK_FALSE(server.connected("agent.b"));
        }
    }
}

SCENARIO("a link whose peer does not answer is replaced")
{
    event_loop loop;

    // Guards against waiting forever on a connection that the kernel of the peer has accepted but
    // that the process of the peer never answers.
    GIVEN("a peer that accepts connections and never answers")
    {
        link_hub client(loop, {"agent.b", "key"}, test_timing);
        event_loop stopped_loop; // Never runs, so its hub neither accepts nor sends.
        link_hub unresponsive(stopped_loop, {"entry.a", "key"}, test_timing);
        auto const unresponsive_address = listen_on_free_port(unresponsive);
        client.keep_connected("entry.a", unresponsive_address);
        run_for(loop, milliseconds(300));
        CHECK_FALSE(client.connected("entry.a"));

        WHEN("a responsive process listens at the new address of the peer")
        {
            link_hub responsive(loop, {"entry.a", "key"}, test_timing);
            client.keep_connected("entry.a", listen_on_free_port(responsive));
            run_for(loop, milliseconds(600));
            THEN("the client is connected again")
            {
                CHECK(client.connected("entry.a"));
            }
        }
    }
}

SCENARIO("a hub bounds the bytes that arrive before a peer is authenticated")
{
    GIVEN("a hub whose accepted sockets have a receive buffer of 16 KiB")
    {
        constexpr std::size_t buffer = 16'384;
        policy::connection_limits limits;
        limits.receive_buffer_bytes = buffer;
        event_loop loop(std::make_shared<connection_guard>(limits));
        link_hub server(loop, {"entry.a", "key"}, test_timing);
        auto const address = listen_on_free_port(server);

        WHEN("a client sends while the hub does not run")
        {
            auto const native_address = to_sockaddr(address);
            int const sender = socket(AF_INET, SOCK_STREAM, 0);
            REQUIRE(connect(sender, reinterpret_cast<sockaddr const*>(&native_address),
                            sizeof native_address)
                    == 0);
            std::string const bytes(1UL << 20U, 'x');
            auto const sent = send(sender, bytes.data(), bytes.size(), MSG_DONTWAIT);
            REQUIRE(sent > 0);
            std::this_thread::sleep_for(milliseconds(50));
            // Guards against a buffer that accepted sockets do not inherit.
            THEN("no more arrives than the buffer takes")
            {
                int not_arrived = 0;
                REQUIRE(ioctl(sender, SIOCOUTQ, &not_arrived) == 0);
                CHECK(sent - not_arrived <= static_cast<ssize_t>(buffer));
            }
            close(sender);
        }
        WHEN("a peer is authenticated and sends a message of 4 MiB")
        {
            link_hub client(loop, {"agent.b", "key"}, test_timing);
            client.keep_connected("entry.a", address);
            run_for(loop, milliseconds(300));
            REQUIRE(client.connected("entry.a"));
            std::size_t received = 0;
            server.message_received.connect(
                [&](std::string const&, protocol::message&) { ++received; });
            client.send("entry.a", protocol::job_cancel {std::string(4UL << 20U, 'j')});
            run_for(loop, milliseconds(300));
            // Guards against links that the small buffer blocks.
            THEN("it arrives")
            {
                CHECK(received == 1);
            }
        }
    }
}

SCENARIO("a crowd connects to a hub at once")
{
    GIVEN("a hub with as many silent connections as one address may have")
    {
        policy::connection_limits limits;
        limits.connections = 64;
        limits.address_connections = 40;
        auto const guard = std::make_shared<connection_guard>(limits);
        event_loop loop(guard);
        link_hub server(loop, {"entry.a", "key"}, {milliseconds(20), milliseconds(10'000)});
        auto const address = to_sockaddr(listen_on_free_port(server));
        std::vector<int> sockets;
        auto const open_connections = [&](int count) {
            for (int index = 0; index < count; ++index) {
                sockets.push_back(socket(AF_INET, SOCK_STREAM, 0));
                REQUIRE(connect(sockets.back(), reinterpret_cast<sockaddr const*>(&address),
                                sizeof address)
                        == 0);
            }
        };
        open_connections(40);
        run_for(loop, milliseconds(200));
        REQUIRE(guard->counts().open == 40);

        WHEN("60 more connect before the hub can accept any")
        {
            open_connections(60);
            descriptor_limit const limit(static_cast<rlim_t>(sockets.back()) + 24);
            run_for(loop, milliseconds(100));
            // Guards against accepting a whole crowd before the connections that it replaces are
            // closed, which took all descriptors.
            THEN("24 free descriptors are enough")
            {
                auto const counts = guard->counts();
                auto const closed_by = [&](policy::close_reason reason) {
                    return counts.closed.at(static_cast<std::size_t>(reason));
                };
                CHECK(closed_by(policy::close_reason::no_descriptors) == 0);
                CHECK(closed_by(policy::close_reason::address_connections) == 60);
                CHECK(counts.open == 40);
            }
        }
        for (auto const descriptor : sockets)
            close(descriptor);
    }
}
