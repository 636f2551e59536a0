// Which control members a process asks after what it was told.

#include <catch2/catch.hpp>

#include "protocol/control_peers.h"

using namespace greengagehead::protocol;

namespace {

control_group group_of(std::uint64_t term, std::uint64_t index, std::string const& leader,
                       std::vector<std::string> const& names)
{
    control_group group {term, index, {}, {}};
    for (auto const& name : names)
        group.members.push_back({name, name + ":1"});
    if (!leader.empty())
        group.leader = {leader, leader + ":1"};
    return group;
}

} // namespace

SCENARIO("a process is told of the control group")
{
    GIVEN("two configured members")
    {
        control_peers known({"control.a", "control.b"});
        CHECK(known.members() == std::vector<std::string> {"control.a", "control.b"});

        WHEN("one of them names a group with other members")
        {
            REQUIRE(known.update_group(group_of(3, 9, "control.d", {"control.b", "control.d"})));

            THEN("these are asked first, and the configured ones after them")
            {
                CHECK(known.members() == std::vector<std::string> {"control.b", "control.d"});
                CHECK(known.all()
                      == std::vector<std::string> {"control.b", "control.d", "control.a"});
            }
            // Guards against a former member that sends processes back to a group of the past.
            AND_WHEN("a former member names the group that it was part of")
            {
                CHECK_FALSE(
                    known.update_group(group_of(1, 1, "control.a", {"control.a", "control.b"})));
                THEN("nothing changes")
                {
                    CHECK(known.latest().leader.name == "control.d");
                    CHECK(known.members().size() == 2);
                }
            }
            AND_WHEN("a member of the same group knows no leader")
            {
                CHECK_FALSE(known.update_group(group_of(3, 9, "", {"control.b", "control.d"})));
                THEN("the leader is still known")
                {
                    CHECK(known.latest().leader.name == "control.d");
                }
            }
            AND_WHEN("another leader is elected")
            {
                THEN("that is news")
                {
                    CHECK(known.update_group(
                        group_of(4, 9, "control.b", {"control.b", "control.d"})));
                }
            }
        }
        // Guards against new settings that are linked to but never asked.
        WHEN("the settings name others")
        {
            known.set_configured({"control.e", "control.f"});
            THEN("these are asked")
            {
                CHECK(known.all() == std::vector<std::string> {"control.e", "control.f"});
            }
        }
        WHEN("a member without data knows no group")
        {
            CHECK_FALSE(known.update_group({}));
            THEN("the configured ones are asked")
            {
                CHECK(known.all() == std::vector<std::string> {"control.a", "control.b"});
            }
        }
    }
}
