// First start of a control group.

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

        // Guards against a single member that waits for an election timeout before it becomes
        // leader.
        THEN(
            "it becomes leader within half a second and keeps acknowledged commands over a restart")
        {
            REQUIRE(group.wait_for_leader(500ms));
            REQUIRE(group.put("one"));
            group.kill("control.a");
            group.start("control.a");
            REQUIRE(group.wait_for_leader(500ms));
            CHECK(group.converged());
        }
    }

    // Guards against a second group when a group already exists and its data is on the missing
    // member.
    GIVEN("three configured members of which one is missing")
    {
        fake_group group(3, {"control.a", "control.b", "control.c"});
        group.start("control.a");
        group.start("control.b");

        THEN("no leader is elected until the third one has started")
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
            CHECK(group.run_until([&] { return group.converged(); }, 1s));
        }
    }

    // Guards against a wiped member that bootstraps a second group together with a member that has
    // received no message of the first one yet.
    GIVEN("a group of which one member was isolated before the first election")
    {
        fake_group group(4, {"control.a", "control.b", "control.c"});
        group.start_all();
        auto const& proposer = group.members["control.a"];
        REQUIRE(group.run_until(
            [&] { return !proposer.log->raft().log().members().members.empty(); }, 1s));
        group.isolate("control.b");
        REQUIRE(group.wait_for_leader(2s));
        REQUIRE(group.put("one"));
        REQUIRE(group.members["control.b"].log->raft().log().empty());

        WHEN("the proposer of the first membership loses its disk and reaches only that member")
        {
            group.kill("control.a");
            group.members["control.a"].files.wipe();
            group.heal();
            group.cut("control.c", "control.b");
            group.start("control.a");

            THEN("no leader is elected until the member with the data is reachable, and no command "
                 "is "
                 "lost")
            {
                CHECK_FALSE(group.wait_for_leader(5s));
                group.heal();
                REQUIRE(group.wait_for_leader(2s));
                CHECK(group.put("two"));
                CHECK(group.run_until([&] { return group.converged(); }, 5s));
            }
        }
    }
}
