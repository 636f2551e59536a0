// The bound on the end of runs that must end, while the orders to stop them do not arrive.

#include <catch2/catch.hpp>

#include <chrono>
#include <string>

#include "agent/agent_fixture.h"
#include "agent/leased_runner.h"
#include "agent/simulated_worker.h"
#include "policy/remote_submissions.h"

namespace {

using namespace greengagehead;
using namespace greengagehead::agent;
using namespace greengagehead::agent::fakes;
using std::chrono::milliseconds;

/// A caller that loses its entry sends its job to another one after this time, at the earliest.
constexpr milliseconds resubmission_delay {1300};
/// As `entry::lease_manager` makes them.
constexpr milliseconds stamp_validity {900};
constexpr milliseconds update_interval {300};

/// One worker with runs of the entries "entry.a" and "entry.b".
struct shared_worker_fixture {
    shared_worker_fixture()
        : runner(worker, {}, 100, [this] { return this->now; }),
          core(settings(), sender, runner, now)
    {
        this->runner.announced({"i-1", 5}, this->worker.clock);
        (void)this->core.announce({"i-1", "http://127.0.0.1:9000", {"quote"}, 8, 60, 64, 1024, {}},
                                  this->now);
        this->core.peer_up("entry.a", this->now);
        this->core.peer_up("entry.b", this->now);
        this->advance(milliseconds(1050));
    }

    static agent_settings settings()
    {
        agent_settings values;
        values.id = {"agent.recife-7", 77};
        values.zone = "recife";
        values.announcement_interval = milliseconds(60'000);
        return values;
    }
    [[nodiscard]] protocol::lease_stamp stamp(protocol::process_id const& entry) const
    {
        return {entry, 1, base::to_reading(this->now + stamp_validity)};
    }
    void update(protocol::process_id const& entry)
    {
        this->core.receive(
            entry.name,
            protocol::lease_update {this->stamp(entry), {}, {}, {this->entry_a, this->entry_b}, {}},
            this->now);
    }
    void start(protocol::process_id const& entry, std::string const& name)
    {
        protocol::task_start task;
        task.task = {entry.name + "-" + name, 0};
        task.name = name;
        task.endpoint = "i-1";
        task.kind = "quote";
        task.payload = "{}";
        task.remaining = milliseconds(30'000);
        task.ephemeral = true;
        this->core.receive(entry.name, protocol::start_batch {this->stamp(entry), 77, {task}},
                           this->now);
    }
    void advance(milliseconds duration)
    {
        constexpr milliseconds step {10};
        for (auto const end = this->now + duration; this->now < end;) {
            this->now += step;
            this->worker.advance(step);
            if (this->now >= this->next_update) {
                this->next_update = this->now + update_interval;
                if (!this->a_is_lost)
                    this->update(this->entry_a);
                this->update(this->entry_b);
            }
            this->runner.tick();
            this->core.tick(this->now);
        }
    }
    void cancel(protocol::process_id const& entry, std::string const& name)
    {
        this->core.receive(entry.name, protocol::cancel_batch {{{{entry.name + "-" + name, 0}, 1}}},
                           this->now);
    }
    void lose_entry_a()
    {
        this->a_is_lost = true;
        this->core.peer_down("entry.a", this->now);
    }

    protocol::process_id const entry_a {"entry.a", 11};
    protocol::process_id const entry_b {"entry.b", 22};
    base::steady_time now {std::chrono::hours(1)};
    base::steady_time next_update;
    bool a_is_lost = false;
    simulated_worker worker;
    recording_sender sender;
    leased_runner runner;
    agent_core core;
};

} // namespace

SCENARIO("a run outlives its entry because the order to stop it does not arrive", "[agent][leased]")
{
    GIVEN("a worker with runs of two entries, which no order to stop reaches")
    {
        shared_worker_fixture fixture;
        fixture.start(fixture.entry_a, "a.0.0.0");
        fixture.start(fixture.entry_b, "b.0.0.0");
        fixture.advance(milliseconds(1000));
        REQUIRE(fixture.worker.runs("a.0.0.0"));
        REQUIRE(fixture.worker.runs("b.0.0.0"));
        fixture.worker.lost_stops = true;

        WHEN("one of the entries ends")
        {
            fixture.lose_entry_a();
            fixture.advance(resubmission_delay);
            THEN("its run has ended when its caller comes back")
            {
                CHECK_FALSE(fixture.worker.runs("a.0.0.0"));
            }
        }
        WHEN("one of the entries falls silent")
        {
            fixture.a_is_lost = true;
            fixture.advance(resubmission_delay);
            THEN("its run has ended when its caller comes back")
            {
                CHECK_FALSE(fixture.worker.runs("a.0.0.0"));
            }
        }
    }
}

SCENARIO("a cancelled run outlives the time in which other entries wait for it", "[agent][leased]")
{
    GIVEN("a worker with runs of two entries, which no order to stop reaches")
    {
        shared_worker_fixture fixture;
        fixture.start(fixture.entry_a, "a.0.0.0");
        fixture.start(fixture.entry_b, "b.0.0.0");
        fixture.advance(milliseconds(1000));
        fixture.worker.lost_stops = true;

        WHEN("a living entry cancels its run")
        {
            fixture.cancel(fixture.entry_a, "a.0.0.0");
            fixture.advance(policy::unconfirmed_run_limit);
            THEN("the run has ended when other entries no longer wait for it")
            {
                CHECK_FALSE(fixture.worker.runs("a.0.0.0"));
            }
        }
    }
}

SCENARIO("an entry is lost and its runs are stopped in time", "[agent][leased]")
{
    GIVEN("a worker with runs of two entries")
    {
        shared_worker_fixture fixture;
        fixture.start(fixture.entry_a, "a.0.0.0");
        fixture.start(fixture.entry_b, "b.0.0.0");
        fixture.advance(milliseconds(1000));

        WHEN("one of the entries falls silent")
        {
            fixture.a_is_lost = true;
            fixture.advance(milliseconds(3000));
            // Guards against runs that end because another entry is lost.
            THEN("the run of the other one goes on")
            {
                CHECK_FALSE(fixture.worker.runs("a.0.0.0"));
                CHECK(fixture.worker.runs("b.0.0.0"));
            }
        }
    }
}
