// Leases, views in force, and loss and rejoining of entries.

#include <catch2/catch.hpp>

#include "fleet_fixture.h"

using namespace greengagehead;
using namespace greengagehead::test;

SCENARIO("a change is acknowledged only when it is in force")
{
    fleet fleet;
    fake_entry near {{"entry.near", 1}};
    fake_entry far {{"entry.far", 1}};
    fleet.advance(2s, {&near, &far});
    REQUIRE(near.applied == 2);
    protocol::put_zone_state const zone_out {"fortaleza", true, {}};

    WHEN("all entries settle the new view")
    {
        auto const id = fleet.request(near, zone_out);
        CHECK_FALSE(fleet.reply<protocol::change_result>(near, id));
        fleet.advance(200ms, {&near, &far});
        THEN("the answer names the view")
        {
            auto const result = fleet.reply<protocol::change_result>(near, id);
            REQUIRE(result);
            CHECK(result->view == 3);
        }
    }
    // Guards against acknowledging a zone as out while a disconnected entry still starts tasks.
    WHEN("one entry is disconnected right after a renewal")
    {
        fleet.renew(far);
        far.disconnected = true;
        auto const id = fleet.request(near, zone_out);
        fleet.advance(1500ms, {&near});
        THEN("the answer is delayed until its lease, extended by the clock drift, has expired")
        {
            CHECK_FALSE(fleet.reply<protocol::change_result>(near, id));
            fleet.advance(20ms, {&near});
            CHECK(fleet.reply<protocol::change_result>(near, id));
        }
    }
    // Guards against counting an entry as settled while its agents may still act on the old view.
    WHEN("one entry applies the view but does not settle it")
    {
        fleet.renew(far);
        auto const id = fleet.request(near, zone_out);
        far.applied = 3;
        for (int round = 0; round < 14; ++round) {
            fleet.advance(100ms, {&near});
            fleet.renew(far);
        }
        THEN("the answer is delayed until its leases on the old view have expired")
        {
            CHECK_FALSE(fleet.reply<protocol::change_result>(near, id));
            fleet.advance(120ms, {&near});
            CHECK(fleet.reply<protocol::change_result>(near, id));
        }
    }
    // Guards against a new leader that ignores the leases granted by its predecessor.
    WHEN("the leader changes before the answer")
    {
        auto const id = fleet.request(near, zone_out);
        fleet.log.set_leading(false);
        CHECK_FALSE(fleet.sender.take<protocol::not_leader>("entry.near").empty());
        fleet.log.set_leading(true);
        fleet.request(near, zone_out, id);
        fleet.advance(1500ms, {&near, &far});
        THEN("the answer waits for the predecessor's leases and repeats the first result")
        {
            CHECK_FALSE(fleet.reply<protocol::change_result>(near, id));
            fleet.advance(20ms, {&near, &far});
            auto const result = fleet.reply<protocol::change_result>(near, id);
            REQUIRE(result);
            CHECK(result->view == 3);
        }
    }
    // Guards against a late duplicate undoing the change of another operator.
    WHEN("taking a zone out is resent after the zone was put back in")
    {
        auto const id = fleet.request(near, zone_out);
        fleet.advance(200ms, {&near, &far});
        fleet.request(far, protocol::put_zone_state {"fortaleza", false, {}});
        fleet.request(near, zone_out, id);
        THEN("the zone stays in")
        {
            CHECK(fleet.core.committed_state().current_view().zones_out.empty());
        }
    }
}

