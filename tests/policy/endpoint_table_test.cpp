#include <algorithm>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "policy/worker_reports.h"

namespace {

using namespace greengagehead;
using namespace greengagehead::policy;

std::vector<std::string> indexed_endpoints(endpoint_table const& table, requirement const& needs)
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

std::vector<std::string> scanned_endpoints(endpoint_table const& table, requirement const& needs)
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

template <typename T> T random_value(T first, T last)
{
    return *rc::gen::inRange<T>(first, last);
}

} // namespace

SCENARIO("the index holds exactly the endpoints that a scan would find")
{
    // Guards against tasks sent to full, drained or removed endpoints, and against free endpoints
    // missing from the index, after any sequence of updates.
    rc::prop("index and scan agree", [] {
        endpoint_table table;
        std::vector<std::string> entries;
        for (auto count = random_value(1U, 14U); count > 0; --count)
            entries.push_back("entry." + std::to_string(count));
        table.set_entries(entries, "entry.1");
        for (int step = 0; step < 80; ++step) {
            auto const number = random_value(0, 8);
            auto const name = "e" + std::to_string(number);
            auto const now = time_at(step * 100);
            auto report = worker_report(static_cast<std::size_t>(number), random_value(0U, 9U));
            switch (random_value(0, 10)) {
            case 0:
                table.remove_agent(report.agent.name);
                break;
            case 1:
                report.agent.incarnation = random_value(1U, 3U);
                table.set_agent_registered(report.agent);
                break;
            case 2:
                table.set_zones_out({"z" + std::to_string(random_value(0, 5))});
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
                report.endpoints[0].memory_mb = random_value(0U, 3U) * 1024;
                report.endpoints[0].draining = random_value(0, 6) == 0;
                if (random_value(0, 2) == 0)
                    report.endpoints[0].kinds = {"quote", "hold", "quote"};
                table.update(report, now);
            }
            for (auto const& needs : {requirement {"quote", {}, {}}, requirement {"hold", {}, "z1"},
                                      requirement {"quote", {}, {}, 0, 2048}}) {
                RC_ASSERT(indexed_endpoints(table, needs) == scanned_endpoints(table, needs));
                RC_ASSERT(table.has_candidate(needs) == !indexed_endpoints(table, needs).empty());
            }
        }
    });
}

SCENARIO("endpoints that must not get work are not offered")
{
    endpoint_table table;
    GIVEN("a reported endpoint whose agent is not registered")
    {
        table.update(worker_report(0), time_at(0));
        // Guards against tasks on an agent that an entry would not find in a takeover.
        CHECK_FALSE(table.has_candidate({"quote", {}, {}}));
        WHEN("its agent is registered")
        {
            table.set_agent_registered({"agent.0", 1});
            // Guards against ramping up a new endpoint like one that returns.
            THEN("all its slots are offered at once")
            {
                CHECK(table.free_slots(*table.find("e0")) == 8);
            }
        }
    }
    GIVEN("a registered endpoint")
    {
        add_workers(table, 1);
        // Guards against tasks in a zone that is out of service, and against a load peak on its
        // return.
        WHEN("its zone is taken out of service and returns")
        {
            table.set_zones_out({"z0"});
            CHECK_FALSE(table.has_candidate({"quote", {}, {}}));
            table.set_zones_out({});
            THEN("its slots become usable within a second")
            {
                CHECK(table.free_slots(*table.find("e0")) == 2);
                table.update(worker_report(0), time_at(500));
                CHECK(table.free_slots(*table.find("e0")) == 4);
                table.update(worker_report(0), time_at(1000));
                CHECK(table.free_slots(*table.find("e0")) == 8);
            }
        }
        // Guards against counting a start twice, or not at all, when a report arrives.
        WHEN("a report arrives that includes only one of the two starts of this entry")
        {
            table.record_start("e0");
            table.record_start("e0");
            CHECK(table.free_slots(*table.find("e0")) == 6);
            auto report = worker_report(0, 4);
            report.endpoints[0].held_by_receiver = 1;
            table.update(report, time_at(300));
            THEN("the three tasks of other entries are added to the two of this entry")
            {
                CHECK(table.free_slots(*table.find("e0")) == 3);
            }
            // Guards against slots that count as used until the next report although their tasks
            // have ended.
            AND_THEN("the slot of a task of this entry is free as soon as its outcome is recorded")
            {
                table.record_outcome("e0");
                CHECK(table.free_slots(*table.find("e0")) == 4);
            }
        }
    }
}
