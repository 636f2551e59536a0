// Shares of the slots by demand. The load: 14 entries, each of which gets 60 jobs per second that
// need 244 s of slot time, except for some that get more or less of it.

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <numeric>
#include <string>
#include <vector>

#include <rapidcheck/catch.h>

#include "policy/capacity_shares.h"
#include "policy/demand_meter.h"
#include "policy/worker_reports.h"

namespace {

using namespace greengagehead;
using namespace greengagehead::policy;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr microseconds usual_demand = seconds(244);

std::string name_of(std::size_t index)
{
    return "entry." + std::to_string(index);
}

std::vector<share_member> members_with(std::vector<double> const& factors,
                                       base::steady_time now = time_at(0))
{
    std::vector<share_member> members;
    for (auto const factor : factors) {
        auto const arriving = std::chrono::duration_cast<microseconds>(usual_demand * factor);
        members.push_back({name_of(members.size()), true, true, true, arriving, 0, now});
    }
    return members;
}

std::uint32_t sum_of(std::vector<std::uint32_t> const& weights)
{
    return std::accumulate(weights.begin(), weights.end(), 0U);
}

/// Entries with their tables, and a leader that may be replaced. Messages are delivered at once, or
/// not at all.
struct share_world {
    struct member {
        share_follower follower;
        share_member known; ///< As the leader knows it.
        std::vector<protocol::capacity_shares> answers; ///< To this incarnation.
    };
    std::vector<member> entries;
    share_issuer leader;
    std::uint64_t term = 0;
    base::steady_time now = time_at(0);

    explicit share_world(std::vector<double> const& factors)
    {
        for (auto const& initial : members_with(factors))
            this->entries.push_back({{}, initial, {}});
        this->elect();
    }
    void elect()
    {
        this->leader.reset(++this->term << 32U);
        for (auto& entry : this->entries)
            entry.known.renewed = false;
    }
    [[nodiscard]] std::vector<share_member> members() const
    {
        std::vector<share_member> all;
        for (auto const& entry : this->entries)
            all.push_back(entry.known);
        return all;
    }
    void renew(std::size_t index, bool answered = true)
    {
        auto& entry = this->entries[index];
        entry.known.renewed = true;
        entry.known.renewed_at = this->now;
        entry.known.applied_table = entry.follower.applied();
        this->leader.update(this->members(), this->now);
        entry.answers.push_back(this->leader.current());
        if (answered)
            entry.follower.on_grant(entry.answers.back());
    }
    void restart(std::size_t index)
    {
        this->entries[index].follower = {};
        this->entries[index].answers.clear();
    }
    void renew_all(int rounds = 1)
    {
        for (int round = 0; round < rounds; ++round) {
            this->now += milliseconds(300);
            for (std::size_t index = 0; index < this->entries.size(); ++index)
                this->renew(index);
        }
    }
    [[nodiscard]] std::vector<std::string> names() const
    {
        std::vector<std::string> all;
        for (auto const& entry : this->entries)
            all.push_back(entry.known.name);
        return all;
    }
    /// Part of the entry in one endpoint.
    [[nodiscard]] std::uint32_t part(std::size_t index, bool lease_valid = true) const
    {
        endpoint_table table;
        table.set_entries(this->entries[index].follower.in_use(this->names(), lease_valid),
                          this->entries[index].known.name);
        auto report = worker_report(0);
        report.endpoints[0].slots = 640;
        table.set_agent_registered(report.agent);
        table.update(report, this->now);
        return table.find("e0")->entry_share;
    }
    [[nodiscard]] std::uint32_t part_sum() const
    {
        std::uint32_t sum = 0;
        for (std::size_t index = 0; index < this->entries.size(); ++index)
            sum += this->part(index);
        return sum;
    }
};

} // namespace

