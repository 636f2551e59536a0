// Stamps that entries send to agents: how long a message counts, without a lease too, and what
// waits for their expiry.

#include <catch2/catch.hpp>

#include <algorithm>
#include <optional>
#include <vector>

#include "entry/simulated_fleet.h"

namespace {

using namespace greengagehead;
using namespace greengagehead::test;

/// Longest time from the sending of a message until its stamp expires.
constexpr milliseconds stamp_validity {780};
/// Stamps outlast three intervals of the updates.
constexpr milliseconds shortest_stamp {750};
constexpr milliseconds update_interval {250};
/// Longest time that a worker continues a run without its agent.
constexpr milliseconds longest_worker_lease {1020};
constexpr milliseconds lease_duration {1500};

/// A stamp with times in the clock of the fleet.
struct sent_stamp {
    std::string agent;
    steady_time sent;
    steady_time expires;
    protocol::view_number view = 0;
    bool leased = true;
};

/// A lease update, with the time of its sending.
struct sent_update {
    std::string agent;
    steady_time sent;
    protocol::view_number view = 0;
    bool view_omitted = false;
    std::size_t live_entries = 0;
};

/// One entry and two agents. Records the stamps that the entry sends.
struct stamped_fleet : simulated_fleet {
    stamped_fleet() : simulated_fleet(1)
    {
        this->add_entry("entry.a", "recife");
        this->add_agent("agent.1", "recife");
        this->add_agent("agent.2", "fortaleza");
        this->on_send = [this](auto const& /*from*/, auto const& to, auto const& body) {
            if (auto const* update = std::get_if<protocol::lease_update>(&body)) {
                this->record(to, update->lease);
                this->updates.push_back({to, this->now, update->lease.view, update->view_omitted,
                                         update->live_entries.size()});
            }
            if (auto const* batch = std::get_if<protocol::start_batch>(&body))
                this->record(to, batch->lease);
        };
        this->run(milliseconds(1000));
    }

    void record(std::string const& agent, protocol::lease_stamp const& stamp)
    {
        this->stamps.push_back(
            {agent, this->now,
             base::from_reading(stamp.expires_at) - this->agents.at(agent).clock_offset, stamp.view,
             stamp.leased});
    }
    std::shared_ptr<submission> submit_ephemeral(std::string const& name, std::size_t tasks)
    {
        auto request = make_job(name, tasks, false);
        request.ephemeral = true;
        return this->submit("entry.a", request);
    }
    /// Latest expiry among the stamps of an agent that `counts` accepts.
    template <typename Predicate>
    [[nodiscard]] std::optional<steady_time> latest_expiry(std::string const& agent,
                                                           Predicate counts) const
    {
        std::optional<steady_time> latest;
        for (auto const& stamp : this->stamps) {
            if (stamp.agent == agent && counts(stamp))
                latest = std::max(latest.value_or(stamp.expires), stamp.expires);
        }
        return latest;
    }
    /// Longest time since `from` during which an agent that gets every message at once has no
    /// unexpired stamp.
    [[nodiscard]] milliseconds longest_gap(std::string const& agent, steady_time from) const
    {
        milliseconds longest {0};
        auto covered = from;
        for (auto const& stamp : this->stamps) {
            if (stamp.agent != agent)
                continue;
            longest = std::max(longest, std::chrono::ceil<milliseconds>(stamp.sent - covered));
            covered = std::max(covered, stamp.expires);
        }
        return std::max(longest, std::chrono::ceil<milliseconds>(this->now - covered));
    }

    std::vector<sent_stamp> stamps;
    std::vector<sent_update> updates;
};

} // namespace

