// Random schedules of faults against the oracle of fake_group, and measured recovery.

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

/// Drives one schedule; every check is inside fake_group.
class schedule {
public:
    explicit schedule(std::uint64_t seed)
        : random(seed),
          group(seed,
                seed % 4 == 0 ? std::vector<std::string> {"c.a", "c.b", "c.c", "c.d", "c.e"}
                              : std::vector<std::string> {"c.a", "c.b", "c.c"})
    {
        this->group.loss_percent = static_cast<unsigned>(this->random() % 10);
        this->group.double_percent = static_cast<unsigned>(this->random() % 10);
        this->group.longest_delay = std::chrono::milliseconds(1 + this->random() % 50);
        this->group.snapshot_entries = 5 + this->random() % 30;
    }

    void run()
    {
        this->group.start_all();
        for (int step = 0; step < 60; ++step) {
            this->act();
            this->put_everywhere();
            this->group.run(std::chrono::milliseconds(this->random() % 700));
        }
        this->repair();
        REQUIRE(this->group.run_until([&] { return this->group.leader() != nullptr; }, 5s));
        REQUIRE(this->group.run_until([&] { return this->group.put("last"); }, 10s));
        REQUIRE(this->group.run_until([&] { return this->group.converged(); }, 10s));
        this->acknowledged = this->group.acknowledged.size();
    }

    std::size_t acknowledged = 0;

private:
    void act()
    {
        auto& member = this->any();
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
            return this->group.cut(member.name, this->any().name);
        case 6:
            return this->group.heal();
        case 7:
            if (member.log && member.frozen)
                this->group.thaw(member.name);
            else
                member.frozen = member.log != nullptr;
            return;
        default:
            return this->wipe(member);
        }
    }

    /// A disk is lost only while every other disk holds all that was acknowledged.
    void wipe(fake_group::member& member)
    {
        this->repair();
        auto const whole = [&] {
            auto const* leader = this->group.leader();
            return leader != nullptr && this->group.complete(*leader) && this->group.converged();
        };
        REQUIRE(this->group.run_until(whole, 20s));
        this->group.kill(member.name);
        member.files.wipe();
        this->group.start(member.name);
    }

    void repair()
    {
        this->group.heal();
        for (auto& [name, item] : this->group.members) {
            if (!item.log)
                this->group.start(name);
            else if (item.frozen)
                this->group.thaw(name);
        }
    }

    void put_everywhere()
    {
        for (auto& [name, item] : this->group.members) {
            if (item.log && !item.frozen && item.log->leading())
                this->group.propose(item, "command " + std::to_string(this->next++));
        }
    }

    std::size_t size() const { return this->group.initial.size(); }
    fake_group::member& any()
    {
        return this->group.members.at(this->group.initial[this->random() % this->size()].name);
    }

    std::mt19937_64 random;
    fake_group group;
    int next = 0;
};

std::uint64_t setting(char const* name, std::uint64_t otherwise)
{
    auto const* text = std::getenv(name);
    return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

} // namespace

// Guards against lost or changed acknowledged commands, diverging logs, two leaders in a term and
// two trusted leaders. GH_SCHEDULES and GH_FIRST_SEED select more or other schedules.
SCENARIO("no schedule of faults breaks the log")
{
    GIVEN("seeded schedules")
    {
        auto const first = setting("GH_FIRST_SEED", 1);
        auto const count = setting("GH_SCHEDULES", 60);

        THEN("every acknowledged command survives each of them")
        {
            std::size_t acknowledged = 0;
            for (auto seed = first; seed < first + count; ++seed) {
                INFO("seed " << seed);
                schedule run(seed);
                run.run();
                acknowledged += run.acknowledged;
            }
            std::cout << count << " schedules from seed " << first << ": " << acknowledged
                      << " acknowledged commands\n";
            CHECK(acknowledged > count);
        }
    }
}

SCENARIO("a member restarts after many changes")
{
    GIVEN("a group of one on a real disk with 50,000 commands")
    {
        struct nobody : protocol::message_sender {
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
            for (int item = 0; item < 100; ++item)
                REQUIRE(log->propose(std::string(100, 'x')));
            log->tick(now += 10ms);
        }
        REQUIRE(applied == 50'000);

        // Guards against a recovery that grows with the number of changes ever made.
        THEN("it recovers everything quickly")
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
