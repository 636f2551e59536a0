// The configuration document, and requests from inside the process of a member.

#include <catch2/catch.hpp>

#include <vector>

#include "control/local_requests.h"
#include "state/control_state.h"

namespace {

using namespace greengagehead;
using std::chrono::milliseconds;

protocol::document_result put(state::control_state& state, std::uint64_t version,
                              std::string const& text)
{
    return std::get<protocol::document_result>(
        state.apply({milliseconds(1), protocol::put_document {{version, text}}}));
}

struct no_links : protocol::message_sender {
    void send(std::string const& /*peer*/, protocol::message const& /*body*/) override
    {
        ++this->count;
    }
    std::size_t count = 0;
};

} // namespace

SCENARIO("operators race with configuration documents", "[control][document]")
{
    GIVEN("a stored document")
    {
        state::control_state state;
        put(state, 7, "seven");
        auto const view = state.view();

        WHEN("a higher version comes")
        {
            put(state, 9, "nine");
            THEN("it is in the next view")
            {
                CHECK(state.view() == view + 1);
                CHECK(state.current_view().routing.text == "nine");
            }
        }
        WHEN("the same version comes with other content, or a lower one")
        {
            auto const same = put(state, 7, "other");
            auto const lower = put(state, 3, "three");
            // Guards against an accepted configuration being reverted or changed in place.
            THEN("nothing changes, and the stored one is named")
            {
                CHECK(state.view() == view);
                CHECK(same.stored.text == "seven");
                CHECK(lower.stored.version == 7);
            }
        }
        WHEN("the state goes through a snapshot")
        {
            state::control_state restored;
            REQUIRE(restored.restore(state.snapshot()));
            THEN("the document is still there")
            {
                CHECK(restored.current_view().routing.text == "seven");
            }
        }
    }
}

SCENARIO("a member serves requests of its own process", "[control][local]")
{
    GIVEN("local requests in front of the links")
    {
        no_links links;
        control::local_requests requests(links);
        std::vector<protocol::control_request> passed;
        requests.connect([&passed](std::string const& /*peer*/,
                                   protocol::control_request const& request,
                                   base::steady_time) { passed.push_back(request); });
        std::vector<control::local_requests::reply> replies;
        base::steady_time const now {std::chrono::hours(1)};
        requests.request(
            protocol::read_control_status {}, milliseconds(900),
            [&replies](auto const& reply) { replies.push_back(reply); }, now);
        REQUIRE(passed.size() == 1);

        WHEN("the member does not lead")
        {
            requests.send("local",
                          protocol::not_leader {{1, 1, {"control.b", "10.0.0.2:1"}, {}},
                                                passed[0].request_id});
            THEN("the caller is told who does")
            {
                REQUIRE(replies.size() == 1);
                CHECK(std::get<control::local_requests::not_leading>(replies[0]).leader
                      == "control.b");
                CHECK(links.count == 0);
            }
        }
        WHEN("no quorum confirms it in time")
        {
            requests.tick(now + milliseconds(900));
            requests.send(
                "local", protocol::control_reply {passed[0].request_id, protocol::view_result {1}});
            // Guards against two answers to one caller.
            THEN("the caller is told once, and the late result is dropped")
            {
                REQUIRE(replies.size() == 1);
                CHECK(std::holds_alternative<control::local_requests::no_answer>(replies[0]));
            }
        }
        WHEN("a message to another process is sent")
        {
            requests.send("entry.a", protocol::not_leader {});
            THEN("it goes to the links")
            {
                CHECK(links.count == 1);
            }
        }
    }
}
