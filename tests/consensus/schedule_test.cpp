// Random schedules of faults, checked by the invariants of fake_group, and the recovery time.

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <iostream>

#include <unistd.h>

#include <catch2/catch.hpp>

#include "consensus/fake_group.h"
#include "storage/posix_file_system.h"

using namespace greengagehead;
using namespace greengagehead::consensus;

namespace {

enum class disk_faults : std::uint8_t { none, one_at_a_time, any };

/// Runs one random schedule of faults. fake_group checks the invariants in each step.
class schedule {
public:
    explicit schedule(std::uint64_t seed, disk_faults disks = disk_faults::none)
        : disks(disks), random(seed),
          group(seed,
                seed % 4 == 0 ? std::vector<std::string> {"c.a", "c.b", "c.c", "c.d", "c.e"}
                              : std::vector<std::string> {"c.a", "c.b", "c.c"})
    {
        this->group.loss_percent = static_cast<unsigned>(this->random() % 10);
        this->group.duplicate_percent = static_cast<unsigned>(this->random() % 10);
        this->group.max_delay = std::chrono::milliseconds(1 + this->random() % 50);
        this->group.snapshot_entries = 5 + this->random() % 30;
    }

    void run()
    {
        this->group.start_all();
        for (int step = 0; step < 60; ++step) {
            if (this->disks != disk_faults::none && this->random() % 3 == 0)
                this->inject_disk_fault();
            else
                this->inject_fault();
            this->propose_on_leaders();
            this->group.run(std::chrono::milliseconds(this->random() % 700));
        }
        this->repair();
        REQUIRE(this->group.run_until([&] { return this->group.leader() != nullptr; }, 5s));
        REQUIRE(this->group.run_until([&] { return this->group.put("last"); }, 10s));
        REQUIRE(this->group.run_until([&] { return this->group.converged(); }, 10s));
        this->acknowledged = this->group.acknowledged.size();
    }

    /// Number of acknowledged commands.
    std::size_t acknowledged = 0;

private:
    void inject_fault()
    {
        auto& member = this->random_member();
        switch (this->random() % 9) {
        case 0:
        case 1:
            if (member.log)
                this->group.kill(member.name);
            return;
        case 2:
        case 3:
            if (!member.log)
                this->group.start(member.name);
            return;
        case 4:
            return this->group.isolate(member.name);
        case 5:
            return this->group.cut(member.name, this->random_member().name);
        case 6:
            return this->group.heal();
        case 7:
            if (member.log && member.suspended)
                this->group.resume(member.name);
            else
                member.suspended = member.log != nullptr;
            return;
        default:
            return this->wipe(member);
        }
    }

    /// Makes writes or syncs of a random member fail, or ends such a fault.
    void inject_disk_fault()
    {
        auto& member = this->random_member();
        if (this->disks == disk_faults::one_at_a_time || this->random() % 2 == 0)
            this->end_disk_faults();
        switch (this->random() % 3) {
        case 0:
            member.files.fail_syncs = true;
            return;
        case 1:
            member.files.free_bytes = this->random() % 2000;
            return;
        default:
            member.files.max_write_bytes = 1 + this->random() % 100;
            return;
        }
    }

    void end_disk_faults()
    {
        for (auto& [_, member] : this->group.members)
            member.files.make_writable();
    }

    /// Wipes a disk, after waiting until all members have all acknowledged commands.
    void wipe(fake_group::member& member)
    {
        this->repair();
        auto const fully_replicated = [&] {
            auto const* leader = this->group.leader();
            return leader != nullptr && this->group.membership_complete(*leader)
                && this->group.converged();
        };
        REQUIRE(this->group.run_until(fully_replicated, 20s));
        this->group.kill(member.name);
        member.files.wipe();
        this->group.start(member.name);
    }

    /// Ends the faults of disks and network, and starts or resumes all members.
    void repair()
    {
        this->end_disk_faults();
        this->group.heal();
        for (auto& [name, member] : this->group.members) {
            if (!member.log)
                this->group.start(name);
            else if (member.suspended)
                this->group.resume(name);
        }
    }

    void propose_on_leaders()
    {
        for (auto& [name, member] : this->group.members) {
            if (member.log && !member.suspended && member.log->leading())
                this->group.propose(member, "command " + std::to_string(this->next_command++));
        }
    }

