// Which entries get the reports of an agent, and when.

#include <catch2/catch.hpp>

#include <map>

#include "agent/state_reporter.h"
#include "policy/entry_subset.h"

namespace {

using namespace greengagehead;
using agent::state_reporter;
using std::chrono::milliseconds;

/// Counts the reports by receiver.
struct counting_sender : protocol::message_sender {
    void send(std::string const& peer, protocol::message const& /*body*/) override
    {
        ++this->reports[peer];
    }
    std::map<std::string, int> reports;
};

struct reporter_fixture {
    explicit reporter_fixture(std::size_t entries)
    {
        for (std::size_t index = 0; index < entries; ++index) {
            this->names.push_back("entry." + std::to_string(index));
            this->reporter.peer_up(this->names.back());
        }
    }

    /// Sends the report that is due, if any. Returns its number of receivers.
    std::size_t report()
    {
        this->sender.reports.clear();
        auto const receivers = this->reporter.due(this->state, this->now);
        if (receivers != state_reporter::audience::none)
            this->reporter.send(
                receivers, [](std::string const&) { return protocol::agent_report(); }, this->state,
                this->now);
        return this->sender.reports.size();
    }

    counting_sender sender;
    std::vector<std::string> names;
    state_reporter reporter {"agent.1", milliseconds(300), sender};
    state_reporter::reported_state state {1, {{"endpoint.1", 0}}};
    base::steady_time now {std::chrono::hours(1)};
};

} // namespace

SCENARIO("an agent reports to many entries", "[reports]")
{
    reporter_fixture agent(35);
    REQUIRE(agent.report() == 35);

    // Guards against reports of each change to all entries, whose number grows with the product of
    // entries and agents.
    WHEN("its load level changes")
    {
        agent.state.levels[0].second = 3;
        agent.now += milliseconds(200);
        THEN("the entries that use it learn of it at once, and the others at the interval")
        {
            CHECK(agent.report() == policy::entries_per_endpoint);
            for (auto const& [name, count] : agent.sender.reports)
                CHECK(policy::rank_of_entry("agent.1", name, agent.names)
                      < policy::entries_per_endpoint);
            agent.now += milliseconds(100);
            CHECK(agent.report() == 35);
            CHECK(agent.report() == 0);
        }
    }
    // Guards against operators who wait for a report interval until a change is in force.
    WHEN("it adopts a view")
    {
        agent.state.adopted_view = 2;
        THEN("all entries learn of it at once")
        {
            CHECK(agent.report() == 35);
        }
    }
    // Guards against an endpoint that is used by fewer and fewer entries.
    WHEN("an entry that uses it is lost")
    {
        agent.state.levels[0].second = 3;
        agent.now += milliseconds(200);
        REQUIRE(agent.report() == policy::entries_per_endpoint);
        auto const lost = agent.sender.reports.begin()->first;
        agent.reporter.peer_down(lost);
        agent.state.levels[0].second = 4;
        agent.now += milliseconds(200);
        THEN("another entry takes its place")
        {
            agent.report();
            agent.state.levels[0].second = 5;
            agent.now += milliseconds(200);
            CHECK(agent.report() == policy::entries_per_endpoint);
            CHECK_FALSE(agent.sender.reports.contains(lost));
        }
    }
}
