// Claims, requests and takeover through the leader.

#include <catch2/catch.hpp>

#include "fleet_fixture.h"

using namespace greengagehead;
using namespace greengagehead::test;
using protocol::claim_status;

namespace {

claim_status claim(fleet& fleet, fake_entry const& entry, protocol::job_claim const& wanted)
{
    auto const results
        = fleet.ask<protocol::claim_results>(entry, protocol::claim_jobs {{wanted}, 0});
    REQUIRE(results);
    return results->claims.at(0).status;
}

std::optional<protocol::job_claim> lookup(fleet const& fleet, std::uint32_t job)
{
    return fleet.core.replicated().claims().find(job_id(job));
}

} // namespace

SCENARIO("two entries claim the same job")
{
    fleet fleet;
    fake_entry one {{"entry.one", 1}};
    fake_entry two {{"entry.two", 1}};
    fleet.pass(2s, {&one, &two});

    // Guards against a job that two entries start.
    THEN("exactly one owns it")
    {
        CHECK(claim(fleet, one, claim_of(1, one.id)) == claim_status::granted);
        CHECK(claim(fleet, two, claim_of(1, two.id)) == claim_status::existing);
        CHECK(claim(fleet, two, claim_of(1, two.id, {}, 'b')) == claim_status::digest_conflict);
        CHECK(claim(fleet, one, claim_of(1, one.id)) == claim_status::granted);
    }
    // Guards against a resent claim that starts a job again after its entry has refused it.
    WHEN("a job is refused and its claim arrives again")
    {
        protocol::claim_jobs const wanted {{claim_of(1, one.id)}, 0};
        auto const id = fleet.request(one, wanted);
        fleet.request(one, protocol::finish_jobs {{{job_id(1), 1, protocol::job_state::refused}}});
        THEN("only a new request claims it, in the next epoch")
        {
            fleet.request(one, wanted, id);
            CHECK(lookup(fleet, 1)->finished);
            CHECK(claim(fleet, two, claim_of(1, two.id)) == claim_status::granted);
            CHECK(lookup(fleet, 1)->epoch == 2);
        }
    }
    // Guards against a second proposal for a request that is still in progress.
    WHEN("a request is resent before its commit")
    {
        fleet.log.hold = true;
        auto const before = fleet.log.entries.size();
        protocol::claim_jobs const wanted {{claim_of(1, one.id)}, 0};
        auto const id = fleet.request(one, wanted);
        fleet.request(one, wanted, id);
        CHECK(fleet.log.entries.size() == before + 1);
        fleet.log.commit_all();
        THEN("it is answered once")
        {
            CHECK(fleet.sender.take<protocol::control_reply>("entry.one").size() == 1);
        }
    }
    // Guards against a proposal of a deposed leader being reported as committed.
    WHEN("the proposal is overwritten by another leader's")
    {
        fleet.log.hold = true;
        auto const id = fleet.request(one, protocol::claim_jobs {{claim_of(1, one.id)}, 0});
        ++fleet.log.entries.back().term;
        fleet.log.commit_all();
        THEN("the sender is told to ask again")
        {
            auto const redirects = fleet.sender.take<protocol::not_leader>("entry.one");
            REQUIRE(redirects.size() == 1);
            CHECK(redirects[0].request_id == id);
        }
    }
    // Guards against an internal command that an entry could use to evict another.
    WHEN("an entry asks for a removal")
    {
        auto const refused = fleet.ask<base::error>(one, protocol::remove_entry {two.id});
        THEN("it is refused")
        {
            CHECK(refused);
            CHECK(fleet.core.replicated().entries().live(two.id));
        }
    }
}

SCENARIO("jobs of a lost entry move to its backup")
{
    fleet fleet;
    fake_entry owner {{"entry.owner", 1}};
    fake_entry backup {{"entry.backup", 1}};
    fake_entry spare {{"entry.spare", 1}};
    fleet.pass(2s, {&owner, &backup, &spare});
    REQUIRE(claim(fleet, owner, claim_of(1, owner.id, "entry.backup")) == claim_status::granted);
    owner.cut_off = true;

    // Guards against jobs that stay without an owner.
    WHEN("the owner stays away")
    {
        fleet.pass(5s, {&backup, &spare});
        THEN("the backup owns them within 5 s and is told")
        {
            CHECK(lookup(fleet, 1)->owner == backup.id);
            CHECK(lookup(fleet, 1)->epoch == 2);
            CHECK(backup.seen_takeover == 1);
        }
        // Guards against the new owner starting the tasks afresh when the notice is still under
        // way.
        THEN("a claim by the new owner does not look like a new job")
        {
            CHECK(claim(fleet, backup, claim_of(1, backup.id)) == claim_status::existing);
        }
        // Guards against a fenced owner finishing a job of its successor.
        THEN("a finish by the lost owner has no effect")
        {
            fleet.request(owner, protocol::finish_jobs {{{job_id(1), 1}}});
            CHECK_FALSE(lookup(fleet, 1)->finished);
        }
        WHEN("the backup is lost as well")
        {
            backup.cut_off = true;
            fleet.pass(5s, {&spare});
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
            fleet.log.lead(false);
            fleet.log.lead(true);
            fleet.pass(20ms, {&spare});
            auto const notices = fleet.sender.take<protocol::takeover_notice>("entry.backup");
            THEN("the new one sends it again")
            {
                REQUIRE_FALSE(notices.empty());
                CHECK(notices[0].claims.at(0).job == job_id(1));
            }
        }
    }
    // Guards against a takeover while agents still accept starts from the old owner.
    WHEN("the view without the owner is not in force yet")
    {
        fleet.pass(2s, {&backup, &spare});
        spare.cut_off = true;
        fleet.pass(1s, {&backup});
        REQUIRE_FALSE(fleet.core.replicated().entries().live(owner.id));
        THEN("the job stays where it is until it is")
        {
            CHECK(lookup(fleet, 1)->owner == owner.id);
            fleet.pass(2s, {&backup});
            CHECK(lookup(fleet, 1)->owner == backup.id);
        }
    }
    // Guards against an endless repetition of notices.
    WHEN("the backup does not acknowledge the notice")
    {
        fleet.pass(4s, {&backup, &spare});
        REQUIRE(lookup(fleet, 1)->owner == backup.id);
        backup.seen_takeover = 0;
        fleet.log.lead(false);
        fleet.log.lead(true);
        fleet.pass(2s);
        CHECK(fleet.sender.take<protocol::takeover_notice>("entry.backup").size() >= 3);
        fleet.request(backup, protocol::finish_jobs {{{job_id(1), 2}}});
        fleet.pass(2s);
        THEN("it is repeated until the job is finished")
        {
            CHECK(fleet.sender.take<protocol::takeover_notice>("entry.backup").empty());
        }
    }
}

SCENARIO("claims are reduced to tombstones after their retention")
{
    fleet fleet;
    fake_entry entry {{"entry.one", 1}};
    fleet.pass(2s, {&entry});
    REQUIRE(claim(fleet, entry, claim_of(1, entry.id)) == claim_status::granted);
    fleet.request(entry, protocol::finish_jobs {{{job_id(1), 1}}});
    fleet.now += 890s;
    fleet.pass(2s, {&entry});
    CHECK(lookup(fleet, 1));
    fleet.pass(12s, {&entry});
    CHECK_FALSE(lookup(fleet, 1));
    // Guards against a late resubmission that starts the job again.
    THEN("the submission is refused as expired")
    {
        fleet.pass(4s, {&entry});
        fleet.renew(entry);
        CHECK(claim(fleet, entry, claim_of(1, entry.id)) == claim_status::expired);
    }
}