SCENARIO("weights follow the demands", "[policy][shares]")
{
    GIVEN("14 entries, four of which get twice as much work as the others")
    {
        std::vector<double> factors(14, 1.0);
        std::fill_n(factors.begin(), 4, 2.0);
        auto const weights = weights_by_demand(members_with(factors));
        // Guards against refusals at busy entries while the parts of others are idle.
        THEN("their weights are twice as large")
        {
            CHECK(sum_of(weights) == share_units);
            for (std::size_t index = 0; index < weights.size(); ++index) {
                auto const expected = share_units * factors[index] / 18;
                CHECK(weights[index] == Approx(expected).margin(1));
            }
        }
    }
    GIVEN("an entry without any demand")
    {
        std::vector<double> factors(14, 1.0);
        factors[3] = 0;
        auto const weights = weights_by_demand(members_with(factors));
        // Guards against an entry that has no slots when its first jobs arrive.
        THEN("it keeps a quarter of an equal part")
        {
            CHECK(weights[3] == Approx(share_units / 14.0 / 4).margin(1));
            CHECK(sum_of(weights) == share_units);
        }
    }
    GIVEN("an entry that has just started")
    {
        auto members = members_with({1, 1, 1, 0});
        members[3].demand_settled = false;
        // Guards against a small part of an entry whose demand has not been measured yet.
        THEN("it gets the mean part")
        {
            CHECK(weights_by_demand(members) == std::vector<std::uint32_t>(4, 250));
        }
    }
    GIVEN("an entry that does not send its demand")
    {
        auto members = members_with({3, 1, 1, 1});
        members[2].sends_demand = false;
        // Guards against slots counted twice by an entry that assumes equal parts.
        THEN("all parts are equal")
        {
            CHECK(weights_by_demand(members) == std::vector<std::uint32_t>(4, 250));
        }
    }
    // Guards against slots that nobody or several entries count, for any demands and slots.
    THEN("weights and parts always add up, and no weight is below the minimum")
    {
        rc::prop("sums", [] {
            std::vector<double> factors(*rc::gen::inRange<std::size_t>(1, 36));
            for (auto& factor : factors)
                factor = *rc::gen::inRange(0, 50) / 10.0;
            auto const weights = weights_by_demand(members_with(factors));
            RC_ASSERT(sum_of(weights) == share_units);
            auto const smallest = share_units / factors.size() / min_part_divisor;
            RC_ASSERT(*std::min_element(weights.begin(), weights.end()) >= smallest);
            std::vector<std::string> names;
            for (std::size_t index = 0; index < weights.size(); ++index)
                names.push_back(name_of(index));
            std::vector<weighted_user> users;
            for (std::size_t index = 0; index < weights.size(); ++index)
                users.push_back({&names[index], weights[index]});
            auto const slots = *rc::gen::inRange<std::uint32_t>(0, 700);
            std::uint32_t sum = 0;
            for (std::size_t index = 0; index < users.size(); ++index)
                sum += part_of(users, index, slots);
            RC_ASSERT(sum == slots);
        });
    }
}