    std::size_t member_count() const { return this->group.initial.size(); }
    fake_group::member& random_member()
    {
        return this->group.members.at(
            this->group.initial[this->random() % this->member_count()].name);
    }

    disk_faults disks;
    std::mt19937_64 random;
    fake_group group;
    int next_command = 0;
};

std::uint64_t number_from_environment(char const* name, std::uint64_t default_value)
{
    auto const* text = std::getenv(name);
    return text == nullptr ? default_value : std::strtoull(text, nullptr, 10);
}

} // namespace

// Guards against lost or changed acknowledged commands, diverging logs, two leaders in a term and
// two leaders that may grant leases at the same time. GH_SCHEDULES sets the number of schedules and
// GH_FIRST_SEED the seed of the first one.
SCENARIO("the replicated log stays consistent in random schedules of faults")
{
    GIVEN("seeded schedules")
    {
        auto const first = number_from_environment("GH_FIRST_SEED", 1);
        auto const count = number_from_environment("GH_SCHEDULES", 60);

        THEN("every acknowledged command survives each of them")
        {
            std::size_t acknowledged = 0;
            for (auto seed = first; seed < first + count; ++seed) {
                INFO("seed " << seed);
                schedule faults(seed);
                faults.run();
                acknowledged += faults.acknowledged;
            }
            std::cout << count << " schedules from seed " << first << ": " << acknowledged
                      << " acknowledged commands\n";
            CHECK(acknowledged > count);
        }
    }
}

// Guards against members that stay inactive after a fault of their disk, and against acknowledged
// commands that depend on data which a failed write or sync has lost. Uses the seeds of
// GH_SCHEDULES and GH_FIRST_SEED.
SCENARIO("the replicated log stays consistent while disks fail for some time")
{
    auto const disks = GENERATE(disk_faults::one_at_a_time, disk_faults::any);
    GIVEN("seeded schedules with full disks, short writes and failing syncs")
    {
        auto const first = number_from_environment("GH_FIRST_SEED", 1);
        auto const count = number_from_environment("GH_SCHEDULES", 60);

        THEN("every acknowledged command survives, and the group has a quorum after the last fault")
        {
            for (auto seed = first; seed < first + count; ++seed) {
                INFO("seed " << seed << ", disk faults "
                             << (disks == disk_faults::any ? "at any time" : "one at a time"));
                schedule(seed, disks).run();
            }
        }
    }
}

SCENARIO("a member restarts after many commands")
{
    GIVEN("a group of one on a real disk with 50,000 commands")
    {
        struct null_sender : protocol::message_sender {
            void send(std::string const& /*peer*/, protocol::message const& /*body*/) override { }
        } sender;
        auto const folder = std::filesystem::temp_directory_path()
            / ("greengagehead-recovery-" + std::to_string(::getpid()));
        std::filesystem::remove_all(folder);
        storage::posix_file_system files;
        durable_log_settings settings;
        settings.name = "control.a";
        settings.folder = folder.string();
        settings.initial = {{"control.a", "a:1"}};
        settings.seed = 5;
        std::size_t applied = 0;
        base::steady_time now {1h};
        auto const open = [&] {
            auto log = std::move(durable_log::open(settings, files, sender, now).value());
            log->take_snapshot = [&] { return std::to_string(applied); };
            log->restored.connect([&](std::string const& state) { applied = std::stoul(state); });
            log->committed.connect([&](auto const&, auto) { ++applied; });
            log->tick(now);
            return log;
        };
        auto log = open();
        for (int batch = 0; batch < 500; ++batch) {
            for (int command = 0; command < 100; ++command)
                REQUIRE(log->propose(std::string(100, 'x')));
            log->tick(now += 10ms);
        }
        REQUIRE(applied == 50'000);

        // Guards against a recovery time that grows with the number of all commands ever committed.
        THEN("it recovers the whole state within half a second")
        {
            log.reset();
            applied = 0;
            auto const begin = std::chrono::steady_clock::now();
            log = open();
            auto const time = std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::steady_clock::now() - begin);
            std::cout << "recovery after 50,000 commands: " << time.count() << " ms\n";
            CHECK(applied == 50'000);
            CHECK(time < 500ms);
        }
        std::filesystem::remove_all(folder);
    }
}
