// Shares of the slots while control members and entries fail, with real control members and
// entries. The load: three entries, one of which gets three times as much work as the others.

#include <catch2/catch.hpp>

#include "control/process_simulation.h"
#include "entry/account_usage.h"

using namespace greengagehead;
using namespace greengagehead::test;

namespace {

constexpr std::uint32_t slots = 600;

class share_simulation : public process_simulation {
public:
    explicit share_simulation(std::uint64_t seed)
        : process_simulation(seed, {"control.a", "control.b", "control.c"})
    {
        this->share_by_demand = true;
        this->fair_accounts = true;
        for (auto const* name : {"control.a", "control.b", "control.c"})
            this->start_control(name);
        for (auto const* name : {"entry.a", "entry.b", "entry.c"})
            this->start_entry(name);
    }

    std::string busy_entry = "entry.a";
    bool counted_twice = false; ///< The parts of the entries of the view exceeded the slots.

    [[nodiscard]] std::uint32_t part(std::string const& entry) const
    {
        auto const& core = this->entries.at(entry).core;
        if (!core)
            return 0;
        auto const status = core->status(this->now);
        return status.endpoints.empty() ? 0 : status.endpoints.front().entry_share;
    }
    /// Slot time that the fleet asked for lately, as the entry knows it.
    [[nodiscard]] std::chrono::microseconds asked_of_fleet(std::string const& entry) const
    {
        auto const sums = this->entries.at(entry).core->accounts().fleet;
        auto const found = sums.find("recife");
        return found == sums.end() ? std::chrono::microseconds(0) : found->second.asked;
    }
    [[nodiscard]] std::uint32_t part_sum() const
    {
        std::uint32_t sum = 0;
        for (auto const& name : this->entries_of_view)
            sum += this->part(name);
        return sum;
    }
    /// Whether the parts are those of the present demand.
    [[nodiscard]] bool by_demand() const
    {
        return this->part(this->busy_entry) >= slots / 2 && this->part_sum() == slots;
    }

protected:
    void step() override
    {
        process_simulation::step();
        if (this->now.time_since_epoch() % 20ms == 0ms)
            this->feed();
        if (auto const name = this->leader(); !name.empty()) {
            this->entries_of_view.clear();
            for (auto const& live :
                 this->controls.at(name).core->committed_state().entries().list()) {
                auto const& core = this->entries.at(live.id.name).core;
                if (core && core->status(this->now).id == live.id)
                    this->entries_of_view.push_back(live.id.name);
            }
        }
        this->counted_twice = this->counted_twice || this->part_sum() > slots;
    }

private:
    /// Gives each entry a report of the agent, and jobs.
    void feed()
    {
        for (auto const& [name, process] : this->entries) {
            if (!process.core)
                continue;
            protocol::agent_report report;
            report.agent = {"agent.a", 1};
            report.zone = "recife";
            protocol::endpoint_state endpoint;
            endpoint.name = "e";
            endpoint.kinds = {"quote"};
            endpoint.slots = slots;
            report.endpoints = {endpoint};
            process.core->receive("agent.a", report, this->now);
            for (int job = 0; job < (name == this->busy_entry ? 3 : 1); ++job)
                this->submit(*process.core);
        }
    }
    void submit(entry::entry_core& core)
    {
        protocol::job_request request;
        request.team = "recife";
        request.submission = std::to_string(++this->submissions);
        request.ephemeral = true;
        request.deadline = 200ms;
        request.tasks.resize(1);
        request.tasks.front().kind = "quote";
        request.tasks.front().expected = 100ms;
        core.submit(
            request, 10ms, [](auto const&) {}, this->now);
    }

    std::uint64_t submissions = 0;
    std::vector<std::string> entries_of_view;
};

} // namespace

SCENARIO("entries divide the slots by demand while processes fail", "[shares]")
{
    share_simulation simulation(static_cast<std::uint64_t>(GENERATE(range(1, 6))));
    REQUIRE(simulation.run_until([&] { return simulation.all_leased(); }, 5s));
    // Guards against entries without parts after a power loss.
    CHECK(simulation.run_until([&] { return simulation.part_sum() == slots; }, 100ms));
    REQUIRE(simulation.run_until([&] { return simulation.by_demand(); }, 4s));

    // Guards against entries that lose their parts with the leader, and against a new leader that
    // divides slots which are still counted by others.
    WHEN("the leader is killed, and another entry becomes the busy one")
    {
        simulation.kill(simulation.leader());
        simulation.busy_entry = "entry.b";
        simulation.run(300ms);
        CHECK(simulation.part_sum() == slots);
        THEN("the parts follow the demand, and no slot is counted twice meanwhile")
        {
            CHECK(simulation.run_until([&] { return simulation.by_demand(); }, 6s));
            CHECK_FALSE(simulation.counted_twice);
        }
    }
    // Guards against the slots of a lost entry being used while it may still start tasks, or not
    // being used any more, and against an entry that returns with its former part.
    WHEN("the busy entry is cut off for 5 s")
    {
        simulation.isolated = {"entry.a"};
        simulation.run(1400ms);
        CHECK(simulation.part("entry.a") >= slots / 2);
        CHECK(simulation.part("entry.b") + simulation.part("entry.c") <= slots / 2);
        simulation.run(3600ms);
        THEN("the others get its part, and it gets one again after its return")
        {
            CHECK(simulation.part("entry.b") + simulation.part("entry.c") == slots);
            simulation.isolated.clear();
            CHECK(simulation.run_until([&] { return simulation.by_demand(); }, 5s));
            CHECK_FALSE(simulation.counted_twice);
        }
    }
    // Guards against weights that stay in force although nobody can know them any more.
    WHEN("all processes lose power")
    {
        simulation.kill_all();
        simulation.run(500ms);
        simulation.start_all();
        REQUIRE(simulation.run_until([&] { return simulation.all_leased(); }, 6s));
        THEN("the parts are equal at once, and follow the demand later")
        {
            CHECK(simulation.run_until([&] { return simulation.part_sum() == slots; }, 100ms));
            CHECK(simulation.run_until([&] { return simulation.by_demand(); }, 4s));
            CHECK_FALSE(simulation.counted_twice);
        }
    }
}

SCENARIO("entries report the use of accounts while the leader changes", "[shares]")
{
    share_simulation simulation(1);
    REQUIRE(simulation.run_until([&] { return simulation.all_leased(); }, 5s));
    // One job of 100 ms every 20 ms at two entries, and three at the busy one: 25 s a second.
    constexpr std::chrono::microseconds asked_each_second = 25s;
    simulation.run(4000ms);

    // Guards against rows that an entry does not send, or that the leader does not sum up.
    THEN("each entry knows what the account asked for at all of them")
    {
        for (auto const* const entry : {"entry.a", "entry.b", "entry.c"}) {
            CHECK(simulation.asked_of_fleet(entry) > 2 * asked_each_second);
            CHECK(simulation.asked_of_fleet(entry) < 5 * asked_each_second);
        }
    }
    // Guards against sums that are lost with the leader for good, or that count twice what had got
    // no answer.
    WHEN("the leader is killed")
    {
        simulation.kill(simulation.leader());
        simulation.run(6000ms);
        THEN("the sums are there again")
        {
            CHECK(simulation.asked_of_fleet("entry.b") > 2 * asked_each_second);
            CHECK(simulation.asked_of_fleet("entry.b") < 8 * asked_each_second);
        }
    }
}
