// Parts of the entries in the slots by weights, over the tables of all entries. The load: 640 slots
// on each endpoint, entries of which one in four has three times the weight of the others.

#include <catch2/catch.hpp>

#include <map>
#include <string>
#include <vector>

#include "policy/endpoint_table.h"
#include "policy/entry_subset.h"
#include "policy/worker_reports.h"

namespace {

using namespace greengagehead;
using namespace greengagehead::policy;

constexpr std::uint32_t slots = 640;

entry_shares make_shares(std::size_t count)
{
    entry_shares shares;
    for (std::size_t index = 0; index < count; ++index) {
        shares.names.push_back("entry." + std::to_string(index));
        shares.weights.push_back(index % 4 == 0 ? 3 : 1);
    }
    return shares;
}

void add_endpoints(endpoint_table& table, std::size_t count)
{
    for (std::size_t number = 0; number < count; ++number) {
        auto report = worker_report(number);
        report.endpoints[0].slots = slots;
        table.set_agent_registered(report.agent);
        table.update(report, time_at(0));
    }
}

} // namespace

SCENARIO("the parts of all entries add up to the slots", "[policy][shares]")
{
    struct fleet {
        std::size_t entries;
        std::size_t endpoints;
    };
    auto const size = GENERATE(fleet {3, 11}, fleet {4, 11}, fleet {10, 60}, fleet {13, 71},
                               fleet {14, 76}, fleet {35, 160}, fleet {35, 4});
    auto const shares = make_shares(size.entries);
    std::map<std::string, std::uint32_t> sums;
    std::vector<std::uint64_t> parts;
    for (auto const& self : shares.names) {
        endpoint_table table;
        table.set_entries(std::vector {shares}, self);
        add_endpoints(table, size.endpoints);
        std::uint64_t own = 0;
        for (auto const& [name, record] : table.all()) {
            CHECK((record.assigned || record.entry_share == 0));
            sums[name] += record.entry_share;
            own += record.entry_share;
        }
        // Guards against an admission that counts on other slots than the placement.
        CHECK(table.capacity_for({"quote", {}, {}}).entry_slots == own);
        parts.push_back(own);
    }
    // Guards against slots that nobody, or several entries, count on.
    THEN("at each endpoint")
    {
        for (auto const& [name, sum] : sums)
            CHECK(sum == slots);
    }
    // Guards against weights that only matter for the choice of the endpoints.
    THEN("an entry with three times the weight has much more than another")
    {
        CHECK(parts[0] > 2 * parts[1]);
    }
}

SCENARIO("several tables limit the part of an entry", "[policy][shares]")
{
    endpoint_table table;
    add_endpoints(table, 2);
    entry_shares const former {{"entry.a", "entry.b"}, {3, 1}};
    entry_shares const newer {{"entry.a", "entry.b"}, {1, 3}};

    // Guards against a loser that keeps its part, and a gainer that uses it, during a change.
    THEN("it has its smaller part")
    {
        table.set_entries({former, newer}, "entry.a");
        CHECK(table.find("e0")->entry_share == 160);
        table.set_entries({former, newer}, "entry.b");
        CHECK(table.find("e0")->entry_share == 160);
        table.set_entries(std::vector {newer}, "entry.b");
        CHECK(table.find("e0")->entry_share == 480);
    }
    // Guards against an entry that cannot place anything until it has a part.
    THEN("an entry that is not listed has no part, but may use free slots")
    {
        table.set_entries(std::vector {former}, "entry.c");
        auto const& record = *table.find("e0");
        CHECK(record.entry_share == 0);
        CHECK(table.free_slots(record) == slots);
    }
    // Guards against weights that stay in force when the slots are divided equally again.
    THEN("names without weights give equal parts")
    {
        table.set_entries(std::vector {former}, "entry.a");
        table.set_entries(former.names, "entry.a");
        CHECK(table.find("e0")->entry_share == 320);
        CHECK(table.capacity_for({"quote", {}, {}}).entry_slots == slots);
    }
    // Guards against parts computed from an old number of endpoints.
    THEN("parts follow the endpoints that come and go")
    {
        table.set_entries(std::vector {make_shares(35)}, "entry.0");
        add_endpoints(table, 160);
        for (std::size_t number = 4; number < 160; ++number)
            table.remove_agent("agent." + std::to_string(number));
        CHECK(table.usable_endpoints() == 4);
        CHECK(table.find("e0")->entry_share > 0);
        CHECK(table.capacity_for({"quote", {}, {}}).entry_slots
              == std::uint64_t {table.find("e0")->entry_share} + table.find("e1")->entry_share
                  + table.find("e2")->entry_share + table.find("e3")->entry_share);
    }
}
