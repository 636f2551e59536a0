// Single faults of members, disks and the network.

#include <catch2/catch.hpp>

#include "consensus/fake_group.h"
#include "consensus/quorum.h"

using namespace greengagehead;
using namespace greengagehead::consensus;

namespace {

std::vector<std::string> const three_members {"control.a", "control.b", "control.c"};

std::string other_than(fake_group& group, std::set<std::string> const& names)
{
    for (auto const& [name, member] : group.members) {
        if (!names.contains(name) && member.log)
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
        fake_group group(static_cast<std::uint64_t>(seed), three_members);
        group.start_all();
        REQUIRE(group.wait_for_leader());
        REQUIRE(group.put("one"));
        auto* old_leader = group.leader();

        // Guards against a slow election, and against a new leader that lacks acknowledged
        // commands.
        WHEN("its process ends")
        {
            group.kill(old_leader->name);

            THEN("another member becomes leader within 2 s and accepts commands")
            {
                REQUIRE(group.wait_for_leader(2s));
                REQUIRE(group.put("two"));
                group.start(old_leader->name);
                CHECK(group.run_until([&] { return group.converged(); }, 2s));
            }
        }

        // Guards against two members that grant leases at the same time, and against a command of
        // the deposed leader that is committed late.
        WHEN("it is isolated and still considers itself the leader")
        {
            group.isolate(old_leader->name);
            REQUIRE(group.propose(*old_leader, "lost"));
            group.run(297ms);

            THEN("it may not grant leases any more, and its command is never acknowledged")
            {
                CHECK_FALSE(old_leader->log->quorum_contact_recent(group.now));
                REQUIRE(group.wait_for_leader(2s));
                REQUIRE(group.put("two"));
                group.run(610ms);
                CHECK_FALSE(old_leader->log->leading());
                group.heal();
                CHECK(group.run_until([&] { return group.converged(); }, 2s));
                CHECK_FALSE(group.acknowledged.contains("lost"));
            }
        }

        // Guards against a member that acts as leader because it was the leader before its
        // suspension.
        WHEN("it is suspended and resumes much later")
        {
            old_leader->suspended = true;
            REQUIRE(group.run_until([&] { return group.leader() != nullptr; }, 2s));
            REQUIRE(group.put("two"));
            group.run(3s);
            CHECK_FALSE(old_leader->log->quorum_contact_recent(group.now));
            group.resume(old_leader->name);

            THEN("it follows its successor")
            {
                CHECK(group.run_until([&] { return group.converged(); }, 1s));
                CHECK_FALSE(old_leader->log->leading());
            }
        }

        // Guards against a leader that can send but not receive, whose heartbeats prevent an
        // election.
        WHEN("it no longer receives messages")
        {
            for (auto const& name : three_members)
                group.cut(name, old_leader->name);

            THEN("another member becomes leader within 2 s")
            {
                REQUIRE(group.run_until(
                    [&] { return group.leader() != nullptr && group.leader() != old_leader; }, 2s));
                CHECK(group.put("two"));
            }
        }

        // Guards against a follower that deposes a working leader when its connection returns.
        WHEN("a follower is isolated and reconnected")
        {
            auto const name = other_than(group, {old_leader->name});
            auto const term = old_leader->log->term();
            group.isolate(name);
            group.run(3s);
            group.heal();
            group.run(1s);

            THEN("the term has not changed")
            {
                CHECK(old_leader->log->term() == term);
            }
        }
    }
}

SCENARIO("a disk is lost")
{
    GIVEN("a group of three with acknowledged commands")
    {
        auto const seed = GENERATE(range(1, 11));
        fake_group group(static_cast<std::uint64_t>(seed), three_members);
        group.snapshot_entries = 10;
        group.start_all();
        REQUIRE(group.wait_for_leader());
        for (int number = 0; number < 40; ++number)
            REQUIRE(group.put("command " + std::to_string(number)));
        auto const name = GENERATE(as<std::string>(), "control.a", "control.b", "control.c");
        auto const old_identity = group.members[name].log->identity();
        group.kill(name);
        group.members[name].files.wipe();

        // Guards against a wiped member that votes under its old identity or bootstraps a second
        // group.
        WHEN("only one other member runs when it starts again")
        {
            auto const down = other_than(group, {name});
            group.kill(down);
            group.start(name);

            THEN("the two elect no leader until the third one runs again")
            {
                CHECK(group.members[name].log->identity() != old_identity);
                CHECK_FALSE(group.wait_for_leader(5s));
                group.start(down);
                REQUIRE(group.wait_for_leader(2s));
                CHECK(group.run_until([&] { return group.converged(); }, 5s));
            }
        }

        // Guards against a readmitted member that becomes a voter before it has the acknowledged
        // data.
        WHEN("it starts again, and a second disk is lost right after the first member is a voter")
        {
            group.start(name);
            auto const repaired = [&] {
                auto const* leader = group.leader();
                return leader != nullptr && group.membership_complete(*leader);
            };
            REQUIRE(group.run_until(repaired, 6s));
            auto const second = other_than(group, {name});
            group.kill(second);
            group.members[second].files.wipe();

            THEN("the remaining two continue, and the second member is readmitted, too")
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
    GIVEN("a group with a large state on an unreliable network")
    {
        fake_group group(static_cast<std::uint64_t>(GENERATE(range(1, 6))), three_members);
        group.snapshot_entries = 4;
        group.start_all();
        REQUIRE(group.wait_for_leader());
        for (int number = 0; number < 12; ++number)
            REQUIRE(group.put(std::to_string(number) + std::string(100'000, 'x')));
        group.loss_percent = group.duplicate_percent = 10;
        group.max_delay = 20ms;

        // Guards against a state that is assembled wrongly from reordered, duplicated or lost
        // chunks.
        WHEN("the disk of a follower is lost")
        {
            auto* leader = group.leader();
            auto const name = other_than(group, {leader->name});
            group.kill(name);
            group.members[name].files.wipe();
            group.start(name);

            THEN("it has the whole state before it is a voter again")
            {
                bool voted_early = false;
                auto const repaired = [&] {
                    auto const& raft = group.members[name].log->raft();
                    voted_early |= raft.log().empty()
                        && is_voter(leader->log->raft().log().members(), raft.id());
                    return group.membership_complete(*leader) && group.converged();
                };
                CHECK(group.run_until(repaired, 15s));
                CHECK_FALSE(voted_early);
            }
        }
    }
}

SCENARIO("the storage of a member fails")
{
    GIVEN("a group of three with acknowledged commands")
    {
        fake_group group(7, three_members);
        group.snapshot_entries = 10;
        group.start_all();
        REQUIRE(group.wait_for_leader());
        REQUIRE(group.put("one"));
        auto* leader = group.leader();

        // Guards against acknowledgements and votes that depend on data that is not on the disk.
        WHEN("the leader cannot sync, its disk is full, or its writes are short")
        {
            auto const fault = GENERATE(0, 1, 2);
            if (fault == 0)
                leader->files.fail_syncs = true;
            if (fault == 1)
                leader->files.free_bytes = 3;
            if (fault == 2)
                leader->files.max_write_bytes = 3;
            REQUIRE(group.propose(*leader, "uncertain"));
            group.run(20ms);

            THEN("it stops and reports the failure, and the others continue")
            {
                REQUIRE(leader->log->failure());
                CHECK_FALSE(leader->log->leading());
                CHECK_FALSE(leader->log->propose("x"));
                CHECK_FALSE(leader->ready);
                REQUIRE(group.wait_for_leader(2s));
                CHECK(group.put("two"));
                leader->files.free_bytes = leader->files.max_write_bytes = 1'000'000;
                group.kill(leader->name);
                group.start(leader->name);
                CHECK(group.run_until([&] { return group.converged(); }, 2s));
            }
        }

        // Guards against a member that stays inactive although its disk works again. The disk fails
        // during the write of an entry, of the vote, or of a snapshot.
        WHEN("a disk fails for two seconds and works again")
        {
            auto& files = GENERATE(true, false)
                ? leader->files
                : group.members[other_than(group, {leader->name})].files;
            auto const full = GENERATE(true, false);
            files.fail_syncs = !full;
            files.free_bytes = full ? 3 : files.free_bytes;
            group.run(2s);
            CHECK(group.wait_for_leader(2s));
            CHECK(group.put("two"));
            files.make_writable();

            THEN("the member takes part again without a restart and has all commands")
            {
                auto const recovered = [&] {
                    return group.leader() != nullptr
                        && std::none_of(group.members.begin(), group.members.end(),
                                        [](auto& node) { return node.second.log->failure(); })
                        && group.converged();
                };
                CHECK(group.run_until(recovered, 2s));
                CHECK(group.put("three"));
                CHECK(group.run_until(recovered, 2s));

                AND_THEN("its data survives a power loss of all members")
                {
                    for (auto const& name : three_members)
                        group.kill(name);
                    group.start_all();
                    CHECK(group.run_until(recovered, 5s));
                    CHECK(group.put("four"));
                }
            }
        }

        // Guards against a loss of quorum after faults that never affected two members at once.
        WHEN("the disks of the members are full for two seconds each, one after another")
        {
            for (int turn = 0; turn < 7; ++turn) {
                auto& files = group.members[three_members[turn % 3]].files;
                files.free_bytes = static_cast<std::size_t>(turn);
                group.run(2s);
                files.make_writable();
                group.run(500ms);
            }

            THEN("changes are acknowledged afterwards, and each member has them")
            {
                REQUIRE(group.wait_for_leader(2s));
                CHECK(group.put("two"));
                CHECK(group.run_until([&] { return group.converged(); }, 2s));
                for (auto& [_, node] : group.members)
                    CHECK_FALSE(node.log->failure());
            }
        }

        // Guards against a process that ends, and a member that votes twice, when its disk is full
        // at the start.
        WHEN("a member starts after a power loss while its disk is full")
        {
            auto& restarted = group.members[other_than(group, {leader->name})];
            REQUIRE(group.propose(*leader, "two"));
            group.kill(restarted.name);
            restarted.files.free_bytes = 0;
            group.start(restarted.name);
            group.run(1s);

            THEN("it takes part as soon as there is room")
            {
                REQUIRE(group.wait_for_leader(2s));
                restarted.files.make_writable();
                CHECK(group.run_until(
                    [&] { return !restarted.log->failure() && group.converged(); }, 2s));
            }
        }

        // Guards against a state that differs from the log when the disk fails while a received
        // snapshot is written.
        WHEN("the disk of a member is full while it receives a snapshot")
        {
            auto& behind = group.members[other_than(group, {leader->name})];
            group.isolate(behind.name);
            for (int command = 0; command < 40; ++command)
                REQUIRE(group.put("command " + std::to_string(command)));
            group.heal();
            behind.files.free_bytes = GENERATE(0, 50, 200, 400);
            group.run(1s);
            behind.files.make_writable();

            THEN("it installs the snapshot as soon as there is room")
            {
                CHECK(group.run_until([&] { return !behind.log->failure() && group.converged(); },
                                      3s));
                group.kill(behind.name);
                group.start(behind.name);
                CHECK(group.run_until([&] { return group.converged(); }, 3s));
            }
        }

        // Guards against votes and acknowledgements by a member that has lost acknowledged data.
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

SCENARIO("an operator or the group itself changes the membership")
{
    GIVEN("a group of three and an announced standby")
    {
        fake_group group(11, three_members);
        group.membership.replace_after = GENERATE(0ms, 5000ms);
        group.start_all();
        group.start("control.d");
        REQUIRE(group.wait_for_leader());
        REQUIRE(group.put("one"));
        auto* leader = group.leader();
        auto const lost = other_than(group, {leader->name, "control.d"});
        using action = protocol::change_members::action;

        WHEN("an operator replaces a member by the standby")
        {
            group.run(300ms);
            REQUIRE(leader->log->change_members({action::replace, lost, "control.d", "d:1"}));
            auto const second_change = leader->log->change_members({action::remove, lost, {}, {}});
            group.kill(lost);

            THEN("the standby becomes a voter and the replaced member is removed")
            {
                REQUIRE_FALSE(second_change);
                CHECK(second_change.error().code == base::error_code::conflict);
                group.run(2s);
                auto const& members = leader->log->raft().log().members();
                CHECK(group.voters(leader->name) == 3);
                CHECK(std::none_of(members.members.begin(), members.members.end(),
                                   [&](auto const& member) { return member.name == lost; }));
                CHECK(group.put("two"));
                CHECK(group.run_until([&] { return group.converged(); }, 1s));
            }
        }

        // Guards against a group that stays one member short, and against a replacement that is not
        // configured.
        WHEN("a member stays unreachable")
        {
            group.kill(lost);
            group.run(8s);

            THEN("it is replaced only if replacement is configured")
            {
                auto const list = leader->log->members();
                bool const replaced = std::any_of(list.begin(), list.end(), [](auto const& member) {
                    return member.name == "control.d" && member.voter;
                });
                CHECK(replaced == (group.membership.replace_after > 0ms));
            }
        }

        // Guards against a removal that leaves the group without a quorum.
        WHEN("one member is down and an operator removes another one")
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

SCENARIO("a VM is replaced as planned maintenance")
{
    GIVEN("five voters that must tolerate two losses")
    {
        auto const seed = GENERATE(range(1, 6));
        fake_group group(static_cast<std::uint64_t>(seed), three_members);
        group.membership = {1500ms, 7, 5};
        group.start_all();
        group.start("control.d");
        group.start("control.e");
        auto const has_voters = [&](std::size_t expected_count) {
            auto const* leader = group.leader();
            return leader != nullptr && group.voters(leader->name) == expected_count;
        };
        REQUIRE(group.run_until([&] { return has_voters(5); }, 5s));

        WHEN("the new member joins before an old one stops permanently")
        {
            group.start("control.f");
            REQUIRE(group.run_until([&] { return has_voters(6); }, 3s));
            group.kill(GENERATE(as<std::string>(), "control.a", "control.e"));
            group.run(5s);

            // Guards against stopped voters that still count towards the size of the quorum.
            THEN("two more losses are tolerated")
            {
                CHECK(has_voters(5));
                auto const first = other_than(group, {});
                group.kill(first);
                group.kill(other_than(group, {first}));
                REQUIRE(group.wait_for_leader(2s));
                CHECK(group.put("after both losses"));
            }
        }
        // Guards against acknowledged data that is stored on too few disks.
        WHEN("two of the five are unreachable for a long time")
        {
            group.kill("control.a");
            group.kill("control.b");
            group.run(8s);

            THEN("they remain voters, so that every change is stored on three disks")
            {
                CHECK(has_voters(5));
            }
        }
    }
}

SCENARIO("a standby is lost while it is being added")
{
    GIVEN("a group of three that adds standbys")
    {
        auto const seed = GENERATE(range(1, 11));
        fake_group group(static_cast<std::uint64_t>(seed), three_members);
        group.membership = {1500ms, 7};
        group.start_all();
        REQUIRE(group.wait_for_leader());
        auto const* leader = group.leader();
        auto const is_member = [&](std::string const& name) {
            return find_member(leader->log->raft().log().members(), name) != nullptr;
        };
        group.start("control.d");
        REQUIRE(group.run_until([&] { return is_member("control.d"); }, 2s));
        bool const is_voter_already = group.voters(leader->name) == 4;

        WHEN("it stops permanently before it is a voter")
        {
            group.kill("control.d");
            group.start("control.e");

            // Guards against a learner whose VM no longer exists and that blocks every other
            // change.
            THEN("another standby replaces it")
            {
                REQUIRE_FALSE(is_voter_already);
                CHECK(group.run_until(
                    [&] {
                        return group.membership_complete(*leader) && is_member("control.e")
                            && !is_member("control.d");
                    },
                    6s));
            }
        }
    }
}

SCENARIO("members start with empty disks and must not bootstrap a group")
{
    GIVEN("three members for which bootstrap is disabled")
    {
        fake_group group(7, three_members);
        group.allow_bootstrap = false;
        group.start_all();
        // Guards against a new group that lacks the acknowledged data, when all members of the old
        // group have lost their disks.
        THEN("none of them becomes leader")
        {
            CHECK_FALSE(group.wait_for_leader(3s));
        }
    }
}
