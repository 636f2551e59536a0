// How the memory for unread bytes is divided among the connections of a process.

#include <catch2/catch.hpp>

#include <algorithm>

#include "policy/connection_budget.h"
#include "policy/unread_bytes.h"

using namespace greengagehead::policy;

namespace {

constexpr std::size_t mebibyte = 1UL << 20U;
constexpr std::size_t min_buffer = 16'384;
constexpr std::size_t pending = 516;

std::size_t largest_sum(unread_limits const& limits, std::size_t pending_connections)
{
    return (most_open_connections(limits.connections) + pending_connections)
        * limits.receive_buffer_bytes;
}

} // namespace

SCENARIO("unread bytes of all connections fit into their part of the memory", "[limits]")
{
    GIVEN("few connections and much memory")
    {
        auto const limits = divide_unread_bytes({256 * mebibyte, 100, pending, min_buffer});
        THEN("each has the buffer that the kernel gives by itself")
        {
            CHECK(limits.connections == 100);
            CHECK(limits.receive_buffer_bytes == max_receive_buffer_bytes);
        }
    }
    GIVEN("a memory in which each connection has more than the least buffer")
    {
        auto const limits = divide_unread_bytes({30 * mebibyte, 192, pending, min_buffer});
        THEN("the buffers take all of it, and all connections are kept")
        {
            CHECK(limits.connections == 192);
            CHECK(limits.receive_buffer_bytes == 30 * mebibyte / (192 + 12 + pending));
        }
    }
    GIVEN("more connections than have the least buffer")
    {
        auto const limits = divide_unread_bytes({30 * mebibyte, 3'075, pending, min_buffer});
        // Guards against a buffer that a request of ordinary size fills several times.
        THEN("there are fewer connections, with the least buffer")
        {
            CHECK(limits.connections == 1'321);
            CHECK(limits.receive_buffer_bytes == min_buffer);
        }
    }
    GIVEN("a memory that connections fill which are not accepted yet")
    {
        auto const limits = divide_unread_bytes({8 * mebibyte, 600, pending, min_buffer});
        // Guards against a process on a small machine that accepts one connection.
        THEN("64 connections are left, with smaller buffers")
        {
            CHECK(limits.connections == 64);
            CHECK(limits.receive_buffer_bytes == 8 * mebibyte / (64 + 4 + pending));
        }
    }
    GIVEN("any memory and any number of connections")
    {
        // Guards against a sum that exceeds the budget by rounding.
        THEN("the sum stays within the budget")
        {
            for (std::size_t budget = mebibyte; budget <= 64 * mebibyte; budget += 999'983) {
                for (std::size_t connections = 0; connections <= 5'000; connections += 37) {
                    unread_demand const demand {budget, connections, pending, min_buffer};
                    auto const limits = divide_unread_bytes(demand);
                    REQUIRE(limits.connections >= 1);
                    REQUIRE(limits.connections <= std::max<std::size_t>(connections, 1));
                    REQUIRE(largest_sum(limits, pending) <= budget);
                }
            }
        }
    }
}
