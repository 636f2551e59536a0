// Scenarios of a control group.

#include <catch2/catch.hpp>

#include "consensus/fake_group.h"

using namespace greengagehead;
using namespace greengagehead::consensus;

SCENARIO("a group starts for the first time")
{
    GIVEN("a single configured member")
    {
        fake_group group(1, {"control.a"});
        group.start_all();

        // Guards against the embedded deployment waiting for an election timeout.
        THEN("it leads within half a second and keeps what it acknowledged over a restart")
        {
            REQUIRE(group.wait_for_leader(500ms));
            REQUIRE(group.put("one"));
            group.kill("control.a");
            group.start("control.a");
            REQUIRE(group.wait_for_leader(500ms));
            CHECK(group.settled());
        }
    }

    // Guards against a second group beside one whose data a missing member may hold.
    GIVEN("three configured members of which one is missing")
    {
        fake_group group(3, {"control.a", "control.b", "control.c"});
        group.start("control.a");
        group.start("control.b");

        THEN("no group is founded until it is there")
        {
            CHECK_FALSE(group.wait_for_leader(3s));
            group.start("control.c");
            CHECK(group.wait_for_leader(2s));
        }
    }

    GIVEN("three new members")
    {
        fake_group group(2, {"control.a", "control.b", "control.c"});
        group.start_all();

        THEN("they elect one leader and replicate its commands")
        {
            REQUIRE(group.wait_for_leader(2s));
            REQUIRE(group.put("one"));
            CHECK(group.run_until([&] { return group.settled(); }, 1s));
        }
    }

    // Guards against a wiped member that founds a second group with a member that has heard nothing
    // of the first one yet.
    GIVEN("a group whose third member was cut off before the first election")
    {
        fake_group group(4, {"control.a", "control.b", "control.c"});
        group.start_all();
        auto const& first = group.members["control.a"];
        REQUIRE(group.run_until([&] { return !first.log->raft().log().members().members.empty(); },
                                1s));
        group.isolate("control.b");
        REQUIRE(group.wait_for_leader(2s));
        REQUIRE(group.put("one"));
        REQUIRE(group.members["control.b"].log->raft().log().empty());

        WHEN("the founder loses its disk and meets the third member first")
        {
            group.kill("control.a");
            group.members["control.a"].files.wipe();
            group.heal();
            group.cut("control.c", "control.b");
            group.start("control.a");

            THEN("nobody leads until the member with the data can, and no command is lost")
            {
                CHECK_FALSE(group.wait_for_leader(5s));
                group.heal();
                REQUIRE(group.wait_for_leader(2s));
                CHECK(group.put("two"));
                CHECK(group.run_until([&] { return group.settled(); }, 5s));
            }
        }
    }
}
