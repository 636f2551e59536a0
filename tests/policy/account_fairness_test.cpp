// Fair parts of accounts and how long their jobs may wait. Loads: an account with long jobs and one
// with many short ones, a newcomer, weights and shares, a thousand accounts.

#include <catch2/catch.hpp>

#include <map>
#include <string>
#include <vector>

#include "policy/account_fairness.h"

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
