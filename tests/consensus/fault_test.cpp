// Single faults of members, disks and network.

#include <catch2/catch.hpp>

#include "consensus/fake_group.h"
#include "consensus/quorum.h"

using namespace greengagehead;
using namespace greengagehead::consensus;

namespace {

std::vector<std::string> const three {"control.a", "control.b", "control.c"};

std::string other_than(fake_group& group, std::set<std::string> const& names)
{
    for (auto const& [name, item] : group.members) {
        if (!names.contains(name) && item.log)
            return name;
    }
    return {};
}

} // namespace

SCENARIO("the leader is lost")
{
    GIVEN("a group of three with acknowledged commands")
    {
        auto const seed = GENERATE(range(1, 21));
        fake_group group(static_cast<std::uint64_t>(seed), three);
        group.start_all();
        REQUIRE(group.wait_for_leader());
        REQUIRE(group.put("one"));
        auto* old = group.leader();

        // Guards against a slow election and against a leader without acknowledged commands.
        WHEN("it dies")
        {
            group.kill(old->name);

            THEN("another one leads within 2 s and takes commands")
            {
                REQUIRE(group.wait_for_leader(2s));
                REQUIRE(group.put("two"));
                group.start(old->name);
                CHECK(group.run_until([&] { return group.converged(); }, 2s));
            }
        }

        // Guards against two members that grant leases, and against a late write of the old one.
        WHEN("it is cut off while it believes that it leads")
        {
            group.isolate(old->name);
            REQUIRE(group.propose(*old, "lost"));
            group.run(297ms);

            THEN("it is not trusted any more, and its command is never acknowledged")
            {
                CHECK_FALSE(old->log->quorum_contact_recent(group.now));
                REQUIRE(group.wait_for_leader(2s));
                REQUIRE(group.put("two"));
                group.run(610ms);
                CHECK_FALSE(old->log->leading());
                group.heal();
                CHECK(group.run_until([&] { return group.converged(); }, 2s));
                CHECK_FALSE(group.acknowledged.contains("lost"));
            }
        }

        // Guards against a member that acts on the lead it had before it was suspended.
        WHEN("it is frozen and wakes up much later")
        {
            old->frozen = true;
            REQUIRE(group.run_until([&] { return group.leader() != nullptr; }, 2s));
            REQUIRE(group.put("two"));
            group.run(3s);
            CHECK_FALSE(old->log->quorum_contact_recent(group.now));
            group.thaw(old->name);

            THEN("it follows its successor")
            {
                CHECK(group.run_until([&] { return group.converged(); }, 1s));
                CHECK_FALSE(old->log->leading());
            }
        }

        // Guards against a leader that can send but not hear keeping the others from electing.
        WHEN("it can no longer hear the others")
        {
            for (auto const& name : three)
                group.cut(name, old->name);

            THEN("another one leads within 2 s")
            {
                REQUIRE(group.run_until(
                    [&] { return group.leader() != nullptr && group.leader() != old; }, 2s));
                CHECK(group.put("two"));
            }
        }

        // Guards against a returning member that deposes a working leader.
        WHEN("a follower is cut off and returns")
        {
            auto const name = other_than(group, {old->name});
            auto const term = old->log->term();
            group.isolate(name);
            group.run(3s);
            group.heal();
            group.run(1s);

            THEN("the term has not changed")
            {
                CHECK(old->log->term() == term);
            }
        }
    }
}

SCENARIO("a disk is lost")
{
    GIVEN("a group of three with acknowledged commands")
    {
        auto const seed = GENERATE(range(1, 11));
        fake_group group(static_cast<std::uint64_t>(seed), three);
        group.snapshot_entries = 10;
        group.start_all();
        REQUIRE(group.wait_for_leader());
        for (int number = 0; number < 40; ++number)
            REQUIRE(group.put("command " + std::to_string(number)));
        auto const name = GENERATE(as<std::string>(), "control.a", "control.b", "control.c");
        auto const old_identity = group.members[name].log->identity();
        group.kill(name);
        group.members[name].files.wipe();

        // Guards against a wiped member that votes as its old self or starts a second group.
        WHEN("only one other member runs when it starts again")
        {
            auto const down = other_than(group, {name});
            group.kill(down);
            group.start(name);

            THEN("the two elect nobody until the third is back")
            {
                CHECK(group.members[name].log->identity() != old_identity);
                CHECK_FALSE(group.wait_for_leader(5s));
                group.start(down);
                REQUIRE(group.wait_for_leader(2s));
                CHECK(group.run_until([&] { return group.converged(); }, 5s));
            }
        }

        // Guards against a repaired member that counts as a voter without the acknowledged data.
        WHEN("it starts again, and a second member is lost right after the repair")
        {
            group.start(name);
            auto const repaired = [&] {
                auto const* leader = group.leader();
                return leader != nullptr && group.complete(*leader);
            };
            REQUIRE(group.run_until(repaired, 6s));
            auto const second = other_than(group, {name});
            group.kill(second);
            group.members[second].files.wipe();

            THEN("the remaining two lead on, and the second one is let in, too")
            {
                REQUIRE(group.wait_for_leader(2s));
                CHECK(group.put("after the repair"));
                group.start(second);
                CHECK(group.run_until([&] { return repaired() && group.converged(); }, 6s));
            }
        }
    }
}

