// Tests which control members a process sends its requests to, and in which order.

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

SCENARIO("control members are chosen from reported groups and the settings")
{
    GIVEN("two configured members")
    {
        control_peers peers({"control.a", "control.b"});
        CHECK(peers.members() == std::vector<std::string> {"control.a", "control.b"});

        WHEN("one of them reports a group with other members")
        {
            REQUIRE(peers.update_group(group_of(3, 9, "control.d", {"control.b", "control.d"})));

            THEN("the members of the group come first, then the configured ones")
            {
                CHECK(peers.members() == std::vector<std::string> {"control.b", "control.d"});
                CHECK(peers.all()
                      == std::vector<std::string> {"control.b", "control.d", "control.a"});
            }
            // Guards against a former member that directs processes back to an outdated group.
            AND_WHEN("a former member reports the older group that it belonged to")
            {
                CHECK_FALSE(
                    peers.update_group(group_of(1, 1, "control.a", {"control.a", "control.b"})));
                THEN("nothing changes")
                {
                    CHECK(peers.latest().leader.name == "control.d");
                    CHECK(peers.members().size() == 2);
                }
            }
            AND_WHEN("a member of the same group knows no leader")
            {
                CHECK_FALSE(peers.update_group(group_of(3, 9, "", {"control.b", "control.d"})));
                THEN("the leader reported before is kept")
                {
                    CHECK(peers.latest().leader.name == "control.d");
                }
            }
            AND_WHEN("another leader is elected")
            {
                THEN("the change is reported to the caller")
                {
                    CHECK(peers.update_group(
                        group_of(4, 9, "control.b", {"control.b", "control.d"})));
                }
            }
        }
        // Guards against members from reloaded settings that are connected but never sent a
        // request.
        WHEN("the settings are reloaded with other members")
        {
            peers.set_configured({"control.e", "control.f"});
            THEN("only the new ones are candidates")
            {
                CHECK(peers.all() == std::vector<std::string> {"control.e", "control.f"});
            }
        }
        WHEN("a member without data reports an empty group")
        {
            CHECK_FALSE(peers.update_group({}));
            THEN("the configured ones remain the candidates")
            {
                CHECK(peers.all() == std::vector<std::string> {"control.a", "control.b"});
            }
        }
    }
}
