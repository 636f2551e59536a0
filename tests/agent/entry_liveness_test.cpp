// Ephemeral tasks whose entry is heard late, after a pause of the agent, after a restart of the
// entry, or without a lease.

#include <catch2/catch.hpp>

#include "agent/agent_fixture.h"

namespace {

using namespace greengagehead;
using namespace greengagehead::agent;
using namespace greengagehead::agent::fakes;

/// Lifetime of the stamps that entries send.
constexpr milliseconds stamp_validity {900};
constexpr milliseconds update_interval {300};

protocol::task_start ephemeral_start(std::uint32_t index)
{
    auto start = make_start(index);
    start.ephemeral = true;
    start.start_within = milliseconds(10'000);
    return start;
}

struct liveness_fixture : agent_fixture {
    /// Delivers now a lease update that the entry sent `delay` ago.
    void deliver_update(protocol::process_id const& entry, milliseconds delay, bool leased = true)
    {
        this->deliver_update_until(entry, this->now - delay + stamp_validity, leased);
    }
    void deliver_update_until(protocol::process_id const& entry, base::steady_time expires_at,
                              bool leased = true)
    {
        this->core.receive(
            entry.name,
            protocol::lease_update {
                {entry, 1, base::to_reading(expires_at), leased}, {}, {}, this->live, {}},
            this->now);
    }
    /// Delivers now a start of an ephemeral task that the entry sent `delay` ago.
    void deliver_start(protocol::process_id const& entry, std::uint32_t index,
                       milliseconds delay = milliseconds(0), bool leased = true)
    {
        auto message = this->batch(entry, {ephemeral_start(index)});
        message.lease.leased = leased;
        message.lease.expires_at = base::to_reading(this->now - delay + stamp_validity);
        this->core.receive(entry.name, message, this->now);
    }
    /// The process stands still: the clock advances without ticks.
    void pause(milliseconds duration) { this->now += duration; }