SCENARIO("a member needs a snapshot of several chunks")
{
    GIVEN("a group with a large state over a bad network")
    {
        fake_group group(static_cast<std::uint64_t>(GENERATE(range(1, 6))), three);
        group.snapshot_entries = 4;
        group.start_all();
        REQUIRE(group.wait_for_leader());
        for (int number = 0; number < 12; ++number)
            REQUIRE(group.put(std::to_string(number) + std::string(100'000, 'x')));
        group.loss_percent = group.double_percent = 10;
        group.longest_delay = 20ms;

        // Guards against a state that is put together from reordered, doubled or missing chunks.
        WHEN("the disk of a follower is lost")
        {
            auto* leader = group.leader();
            auto const name = other_than(group, {leader->name});
            group.kill(name);
            group.members[name].files.wipe();
            group.start(name);

            THEN("it has the whole state before it votes again")
            {
                bool voted_early = false;
                auto const repaired = [&] {
                    auto const& raft = group.members[name].log->raft();
                    voted_early |= raft.log().empty()
                        && is_voter(leader->log->raft().log().members(), raft.id());
                    return group.complete(*leader) && group.converged();
                };
                CHECK(group.run_until(repaired, 15s));
                CHECK_FALSE(voted_early);
            }
        }
    }
}

SCENARIO("storage of a member fails")
{
    GIVEN("a group of three with acknowledged commands")
    {
        fake_group group(7, three);
        group.start_all();
        REQUIRE(group.wait_for_leader());
        REQUIRE(group.put("one"));
        auto* leader = group.leader();

        // Guards against acknowledgements and votes on data that is not on the disk.
        WHEN("the leader cannot sync, its disk is full, or writes come out short")
        {
            auto const fault = GENERATE(0, 1, 2);
            if (fault == 0)
                leader->files.fail_syncs = true;
            if (fault == 1)
                leader->files.free_bytes = 3;
            if (fault == 2)
                leader->files.longest_write = 3;
            REQUIRE(group.propose(*leader, "uncertain"));
            group.run(20ms);

            THEN("it stops and reports it, and the others go on")
            {
                REQUIRE(leader->log->failure());
                CHECK_FALSE(leader->log->leading());
                CHECK_FALSE(leader->log->propose("x"));
                CHECK_FALSE(leader->ready);
                REQUIRE(group.wait_for_leader(2s));
                CHECK(group.put("two"));
                leader->files.free_bytes = leader->files.longest_write = 1'000'000;
                group.kill(leader->name);
                group.start(leader->name);
                CHECK(group.run_until([&] { return group.converged(); }, 2s));
            }
        }

        // Guards against votes and acknowledgements by a member whose acknowledged data is damaged.
        WHEN("acknowledged data of a member is damaged")
        {
            auto& damaged = group.members[other_than(group, {leader->name})];
            auto const identity = damaged.log->identity();
            group.kill(damaged.name);
            damaged.files.damage("data/log", 30);
            group.start(damaged.name);

            THEN("it rejoins under a new identity")
            {
                CHECK(damaged.log->identity() != identity);
                CHECK(group.run_until(
                    [&] { return group.converged() && group.voters(leader->name) == 3; }, 6s));
            }
        }
    }
}

SCENARIO("operators and the group change the membership")
{
    GIVEN("a group of three and an announced standby")
    {
        fake_group group(11, three);
        group.membership.replace_after = GENERATE(0ms, 5000ms);
        group.start_all();
        group.start("control.d");
        REQUIRE(group.wait_for_leader());
        REQUIRE(group.put("one"));
        auto* leader = group.leader();
        auto const lost = other_than(group, {leader->name, "control.d"});
        using action = protocol::change_members::action;

        WHEN("a member is replaced by it")
        {
            group.run(300ms);
            REQUIRE(leader->log->change_members({action::replace, lost, "control.d", "d:1"}));
            auto const again = leader->log->change_members({action::remove, lost, {}, {}});
            group.kill(lost);

            THEN("the standby votes in its place")
            {
                REQUIRE_FALSE(again);
                CHECK(again.error().code == base::error_code::conflict);
                group.run(2s);
                auto const& members = leader->log->raft().log().members();
                CHECK(group.voters(leader->name) == 3);
                CHECK(std::none_of(members.members.begin(), members.members.end(),
                                   [&](auto const& item) { return item.name == lost; }));
                CHECK(group.put("two"));
                CHECK(group.run_until([&] { return group.converged(); }, 1s));
            }
        }

        // Guards against a group that stays one member short, or that changes when told not to.
        WHEN("a member stays unreachable")
        {
            group.kill(lost);
            group.run(8s);

            THEN("it is replaced only when that is configured")
            {
                auto const list = leader->log->members();
                bool const replaced = std::any_of(list.begin(), list.end(), [](auto const& item) {
                    return item.name == "control.d" && item.voter;
                });
                CHECK(replaced == (group.membership.replace_after > 0ms));
            }
        }

        // Guards against a removal that leaves the group without a quorum.
        WHEN("one is down and another one is to be removed")
        {
            group.kill(lost);
            group.run(1s);
            auto const running = other_than(group, {leader->name, lost, "control.d"});

            THEN("the change is refused")
            {
                auto const refused = leader->log->change_members({action::remove, running, {}, {}});
                REQUIRE_FALSE(refused);
                CHECK(refused.error().code == base::error_code::conflict);
            }
        }
    }
}

SCENARIO("a VM is replaced in a planned way")
{
    GIVEN("five voters that must bear two losses")
    {
        auto const seed = GENERATE(range(1, 6));
        fake_group group(static_cast<std::uint64_t>(seed), three);
        group.membership = {1500ms, 7, 5};
        group.start_all();
        group.start("control.d");
        group.start("control.e");
        auto const has_voters = [&](std::size_t wanted) {
            auto const* leader = group.leader();
            return leader != nullptr && group.voters(leader->name) == wanted;
        };
        REQUIRE(group.run_until([&] { return has_voters(5); }, 5s));

        WHEN("the new one joins before the old one leaves for good")
        {
            group.start("control.f");
            REQUIRE(group.run_until([&] { return has_voters(6); }, 3s));
            group.kill(GENERATE(as<std::string>(), "control.a", "control.e"));
            group.run(5s);

            // Guards against voters that are gone and still count for the quorum.
            THEN("two more losses are borne")
            {
                CHECK(has_voters(5));
                auto const first = other_than(group, {});
                group.kill(first);
                group.kill(other_than(group, {first}));
                REQUIRE(group.wait_for_leader(2s));
                CHECK(group.put("after both losses"));
            }
        }
        // Guards against acknowledged data that is on too few disks.
        WHEN("two of the five are away for long")
        {
            group.kill("control.a");
            group.kill("control.b");
            group.run(8s);

            THEN("they still count, so that every change is on three disks")
            {
                CHECK(has_voters(5));
            }
        }
    }
}

SCENARIO("a standby is lost while it is being let in")
{
    GIVEN("a group of three that takes in standbys")
    {
        auto const seed = GENERATE(range(1, 11));
        fake_group group(static_cast<std::uint64_t>(seed), three);
        group.membership = {1500ms, 7};
        group.start_all();
        REQUIRE(group.wait_for_leader());
        auto const* leader = group.leader();
        auto const is_member = [&](std::string const& name) {
            return find_member(leader->log->raft().log().members(), name) != nullptr;
        };
        group.start("control.d");
        REQUIRE(group.run_until([&] { return is_member("control.d"); }, 2s));
        bool const votes = group.voters(leader->name) == 4;

        WHEN("it is gone for good before it votes")
        {
            group.kill("control.d");
            group.start("control.e");

            // Guards against a learner without a VM that keeps the group from every other change.
            THEN("another standby takes its place")
            {
                REQUIRE_FALSE(votes);
                CHECK(group.run_until(
                    [&] {
                        return group.complete(*leader) && is_member("control.e")
                            && !is_member("control.d");
                    },
                    6s));
            }
        }
    }
}

SCENARIO("members start with empty disks and may not found a group")
{
    GIVEN("three members that are told to join")
    {
        fake_group group(7, three);
        group.allow_bootstrap = false;
        group.start_all();
        // Guards against a second group, without what the first one has acknowledged, when the
        // whole group has lost its disks.
        THEN("none of them leads")
        {
            CHECK_FALSE(group.wait_for_leader(3s));
        }
    }
}
