#include <algorithm>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "policy/fleet.h"

namespace {

using namespace greengagehead;
using namespace greengagehead::policy;

std::vector<std::string> indexed(endpoint_table const& table, requirement const& needs)
{
    std::vector<candidate_group> groups;
    table.candidates(needs, groups);
    std::vector<std::string> names;
    for (auto const& group : groups)
        for (auto const* record : group)
            names.push_back(record->state.name);
    std::sort(names.begin(), names.end());
    return names;
}

std::vector<std::string> scanned(endpoint_table const& table, requirement const& needs)
{
    std::vector<std::string> names;
    for (auto const& [name, record] : table.all()) {
        auto const& kinds = record.state.kinds;
        bool const fits = std::find(kinds.begin(), kinds.end(), needs.kind) != kinds.end()
            && (needs.zone.empty() || needs.zone == record.zone) && fits_size(record.state, needs);
        if (fits && table.free_slots(record) > 0)
            names.push_back(name);
    }
    return names;
}

template <typename T> T pick(T first, T last)
{
    return *rc::gen::inRange<T>(first, last);
}

} // namespace

SCENARIO("the index holds exactly the endpoints that a scan would find")
{
    // Guards against tasks sent to full, drained or gone endpoints, and against free endpoints that
    // placement never sees, after any order of updates.
    rc::prop("index and scan agree", [] {
        endpoint_table table;
        table.set_entries(pick(1U, 4U), 0);
        for (int step = 0; step < 80; ++step) {
            auto const number = pick(0, 8);
            auto const name = "e" + std::to_string(number);
            auto const now = at(step * 100);
            auto report = worker(static_cast<std::size_t>(number), pick(0U, 9U));
            switch (pick(0, 10)) {
            case 0:
                table.remove_agent(report.agent.name);
                break;
            case 1:
                report.agent.incarnation = pick(1U, 3U);
                table.set_agent_registered(report.agent);
                break;
            case 2:
                table.set_zones_out({"z" + std::to_string(pick(0, 5))});
                break;
            case 3:
                table.set_draining({name});
                break;
            case 4:
                table.record_refusal(name);
                break;
            case 5:
                table.record_outcome(name);
                break;
            case 6:
            case 7:
                table.record_start(name);
                break;
            default:
                report.endpoints[0].memory_mb = pick(0U, 3U) * 1024;
                report.endpoints[0].draining = pick(0, 6) == 0;
                if (pick(0, 2) == 0)
                    report.endpoints[0].kinds = {"quote", "hold", "quote"};
                table.update(report, now);
            }
            for (auto const& needs : {requirement {"quote", {}, {}}, requirement {"hold", {}, "z1"},
                                      requirement {"quote", {}, {}, 0, 2048}}) {
                RC_ASSERT(indexed(table, needs) == scanned(table, needs));
                RC_ASSERT(table.has_candidate(needs) == !indexed(table, needs).empty());
            }
        }
    });
}

SCENARIO("endpoints that must not get work are not offered")
{
    endpoint_table table;
    GIVEN("a reported endpoint whose agent is not registered")
    {
        table.update(worker(0), at(0));
        // Guards against tasks on an agent that a takeover would not know of.
        CHECK_FALSE(table.has_candidate({"quote", {}, {}}));
        WHEN("its agent is registered")
        {
            table.set_agent_registered({"agent.0", 1});
            THEN("all its slots are offered at once")
            {
                CHECK(table.free_slots(*table.find("e0")) == 8);
            }
        }
    }
    GIVEN("a registered endpoint")
    {
        add_workers(table, 1);
        // Guards against tasks in a zone that was taken out, and against a flood on its return.
        WHEN("its zone is taken out and comes back")
        {
            table.set_zones_out({"z0"});
            CHECK_FALSE(table.has_candidate({"quote", {}, {}}));
            table.set_zones_out({});
            THEN("its slots come back within a second")
            {
                CHECK(table.free_slots(*table.find("e0")) == 2);
                table.update(worker(0), at(500));
                CHECK(table.free_slots(*table.find("e0")) == 4);
                table.update(worker(0), at(1000));
                CHECK(table.free_slots(*table.find("e0")) == 8);
            }
        }
        // Guards against counting a start twice, or not at all, when a report arrives.
        WHEN("a report that knows one of two own starts arrives")
        {
            table.record_start("e0");
            table.record_start("e0");
            CHECK(table.free_slots(*table.find("e0")) == 6);
            auto report = worker(0, 4);
            report.endpoints[0].held_by_receiver = 1;
            table.update(report, at(300));
            THEN("the three tasks of other entries are added to the two own ones")
            {
                CHECK(table.free_slots(*table.find("e0")) == 3);
            }
            // Guards against slots that stay taken until the next report although their tasks
            // ended.
            AND_THEN("the slot of an own task is free as soon as its outcome is known")
            {
                table.record_outcome("e0");
                CHECK(table.free_slots(*table.find("e0")) == 4);
            }
        }
    }
}
