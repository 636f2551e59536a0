// Decaying sums of what accounts request and receive. Load: renewals of 14 entries every 300 ms, a
// thousand accounts, names of arbitrary bytes.

#include <catch2/catch.hpp>

#include <algorithm>
#include <limits>
#include <string>
#include <vector>

#include "policy/account_sums.h"
#include "protocol/codec.h"

namespace {

using namespace greengagehead;
using namespace std::chrono_literals;
using protocol::account_share;
using protocol::account_use;
using std::chrono::microseconds;

constexpr base::steady_time start(std::chrono::seconds(1000));

account_share const* find(std::vector<account_share> const& rows, std::string const& account)
{
    auto const found = std::find_if(rows.begin(), rows.end(),
                                    [&](auto const& row) { return row.account == account; });
    return found == rows.end() ? nullptr : &*found;
}

} // namespace

SCENARIO("entries report the use of accounts", "[policy][accounts]")
{
    GIVEN("sums of two accounts over two entries")
    {
        policy::account_sums sums;
        sums.record({{"long", 8s, 4s}, {"short", 2s, 2s}}, start);
        sums.record({{"long", 8s, 4s}}, start);
        // Guards against sums of one entry that replace those of another one.
        THEN("the rows of all entries are added")
        {
            auto const rows = sums.shares(start);
            REQUIRE(rows.size() == 2);
            CHECK(find(rows, "long")->asked == 16s);
            CHECK(find(rows, "long")->served == 8s);
            CHECK(find(rows, "short")->served == 2s);
        }
        // Guards against an account that is held against its use of long ago.
        THEN("half of a sum is left after each half-life")
        {
            CHECK(find(sums.shares(start + 5s), "long")->served == 4s);
            CHECK(find(sums.shares(start + 10s), "short")->asked == 500ms);
        }
        // Guards against memory and messages that keep accounts without recent use.
        THEN("an account without use is dropped, and one with use is kept")
        {
            for (auto time = start + 1s; time <= start + 120s; time += 1s)
                sums.record({{"short", 10ms, 10ms}}, time);
            CHECK(sums.size() == 1);
            CHECK(find(sums.shares(start + 120s), "long") == nullptr);
        }
        // Guards against a reading that is earlier than the last one, for example after a pause.
        THEN("an earlier time changes nothing")
        {
            sums.record({}, start - 60s);
            CHECK(find(sums.shares(start), "long")->asked == 16s);
        }
    }
    GIVEN("steady use of one account at 1 s of slot time per second")
    {
        policy::account_sums sums;
        for (auto time = start; time < start + 60s; time += 300ms)
            sums.record({{"steady", 300ms, 300ms}}, time);
        // Guards against sums that grow without bound or depend on the renewal interval.
        THEN("the sum is the use of half-life / ln 2")
        {
            auto const served = find(sums.shares(start + 60s), "steady")->served;
            CHECK(served > 6900ms);
            CHECK(served < 7500ms);
        }
    }
}

SCENARIO("a thousand accounts and more are reported", "[policy][accounts]")
{
    policy::account_sums sums;
    for (int message = 0; message < 40; ++message) {
        std::vector<account_use> rows;
        for (int row = 0; row < 64; ++row) {
            auto const number = message * 64 + row;
            auto const time = number % 2 == 0 ? 1s : 10s;
            rows.push_back({"account " + std::to_string(number), time, time});
        }
        sums.record(rows, start);
    }
    // Guards against memory of the leader that callers can fill by inventing accounts.
    THEN("the thousand largest are kept")
    {
        CHECK(sums.size() == policy::max_accounts);
        auto const rows = sums.shares(start);
        CHECK(rows.size() == policy::max_accounts);
        CHECK(std::all_of(rows.begin(), rows.end(),
                          [](auto const& row) { return row.asked == 10s; }));
    }
}

SCENARIO("rows are outside the limits", "[policy][accounts]")
{
    policy::account_sums sums;
    // Guards against a faulty entry that overflows sums, makes them negative or fills memory.
    THEN("they are ignored or limited")
    {
        auto const largest = microseconds(std::numeric_limits<std::int64_t>::max());
        auto const smallest = microseconds(std::numeric_limits<std::int64_t>::min());
        sums.record({{"", 1s, 1s}, {std::string(129, 'a'), 1s, 1s}}, start);
        CHECK(sums.size() == 0);
        sums.record({{"a", smallest, smallest}, {"b", largest, largest}}, start);
        for (int round = 0; round < 1000; ++round)
            sums.record({{"a", 1s, -1s}, {"b", largest, largest}}, start);
        auto const rows = sums.shares(start);
        CHECK(find(rows, "a")->asked == 1000s);
        CHECK(find(rows, "a")->served == 0s);
        CHECK(find(rows, "b")->served > std::chrono::hours(24 * 365 * 1000));
    }
    // Guards against a message whose rows take the leader's time without limit.
    THEN("only the first 64 rows of a message count")
    {
        std::vector<account_use> rows;
        for (int row = 0; row < 1000; ++row)
            rows.push_back({"account " + std::to_string(row), 1s, 1s});
        sums.record(rows, start);
        CHECK(sums.size() == policy::max_account_rows);
    }
    // Guards against names that cannot be sent back to the entries.
    THEN("names of arbitrary bytes come back unchanged")
    {
        std::string name("\xff\x00\n\"\\{}", 7);
        sums.record({{name, 1s, 1s}}, start);
        protocol::grant_lease grant;
        grant.shares.emplace().accounts = sums.shares(start);
        auto const decoded = protocol::decode_message(protocol::encode(protocol::message(grant)));
        REQUIRE(decoded);
        auto const& received = std::get<protocol::grant_lease>(decoded.value());
        REQUIRE(received.shares);
        REQUIRE(received.shares->accounts.size() == 1);
        CHECK(received.shares->accounts.front().account == name);
    }
}
