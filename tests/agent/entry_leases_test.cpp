// What an agent takes from the lease updates of entries.

#include <catch2/catch.hpp>

#include "agent/entry_leases.h"

namespace {

using namespace greengagehead;
using std::chrono::milliseconds;

constexpr milliseconds max_lease {1500};

struct leases_fixture {
    [[nodiscard]] protocol::lease_update update(protocol::view_number view) const
    {
        protocol::lease_update made;
        made.lease = {this->entry, view, base::to_reading(this->now + milliseconds(900)), true};
        made.zones_out = {"recife"};
        made.live_entries = {this->entry};
        return made;
    }
    [[nodiscard]] protocol::lease_update update_without_view(protocol::view_number view) const
    {
        auto made = this->update(view);
        made.zones_out.clear();
        made.live_entries.clear();
        made.view_omitted = true;
        return made;
    }

    protocol::process_id const entry {"entry.a", 11};
    base::steady_time const now {std::chrono::hours(1)};
    agent::entry_leases leases {max_lease};
};

} // namespace

SCENARIO("an update leaves the view out", "[agent][leases]")
{
    leases_fixture agent;

    // Guards against a restarted agent that takes an update meant for its earlier incarnation for a
    // view without entries and with all zones in.
    GIVEN("an agent that has not adopted the view")
    {
        CHECK_FALSE(agent.leases.record(agent.update_without_view(3), agent.now));
        THEN("it does not adopt it, and adopts it when it comes in full")
        {
            CHECK(agent.leases.adopted_view() == 0);
            CHECK(agent.leases.highest_view() == 3);
            CHECK(agent.leases.record(agent.update(3), agent.now));
            CHECK(agent.leases.adopted_view() == 3);
            CHECK(agent.leases.live(agent.entry));
            CHECK(agent.leases.zone_out("recife"));
        }
    }
    // Guards against an agent that forgets its view, or the stamp that comes without it.
    GIVEN("an agent that has adopted the view")
    {
        REQUIRE(agent.leases.record(agent.update(3), agent.now));
        auto later = agent.update_without_view(3);
        later.lease.expires_at += milliseconds(300);
        CHECK_FALSE(agent.leases.record(later, agent.now));
        THEN("it keeps the view and takes the stamp")
        {
            CHECK(agent.leases.live(agent.entry));
            CHECK(agent.leases.zone_out("recife"));
            CHECK(agent.leases.latest(agent.entry)->expires_at == later.lease.expires_at);
        }
    }
}
