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
            CHECK(computed.connections == 1'231);
            CHECK(computed.address_connections == 924);
            CHECK(computed.address_connections > connections);
            CHECK(computed.budget_bytes > connections * (16'384 + 4'000));
            CHECK(computed.connection_bytes > limits.body_bytes + limits.header_bytes);
        }
        // Guards against a process that runs out of memory by bytes that it has not read: four
        // listeners have 129 connections each that are not accepted, and a sixteenth is closing.
        THEN("the unread bytes of all connections fit into a quarter of the memory")
        {
            auto const sockets = computed.connections + computed.connections / 16 + 4 * 129;
            CHECK(computed.receive_buffer_bytes == 16'384);
            CHECK(sockets * computed.receive_buffer_bytes <= (114UL << 20U) / 4);
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
    GIVEN("settings with more connections from one address than fit into the memory")
    {
        settings::limit_settings limits;
        limits.memory_mb = 48;
        limits.connections = 600;
        limits.address_connections = 500;
        // Guards against a limit for one address that never takes effect.
        THEN("one address has no more than all")
        {
            auto const computed = app::connection_limits(limits, 4'100);
            CHECK(computed.connections == 237);
            CHECK(computed.address_connections == 237);
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
            CHECK(computed.connections == 1'441);
            CHECK(computed.connection_bytes > 2 * limits.body_bytes);
        }
    }
}