    protocol::process_id const former_a {"entry.a", 11};
    protocol::process_id const restarted_a {"entry.a", 12};
};

} // namespace

SCENARIO("messages of an entry arrive late", "[agent][ephemeral][liveness]")
{
    GIVEN("a running ephemeral task")
    {
        liveness_fixture fixture;
        fixture.deliver_start(fixture.entry_a, 0);
        REQUIRE(fixture.runner.runs.size() == 1);

        WHEN("each message of the entry arrives a second after it was sent")
        {
            for (int i = 0; i < 4; ++i) {
                fixture.advance(update_interval);
                fixture.deliver_update(fixture.entry_a, milliseconds(1000));
            }
            // Guards against a run that goes on while its cancellation is still on its way behind
            // older messages, beside a second run at another entry.
            THEN("the task is stopped")
            {
                CHECK(fixture.runner.stopped.size() == 1);
            }
        }
        WHEN("the messages arrive half a second late, and then cease")
        {
            for (int i = 0; i < 4; ++i) {
                fixture.advance(update_interval);
                fixture.deliver_update(fixture.entry_a, milliseconds(500));
            }
            REQUIRE(fixture.runner.stopped.empty());
            fixture.advance(milliseconds(390));
            REQUIRE(fixture.runner.stopped.empty());
            fixture.advance(milliseconds(20));
            // Guards against a period of silence that starts with the arrival of a late message.
            THEN("the task is stopped 900 ms after the last one was sent")
            {
                CHECK(fixture.runner.stopped.size() == 1);
            }
        }
        WHEN("an older message arrives after a newer one")
        {
            fixture.advance(update_interval);
            fixture.deliver_update(fixture.entry_a, milliseconds(0));
            fixture.deliver_update(fixture.entry_a, milliseconds(800));
            fixture.advance(milliseconds(800));
            // Guards against an interruption of work by an older message.
            THEN("the task continues")
            {
                CHECK(fixture.runner.stopped.empty());
            }
        }
        WHEN("the link breaks, and a message arrives that was sent a second before")
        {
            fixture.core.peer_down("entry.a", fixture.now);
            fixture.advance(milliseconds(100));
            fixture.deliver_update(fixture.entry_a, milliseconds(1000));
            fixture.advance(milliseconds(220));
            // Guards against a late message that makes up for a broken link.
            THEN("the task is stopped")
            {
                CHECK(fixture.runner.stopped.size() == 1);
            }
        }
        WHEN("the stamps of the messages are not in the clock of this agent")
        {
            for (int i = 0; i < 4; ++i) {
                fixture.advance(update_interval);
                fixture.deliver_update_until(fixture.entry_a, fixture.now + std::chrono::hours(5));
            }
            // Guards against messages of unknown age that count as recent.
            THEN("the task is stopped")
            {
                CHECK(fixture.runner.stopped.size() == 1);
            }
        }
        WHEN("the messages carry no valid stamp")
        {
            for (int i = 0; i < 4; ++i) {
                fixture.advance(update_interval);
                fixture.deliver_update_until(fixture.entry_a, base::steady_time(), false);
            }
            // Guards against an entry that counts as alive by messages without a time.
            THEN("the task is stopped")
            {
                CHECK(fixture.runner.stopped.size() == 1);
            }
        }
    }
}

SCENARIO("an agent is paused", "[agent][ephemeral][liveness]")
{
    GIVEN("two running ephemeral tasks and one that waits for a slot")
    {
        liveness_fixture fixture;
        for (std::uint32_t index = 0; index < 3; ++index)
            fixture.deliver_start(fixture.entry_a, index);
        REQUIRE(fixture.runner.runs.size() == 2);

        WHEN("it reads, after three seconds, what the entry sent when the pause began")
        {
            fixture.pause(milliseconds(3000));
            fixture.deliver_update(fixture.entry_a, milliseconds(2700));
            fixture.deliver_update(fixture.entry_a, milliseconds(2400));

            // Guards against starts of tasks that the entry has given up meanwhile.
            THEN("the waiting task does not start")
            {
                fixture.succeed(0);
                CHECK(fixture.runner.runs.size() == 2);
            }
            // Guards against runs that go on because old messages are read first.
            THEN("the running tasks are stopped at the next tick")
            {
                fixture.advance(milliseconds(10));
                CHECK(fixture.runner.stopped.size() == 2);
            }
        }
        WHEN("it reads, after a second, messages of which the last is recent")
        {
            fixture.pause(milliseconds(1000));
            fixture.deliver_update(fixture.entry_a, milliseconds(700));
            fixture.deliver_update(fixture.entry_a, milliseconds(100));
            fixture.advance(milliseconds(600));
            // Guards against stopping work of an entry that has been there throughout.
            THEN("the running tasks continue")
            {
                CHECK(fixture.runner.stopped.empty());
            }
        }
    }
}

SCENARIO("an entry restarts while messages of its former incarnation are on their way",
         "[agent][ephemeral][liveness]")
{
    GIVEN("a running task of each incarnation")
    {
        liveness_fixture fixture;
        fixture.deliver_start(fixture.former_a, 0);
        fixture.advance(milliseconds(200));
        fixture.deliver_start(fixture.restarted_a, 1);
        fixture.advance(milliseconds(10));
        REQUIRE(fixture.runner.runs.size() == 2);
        REQUIRE(fixture.runner.stopped.size() == 1); // The task of the former incarnation.

        WHEN("a message of the former incarnation arrives half a second late")
        {
            fixture.deliver_update(fixture.former_a, milliseconds(500));
            fixture.advance(milliseconds(20));
            // Guards against stopping the work of an entry that is there.
            THEN("the task of the present incarnation continues")
            {
                CHECK(fixture.runner.stopped.size() == 1);
            }
        }
        WHEN("a message of the former incarnation arrives whose stamp has expired")
        {
            fixture.deliver_update(fixture.former_a, milliseconds(1000));
            fixture.advance(milliseconds(20));
            // Guards against a message that counts for its incarnation although it is too old.
            THEN("the task of the present incarnation continues")
            {
                CHECK(fixture.runner.stopped.size() == 1);
            }
        }
        WHEN("a start of the former incarnation arrives half a second late")
        {
            fixture.deliver_start(fixture.former_a, 2, milliseconds(500));
            // Guards against starts for an entry that no longer knows of them.
            THEN("it is refused")
            {
                CHECK(fixture.runner.runs.size() == 2);
                CHECK(fixture.last_outcome().task.index == 2);
                CHECK(fixture.last_outcome().kind == protocol::outcome_kind::not_run);
            }
        }
        WHEN("the entry restarts again")
        {
            fixture.deliver_update({"entry.a", 13}, milliseconds(0));
            fixture.advance(milliseconds(10));
            // Guards against a run that outlives its entry.
            THEN("the task of the second incarnation is stopped")
            {
                CHECK(fixture.runner.stopped.size() == 2);
            }
        }
    }
}

SCENARIO("an entry has no lease for some time", "[agent][ephemeral][liveness]")
{
    GIVEN("a running ephemeral task")
    {
        liveness_fixture fixture;
        fixture.deliver_start(fixture.entry_a, 0);

        WHEN("the entry sends stamps without a lease")
        {
            for (int i = 0; i < 10; ++i) {
                fixture.advance(update_interval);
                fixture.deliver_update(fixture.entry_a, milliseconds(0), false);
            }
            // Guards against an outage of control that ends the work of the entries.
            THEN("the task continues")
            {
                CHECK(fixture.runner.stopped.empty());
            }
        }
        WHEN("the entry sends stamps without a lease beside those of a lease that ends")
        {
            auto const lease_end = fixture.now + milliseconds(700);
            for (int i = 0; i < 6; ++i) {
                fixture.advance(update_interval);
                fixture.deliver_update(fixture.entry_a, milliseconds(0), false);
                fixture.deliver_update_until(fixture.entry_a, lease_end);
            }
            // Guards against an entry that counts as lost in the moment in which its lease ends.
            THEN("the task continues")
            {
                CHECK(fixture.runner.stopped.empty());
            }
        }
    }
    GIVEN("an ephemeral task that waits for a slot")
    {
        liveness_fixture fixture;
        for (std::uint32_t index = 0; index < 3; ++index)
            fixture.deliver_start(fixture.entry_a, index, milliseconds(0), false);
        REQUIRE(fixture.runner.runs.size() == 2);

        WHEN("a slot becomes free after the stamp of the start has expired")
        {
            for (int i = 0; i < 6; ++i) {
                fixture.advance(update_interval);
                fixture.deliver_update(fixture.entry_a, milliseconds(0), false);
            }
            fixture.advance(milliseconds(100));
            fixture.succeed(0);
            // Guards against a start that the runner of the endpoint refuses as too late although
            // the entry has been there throughout.
            THEN("it starts, as long as the entry counts as alive")
            {
                REQUIRE(fixture.runner.runs.size() == 3);
                CHECK(fixture.runner.runs[2].request.start_before
                      == fixture.now + stamp_validity - milliseconds(100));
            }
        }
    }
}
