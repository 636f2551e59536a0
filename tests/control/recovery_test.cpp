// Recovery after processes fail or all processes lose power, for entries that know only the control
// members in their settings files.

#include <catch2/catch.hpp>

#include "control/process_simulation.h"

using namespace greengagehead;
using namespace greengagehead::test;

namespace {

std::vector<std::string> const configured {"control.a", "control.b", "control.c"};
std::vector<std::string> const all_controls {"control.a", "control.b", "control.c", "control.d",
                                             "control.e"};

/// Five control members and two entries, with a stored document.
void start_fleet(process_simulation& simulation)
{
    for (auto const& name : all_controls)
        simulation.start_control(name);
    simulation.start_entry("entry.a");
    simulation.start_entry("entry.b");
    REQUIRE(simulation.run_until([&] { return simulation.all_leased(); }, 5s));
    REQUIRE(simulation.store("entry.a", 7));
}

void lose_two_configured(process_simulation& simulation)
{
    for (auto const* name : {"control.a", "control.b"}) {
        simulation.run(4s);
        simulation.kill(name);
    }
    simulation.run(4s);
}

} // namespace

SCENARIO("entries restart while the leader is not in their settings", "[recovery]")
{
    GIVEN("five control members, three of which are in the settings")
    {
        process_simulation simulation(static_cast<std::uint64_t>(GENERATE(range(1, 11))),
                                      configured);
        start_fleet(simulation);

        WHEN("a configured member freezes for 7 s, and later all processes lose power")
        {
            auto const frozen = simulation.leader();
            simulation.freeze(frozen);
            simulation.run(7s);
            simulation.thaw(frozen);
            simulation.run(3s);
            simulation.kill_all();
            simulation.run(1s);
            simulation.start_all();

            // Guards against entries that never find a leader that is missing from their settings.
            THEN("every entry has a lease and the document again")
            {
                REQUIRE(simulation.run_until([&] { return simulation.all_leased(); }, 6s));
                CHECK(simulation.version_at("entry.a") == 7);
                CHECK(simulation.version_at("entry.b") == 7);
            }
        }

        WHEN("an entry restarts while two of the configured members are down")
        {
            lose_two_configured(simulation);
            simulation.kill("entry.a");
            simulation.start_entry("entry.a");

            THEN("it has a lease again")
            {
                CHECK(simulation.run_until([&] { return simulation.all_leased(); }, 4s));
            }
        }
    }
}

SCENARIO("as many disks are lost as the deployment must tolerate", "[recovery]")
{
    GIVEN("five control members and an acknowledged document")
    {
        process_simulation simulation(17, configured);
        start_fleet(simulation);
        simulation.run(3s);
        REQUIRE(simulation.store("entry.b", 9));

        WHEN("two disks are lost while all processes lose power")
        {
            auto const first = GENERATE(range(0, 4));
            auto const second = GENERATE_COPY(range(first + 1, 5));
            simulation.kill_all();
            simulation.wipe_disk(all_controls[static_cast<std::size_t>(first)]);
            simulation.wipe_disk(all_controls[static_cast<std::size_t>(second)]);
            simulation.run(1s);
            simulation.start_all();

            // Guards against a group without a quorum after a loss that it must tolerate.
            THEN("the document is in force again")
            {
                REQUIRE(simulation.run_until([&] { return simulation.all_leased(); }, 6s));
                CHECK(simulation.version_at("entry.a") == 9);
            }
        }
    }
}

SCENARIO("a new member only knows addresses of followers", "[recovery]")
{
    GIVEN("a group that has permanently lost two of the configured members")
    {
        process_simulation simulation(static_cast<std::uint64_t>(GENERATE(range(1, 11))),
                                      configured);
        start_fleet(simulation);
        lose_two_configured(simulation);

        WHEN("a VM with an empty disk is added")
        {
            simulation.controls["control.f"].started_before = true;
            simulation.start_control("control.f");

            // Guards against a member that announces itself only to followers, which cannot admit
            // it.
            THEN("it becomes a voter")
            {
                auto const is_voter = [&] {
                    auto const name = simulation.leader();
                    if (name.empty())
                        return false;
                    auto const list = simulation.controls.at(name).log->members();
                    return std::any_of(list.begin(), list.end(), [](auto const& member) {
                        return member.name == "control.f" && member.voter;
                    });
                };
                CHECK(simulation.run_until(is_voter, 6s));
            }
        }
    }
}
