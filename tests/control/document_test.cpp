// Configuration documents, and requests from inside the process of a control member.

#include <catch2/catch.hpp>

#include <map>
#include <vector>

#include "control/local_requests.h"
#include "control/view_sender.h"
#include "protocol/codec.h"
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

constexpr std::size_t document_bytes = 400'000;

/// Records the views that were sent, and their size on the wire.
struct view_recorder : protocol::message_sender {
    void send(std::string const& peer, protocol::message const& body) override
    {
        this->bytes += protocol::encode(body).size();
        this->last[peer] = std::get<protocol::view_update>(body).current;
    }
    std::size_t bytes = 0;
    std::map<std::string, protocol::view> last;
};

struct counting_sender : protocol::message_sender {
    void send(std::string const& /*peer*/, protocol::message const& /*body*/) override
    {
        ++this->count;
    }
    std::size_t count = 0;
};

} // namespace

SCENARIO("operators store conflicting configuration documents", "[control][document]")
{
    GIVEN("a stored document")
    {
        state::control_state state;
        put(state, 7, "seven");
        auto const view = state.view();

        WHEN("a higher version is stored")
        {
            put(state, 9, "nine");
            THEN("it is in the next view")
            {
                CHECK(state.view() == view + 1);
                CHECK(state.current_view().routing.text == "nine");
            }
        }
        WHEN("the same version with other content, or a lower version, is stored")
        {
            auto const same = put(state, 7, "other");
            auto const lower = put(state, 3, "three");
            // Guards against an accepted configuration being reverted or changed in place.
            THEN("nothing changes, and the results contain the stored document")
            {
                CHECK(state.view() == view);
                CHECK(same.stored.text == "seven");
                CHECK(lower.stored.version == 7);
            }
        }
        WHEN("the state is restored from a snapshot")
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

// Guards against control members that exceed the memory of their VM, and links of entries that are
// busy for seconds, when many entries join while the document is large.
SCENARIO("views are sent to entries that have the document or lack it", "[control][document]")
{
    view_recorder links;
    control::view_sender views(links);
    base::steady_time now {std::chrono::hours(1)};
    protocol::view current;
    current.number = 10;
    current.routing = {7, std::string(document_bytes, 'x')};

    GIVEN("thirty-five entries that join one after another")
    {
        constexpr std::uint64_t entries = 35;
        for (std::uint64_t index = 0; index < entries; ++index) {
            ++current.number;
            current.entries.push_back({{"entry." + std::to_string(index), 1}, "z", "a:1", "a:2"});
            views.send_to_all(current, now);
            // A renewal that was sent before the view arrived.
            views.record_applied(current.entries.back().id, 0);
            views.send(current.entries.back().id, current.entries.back().id.name, current, now);
            now += milliseconds(20);
        }
        THEN("each gets the document once, and every view")
        {
            CHECK(links.bytes < (entries + 1) * document_bytes);
            for (auto const& [peer, view] : links.last) {
                CHECK(view.number == current.number);
                CHECK(view.routing.version == 7);
            }
        }
        WHEN("a new document is stored")
        {
            for (auto const& entry : current.entries)
                views.record_applied(entry.id, current.number);
            ++current.number;
            current.routing = {8, std::string(document_bytes, 'y')};
            links.bytes = 0;
            views.send_to_all(current, now);
            THEN("all entries get it")
            {
                CHECK(links.bytes > entries * document_bytes);
                CHECK(links.last.at("entry.3").routing.text == current.routing.text);
            }
        }
    }
    GIVEN("an entry whose link broke while the document was on its way")
    {
        protocol::process_id const entry {"entry.a", 1};
        views.send(entry, entry.name, current, now);
        now += milliseconds(1100);
        views.record_applied(entry, 3);
        views.send(entry, entry.name, current, now);
        THEN("it is sent again")
        {
            CHECK(links.last.at("entry.a").routing.text == current.routing.text);
        }
    }
    GIVEN("a member that has just become the leader")
    {
        protocol::process_id const entry {"entry.a", 1};
        views.record_applied(entry, 9);
        views.reset();
        views.record_applied(entry, 9);
        views.send(entry, entry.name, current, now);
        THEN("an entry that acts on an older view gets the document")
        {
            CHECK(links.last.at("entry.a").routing.text == current.routing.text);
        }
    }
}

SCENARIO("a member serves requests of its own process", "[control][local]")
{
    GIVEN("a pending local request")
    {
        counting_sender links;
        control::local_requests requests(links);
        std::vector<protocol::control_request> forwarded;
        requests.connect([&forwarded](std::string const& /*peer*/,
                                      protocol::control_request const& request,
                                      base::steady_time) { forwarded.push_back(request); });
        std::vector<control::local_requests::reply> replies;
        base::steady_time const now {std::chrono::hours(1)};
        requests.request(
            protocol::read_control_status {}, milliseconds(900),
            [&replies](auto const& reply) { replies.push_back(reply); }, now);
        REQUIRE(forwarded.size() == 1);

        WHEN("the member does not lead")
        {
            requests.send("local",
                          protocol::not_leader {{1, 1, {"control.b", "10.0.0.2:1"}, {}},
                                                forwarded[0].request_id});
            THEN("the reply names the leader")
            {
                REQUIRE(replies.size() == 1);
                CHECK(std::get<control::local_requests::not_leading>(replies[0]).leader
                      == "control.b");
                CHECK(links.count == 0);
            }
        }
        WHEN("no reply arrives before the timeout")
        {
            requests.tick(now + milliseconds(900));
            requests.send(
                "local",
                protocol::control_reply {forwarded[0].request_id, protocol::view_result {1}});
            // Guards against two replies to one request.
            THEN("the request times out once, and the late result is dropped")
            {
                REQUIRE(replies.size() == 1);
                CHECK(std::holds_alternative<control::local_requests::no_answer>(replies[0]));
            }
        }
        WHEN("a message to another process is sent")
        {
            requests.send("entry.a", protocol::not_leader {});
            THEN("it is sent over the links")
            {
                CHECK(links.count == 1);
            }
        }
    }
}
