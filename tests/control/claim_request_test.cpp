// Claims, requests and takeover through the leader.

#include <catch2/catch.hpp>

#include "fleet_fixture.h"

using namespace greengagehead;
using namespace greengagehead::test;
using protocol::claim_status;

namespace {

claim_status claim(fleet& fleet, fake_entry const& entry,
                   protocol::job_claim const& requested_claim)
{
    auto const results = fleet.request_reply<protocol::claim_results>(
        entry, protocol::claim_jobs {{requested_claim}, 0});
    REQUIRE(results);
    return results->claims.at(0).status;
}

std::optional<protocol::job_claim> lookup(fleet const& fleet, std::uint32_t job)
{
    return fleet.core.committed_state().claims().find(job_id(job));
}

} // namespace

SCENARIO("two entries claim the same job")
{
    fleet fleet;
    fake_entry one {{"entry.one", 1}};
    fake_entry two {{"entry.two", 1}};
    fleet.advance(2s, {&one, &two});

    // Guards against two entries starting the same job.
    THEN("exactly one owns it")
    {
        CHECK(claim(fleet, one, claim_of(1, one.id)) == claim_status::granted);
        CHECK(claim(fleet, two, claim_of(1, two.id)) == claim_status::existing);
        CHECK(claim(fleet, two, claim_of(1, two.id, {}, 'b')) == claim_status::digest_conflict);
        CHECK(claim(fleet, one, claim_of(1, one.id)) == claim_status::granted);
    }
    // Guards against a resent claim restarting a job that its entry has refused.
    WHEN("a job is refused and its claim arrives again")
    {
        protocol::claim_jobs const claims {{claim_of(1, one.id)}, 0};
        auto const id = fleet.request(one, claims);
        fleet.request(one, protocol::finish_jobs {{{job_id(1), 1, protocol::job_state::refused}}});
        THEN("only a new request claims it, in the next epoch")
        {
            fleet.request(one, claims, id);
            CHECK(lookup(fleet, 1)->finished);
            CHECK(claim(fleet, two, claim_of(1, two.id)) == claim_status::granted);
            CHECK(lookup(fleet, 1)->epoch == 2);
        }
    }
    // Guards against a second proposal for a request that is still in progress.
    WHEN("a request is resent before its commit")
    {
        fleet.log.hold_commits = true;
        auto const before = fleet.log.entries.size();
        protocol::claim_jobs const claims {{claim_of(1, one.id)}, 0};
        auto const id = fleet.request(one, claims);
        fleet.request(one, claims, id);
        CHECK(fleet.log.entries.size() == before + 1);
        fleet.log.commit_all();
        THEN("it is answered once")
        {
            CHECK(fleet.sender.take<protocol::control_reply>("entry.one").size() == 1);
        }
    }
    // Guards against a proposal of a deposed leader being reported as committed.
    WHEN("another leader's entry overwrites the proposal")
    {
        fleet.log.hold_commits = true;
        auto const id = fleet.request(one, protocol::claim_jobs {{claim_of(1, one.id)}, 0});
        ++fleet.log.entries.back().term;
        fleet.log.commit_all();
        THEN("the sender is redirected so that it repeats the request")
        {
            auto const redirects = fleet.sender.take<protocol::not_leader>("entry.one");
            REQUIRE(redirects.size() == 1);
            CHECK(redirects[0].request_id == id);
        }
    }
    // Guards against an entry removing another one through an internal command.
    WHEN("an entry requests the removal of another entry")
    {
        auto const refused = fleet.request_reply<base::error>(one, protocol::remove_entry {two.id});
        THEN("it is refused")
        {
            CHECK(refused);
            CHECK(fleet.core.committed_state().entries().live(two.id));
        }
    }
}

