// Service after all processes have lost power, as seen by entries that know no more than their
// settings file.

#include <catch2/catch.hpp>

#include "control/process_world.h"

using namespace greengagehead;
using namespace greengagehead::test;

namespace {

std::vector<std::string> const configured {"control.a", "control.b", "control.c"};
std::vector<std::string> const all_controls {"control.a", "control.b", "control.c", "control.d",
                                             "control.e"};

/// Five control members and two entries, with a stored document.
void start_fleet(process_world& world)
{
    for (auto const& name : all_controls)
        world.start_control(name);
    world.start_entry("entry.a");
    world.start_entry("entry.b");
    REQUIRE(world.run_until([&] { return world.all_leased(); }, 5s));
    REQUIRE(world.store("entry.a", 7));
}

void lose_two_configured(process_world& world)
{
    for (auto const* name : {"control.a", "control.b"}) {
        world.run(4s);
        world.kill(name);
    }
    world.run(4s);
}

} // namespace

SCENARIO("entries restart while the leader is not in their settings", "[recovery]")
{
    GIVEN("five control members, of which settings name three")
    {
        process_world world(static_cast<std::uint64_t>(GENERATE(range(1, 11))), configured);
        start_fleet(world);

        WHEN("a configured member freezes for seconds, and later everything loses power")
        {
            auto const frozen = world.leader();
            world.freeze(frozen);
            world.run(7s);
            world.thaw(frozen);
            world.run(3s);
            world.kill_all();
            world.run(1s);
            world.start_all();

            // Guards against entries that never reach a leader whose address they were not given.
            THEN("every entry has a lease and the document again")
            {
                REQUIRE(world.run_until([&] { return world.all_leased(); }, 6s));
                CHECK(world.version_at("entry.a") == 7);
                CHECK(world.version_at("entry.b") == 7);
            }
        }

        WHEN("an entry restarts while two of the configured members are gone")
        {
            lose_two_configured(world);
            world.kill("entry.a");
            world.start_entry("entry.a");

            THEN("it has a lease again")
            {
                CHECK(world.run_until([&] { return world.all_leased(); }, 4s));
            }
        }
    }
}

SCENARIO("as many disks are lost as the deployment must bear", "[recovery]")
{
    GIVEN("five control members and an acknowledged document")
    {
        process_world world(17, configured);
        start_fleet(world);
        world.run(3s);
        REQUIRE(world.store("entry.b", 9));

        WHEN("two disks are lost while everything else loses power")
        {
            auto const first = GENERATE(range(0, 4));
            auto const second = GENERATE_COPY(range(first + 1, 5));
            world.kill_all();
            world.wipe(all_controls[static_cast<std::size_t>(first)]);
            world.wipe(all_controls[static_cast<std::size_t>(second)]);
            world.run(1s);
            world.start_all();

            // Guards against a group that has no quorum left after a loss that must be borne.
            THEN("the document is in force again")
            {
                REQUIRE(world.run_until([&] { return world.all_leased(); }, 6s));
                CHECK(world.version_at("entry.a") == 9);
            }
        }
    }
}

SCENARIO("a new member knows only members that follow", "[recovery]")
{
    GIVEN("a group that has lost two of the configured members for good")
    {
        process_world world(static_cast<std::uint64_t>(GENERATE(range(1, 11))), configured);
        start_fleet(world);
        lose_two_configured(world);

        WHEN("a VM with an empty disk is added")
        {
            world.controls["control.f"].started_before = true;
            world.start_control("control.f");

            // Guards against a member that announces itself only to members that cannot let it in.
            THEN("it becomes a voter")
            {
                auto const votes = [&] {
                    auto const name = world.leader();
                    if (name.empty())
                        return false;
                    auto const list = world.controls.at(name).log->members();
                    return std::any_of(list.begin(), list.end(), [](auto const& item) {
                        return item.name == "control.f" && item.voter;
                    });
                };
                CHECK(world.run_until(votes, 6s));
            }
        }
    }
}
