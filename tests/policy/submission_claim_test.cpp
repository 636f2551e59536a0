// Which entries decide on a submission, what one of them grants, and when enough have consented.

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "policy/claim_quorum.h"
#include "policy/submission_grants.h"
#include "policy/submission_witnesses.h"

namespace {

using namespace greengagehead;
using namespace std::chrono_literals;
using policy::choose_witnesses;
using policy::witness_candidate;

constexpr base::steady_time now {1000s};

std::vector<witness_candidate> make_entries(int count, int zones)
{
    std::vector<witness_candidate> entries;
    for (int i = 0; i < count; ++i)
        entries.push_back({"entry." + std::to_string(i), "zone." + std::to_string(i % zones)});
    return entries;
}

protocol::claim_ref claim_of(std::string const& entry, std::uint64_t number)
{
    return {{entry, 1}, number};
}

bool is_granted(policy::submission_grants::granted const& held, protocol::claim_ref const& claim)
{
    return held.claim.entry == claim.entry && held.claim.number == claim.number;
}

} // namespace

SCENARIO("the witnesses of a submission are chosen", "[policy][submission_claim]")
{
    GIVEN("ten entries in three zones")
    {
        auto entries = make_entries(10, 3);
        std::map<std::string, int> uses;
        bool one_a_zone = true;
        bool same_in_any_order = true;
        for (int i = 0; i < 300; ++i) {
            auto const key = std::to_string(i);
            auto const chosen = choose_witnesses(key, entries);
            std::set<std::string> zones;
            for (auto const& name : chosen) {
                ++uses[name];
                auto const found
                    = std::find_if(entries.begin(), entries.end(),
                                   [&name](auto const& entry) { return entry.name == name; });
                zones.insert(found->zone);
            }
            one_a_zone = one_a_zone && zones.size() == 3 && chosen.size() == 3;
            auto reversed = entries;
            std::reverse(reversed.begin(), reversed.end());
            same_in_any_order = same_in_any_order && choose_witnesses(key, reversed) == chosen;
        }
        // Guards against a zone whose loss takes the majority of a submission's witnesses.
        THEN("each zone has one witness")
        {
            CHECK(one_a_zone);
        }
        // Guards against entries that choose different witnesses from one view.
        THEN("the order of the entries does not matter")
        {
            CHECK(same_in_any_order);
        }
        // Guards against an entry that decides on most submissions.
        THEN("all entries are used")
        {
            CHECK(uses.size() == 10);
            CHECK(std::all_of(uses.begin(), uses.end(),
                              [](auto const& item) { return item.second < 180; }));
        }
    }
    GIVEN("a view that changes")
    {
        policy::witness_sets sets;
        sets.set_entries(make_entries(10, 3), now);

        WHEN("an entry leaves the view")
        {
            auto entries = make_entries(10, 3);
            entries.erase(entries.begin());
            sets.set_entries(entries, now);
            // Guards against two majorities without a common member, of two views.
            THEN("majorities of the old and the new witnesses are needed for a while")
            {
                bool changed = false;
                for (int i = 0; i < 50; ++i) {
                    auto const key = std::to_string(i);
                    auto const former = choose_witnesses(key, make_entries(10, 3));
                    if (former == choose_witnesses(key, entries))
                        continue;
                    changed = true;
                    CHECK(sets.find(key, now).size() == 2);
                    CHECK(sets.find(key, now + policy::witness_transition).size() == 1);
                }
                CHECK(changed);
            }
        }
    }
    GIVEN("a view of three entries of which one leaves")
    {
        policy::witness_sets sets;
        sets.set_entries(make_entries(3, 3), now);
        sets.set_entries(make_entries(2, 3), now);
        // Guards against jobs that wait for the statement of an entry that is gone.
        THEN("the other two are enough, as each majority of the three has one of them")
        {
            CHECK(sets.find("key", now).size() == 1);
            CHECK(sets.find("key", now).front().size() == 2);
        }
    }
}

