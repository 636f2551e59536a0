// Fair parts of accounts and how long their jobs may wait. Loads: an account with long jobs and one
// with many short ones, a newcomer, weights and shares, a thousand accounts.

#include <catch2/catch.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "policy/account_fairness.h"
#include "policy/endpoint_table.h"
#include "policy/target_admission.h"
#include "policy/target_queue.h"
#include "policy/worker_reports.h"

namespace {

using namespace greengagehead;
using namespace std::chrono_literals;
using policy::account_fairness;
using policy::account_limits;
using protocol::account_share;

policy::limits_lookup limits_of(std::map<std::string, account_limits> limits)
{
    return [limits = std::move(limits)](std::string const& account) {
        auto const found = limits.find(account);
        return found == limits.end() ? account_limits {} : found->second;
    };
}

account_fairness fairness_of(std::vector<account_share> const& rows,
                             std::map<std::string, account_limits> limits = {})
{
    return {rows, limits_of(std::move(limits))};
}

} // namespace

SCENARIO("accounts compete for too little capacity", "[policy][accounts]")
{
    GIVEN("an account with long jobs that are refused, and one with many short jobs")
    {
        auto const fairness = fairness_of({{"long", 100s, 20s}, {"short", 100s, 80s}});
        // Guards against admission by waiting time alone, which serves the short jobs only.
        THEN("the account below its fair part may wait longer than the one above it")
        {
            CHECK(fairness.fair_part("long") == 50s);
            CHECK(fairness.fair_part("short") == 50s);
            CHECK(fairness.standing("long").wait_percent > 100);
            CHECK(fairness.standing("short").wait_percent < 100);
        }
        // Guards against an account that is above its fair part and is refused altogether.
        THEN("the account above its fair part may still wait")
        {
            CHECK(fairness.standing("short").wait_percent > 0);
        }
    }
    GIVEN("an account that requests little, and two that request more than there is")
    {
        auto const fairness
            = fairness_of({{"little", 5s, 5s}, {"more", 100s, 70s}, {"most", 300s, 25s}});
        // Guards against capacity that is set aside for an account that does not request it.
        THEN("what the first one leaves is divided among the others")
        {
            CHECK(fairness.fair_part("little") == 5s);
            CHECK(fairness.fair_part("more") == 47500ms);
            CHECK(fairness.fair_part("most") == 47500ms);
            CHECK(fairness.standing("little").wait_percent == 100);
        }
    }
    GIVEN("accounts with the weights 1 and 3")
    {
        auto const fairness = fairness_of({{"a", 100s, 40s}, {"b", 100s, 40s}}, {{"b", {3, 100}}});
        // Guards against weights without effect.
        THEN("the fair parts follow the weights")
        {
            CHECK(fairness.fair_part("a") == 20s);
            CHECK(fairness.fair_part("b") == 60s);
            CHECK(fairness.standing("b").wait_percent > fairness.standing("a").wait_percent);
        }
    }
    GIVEN("every account is served all that it requests")
    {
        auto const fairness = fairness_of({{"a", 10s, 10s}, {"b", 90s, 90s}});
        // Guards against a large account that is held back although nobody lacks anything.
        THEN("none is held back")
        {
            CHECK(fairness.standing("a").wait_percent == 100);
            CHECK(fairness.standing("b").wait_percent == 100);
        }
    }
}

SCENARIO("an account requests work for the first time", "[policy][accounts]")
{
    GIVEN("a fleet that is used up by one account")
    {
        auto const fairness = fairness_of({{"large", 1000s, 900s}, {"refused", 10s, 0s}});
        // Guards against an account that is refused because of the use by others, so that it never
        // gets a first task.
        THEN("an account to which nothing was served may wait for its whole slack")
        {
            CHECK(fairness.standing("unknown").newcomer);
            CHECK(fairness.standing("refused").newcomer);
            CHECK_FALSE(fairness.standing("large").newcomer);
        }
    }
    GIVEN("no sums, for example after a change of the leader, or sums without served time")
    {
        // Guards against a fleet whose accounts are all treated as ahead or as newcomers.
        THEN("every account is treated alike")
        {
            account_fairness const none;
            CHECK(none.standing("a").wait_percent == 100);
            CHECK_FALSE(none.standing("a").newcomer);
            auto const unserved = fairness_of({{"a", 10s, 0s}, {"b", 1s, 0s}});
            CHECK(unserved.standing("a").wait_percent == 100);
            CHECK_FALSE(unserved.standing("a").newcomer);
        }
    }
}