SCENARIO("stamps bound how long a message counts", "[entry][stamps]")
{
    GIVEN("an entry that sends starts and updates to its agents")
    {
        stamped_fleet fleet;
        auto const every_stamp_is_bounded = [&fleet] {
            return std::all_of(fleet.stamps.begin(), fleet.stamps.end(), [](auto const& stamp) {
                return stamp.expires <= stamp.sent + stamp_validity;
            });
        };

        WHEN("messages are delivered at once")
        {
            for (int i = 0; i < 20; ++i) {
                fleet.submit_ephemeral("s" + std::to_string(i), 2);
                fleet.submit("entry.a", make_job("t" + std::to_string(i), 2, false));
                fleet.run(milliseconds(130));
            }
            // Guards against messages that count as recent when they arrive a second late.
            THEN("no stamp lasts longer than 780 ms")
            {
                CHECK(every_stamp_is_bounded());
            }
            // Guards against stamps that end before the next update arrives.
            THEN("each lasts longer than three update intervals")
            {
                CHECK(std::all_of(fleet.stamps.begin(), fleet.stamps.end(), [](auto const& stamp) {
                    return stamp.expires > stamp.sent + shortest_stamp;
                }));
            }
        }
        WHEN("the reports of the agents are late and some are lost")
        {
            fleet.max_delay_ms = 250;
            fleet.loss_rate = 0.1;
            fleet.duplicate_rate = 0.1;
            for (int i = 0; i < 20; ++i) {
                fleet.submit_ephemeral("s" + std::to_string(i), 2);
                fleet.run(milliseconds(230));
            }
            // The same, where the agent's clock is known less exactly.
            THEN("no stamp lasts longer than 780 ms")
            {
                CHECK(every_stamp_is_bounded());
            }
        }
    }
}

SCENARIO("control is unreachable for longer than a lease", "[entry][stamps]")
{
    GIVEN("an entry whose renewals are not answered")
    {
        stamped_fleet fleet;
        auto const isolated_at = fleet.now;
        fleet.isolated.insert("control.a");
        fleet.run(milliseconds(4000));
        REQUIRE_FALSE(fleet.entries.at("entry.a")->status(fleet.now).lease_valid);

        // Guards against an outage of control that ends the work of the entries, also in the moment
        // in which their leases end.
        THEN("the agents have an unexpired stamp at any time")
        {
            CHECK(fleet.longest_gap("agent.1", isolated_at) == milliseconds(0));
            CHECK(fleet.longest_gap("agent.2", isolated_at) == milliseconds(0));
        }
        // Guards against an outage that doubles the messages of all entries to all agents, since
        // each report of an agent without stamps is answered by an update.
        THEN("the agents get no more updates than under a lease")
        {
            auto const outage = milliseconds(3000);
            auto const begin = fleet.now;
            fleet.run(outage);
            auto const updates = std::count_if(
                fleet.updates.begin(), fleet.updates.end(), [begin](auto const& update) {
                    return update.agent == "agent.1" && update.sent >= begin;
                });
            CHECK(updates <= outage / update_interval + 1);
        }
        // Guards against starts of stored tasks after the lease has ended.
        THEN("no stamp with a lease outlasts the lease")
        {
            auto const leased = [](auto const& stamp) { return stamp.leased; };
            CHECK(fleet.latest_expiry("agent.1", leased) <= isolated_at + lease_duration);
            CHECK(fleet.latest_expiry("agent.2", leased) <= isolated_at + lease_duration);
        }
    }
}

SCENARIO("a view settles while an agent does not answer", "[entry][stamps]")
{
    GIVEN("an isolated agent with stamps of an earlier view")
    {
        stamped_fleet fleet;
        fleet.isolated.insert("agent.1");
        fleet.run(milliseconds(200));
        fleet.control.new_view(fleet);
        auto const number = fleet.control.view.number;

        // Guards against acknowledging a change while the agent may still start tasks on the
        // earlier view.
        THEN("the view settles after their expiry")
        {
            auto const earlier
                = [number](auto const& stamp) { return stamp.leased && stamp.view < number; };
            REQUIRE(fleet.run_until([&] { return fleet.control.settled["entry.a"] == number; }));
            auto const expiry = fleet.latest_expiry("agent.1", earlier);
            REQUIRE(expiry);
            CHECK(fleet.now >= *expiry);
        }
    }
}

