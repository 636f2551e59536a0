// Use of accounts at entries, its way to the leader and back, and lost renewals. Loads: two entries
// with accounts of uneven use, a thousand accounts.

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "entry/account_usage.h"
#include "entry/simulated_fleet.h"
#include "policy/account_sums.h"

namespace {

using namespace greengagehead;
using namespace greengagehead::test;
using namespace std::chrono_literals;
using entry::account_usage;
using std::chrono::microseconds;

constexpr steady_time start(1000s);
constexpr milliseconds renewal_interval {300};

microseconds served(std::vector<protocol::account_share> const& rows, std::string const& account)
{
    for (auto const& row : rows) {
        if (row.account == account)
            return row.served;
    }
    return microseconds(0);
}

/// Entries that renew at one leader, without a network.
struct renewing_fleet {
    std::vector<account_usage> entries = std::vector<account_usage>(2);
    policy::account_sums leader;
    steady_time now = start;

    /// Each entry is asked for 300 ms of both accounts and serves only "ahead".
    void use()
    {
        this->now += renewal_interval;
        for (auto& usage : this->entries) {
            usage.tick(this->now);
            usage.record_asked("ahead", 300ms, this->now);
            usage.record_served("ahead", 300ms, this->now);
            usage.record_asked("behind", 300ms, this->now);
            usage.record_served("behind", 30ms, this->now);
        }
    }
    void renew(account_usage& usage)
    {
        this->leader.record(usage.take_rows(), this->now);
        usage.apply(this->leader.shares(this->now));
    }
    /// Restores the rows of the renewal before, which got no answer, and sends one that gets none.
    void renew_unanswered(account_usage& usage)
    {
        usage.restore(this->unanswered);
        this->unanswered = usage.take_rows();
    }
    /// The first renewal that is answered again.
    void renew_after_outage(account_usage& usage)
    {
        usage.restore(std::exchange(this->unanswered, {}));
        this->renew(usage);
    }
    std::vector<protocol::account_use> unanswered; ///< Of one entry.
};

} // namespace

SCENARIO("an entry counts the use of accounts for its renewals", "[entry][accounts]")
{
    account_usage usage;
    GIVEN("an account whose job arrived and of which one task was started")
    {
        usage.record_asked("a", 100ms, start);
        usage.record_served("a", 40ms, start);
        // Guards against use that is reported twice.
        THEN("its row is taken once")
        {
            auto const rows = usage.take_rows();
            REQUIRE(rows.size() == 1);
            CHECK(rows.front().account == "a");
            CHECK(rows.front().asked == 100ms);
            CHECK(rows.front().served == 40ms);
            CHECK(usage.take_rows().empty());
        }
        // Guards against an account that is charged for starts that agents refuse.
        THEN("a task that is started again after a refused start counts once")
        {
            usage.record_refused_start("a", 40ms);
            usage.record_served("a", 40ms, start);
            CHECK(usage.take_rows().front().served == 40ms);
            CHECK(usage.metrics({}).at_entry.at("a").served == 40ms);
        }
    }
    GIVEN("a thousand accounts and more, the last ones with the most use")
    {
        for (int number = 0; number < 1200; ++number)
            usage.record_asked("account " + std::to_string(number), 1ms * (number + 1), start);
        // Guards against renewals and memory that grow with the names that callers send.
        THEN("a renewal has the 64 largest rows, and later ones have the others")
        {
            auto const rows = usage.take_rows();
            CHECK(rows.size() == 64);
            CHECK(std::all_of(rows.begin(), rows.end(),
                              [](auto const& row) { return row.asked > 900ms; }));
            std::size_t renewals = 1;
            while (!usage.take_rows().empty())
                ++renewals;
            CHECK(renewals == (policy::max_accounts + 63) / 64);
        }
    }
    // Guards against rows that the leader ignores and that fill the memory of the entry.
    THEN("names that are too long or empty get no row")
    {
        usage.record_asked(std::string(129, 'x'), 1s, start);
        usage.record_asked("", 1s, start);
        CHECK(usage.take_rows().empty());
        CHECK(usage.metrics({}).at_entry.at("other").asked == 2s);
        usage.tick(start);
        usage.apply({{"a", 9s, 3s}});
        CHECK(usage.standing("unknown", start).newcomer);
        CHECK_FALSE(usage.standing(std::string(129, 'x'), start).newcomer);
    }
}