SCENARIO("a witness grants a submission", "[policy][submission_claim]")
{
    GIVEN("a submission that is granted to one entry")
    {
        policy::submission_grants grants;
        auto const first = claim_of("entry.a", 5);
        auto const second = claim_of("entry.b", 3);
        REQUIRE(is_granted(grants.grant("key", first, {}, now), first));

        // Guards against two entries that start one submission.
        THEN("another entry does not get it")
        {
            CHECK(is_granted(grants.grant("key", second, {}, now), first));
        }
        // Guards against a proof of the end of an earlier claim that is taken for that of a later.
        THEN("the end of an earlier claim does not matter")
        {
            CHECK(is_granted(grants.grant("key", second, {claim_of("entry.a", 4)}, now), first));
        }
        // Guards against a statement about another incarnation of the entry.
        THEN("the end of a claim of its other incarnation does not matter")
        {
            CHECK(is_granted(grants.grant("key", second, {{{"entry.a", 2}, 9}}, now), first));
        }
        THEN("another entry gets it once it is known to have ended")
        {
            CHECK(is_granted(grants.grant("key", second, {first}, now), second));
        }
        WHEN("the entry releases another claim")
        {
            grants.release("key", claim_of("entry.a", 4));
            // Guards against a late release that frees a later claim.
            THEN("the grant stays")
            {
                CHECK(is_granted(grants.grant("key", second, {}, now), first));
            }
        }
        WHEN("the entry releases it")
        {
            grants.release("key", first);
            THEN("another entry gets it")
            {
                CHECK(is_granted(grants.grant("key", second, {}, now), second));
            }
        }
        WHEN("the entry claims it again, and the earlier claim arrives once more")
        {
            auto const later = claim_of("entry.a", 8);
            REQUIRE(is_granted(grants.grant("key", later, {}, now), later));
            // Guards against an old claim that takes the place of a newer one.
            THEN("the later claim counts")
            {
                CHECK(is_granted(grants.grant("key", first, {}, now), later));
            }
        }
        WHEN("somebody asks for it time and again")
        {
            auto time = now;
            for (int i = 0; i < 10; ++i) {
                time += policy::grant_retention / 2;
                grants.expire(time);
                (void)grants.grant("key", second, {}, time);
            }
            // Guards against a grant that is forgotten while callers come back.
            THEN("it is kept")
            {
                CHECK(is_granted(grants.grant("key", second, {}, time), first));
            }
        }
        WHEN("nobody asks for it")
        {
            grants.expire(now + policy::grant_retention);
            THEN("it is forgotten")
            {
                CHECK(grants.size() == 0);
            }
        }
    }
    GIVEN("as many grants as are kept")
    {
        policy::submission_grants grants;
        for (std::size_t i = 0; i < policy::max_grants; ++i)
            (void)grants.grant(std::to_string(i), claim_of("entry.a", i + 1), {},
                               now + std::chrono::microseconds(i));
        (void)grants.grant("new", claim_of("entry.a", policy::max_grants + 1), {}, now + 1s);
        // Guards against memory that grows with the load.
        THEN("a further one takes the place of the oldest")
        {
            CHECK(grants.size() == policy::max_grants);
            auto const other = claim_of("entry.b", 1);
            CHECK(is_granted(grants.grant("0", other, {}, now + 1s), other));
            CHECK_FALSE(is_granted(grants.grant("9", other, {}, now + 1s), other));
        }
    }
}

SCENARIO("consents of witnesses are counted", "[policy][submission_claim]")
{
    GIVEN("a submission whose view has changed")
    {
        policy::claim_quorum quorum({{"a", "b", "c"}, {"a", "d", "e"}});

        // Guards against questions that are not needed.
        THEN("as few witnesses are asked as make both majorities, those that answer soon first")
        {
            CHECK(quorum.missing([](auto const&) { return true; })
                  == std::vector<std::string> {"a", "b", "d"});
            CHECK(quorum.missing([](auto const& name) { return name > "b"; })
                  == std::vector<std::string> {"c", "a", "d"});
        }
        // Guards against a majority in one of the sets only.
        THEN("each set needs a majority")
        {
            quorum.record_consent("a");
            quorum.record_consent("b");
            CHECK_FALSE(quorum.complete());
            quorum.record_consent("e");
            CHECK(quorum.complete());
        }
    }
    GIVEN("an entry without a view")
    {
        policy::claim_quorum quorum({});
        // Guards against an entry that starts jobs before it knows the others.
        THEN("nothing may start")
        {
            CHECK_FALSE(quorum.complete());
        }
    }
}
