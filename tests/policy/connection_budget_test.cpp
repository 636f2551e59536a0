// Which connections are refused and closed when clients hold too much, too many, or for too long.

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>

#include "policy/connection_budget.h"

namespace {

using namespace greengagehead::policy;
using greengagehead::base::steady_time;
using std::chrono::milliseconds;
using stage = connection_stage;

constexpr std::size_t mebibyte = 1UL << 20U;
constexpr std::size_t ordinary_request = 4'500; // A spec of 4,000 bytes with its headers.

/// A machine with 128 MiB: 32 MiB for all connections, 24 MiB for one of them.
connection_limits small_machine()
{
    connection_limits limits;
    limits.budget_bytes = 32 * mebibyte;
    limits.connection_bytes = 24 * mebibyte;
    limits.connections = 200;
    limits.address_connections = 150;
    return limits;
}

struct budget_fixture {
    connection_budget budget {small_machine()};
    steady_time now {milliseconds(1'000'000)};
    connection_id last_id = 0;

    connection_id open(std::string const& address, stage begin = stage::idle)
    {
        auto const id = ++this->last_id;
        REQUIRE_FALSE(this->budget.open(id, address, begin, this->now).refused);
        return id;
    }

    std::vector<closed_connection> hold(connection_id id, std::size_t bytes)
    {
        this->budget.enter(id, stage::reading, this->now);
        return this->budget.hold(id, bytes, this->now);
    }
};

bool names(std::vector<closed_connection> const& closed, connection_id id)
{
    return std::any_of(closed.begin(), closed.end(),
                       [id](auto const& item) { return item.id == id; });
}

} // namespace

