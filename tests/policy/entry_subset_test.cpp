// The choice of the entries that use an endpoint.

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>

#include "policy/endpoint_table.h"
#include "policy/entry_subset.h"

namespace {

using namespace greengagehead;
using namespace greengagehead::policy;

std::vector<std::string> names(std::string const& prefix, std::size_t count)
{
    std::vector<std::string> result;
    for (std::size_t index = 0; index < count; ++index)
        result.push_back(prefix + std::to_string(index));
    return result;
}

constexpr std::size_t zones = 5;
constexpr std::uint32_t slots = 640;

/// The endpoint table of `self` after reports of `agents` agents in five zones.
void fill(endpoint_table& table, std::vector<std::string> const& entries, std::string const& self,
          std::size_t agents)
{
    table.set_entries(entries, self);
    for (std::size_t index = 0; index < agents; ++index) {
        protocol::process_id const agent {"agent." + std::to_string(index), 1};
        table.set_agent_registered(agent);
        protocol::endpoint_state state;
        state.name = "endpoint." + std::to_string(index);
        state.kinds = {"k"};
        state.slots = slots;
        table.update({agent, "r", "z" + std::to_string(index % zones), {}, 1, {state}, {}},
                     base::steady_time(std::chrono::seconds(1)));
    }
}

} // namespace

// Guards against starts of all entries that meet at the same free slots: with 35 entries and 160
// endpoints more than half of the starts were refused at 80% load.
SCENARIO("many entries share many endpoints", "[policy][subset]")
{
    auto const entries = names("entry.", 35);
    constexpr std::size_t agents = 160;

    GIVEN("the tables of all entries")
    {
        std::map<std::string, std::size_t> users;
        std::map<std::string, std::uint64_t> shares;
        for (auto const& self : entries) {
            endpoint_table table;
            fill(table, entries, self, agents);
            std::set<std::string> used_zones;
            for (auto const& [name, record] : table.all()) {
                users[name] += record.assigned ? 1 : 0;
                shares[name] += record.assigned ? record.entry_share : 0;
                if (record.assigned)
                    used_zones.insert(record.zone);
            }
            CHECK(table.usable_endpoints() >= 20);
            CHECK(used_zones.size() == zones);
            auto const capacity = table.capacity_for({"k"});
            CHECK(capacity.matching_endpoints == agents);
            CHECK(capacity.usable_slots == table.usable_endpoints() * slots);
            CHECK(capacity.entry_slots <= capacity.usable_slots / entries_per_endpoint);
        }
        THEN("each endpoint has its number of users, whose shares add up to its slots")
        {
            for (auto const& [name, count] : users) {
                CHECK(count == entries_per_endpoint);
                CHECK(shares[name] == slots);
            }
        }
    }

    GIVEN("an agent that sees one entry leave")
    {
        auto remaining = entries;
        remaining.erase(remaining.begin() + 7);
        THEN("at most one other entry takes its place, and no user changes otherwise")
        {
            for (auto const& agent : names("agent.", agents)) {
                std::size_t replaced = 0;
                for (auto const& entry : remaining) {
                    bool const before = rank_of_entry(agent, entry, entries) < entries_per_endpoint;
                    bool const after
                        = rank_of_entry(agent, entry, remaining) < entries_per_endpoint;
                    CHECK((after || !before));
                    replaced += after && !before ? 1 : 0;
                }
                CHECK(replaced <= 1);
            }
        }
    }
}

// Guards against an entry that cannot serve a kind because others got all of its few endpoints.
SCENARIO("many entries share few endpoints", "[policy][subset]")
{
    auto const entries = names("entry.", 35);
    GIVEN("four endpoints, one in each of four zones")
    {
        THEN("every entry uses all of them")
        {
            for (auto const& self : entries) {
                endpoint_table table;
                fill(table, entries, self, 4);
                CHECK(table.usable_endpoints() == 4);
            }
        }
    }
    GIVEN("a table of many endpoints that leave one after another")
    {
        endpoint_table table;
        fill(table, entries, entries.front(), 160);
        for (std::size_t index = 4; index < 160; ++index)
            table.remove_agent("agent." + std::to_string(index));
        THEN("the entry uses those that remain")
        {
            CHECK(table.usable_endpoints() == 4);
        }
    }
    GIVEN("as many entries as share each endpoint")
    {
        THEN("all use all endpoints")
        {
            auto const few = names("entry.", entries_per_endpoint);
            for (auto const& self : few) {
                endpoint_table table;
                fill(table, few, self, 60);
                CHECK(table.usable_endpoints() == 60);
            }
        }
    }
}
