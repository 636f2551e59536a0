// Leases, views in force, loss and return of entries.

#include <catch2/catch.hpp>

#include "fleet_fixture.h"

using namespace greengagehead;
using namespace greengagehead::test;

SCENARIO("a change is acknowledged only when it is in force")
{
    fleet fleet;
    fake_entry near {{"entry.near", 1}};
    fake_entry far {{"entry.far", 1}};
    fleet.pass(2s, {&near, &far});
    REQUIRE(near.applied == 2);
    protocol::put_zone_state const take_out {"fortaleza", true, {}};

    WHEN("all entries settle the new view")
    {
        auto const id = fleet.request(near, take_out);
        CHECK_FALSE(fleet.reply<protocol::change_result>(near, id));
        fleet.pass(200ms, {&near, &far});
        THEN("the answer names the view")
        {
            auto const result = fleet.reply<protocol::change_result>(near, id);
            REQUIRE(result);
            CHECK(result->view == 3);
        }
    }
    // Guards against an acknowledged take-out while a cut-off entry still starts tasks.
    WHEN("one entry is cut off right after a renewal")
    {
        fleet.renew(far);
        far.cut_off = true;
        auto const id = fleet.request(near, take_out);
        fleet.pass(1500ms, {&near});
        THEN("the answer waits until its lease, with drift, has run out")
        {
            CHECK_FALSE(fleet.reply<protocol::change_result>(near, id));
            fleet.pass(20ms, {&near});
            CHECK(fleet.reply<protocol::change_result>(near, id));
        }
    }
    // Guards against counting an entry whose agents may still act on the old view.
    WHEN("one entry applies the view but does not settle it")
    {
        fleet.renew(far);
        auto const id = fleet.request(near, take_out);
        far.applied = 3;
        for (int round = 0; round < 14; ++round) {
            fleet.pass(100ms, {&near});
            fleet.renew(far);
        }
        THEN("only the end of its leases on the old view counts")
        {
            CHECK_FALSE(fleet.reply<protocol::change_result>(near, id));
            fleet.pass(120ms, {&near});
            CHECK(fleet.reply<protocol::change_result>(near, id));
        }
    }
    // Guards against a new leader that trusts its empty memory of leases.
    WHEN("the leader changes before the answer")
    {
        auto const id = fleet.request(near, take_out);
        fleet.log.lead(false);
        CHECK_FALSE(fleet.sender.take<protocol::not_leader>("entry.near").empty());
        fleet.log.lead(true);
        fleet.request(near, take_out, id);
        fleet.pass(1500ms, {&near, &far});
        THEN("the predecessor's leases are waited for and the first result is repeated")
        {
            CHECK_FALSE(fleet.reply<protocol::change_result>(near, id));
            fleet.pass(20ms, {&near, &far});
            auto const result = fleet.reply<protocol::change_result>(near, id);
            REQUIRE(result);
            CHECK(result->view == 3);
        }
    }
    // Guards against a late duplicate that undoes the change of another operator.
    WHEN("a take-out is resent after the zone was put back")
    {
        auto const id = fleet.request(near, take_out);
        fleet.pass(200ms, {&near, &far});
        fleet.request(far, protocol::put_zone_state {"fortaleza", false, {}});
        fleet.request(near, take_out, id);
        THEN("the zone stays in")
        {
            CHECK(fleet.core.replicated().current_view().zones_out.empty());
        }
    }
}

SCENARIO("only a leader in contact with a quorum grants leases")
{
    fleet fleet;
    fake_entry entry {{"entry.near", 1}};
    fleet.pass(200ms, {&entry});
    fleet.sender.sent.clear();

    // Guards against two leaders granting leases on different views.
    WHEN("the leader loses contact without knowing that it was deposed")
    {
        fleet.log.contact = false;
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
            fleet.log.lead(false);
            fleet.renew(entry);
            CHECK(fleet.sender.take<protocol::not_leader>("entry.near").back().group.leader.name
                  == "control.b");
        }
    }
    WHEN("it is elected but has not committed an entry of its term")
    {
        fleet.log.lead(false);
        fleet.log.leads = true;
        auto const read = fleet.request(entry, protocol::read_settings {"/"});
        CHECK(fleet.sender.take<protocol::control_reply>("entry.near").empty());
        THEN("requests wait for that")
        {
            fleet.log.lead(true);
            CHECK(fleet.reply<protocol::settings_list>(entry, read));
        }
    }
}

SCENARIO("a lease ends at a fixed time after the renewal was sent")
{
    fleet fleet;
    fake_entry entry {{"entry.near", 1}};
    entry.clock_offset = std::chrono::hours(5);
    fleet.pass(200ms, {&entry});
    fleet.sender.sent.clear();
    fleet.now += 10ms;
    auto const renewal = fleet.renewal(entry);

    // Guards against a lease that outlives the leader's own bound for it.
    WHEN("a renewal is delayed")
    {
        fleet.now += 5s;
        fleet.core.receive("entry.near", renewal, fleet.now);
        auto const grants = fleet.sender.take<protocol::grant_lease>("entry.near");
        THEN("the lease still counts from the sending")
        {
            REQUIRE(grants.size() == 1);
            CHECK(grants[0].expires_at == renewal.entry_clock + 1500ms);
        }
    }
    WHEN("renewals arrive twice or overtake each other")
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

SCENARIO("entries that go silent leave the view")
{
    fleet fleet;
    fake_entry steady {{"entry.steady", 1}};
    fake_entry frozen {{"entry.frozen", 1}};
    fleet.pass(2s, {&steady, &frozen});
    frozen.cut_off = true;
    fleet.pass(3s, {&steady});
    auto const& entries = fleet.core.replicated().entries();
    REQUIRE_FALSE(entries.live(frozen.id));
    fleet.sender.sent.clear();

    // Guards against a fenced entry that goes on with jobs it no longer owns.
    WHEN("the entry thaws")
    {
        fleet.renew(frozen);
        THEN("it joins again only after it has seen the view without it")
        {
            CHECK_FALSE(entries.live(frozen.id));
            auto const claimed = fleet.ask<protocol::claim_results>(
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
    // Guards against a delayed message of a dead process displacing its successor.
    WHEN("a new incarnation has joined and an old renewal arrives")
    {
        fake_entry const reborn {{"entry.frozen", 2}};
        fleet.renew(reborn);
        frozen.applied = fleet.core.replicated().view();
        fleet.renew(frozen);
        THEN("the new incarnation stays")
        {
            CHECK(entries.live(reborn.id));
            CHECK_FALSE(entries.live(frozen.id));
        }
    }
}