SCENARIO("jobs of a lost entry move to its backup")
{
    fleet fleet;
    fake_entry owner {{"entry.owner", 1}};
    fake_entry backup {{"entry.backup", 1}};
    fake_entry spare {{"entry.spare", 1}};
    fleet.advance(2s, {&owner, &backup, &spare});
    REQUIRE(claim(fleet, owner, claim_of(1, owner.id, "entry.backup")) == claim_status::granted);
    owner.disconnected = true;

    // Guards against jobs that remain without a live owner.
    WHEN("the owner stays disconnected")
    {
        fleet.advance(5s, {&backup, &spare});
        THEN("the backup owns them and is notified within 5 s")
        {
            CHECK(lookup(fleet, 1)->owner == backup.id);
            CHECK(lookup(fleet, 1)->epoch == 2);
            CHECK(backup.seen_takeover == 1);
        }
        // Guards against the new owner restarting the tasks while the notice is still in flight.
        THEN("a claim by the new owner is answered as an existing job")
        {
            CHECK(claim(fleet, backup, claim_of(1, backup.id)) == claim_status::existing);
        }
        // Guards against a fenced former owner finishing a job that has a new owner.
        THEN("a finish by the lost owner has no effect")
        {
            fleet.request(owner, protocol::finish_jobs {{{job_id(1), 1}}});
            CHECK_FALSE(lookup(fleet, 1)->finished);
        }
        WHEN("the backup is lost as well")
        {
            backup.disconnected = true;
            fleet.advance(5s, {&spare});
            THEN("another entry takes over")
            {
                CHECK(lookup(fleet, 1)->owner == spare.id);
                CHECK(lookup(fleet, 1)->epoch == 3);
                CHECK(spare.seen_takeover == 2);
            }
        }
        // Guards against a notice that is lost with the leader that sent it.
        WHEN("the leader changes")
        {
            backup.seen_takeover = 0;
            fleet.log.set_leading(false);
            fleet.log.set_leading(true);
            fleet.advance(20ms, {&spare});
            auto const notices = fleet.sender.take<protocol::takeover_notice>("entry.backup");
            THEN("the new leader resends the notice")
            {
                REQUIRE_FALSE(notices.empty());
                CHECK(notices[0].claims.at(0).job == job_id(1));
            }
        }
    }
    // Guards against a takeover while agents still accept starts from the old owner.
    WHEN("the view without the owner is not in force yet")
    {
        fleet.advance(2s, {&backup, &spare});
        spare.disconnected = true;
        fleet.advance(1s, {&backup});
        REQUIRE_FALSE(fleet.core.committed_state().entries().live(owner.id));
        THEN("the job keeps its owner until that view is in force")
        {
            CHECK(lookup(fleet, 1)->owner == owner.id);
            fleet.advance(2s, {&backup});
            CHECK(lookup(fleet, 1)->owner == backup.id);
        }
    }
    // Guards against repeating notices without end.
    WHEN("the backup does not acknowledge the notice")
    {
        fleet.advance(4s, {&backup, &spare});
        REQUIRE(lookup(fleet, 1)->owner == backup.id);
        backup.seen_takeover = 0;
        fleet.log.set_leading(false);
        fleet.log.set_leading(true);
        fleet.advance(2s);
        CHECK(fleet.sender.take<protocol::takeover_notice>("entry.backup").size() >= 3);
        fleet.request(backup, protocol::finish_jobs {{{job_id(1), 2}}});
        fleet.advance(2s);
        THEN("the notice is repeated until the job is finished")
        {
            CHECK(fleet.sender.take<protocol::takeover_notice>("entry.backup").empty());
        }
    }
}

SCENARIO("claims are reduced to tombstones after their retention")
{
    fleet fleet;
    fake_entry entry {{"entry.one", 1}};
    fleet.advance(2s, {&entry});
    REQUIRE(claim(fleet, entry, claim_of(1, entry.id)) == claim_status::granted);
    fleet.request(entry, protocol::finish_jobs {{{job_id(1), 1}}});
    fleet.now += 890s;
    fleet.advance(2s, {&entry});
    CHECK(lookup(fleet, 1));
    fleet.advance(12s, {&entry});
    CHECK_FALSE(lookup(fleet, 1));
    // Guards against a late resubmission restarting the job.
    THEN("the submission is refused as expired")
    {
        fleet.advance(4s, {&entry});
        fleet.renew(entry);
        CHECK(claim(fleet, entry, claim_of(1, entry.id)) == claim_status::expired);
    }
}