SCENARIO("a table is issued only when it helps", "[policy][shares]")
{
    share_issuer leader;
    leader.reset(0);
    GIVEN("demands that differ from equal ones by less than a tenth")
    {
        // Guards against a new table at every renewal because of small variations.
        THEN("there is no table")
        {
            CHECK_FALSE(leader.update(members_with({1.05, 1, 0.96, 1}), time_at(0)));
            CHECK(leader.current().number == 0);
        }
    }
    GIVEN("an entry that has not renewed at this leader")
    {
        auto members = members_with({3, 1, 1, 1});
        members[1].renewed = false;
        // Guards against a table from the demands of some of the entries after a change of leader.
        THEN("there is no table until it has")
        {
            CHECK_FALSE(leader.update(members, time_at(0)));
            members[1].renewed = true;
            CHECK(leader.update(members, time_at(0)));
        }
    }
    GIVEN("a table")
    {
        REQUIRE(leader.update(members_with({3, 1, 1, 1}), time_at(0)));
        auto const first = leader.current();
        auto changed = members_with({1, 3, 1, 1}, time_at(400));
        // Guards against two entries that count the same slot during two changes at once.
        WHEN("one entry has not applied it")
        {
            for (std::size_t index = 0; index < 3; ++index)
                changed[index].applied_table = first.number;
            THEN("it is neither settled nor replaced")
            {
                CHECK_FALSE(leader.update(changed, time_at(400)));
                CHECK(leader.current().settled == 0);
            }
        }
        WHEN("all have applied it and the demands have changed")
        {
            for (auto& member : changed)
                member.applied_table = first.number;
            THEN("it is settled and replaced, but not within a renewal")
            {
                CHECK_FALSE(leader.update(changed, time_at(200)));
                CHECK(leader.current().settled == first.number);
                CHECK(leader.update(changed, time_at(400)));
                CHECK(leader.current().number > first.number);
                CHECK(leader.current().settled == first.number);
            }
        }
        // Guards against a part that stays unused because its entry has left the view.
        WHEN("an entry has left the view")
        {
            changed.pop_back();
            for (auto& member : changed)
                member.applied_table = first.number;
            THEN("a table of the others replaces it")
            {
                REQUIRE(leader.update(changed, time_at(400)));
                CHECK(leader.current().entries.size() == 3);
            }
        }
        // Guards against unused slots of a table that cannot be settled.
        WHEN("an entry is silent")
        {
            for (auto& member : changed)
                member.applied_table = first.number;
            changed[2].renewed_at = time_at(400);
            THEN("the table stays")
            {
                CHECK_FALSE(leader.update(changed, time_at(1200)));
            }
        }
    }
}

SCENARIO("an entry counts on its smallest part during a change", "[policy][shares]")
{
    share_world world({2, 1, 1, 1});
    REQUIRE(world.part(0) == 0);
    world.renew(0);
    // Guards against an entry without a part after a power loss, until the demands are known.
    REQUIRE(world.part(0) == 160);
    world.renew_all(4);
    REQUIRE(world.part(0) == 256);
    REQUIRE(world.part_sum() == 640);

    WHEN("another entry becomes the busy one")
    {
        world.entries[0].known.arriving = usual_demand;
        world.entries[1].known.arriving = usual_demand * 2;
        world.renew_all();
        // Guards against slots that are counted by the entry that loses them and the one that
        // gains them.
        THEN("the loser gives up its part before the gainer uses it")
        {
            CHECK(world.part(0) == 128);
            CHECK(world.part(1) == 128);
            world.renew_all(2);
            CHECK(world.part(1) == 256);
            CHECK(world.part_sum() == 640);
        }
    }
    // Guards against a part of a former table that others count on by now.
    WHEN("a late answer brings a former table after a newer one is settled")
    {
        auto const late = world.entries[0].answers.back();
        world.entries[0].known.arriving = usual_demand;
        world.entries[1].known.arriving = usual_demand * 2;
        world.renew_all(4);
        world.entries[0].follower.on_grant(late);
        THEN("the part is that of the newer one")
        {
            CHECK(world.part(0) == 128);
            CHECK(world.part_sum() == 640);
        }
    }
    WHEN("an entry has lost its lease")
    {
        // Guards against a large part of an entry that others may soon count as gone.
        THEN("its part is at most the equal one")
        {
            CHECK(world.part(0, false) == 160);
            CHECK(world.part(1, false) == 128);
        }
    }
    WHEN("an entry joins")
    {
        world.entries.push_back({{}, members_with({1}, world.now).front(), {}});
        world.entries.back().known.name = "entry.9";
        world.renew(4);
        // Guards against a new entry that counts on equal parts while the slots are divided.
        THEN("it has no part until its table is settled")
        {
            CHECK(world.part(4) == 0);
            CHECK(world.part_sum() <= 640);
            world.renew_all(4);
            CHECK(world.part(4) == Approx(640.0 / 6).margin(2));
            CHECK(world.part_sum() == 640);
        }
    }
    WHEN("an entry restarts")
    {
        world.restart(0);
        REQUIRE(world.part(0) == 0);
        world.renew(0);
        // Guards against a restarted entry without its part, which its name still holds.
        THEN("it has its part with the first grant")
        {
            CHECK(world.part(0) == 256);
        }
    }
}