SCENARIO("only a leader in contact with a quorum grants leases")
{
    fleet fleet;
    fake_entry entry {{"entry.near", 1}};
    fleet.advance(200ms, {&entry});
    fleet.sender.sent.clear();

    // Guards against two leaders granting leases on different views.
    WHEN("the leader loses contact without knowing that it was deposed")
    {
        fleet.log.quorum_contact = false;
        fleet.now += 100ms;
        fleet.renew(entry);
        auto const read = fleet.request(entry, protocol::read_settings {"/"});
        THEN("it grants nothing and answers no read")
        {
            CHECK(fleet.sender.take<protocol::grant_lease>("entry.near").empty());
            CHECK_FALSE(fleet.reply<protocol::settings_list>(entry, read));
            auto const redirects = fleet.sender.take<protocol::not_leader>("entry.near");
            REQUIRE(redirects.size() == 1);
            CHECK(redirects[0].request_id == read);
            fleet.log.set_leading(false);
            fleet.renew(entry);
            CHECK(fleet.sender.take<protocol::not_leader>("entry.near").back().group.leader.name
                  == "control.b");
        }
    }
    WHEN("the leader is elected but has not committed an entry of its term")
    {
        fleet.log.set_leading(false);
        fleet.log.leads = true;
        auto const read = fleet.request(entry, protocol::read_settings {"/"});
        CHECK(fleet.sender.take<protocol::control_reply>("entry.near").empty());
        THEN("requests are answered after that commit")
        {
            fleet.log.set_leading(true);
            CHECK(fleet.reply<protocol::settings_list>(entry, read));
        }
    }
}

SCENARIO("a lease ends at a fixed time after the renewal was sent")
{
    fleet fleet;
    fake_entry entry {{"entry.near", 1}};
    entry.clock_offset = std::chrono::hours(5);
    fleet.advance(200ms, {&entry});
    fleet.sender.sent.clear();
    fleet.now += 10ms;
    auto const renewal = fleet.renewal(entry);

    // Guards against a lease that ends later than the leader assumes.
    WHEN("a renewal is delayed")
    {
        fleet.now += 5s;
        fleet.core.receive("entry.near", renewal, fleet.now);
        auto const grants = fleet.sender.take<protocol::grant_lease>("entry.near");
        THEN("the lease duration still counts from the time of sending")
        {
            REQUIRE(grants.size() == 1);
            CHECK(grants[0].expires_at == renewal.entry_clock + 1500ms);
        }
    }
    WHEN("renewals are duplicated or reordered")
    {
        fleet.now += 100ms;
        fleet.renew(entry);
        fleet.core.receive("entry.near", renewal, fleet.now);
        fleet.renew(entry);
        THEN("only the newest is answered")
        {
            CHECK(fleet.sender.take<protocol::grant_lease>("entry.near").size() == 1);
        }
    }
}

SCENARIO("entries that stop renewing are removed from the view")
{
    fleet fleet;
    fake_entry steady {{"entry.steady", 1}};
    fake_entry frozen {{"entry.frozen", 1}};
    fleet.advance(2s, {&steady, &frozen});
    frozen.disconnected = true;
    fleet.advance(3s, {&steady});
    auto const& entries = fleet.core.committed_state().entries();
    REQUIRE_FALSE(entries.live(frozen.id));
    fleet.sender.sent.clear();

    // Guards against a fenced entry continuing jobs that it no longer owns.
    WHEN("the entry resumes")
    {
        fleet.renew(frozen);
        THEN("it rejoins only after it has applied a view without itself")
        {
            CHECK_FALSE(entries.live(frozen.id));
            auto const claimed = fleet.request_reply<protocol::claim_results>(
                frozen, protocol::claim_jobs {{claim_of(1, frozen.id)}});
            REQUIRE(claimed);
            CHECK(claimed->claims[0].status == protocol::claim_status::not_live);
            auto const updates = fleet.sender.take<protocol::view_update>("entry.frozen");
            REQUIRE_FALSE(updates.empty());
            CHECK(updates.back().current.entries.size() == 1);
            frozen.applied = updates.back().current.number;
            fleet.now += 10ms;
            fleet.renew(frozen);
            CHECK(entries.live(frozen.id));
        }
    }
    // Guards against a delayed message of an earlier incarnation replacing the current one.
    WHEN("a new incarnation has joined and an old renewal arrives")
    {
        fake_entry const successor {{"entry.frozen", 2}};
        fleet.renew(successor);
        frozen.applied = fleet.core.committed_state().view();
        fleet.renew(frozen);
        THEN("the new incarnation remains live")
        {
            CHECK(entries.live(successor.id));
            CHECK_FALSE(entries.live(frozen.id));
        }
    }
}
