// Rules of raft_node that random fault schedules exercise too rarely.

#include <catch2/catch.hpp>

#include "consensus/raft_node.h"

using namespace greengagehead;
using namespace greengagehead::consensus;
using namespace std::chrono_literals;

namespace {

constexpr protocol::member_id self = 1;
base::steady_time const begin {1h};

protocol::membership members_of(std::vector<protocol::member_id> const& ids)
{
    protocol::membership members;
    for (auto const id : ids)
        members.members.push_back({id, std::to_string(id), {}, true, {}});
    return members;
}

/// A member of a group of five, with three synced entries of terms 1, 2 and 2.
raft_initial_state example_start()
{
    raft_initial_state start {self, 3, 0, entry_log({}, members_of({1, 2, 3, 4, 5}))};
    start.log.append({1, 1, protocol::log_entry_kind::empty, {}});
    start.log.append({2, 2, protocol::log_entry_kind::command, "b"});
    start.log.append({3, 2, protocol::log_entry_kind::command, "c"});
    return start;
}

template <typename Body>
void receive(raft_node& node, protocol::member_id from, std::uint64_t term, Body body,
             base::steady_time now)
{
    node.receive({from, self, term, std::move(body)}, now);
}

/// Makes `node` the leader of term 4.
void elect(raft_node& node, base::steady_time now)
{
    node.tick(now);
    for (auto const from : {2, 3})
        receive(node, from, 4, protocol::vote_reply {true, true}, now);
    for (auto const from : {2, 3})
        receive(node, from, 4, protocol::vote_reply {false, true}, now);
    REQUIRE(node.leading());
    REQUIRE(node.term() == 4);
}

std::uint64_t round_of(base::steady_time time)
{
    return static_cast<std::uint64_t>(base::to_reading(time).count());
}

template <typename Body> std::size_t sent(raft_node& node)
{
    auto const messages = node.take_messages();
    return static_cast<std::size_t>(
        std::count_if(messages.begin(), messages.end(), [](auto const& message) {
            return std::holds_alternative<Body>(message.body);
        }));
}

} // namespace

SCENARIO("a leader evaluates answers")
{
    GIVEN("a leader of term 4 with entries of earlier terms")
    {
        raft_node node({}, example_start(), 1, begin);
        auto const now = begin + 700ms;
        elect(node, now);
        (void)node.take_unwritten();
        node.entries_synced(now);
        auto const answer = [&](protocol::member_id from, std::uint64_t match) {
            receive(node, from, 4, protocol::append_reply {true, match, round_of(now)}, now + 1ms);
        };

        // Guards against acknowledging an entry that a later leader without this entry can still
        // overwrite.
        THEN("entries of earlier terms are committed only together with an entry of its own term")
        {
            answer(2, 3);
            answer(3, 3);
            answer(4, 3);
            CHECK(node.commit_index() == 0);
            answer(2, 4);
            CHECK(node.commit_index() == 0);
            answer(3, 4);
            CHECK(node.commit_index() == 4);
        }

        // Guards against a lease that, because answers were delayed, is still valid when the quorum
        // may vote for another member.
        THEN("the age of quorum contact is measured from when the request was sent")
        {
            for (auto const from : {2, 3})
                receive(node, from, 4, protocol::append_reply {true, 3, round_of(now)},
                        now + 250ms);
            CHECK(node.quorum_contact_recent(now + 290ms));
            CHECK_FALSE(node.quorum_contact_recent(now + 298ms));
        }

        // Guards against a change after which two disjoint majorities could make decisions.
        THEN("it refuses to change two voters at once")
        {
            answer(2, 4);
            answer(3, 4);
            REQUIRE(node.established());
            CHECK(node.propose(members_of({1, 2, 3})).error().code
                  == base::error_code::invalid_argument);
            REQUIRE(node.propose(members_of({1, 2, 3, 4})));
            CHECK(node.propose(members_of({1, 2, 3})).error().code == base::error_code::conflict);
        }
    }
}

SCENARIO("a member is asked for its vote")
{
    GIVEN("a member that has just restarted")
    {
        raft_node node({}, example_start(), 1, begin);
        protocol::vote_request const request {false, 3, 2};

        // Guards against a second leader while the first one still relies on an answer that the
        // member gave before its restart.
        THEN("it refuses for the minimum election timeout")
        {
            receive(node, 2, 9, request, begin + 299ms);
            CHECK(sent<protocol::vote_reply>(node) == 0);
            CHECK(node.term() == 3);
            receive(node, 2, 9, request, begin + 300ms);
            CHECK(node.vote() == 2);
        }

        // Guards against two leaders in one term.
        THEN("it votes once per term, and only for a candidate whose log is up to date")
        {
            receive(node, 2, 4, protocol::vote_request {false, 2, 2}, begin + 300ms);
            CHECK(node.vote() == 0);
            receive(node, 3, 4, request, begin + 300ms);
            receive(node, 4, 4, request, begin + 300ms);
            CHECK(node.vote() == 3);
            CHECK(node.take_vote_change());
        }

        // Guards against a vote that deposes a leader which is still in contact with this member.
        THEN("it refuses while it receives messages from a leader")
        {
            receive(node, 5, 3, protocol::append_request {3, 2, 0, 0, {}}, begin + 400ms);
            receive(node, 2, 9, request, begin + 699ms);
            CHECK(node.vote() == 0);
            receive(node, 2, 9, request, begin + 700ms);
            CHECK(node.vote() == 2);
        }
    }
}

SCENARIO("a member asks for votes while the others may not grant them yet")
{
    GIVEN("a member whose election timeout has passed")
    {
        raft_node node({}, example_start(), 1, begin);
        auto const now = begin + 700ms;
        node.tick(now);
        REQUIRE(sent<protocol::vote_request>(node) == 4);

        // Guards against a group that waits for a second election timeout when all members
        // restarted together.
        WHEN("no member answers")
        {
            node.tick(now + 70ms);
            CHECK(sent<protocol::vote_request>(node) == 0);
            node.tick(now + 80ms);
            THEN("it asks again soon, in the same term")
            {
                CHECK(sent<protocol::vote_request>(node) == 4);
                CHECK(node.term() == 3);
                for (auto const from : {2, 3})
                    receive(node, from, 4, protocol::vote_reply {true, true}, now + 82ms);
                CHECK(node.term() == 4);
            }
        }
    }
}

SCENARIO("a follower's log differs from the leader's")
{
    GIVEN("a follower with two entries of a term that the leader does not have")
    {
        raft_node node({}, example_start(), 1, begin);

        // Guards against a leader that steps back only one entry per round trip.
        THEN("it skips the whole term and adopts the leader's entries")
        {
            receive(node, 2, 5, protocol::append_request {3, 4, 0, 7, {}}, begin);
            auto const messages = node.take_messages();
            auto const& reply = std::get<protocol::append_reply>(messages.at(0).body);
            CHECK_FALSE(reply.success);
            CHECK(reply.match_index == 1);
            CHECK(reply.sent_at == 7);
            receive(node, 2, 5,
                    protocol::append_request {
                        1, 1, 2, 8, {{2, 4, protocol::log_entry_kind::command, "d"}}},
                    begin);
            CHECK(node.log().last() == log_position {2, 4});
            CHECK(node.take_unwritten().size() == 1);
            CHECK(node.commit_index() == 2);
        }
    }
}