SCENARIO("the leader changes while entries know different tables", "[policy][shares]")
{
    share_world world({2, 1, 1, 1});
    world.renew_all(4);
    GIVEN("a new leader that has heard of one entry")
    {
        world.elect();
        world.renew(0, false);
        // Guards against an equal part of a new entry while the others act on a table.
        WHEN("an entry restarts")
        {
            world.restart(1);
            world.renew(1);
            THEN("it has no part")
            {
                CHECK(world.part(1) == 0);
            }
        }
    }
    GIVEN("a table that is settled, which only the gainer knows")
    {
        world.entries[0].known.arriving = usual_demand;
        world.entries[1].known.arriving = usual_demand * 2;
        world.renew_all();
        for (auto const index : {0U, 2U, 3U, 1U})
            world.renew(index, index == 1);
        REQUIRE(world.part(1) == 256);
        // Guards against a loser that forgets the table which the gainer acts on.
        WHEN("a new leader issues a table that gives the slots back")
        {
            world.entries[0].known.arriving = usual_demand * 2;
            world.entries[1].known.arriving = usual_demand;
            world.elect();
            for (std::size_t index = 0; index < 4; ++index)
                world.renew(index, false);
            world.renew(0);
            THEN("the loser does not use them before that table is settled")
            {
                CHECK(world.part(0) == 128);
                CHECK(world.part_sum() <= 640);
                world.renew_all(3);
                CHECK(world.part(0) == 256);
            }
        }
    }
}

// Guards against slots counted twice after any sequence of renewals, lost answers, changes of the
// demands, changes of the leader and restarts of entries.
SCENARIO("no slot is counted by two entries", "[policy][shares]")
{
    rc::prop("the parts never exceed the slots", [] {
        share_world world({2, 1, 1, 1});
        world.renew_all(4);
        for (int step = 0; step < 60; ++step) {
            auto const index = *rc::gen::inRange<std::size_t>(0, 4);
            auto& entry = world.entries[index];
            switch (*rc::gen::inRange(0, 12)) {
            case 0:
                world.elect();
                for (std::size_t other = 0; other < 4; ++other)
                    world.renew(other, false);
                break;
            case 1:
                world.restart(index);
                break;
            case 5: // A late answer.
                if (world.entries[index].follower.applied() != 0 && !entry.answers.empty())
                    entry.follower.on_grant(
                        entry.answers[*rc::gen::inRange<std::size_t>(0, entry.answers.size())]);
                break;
            case 2:
            case 3:
                entry.known.arriving = usual_demand * *rc::gen::inRange(0, 5);
                break;
            case 4:
                world.now += milliseconds(300);
                break;
            default:
                world.now += milliseconds(50);
                world.renew(index, *rc::gen::inRange(0, 4) != 0);
            }
            RC_ASSERT(world.part_sum() <= 640);
        }
        // Guards against parts that never return.
        world.renew_all(8);
        RC_ASSERT(world.part_sum() == 640);
    });
}

SCENARIO("the demand of an entry", "[policy][shares]")
{
    demand_meter meter;
    CHECK(meter.per_second(time_at(0)).count() == 0);
    for (int step = 0; step <= 20; ++step)
        meter.add(milliseconds(100), time_at(100 + step * 100));
    // Guards against a rate that is too low during the first averaging time, or never forgets.
    THEN("is the rate of the work that arrived during the last second")
    {
        CHECK(meter.per_second(time_at(2100)).count() == Approx(1e6).epsilon(0.1));
        CHECK(meter.per_second(time_at(7100)).count() < 10'000);
    }
}