SCENARIO("an account has a largest share", "[policy][accounts]")
{
    GIVEN("an account above its share of 30%")
    {
        std::map<std::string, account_limits> const limits {{"a", {1, 30}}};
        // Guards against a share without effect while others wait.
        THEN("its jobs do not wait while another account lacks capacity")
        {
            auto const fairness = fairness_of({{"a", 100s, 40s}, {"b", 100s, 60s}}, limits);
            CHECK(fairness.fair_part("a") == 30s);
            CHECK(fairness.standing("a").wait_percent == 0);
            CHECK(fairness.standing("b").wait_percent > 100);
        }
        // Guards against idle capacity because of a share, when nobody else wants it.
        THEN("its jobs wait as before while no other account lacks any")
        {
            auto const fairness = fairness_of({{"a", 100s, 40s}, {"b", 60s, 60s}}, limits);
            CHECK(fairness.standing("a").wait_percent >= 100);
            // A little of the work has just arrived and is not started yet.
            auto const starting = fairness_of({{"a", 100s, 40s}, {"b", 60s, 59700ms}}, limits);
            CHECK(starting.standing("a").wait_percent >= 100);
        }
    }
}

SCENARIO("a thousand accounts compete", "[policy][accounts]")
{
    GIVEN("accounts that request 1 to 1000 s, and are served 1 s each")
    {
        std::vector<account_share> rows;
        for (int number = 1; number <= 1000; ++number)
            rows.push_back({"account " + std::to_string(number), std::chrono::seconds(number), 1s});
        auto const fairness = fairness_of(rows);
        // Guards against rounding or weights by which fair parts do not add up to what was served.
        THEN("each has its fair part")
        {
            for (auto const& row : rows) {
                CHECK(fairness.fair_part(row.account) == 1s);
                CHECK(fairness.standing(row.account).wait_percent == 100);
            }
        }
    }
}

SCENARIO("jobs of several accounts wait at one entry", "[policy][accounts]")
{
    base::steady_time const now {std::chrono::hours(1)};
    policy::endpoint_table endpoints;
    policy::add_workers(endpoints, 1);
    policy::target_queue queue;
    protocol::job_request job;
    job.tasks.resize(1);
    job.tasks.front().kind = "quote";
    // A job of 1 ms at all slots, which may wait for 100 ms.
    auto const check = [&](policy::account_standing const& standing) {
        return policy::check_target({&job, 8ms, now + 100ms, standing}, endpoints, queue, now);
    };
    auto const fairness = fairness_of({{"flood", 1000s, 90s}, {"small", 20s, 10s}});
    auto const flood = fairness.standing("flood");

    GIVEN("one account has sent jobs until it is refused")
    {
        std::uint32_t jobs = 0;
        std::optional<policy::refusal> refused;
        while (!(refused = check(flood)) && jobs < 1000)
            queue.push({{"flood", jobs++}, "c", 8ms, now + 100ms});
        REQUIRE(refused);
        // Guards against an account that is refused because others have filled the queue.
        THEN("accounts that received less, or nothing, are admitted at the lowest priority too")
        {
            job.priority = 2;
            CHECK_FALSE(check(fairness.standing("unknown")));
            job.priority = 0;
            CHECK_FALSE(check(fairness.standing("small")));
        }
        // Guards against operators who cannot tell a full queue from an account above its part.
        THEN("the reason is the share of the account while others would be admitted")
        {
            CHECK(refused->cause == policy::refusal_cause::account_above_share);
            for (; jobs < 100; ++jobs)
                queue.push({{"flood", jobs}, "c", 8ms, now + 100ms});
            CHECK(check(flood)->cause == policy::refusal_cause::target_missed);
        }
        // Guards against a request that cannot be served in time and is not refused at once.
        THEN("even an account that received nothing is refused when its slack is used up")
        {
            for (; jobs < 100; ++jobs)
                queue.push({{"flood", jobs}, "c", 8ms, now + 100ms});
            CHECK(check(fairness.standing("unknown")));
        }
    }
    GIVEN("an account above its share_percent")
    {
        policy::account_standing const above_share {0, false};
        // Guards against slots that are idle because of a share.
        THEN("its job is accepted while no work waits, and refused while some does")
        {
            CHECK_FALSE(check(above_share));
            queue.push({{"other", 0}, "c", 8ms, now + 50ms});
            CHECK(check(above_share)->cause == policy::refusal_cause::account_above_share);
        }
        // Guards against short jobs that pass the long ones of others by their earlier target.
        THEN("its job is refused while only work with a later target waits")
        {
            queue.push({{"other", 0}, "c", 8ms, now + 500ms});
            CHECK(check(above_share)->cause == policy::refusal_cause::account_above_share);
            CHECK_FALSE(check({}));
        }
    }
}