SCENARIO_METHOD(budget_fixture, "a crowd holds more bytes than the process may", "[limits]")
{
    GIVEN("an ordinary caller that waits for its answer, and a crowd that sends large bodies")
    {
        auto const caller = this->open("10.0.0.1");
        this->hold(caller, ordinary_request);
        this->budget.enter(caller, stage::answering, this->now);
        this->now += milliseconds(1'500);
        std::vector<connection_id> crowd;
        for (int index = 0; index < 60; ++index)
            crowd.push_back(this->open("10.0.0.2"));

        WHEN("each of the crowd sends up to 1 MiB in parts")
        {
            std::vector<closed_connection> closed;
            std::size_t highest = 0;
            for (std::size_t bytes = mebibyte / 16; bytes <= mebibyte; bytes += mebibyte / 16) {
                this->now += milliseconds(10);
                for (auto const id : crowd) {
                    auto const more = this->budget.hold(id, bytes, this->now);
                    closed.insert(closed.end(), more.begin(), more.end());
                    highest = std::max(highest, this->budget.held_bytes());
                }
            }
            // Guards against a process that runs out of memory.
            THEN("the bytes stay within the budget")
            {
                CHECK_FALSE(closed.empty());
                CHECK(highest <= 32 * mebibyte);
            }
            // Guards against a caller that loses its answer because of a crowd.
            THEN("the ordinary caller is not closed")
            {
                CHECK_FALSE(names(closed, caller));
            }
        }
    }
    GIVEN("two connections that hold the same, one of them for longer")
    {
        auto const older = this->open("10.0.0.1");
        this->hold(older, 11 * mebibyte);
        this->now += milliseconds(500);
        auto const newer = this->open("10.0.0.2");
        this->hold(newer, 11 * mebibyte);
        this->now += milliseconds(100);
        WHEN("a third one exceeds the budget")
        {
            auto const third = this->open("10.0.0.3");
            auto const closed = this->hold(third, 11 * mebibyte);
            // Guards against a slow sender that keeps its memory while others lose theirs.
            THEN("only the one that has held it for longer is closed")
            {
                REQUIRE(closed.size() == 1);
                CHECK(closed.front().id == older);
                CHECK(closed.front().reason == close_reason::budget);
                CHECK(this->budget.held_bytes() == 22 * mebibyte);
            }
        }
    }
    GIVEN("one connection")
    {
        auto const only = this->open("10.0.0.1");
        // Guards against a limit that a single request inside the limits reaches.
        WHEN("it holds a body of 16 MiB, the largest of an operator")
        {
            THEN("it stays open")
            {
                CHECK(this->hold(only, 16 * mebibyte + 16'384).empty());
            }
        }
        // Guards against one connection that uses up the budget of all.
        WHEN("it holds more than one connection may")
        {
            auto const closed = this->hold(only, 25 * mebibyte);
            THEN("it is closed once, and its bytes no longer count")
            {
                REQUIRE(closed.size() == 1);
                CHECK(closed.front().reason == close_reason::connection_bytes);
                CHECK(this->budget.held_bytes() == 0);
                CHECK(this->hold(only, 26 * mebibyte).empty());
                this->budget.close(only);
                CHECK(this->budget.held_bytes() == 0);
                CHECK(this->budget.size() == 0);
            }
        }
    }
}

SCENARIO_METHOD(budget_fixture, "there are more connections than the process may have", "[limits]")
{
    GIVEN("a crowd of idle connections from many addresses that fills the process")
    {
        for (int index = 0; index < 200; ++index)
            this->open("10.1.0." + std::to_string(index));
        WHEN("an ordinary caller connects a little later")
        {
            this->now += milliseconds(500);
            auto const verdict = this->budget.open(1'000, "10.0.0.1", stage::idle, this->now);
            // Guards against a crowd that keeps all others out by doing nothing.
            THEN("it is accepted in the place of one that has waited")
            {
                CHECK_FALSE(verdict.refused);
                REQUIRE(verdict.victim);
                CHECK(verdict.victim->id <= 200);
                CHECK(verdict.victim->reason == close_reason::connections);
            }
        }
        // Guards against new connections that close each other before they can send anything.
        WHEN("more of them arrive at the same time")
        {
            auto const verdict = this->budget.open(1'000, "10.0.0.1", stage::idle, this->now);
            THEN("they are refused")
            {
                CHECK(verdict.refused == close_reason::connections);
                CHECK_FALSE(verdict.victim);
            }
        }
        // Guards against running out of descriptors while a listener does not close connections.
        WHEN("100 connect a little later, before a listener has closed any")
        {
            this->now += milliseconds(500);
            std::size_t refused = 0;
            for (connection_id id = 1'000; id < 1'100; ++id) {
                auto const verdict = this->budget.open(id, "10.2.0.1", stage::idle, this->now);
                if (verdict.refused == close_reason::connections)
                    ++refused;
            }
            THEN("a sixteenth more than the limit is accepted")
            {
                CHECK(this->budget.size() == 212);
                CHECK(refused == 88);
            }
        }
        // Guards against work that is given up for a new connection.
        WHEN("the requests of all of them are handled")
        {
            for (connection_id id = 1; id <= 200; ++id)
                this->budget.enter(id, stage::answering, this->now);
            this->now += milliseconds(500);
            THEN("a new one is refused")
            {
                CHECK(this->budget.open(1'000, "10.0.0.1", stage::idle, this->now).refused
                      == close_reason::connections);
            }
        }
    }
    GIVEN("as many connections from one address as it may have, and one from another")
    {
        auto const other = this->open("10.0.0.1");
        this->now += milliseconds(500);
        for (int index = 0; index < 150; ++index)
            this->open("10.1.0.1");
        this->now += milliseconds(500);
        WHEN("the address opens one more")
        {
            auto const verdict = this->budget.open(1'000, "10.1.0.1", stage::idle, this->now);
            // Guards against a caller that is closed because of the connections of another one.
            THEN("one of its own is closed")
            {
                REQUIRE(verdict.victim);
                CHECK(verdict.victim->id != other);
                CHECK(verdict.victim->reason == close_reason::address_connections);
            }
        }
    }
}

SCENARIO_METHOD(budget_fixture, "a client is slow", "[limits]")
{
    struct slow_client {
        stage where;
        milliseconds inside_limits;
        milliseconds limit;
        close_reason reason;
    };
    // What clients inside the limits take: 3 s for the headers and 1 s for a body of 1 MiB, 15 s
    // between requests, and a handshake of a few round trips.
    auto const slow = GENERATE(slow_client {stage::reading, milliseconds(4'000),
                                            milliseconds(30'000), close_reason::request_timeout},
                               slow_client {stage::writing, milliseconds(4'000),
                                            milliseconds(30'000), close_reason::answer_timeout},
                               slow_client {stage::idle, milliseconds(15'000), milliseconds(45'000),
                                            close_reason::idle_timeout},
                               slow_client {stage::handshake, milliseconds(1'000),
                                            milliseconds(5'000), close_reason::handshake_timeout});
    GIVEN("a connection in a stage that waits for the client")
    {
        auto const id = this->open("10.0.0.1");
        this->budget.enter(id, slow.where, this->now);
        // Guards against timeouts that clients inside the limits reach.
        WHEN("it takes as long as a client inside the limits may")
        {
            this->now += slow.inside_limits;
            THEN("it stays open")
            {
                CHECK(this->budget.overdue(this->now).empty());
            }
        }
        // Guards against connections that are kept for good.
        WHEN("it takes longer than the limit")
        {
            this->now += slow.limit + milliseconds(1);
            auto const closed = this->budget.overdue(this->now);
            THEN("it is closed once, with the reason")
            {
                REQUIRE(closed.size() == 1);
                CHECK(closed.front().reason == slow.reason);
                CHECK(this->budget.overdue(this->now).empty());
            }
        }
    }
    GIVEN("a request that is handled for ten minutes")
    {
        auto const id = this->open("10.0.0.1");
        this->budget.enter(id, stage::answering, this->now);
        this->now += std::chrono::minutes(10);
        // Guards against a time limit of connections that cuts off a caller of a long job.
        THEN("it stays open")
        {
            CHECK(this->budget.overdue(this->now).empty());
        }
    }
}