SCENARIO("an agent hears its entry and is not heard by it", "[entry][stamps]")
{
    GIVEN("an ephemeral task that runs at the agent")
    {
        auto const outage = GENERATE(false, true);
        stamped_fleet fleet;
        if (outage) {
            fleet.isolated.insert("control.a");
            fleet.run(milliseconds(3000));
        }
        for (auto& [name, agent] : fleet.agents)
            agent.run_time = milliseconds(10'000);
        fleet.submit_ephemeral("s1", 1);
        REQUIRE(fleet.run_until([&] { return fleet.runs.size() == 1; }));
        auto const first = fleet.agents.at("agent.1").records.empty() ? "agent.2" : "agent.1";
        auto const second = fleet.agents.at("agent.1").records.empty() ? "agent.1" : "agent.2";
        // What the entry sends is recorded before it is lost.
        fleet.isolated.insert(first);

        // Guards against a second run while the machine of the first one is suspended, and goes on
        // with it later.
        THEN("the task does not start elsewhere, although the worker's lease would have ended")
        {
            fleet.run(milliseconds(8000));
            auto const expiry = fleet.latest_expiry(first, [](auto const&) { return true; });
            CHECK(fleet.now - *expiry >= longest_worker_lease);
            CHECK(fleet.agents.at(second).records.empty());
        }
        // Guards against stamps for an agent that is not heard: its runs would go on for nothing.
        THEN("the agent gets no further stamp")
        {
            fleet.run(milliseconds(2000));
            auto const expiry = fleet.latest_expiry(first, [](auto const&) { return true; });
            fleet.run(milliseconds(2000));
            CHECK(fleet.latest_expiry(first, [](auto const&) { return true; }) == expiry);
        }
    }
}

SCENARIO("updates leave out a view that the agent has acknowledged", "[entry][stamps]")
{
    GIVEN("an agent that has acknowledged the view of its entry")
    {
        stamped_fleet fleet;
        auto const is_full
            = [](auto const& update) { return !update.view_omitted && update.live_entries > 0; };
        auto const full_updates = [&](protocol::view_number view) {
            return std::count_if(
                fleet.updates.begin(), fleet.updates.end(), [&](auto const& update) {
                    return update.agent == "agent.1" && update.view == view && is_full(update);
                });
        };
        fleet.run(milliseconds(1000));
        fleet.updates.clear();

        // Guards against updates that each carry the names of all entries.
        WHEN("nothing changes")
        {
            fleet.run(milliseconds(2000));
            THEN("its updates carry no part of the view")
            {
                REQUIRE_FALSE(fleet.updates.empty());
                CHECK(
                    std::all_of(fleet.updates.begin(), fleet.updates.end(), [](auto const& update) {
                        return update.view_omitted && update.live_entries == 0;
                    }));
            }
        }
        // Guards against a change that never reaches an agent whose update was lost.
        WHEN("a new view is applied while the agent is cut off")
        {
            fleet.isolated.insert("agent.1");
            fleet.control.new_view(fleet);
            auto const number = fleet.control.view.number;
            fleet.run(milliseconds(500));
            fleet.isolated.clear();
            THEN("the view is sent until the agent acknowledges it")
            {
                REQUIRE(fleet.run_until(
                    [&] { return fleet.agents.at("agent.1").seen_view == number; }));
                CHECK(full_updates(number) >= 2);
            }
        }
        // Guards against a restarted agent that starts tasks in a zone that is out, or refuses all
        // work, because it has never received the view.
        WHEN("the agent restarts")
        {
            fleet.agents.at("agent.1").restart(fleet);
            auto const number = fleet.control.view.number;
            THEN("it gets the view again")
            {
                REQUIRE(fleet.run_until(
                    [&] { return fleet.agents.at("agent.1").seen_view == number; }));
                CHECK(full_updates(number) >= 1);
            }
        }
    }
}
