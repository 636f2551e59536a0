// Defaults of the limits on connections, at the machines that customers have.

#include <catch2/catch.hpp>

#include "app/connection_settings.h"

using namespace greengagehead;

SCENARIO("limits on connections follow from the machine", "[limits]")
{
    GIVEN("the descriptors and the memory of an entry")
    {
        settings::limit_settings limits;
        limits.memory_mb = 114;
        auto const computed = app::connection_limits(limits, 4'100);
        // Guards against defaults that clients inside the limits reach: 60 connections for each of
        // 76 workers, shared by 14 entries, with headers of 16,384 and specs of 4,000 bytes.
        THEN("clients inside the limits stay below them")
        {
            constexpr std::size_t connections = 60 * 76 / 14 + 1;
            CHECK(computed.connections == 3'075);
            CHECK(computed.address_connections == 2'307);
            CHECK(computed.address_connections > connections);
            CHECK(computed.budget_bytes > connections * (16'384 + 4'000));
            CHECK(computed.connection_bytes > limits.body_bytes + limits.header_bytes);
        }
    }
    GIVEN("settings with more connections than the process has descriptors")
    {
        settings::limit_settings limits;
        limits.connections = 10'000;
        // Guards against a process that runs out of descriptors because of its settings.
        THEN("a quarter of the descriptors is left")
        {
            CHECK(app::connection_limits(limits, 256).connections == 192);
        }
    }
    GIVEN("a process without known memory or descriptors")
    {
        settings::limit_settings limits;
        limits.body_bytes = 64UL << 20U;
        auto const computed = app::connection_limits(limits, 0);
        // Guards against a limit that no body of the largest size fits in, also in chunks.
        THEN("the largest body fits")
        {
            CHECK(computed.connections == 4'096);
            CHECK(computed.connection_bytes > 2 * limits.body_bytes);
        }
    }
}
