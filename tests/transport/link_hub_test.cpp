#include <catch2/catch.hpp>

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

socket_address listen_anywhere(link_hub& hub)
{
    return hub.listen({"127.0.0.1", 0}).value();
}

} // namespace

SCENARIO("two processes exchange messages over a link")
{
    event_loop loop;
    link_hub server(loop, {"entry.a", "key"}, test_timing);
    auto const address = listen_anywhere(server);
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
            THEN("the server gets it under the client's name")
            {
                CHECK(received == std::vector<std::string> {"agent.b:j1"});
            }
        }

        // Guards against an idle link being taken for a silent one.
        WHEN("nothing is sent for several silence limits")
        {
            int drops = 0;
            client.peer_down.connect([&](std::string const&) { ++drops; });
            run_for(loop, milliseconds(400));
            THEN("heartbeats keep the link up")
            {
                CHECK(drops == 0);
            }
        }
    }

    // Guards against a stranger on the port having any effect.
    GIVEN("a client with another fleet key")
    {
        link_hub client(loop, {"agent.b", "other"}, test_timing);
        client.keep_connected("entry.a", address);
        run_for(loop, milliseconds(150));
        THEN("no link comes up on either side")
        {
            CHECK_FALSE(client.connected("entry.a"));
            CHECK_FALSE(server.connected("agent.b"));
        }
    }
}

SCENARIO("a link that went silent is replaced")
{
    event_loop loop;

    // Guards against waiting for good on a connection whose other end has lost track of it: the
    // listener accepts in the kernel but never answers.
    GIVEN("a peer that accepts connections and stays silent")
    {
        link_hub client(loop, {"agent.b", "key"}, test_timing);
        event_loop other_loop; // Never run, so its hub accepts nothing and says nothing.
        link_hub frozen(other_loop, {"entry.a", "key"}, test_timing);
        auto const frozen_address = listen_anywhere(frozen);
        client.keep_connected("entry.a", frozen_address);
        run_for(loop, milliseconds(300));
        CHECK_FALSE(client.connected("entry.a"));

        WHEN("a live process answers at the peer's new address")
        {
            link_hub live(loop, {"entry.a", "key"}, test_timing);
            client.keep_connected("entry.a", listen_anywhere(live));
            run_for(loop, milliseconds(600));
            THEN("the client is connected again")
            {
                CHECK(client.connected("entry.a"));
            }
        }
    }
}