SCENARIO("renewals get no answer for a while", "[entry][accounts]")
{
    renewing_fleet fleet;
    GIVEN("two entries, of which one gets no answers for 6 s")
    {
        for (int round = 0; round < 20; ++round) {
            fleet.use();
            fleet.renew(fleet.entries[0]);
            fleet.renew_unanswered(fleet.entries[1]);
        }
        auto& cut_off = fleet.entries[1];
        // Guards against a standing by sums that say nothing about the present any more.
        THEN("the entry that is cut off treats all accounts alike")
        {
            CHECK(cut_off.standing("behind", fleet.now).wait_percent == 100);
            CHECK(cut_off.standing("ahead", fleet.now).wait_percent == 100);
            CHECK(fleet.entries[0].standing("behind", fleet.now).wait_percent > 100);
        }
        // Guards against rows that are lost with a renewal, or counted for each renewal that was
        // lost: the sum must be as if every renewal had been answered.
        THEN("its first renewal that is answered makes up for the lost ones")
        {
            auto const before = served(fleet.leader.shares(fleet.now), "ahead");
            fleet.renew_after_outage(cut_off);
            auto const after = served(fleet.leader.shares(fleet.now), "ahead");
            auto const difference = after - 2 * before;
            CHECK(std::chrono::abs(difference) < 10ms);
            fleet.renew(cut_off);
            CHECK(served(fleet.leader.shares(fleet.now), "ahead") == after);
        }
    }
    GIVEN("a leader that is replaced")
    {
        for (int round = 0; round < 20; ++round) {
            fleet.use();
            for (auto& usage : fleet.entries)
                fleet.renew(usage);
        }
        auto const before = fleet.entries[0].standing("behind", fleet.now).wait_percent;
        fleet.leader = {};
        // Guards against a new leader without sums that starves an account or forgets who is ahead.
        THEN("the account that is behind keeps its precedence after one renewal of each entry")
        {
            CHECK(fleet.entries[0].standing("behind", fleet.now).wait_percent == before);
            fleet.use();
            for (auto& usage : fleet.entries)
                fleet.renew(usage);
            for (auto const& usage : fleet.entries) {
                CHECK(usage.standing("behind", fleet.now).wait_percent > 100);
                CHECK(usage.standing("ahead", fleet.now).wait_percent < 100);
                CHECK(usage.standing("ahead", fleet.now).wait_percent > 0);
            }
        }
    }
}

SCENARIO("the fleet settings of an account change at run time", "[entry][accounts]")
{
    GIVEN("an entry with the sums of two accounts that compete")
    {
        account_usage usage;
        usage.tick(start);
        usage.apply({{"a", 100s, 50s}, {"b", 100s, 50s}});
        CHECK(usage.standing("a", start).wait_percent == 100);
        // Guards against settings that take effect with a restart only.
        THEN("they take effect at once")
        {
            usage.set_limits({{"a", {3, 100}}});
            CHECK(usage.standing("a", start).wait_percent > 100);
            CHECK(usage.standing("b", start).wait_percent < 100);
            usage.set_limits({{"a", {1, 30}}});
            CHECK(usage.standing("a", start).wait_percent == 0);
        }
    }
}

SCENARIO("an entry refuses the jobs of an account", "[entry][accounts]")
{
    GIVEN("an entry that knows no endpoint")
    {
        simulated_fleet fleet(1);
        auto& entry = fleet.add_entry("entry.a", "recife");
        fleet.run(milliseconds(500));
        auto request = make_job("s1", 2, false);
        request.ephemeral = true;
        fleet.submit("entry.a", request);
        fleet.run(milliseconds(100));
        // Guards against refusals that operators do not see by account and reason.
        THEN("the refusal is counted with its reason, and nothing as served")
        {
            auto const metrics = entry.accounts();
            auto const& row = metrics.at_entry.at(request.team);
            CHECK(row.refused.at(static_cast<std::size_t>(policy::refusal_cause::no_endpoint))
                  == 1);
            CHECK(row.served == 0ms);
        }
    }
    GIVEN("an entry with an agent")
    {
        simulated_fleet fleet(1);
        auto& entry = fleet.add_entry("entry.a", "recife");
        fleet.add_agent("agent.1", "recife");
        fleet.run(milliseconds(500));
        auto request = make_job("s1", 2, false);
        request.ephemeral = true;
        for (auto& task : request.tasks)
            task.expected = 30ms;
        fleet.submit("entry.a", request);
        fleet.run(milliseconds(300));
        // Guards against use that is counted for each attempt or for each message.
        THEN("what the job requested was served")
        {
            auto const metrics = entry.accounts();
            auto const& row = metrics.at_entry.at(request.team);
            CHECK(row.asked == 60ms);
            CHECK(row.served == 60ms);
            CHECK(metrics.waiting.empty());
        }
    }
}
