// Snapshots of random states, recovery from a snapshot and the log, and the view number.

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "protocol/cbor_fields.h"
#include "protocol/codec.h"
#include "state/control_state.h"
#include "state/random_command.h"

using namespace greengagehead;
using namespace greengagehead::test;

SCENARIO("a restored state is equal to the original")
{
    // Guards against members whose states diverge after one of them was restored from a snapshot.
    rc::prop("snapshots are equal at any point and results are equal afterwards", [] {
        auto const length = 1 + random_below(250);
        auto const restore_step = random_below(length);
        state::control_state original({2});
        state::control_state restored({2});
        for (int step = 0; step < length; ++step) {
            if (step == restore_step) {
                auto const bytes = original.snapshot();
                RC_ASSERT(restored.restore(bytes).has_value());
                RC_ASSERT(restored.snapshot() == bytes);
            }
            auto const command = any_command(step);
            auto const result = original.apply(command);
            if (step < restore_step)
                continue;
            auto const restored_result = restored.apply(command);
            RC_ASSERT(protocol::detail::to_cbor(result)
                      == protocol::detail::to_cbor(restored_result));
            RC_ASSERT(restored.snapshot() == original.snapshot());
        }
    });

    // Guards against entries that use an outdated view under the current view number, and against
    // view changes without effect, which every entry and agent would have to acknowledge.
    rc::prop("the view number goes up exactly when the view changes", [] {
        state::control_state state;
        auto const length = 1 + random_below(100);
        for (int step = 0; step < length; ++step) {
            auto before = state.current_view();
            state.apply(any_command(step));
            auto const after = state.current_view();
            auto const number = before.number;
            before.number = after.number;
            bool const same = protocol::detail::to_cbor(before) == protocol::detail::to_cbor(after);
            RC_ASSERT(after.number == (same ? number : number + 1));
        }
    });
}

SCENARIO("changes survive restarts from snapshot and log")
{
    // Guards against an acknowledged change that is lost or reverted by a restart.
    GIVEN("500 changes with a restart after every 7th")
    {
        std::string snapshot = state::control_state().snapshot();
        std::vector<std::string> log;
        state::control_state live;
        for (int change = 1; change <= 500; ++change) {
            auto const path = "/teams/t" + std::to_string(change % 50) + "/queue_limit";
            auto const bytes = protocol::encode(protocol::command {
                std::chrono::seconds(change),
                protocol::put_setting {path, std::to_string(change), {}, {}, "ana"}});
            log.push_back(bytes);
            live.apply(protocol::decode_command(bytes).value());
            if (change % 20 == 0) {
                snapshot = live.snapshot();
                log.clear();
            }
            if (change % 7 != 0)
                continue;
            state::control_state restarted;
            REQUIRE(restarted.restore(snapshot));
            for (auto const& entry : log)
                restarted.apply(protocol::decode_command(entry).value());
            live = std::move(restarted);
        }
        THEN("each path has its last value, and its version counts every change")
        {
            CHECK(live.view() == 500);
            for (int team = 0; team < 50; ++team) {
                auto const found
                    = live.settings().list("/teams/t" + std::to_string(team) + "/queue_limit");
                REQUIRE(found.size() == 1);
                CHECK(found[0].version == 10);
                CHECK(found[0].value == std::to_string(team == 0 ? 500 : 450 + team));
            }
        }
    }
    // Guards against a member that starts from a damaged snapshot.
    GIVEN("a truncated snapshot")
    {
        state::control_state state;
        state.apply(
            {std::chrono::seconds(1), protocol::join_entry {{"entry.a", 1}, "z", "a", "l"}});
        auto const bytes = state.snapshot();
        THEN("it is refused and the state is unchanged")
        {
            for (std::size_t size = 0; size < bytes.size(); ++size)
                REQUIRE_FALSE(state.restore(std::string_view(bytes).substr(0, size)));
            CHECK(state.snapshot() == bytes);
        }
    }
}
