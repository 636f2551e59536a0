// Two processes of one agent at one worker, and processes whose fencing token is too low because a
// clock was set back.

#include <catch2/catch.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "agent/leased_runner.h"
#include "agent/simulated_worker.h"

namespace {

using namespace greengagehead;
using namespace greengagehead::agent;
using namespace greengagehead::agent::fakes;
using protocol::outcome_kind;
using std::chrono::milliseconds;

constexpr milliseconds announcement_interval {1500};
/// Longest time that an agent serves nothing after an order with a higher fencing token. Another
/// process gives up its endpoint after three intervals without an announcement; the next
/// announcement to this one comes an interval later at most; then every lease that was granted
/// before lapses within 1020 ms, and a few calls are refused until the token is high enough.
constexpr milliseconds longest_outage = 4 * announcement_interval + milliseconds(1020 + 80);

/// Passes the calls of one process to the worker, and counts them.
class counted_calls : public leased_worker {
public:
    explicit counted_calls(simulated_worker& target) : worker(target) { }

    void start(call_context const& context, worker_run const& run, protocol::task_start const& task,
               worker_clock lease_until, std::function<void(worker_reply const&)> done) override
    {
        this->note(context);
        this->worker.start(context, run, task, lease_until, std::move(done));
    }
    void stop(call_context const& context, worker_run const& run,
              std::function<void(worker_reply const&)> done) override
    {
        this->note(context);
        this->worker.stop(context, run, std::move(done));
    }
    void report(call_context const& context, worker_clock lease_until, std::uint64_t last_seen_end,
                milliseconds wait, std::function<void(worker_report const&)> done) override
    {
        this->note(context);
        this->worker.report(context, lease_until, last_seen_end, wait, std::move(done));
    }

    std::size_t calls = 0;
    std::uint64_t last_fence = 0; ///< Fencing token of the last call.

private:
    void note(call_context const& context)
    {
        ++this->calls;
        this->last_fence = context.fence;
    }

    simulated_worker& worker;
};

/// One process of the agent.
struct agent_process {
    agent_process(simulated_worker& worker, std::uint64_t fence, leased_runner::clock_source clock)
        : calls(worker), runner(calls, {}, fence, std::move(clock))
    {
    }

    counted_calls calls;
    leased_runner runner;
    std::vector<run_result> results;
    std::map<std::string, outcome_kind> outcomes; ///< By the name of the task.
};

struct superseded_agent_fixture {
    [[nodiscard]] agent_process new_process(std::uint64_t fence)
    {
        return {this->worker, fence, [this] { return this->now; }};
    }
    void announce(agent_process& process) const
    {
        process.runner.announced({this->worker.id, this->worker.born}, this->worker.clock);
    }
    void start(agent_process& process, std::string const& name) const
    {
        run_request request;
        request.task.task = {"job", 0};
        request.task.name = name;
        request.start_before = this->now + milliseconds(1000);
        process.runner.start(request, [&process, name](run_result result, base::steady_time) {
            process.outcomes.insert_or_assign(name, result.kind);
            process.results.push_back(std::move(result));
        });
    }
    void advance(milliseconds duration, std::vector<agent_process*> const& processes)
    {
        constexpr milliseconds step {10};
        for (auto const end = this->now + duration; this->now < end;) {
            this->now += step;
            this->worker.advance(step);
            for (auto* const process : processes)
                process->runner.tick();
        }
    }
    /// The worker announces itself to the process meanwhile.
    void advance_announced(milliseconds duration, agent_process& process)
    {
        for (auto const end = this->now + duration; this->now < end;) {
            this->announce(process);
            this->advance(announcement_interval, {&process});
        }
    }

    base::steady_time now {std::chrono::hours(1)};
    simulated_worker worker;
};

} // namespace

SCENARIO("a second process of an agent begins while the first one runs on", "[agent][leased]")
{
    GIVEN("an agent with a run, whose worker knows its token")
    {
        superseded_agent_fixture fixture;
        auto former = fixture.new_process(1'000);
        fixture.announce(former);
        fixture.advance(milliseconds(1050), {&former});
        fixture.start(former, "a.0.0.0");
        fixture.advance(milliseconds(100), {&former});
        REQUIRE(fixture.worker.runs("a.0.0.0"));

        WHEN("a second process with a higher token begins, and starts a run")
        {
            auto next = fixture.new_process(3'000);
            fixture.announce(next);
            fixture.advance(milliseconds(1500), {&former, &next});
            fixture.start(next, "b.0.0.0");
            fixture.advance(milliseconds(50), {&former, &next});
            REQUIRE(fixture.worker.runs("b.0.0.0"));
            auto const calls_before = former.calls.calls;
            std::vector<bool> availability;
            former.runner.availability_changed.connect(
                [&availability](bool available) { availability.push_back(available); });
            fixture.advance(milliseconds(2000), {&former, &next});

            // Guards against two processes that outbid each other, and stop each other's runs.
            THEN("the token and the run of the second one stay")
            {
                CHECK(next.calls.last_fence == 3'000);
                CHECK(next.runner.available());
                CHECK(fixture.worker.runs("b.0.0.0"));
                CHECK(next.results.empty());
            }
            THEN("the first one calls the worker no more, and takes no work")
            {
                CHECK(former.calls.last_fence == 1'000);
                CHECK(former.calls.calls == calls_before);
                CHECK_FALSE(former.runner.available());
                CHECK(availability.empty());
                fixture.start(former, "c.0.0.0");
                REQUIRE(former.results.size() == 1);
                CHECK(former.results.front().kind == outcome_kind::not_run);
            }
            // Guards against an end that is reported without proof: the second process may have
            // extended the lease of the worker.
            THEN("the first one reports nothing about its run, also when it is to stop it")
            {
                former.runner.stop({}, {"job", 0});
                fixture.advance(milliseconds(2000), {&former, &next});
                CHECK(former.results.empty());
                CHECK(former.calls.calls == calls_before);
            }
            // Guards against a process that takes over again because the new life of the worker has
            // not seen its token before.
            THEN("the second one keeps the next life of the worker, too")
            {
                fixture.worker.restart(6);
                fixture.announce(next);
                fixture.advance(milliseconds(100), {&former, &next});
                fixture.announce(former);
                fixture.advance(milliseconds(1500), {&former, &next});
                CHECK(next.runner.available());
                CHECK_FALSE(former.runner.available());
                CHECK(next.calls.last_fence < 4'000);
                CHECK(former.calls.calls == calls_before);
            }
        }
        // Guards against a process that counts as a new one because this life of the worker has not
        // seen its token yet.
        WHEN("a second process reaches the next life of the worker before the first one does")
        {
            auto next = fixture.new_process(3'000);
            fixture.worker.crash();
            fixture.advance(milliseconds(200), {&former});
            fixture.worker.restart(6);
            fixture.announce(next);
            fixture.advance(milliseconds(100), {&next});
            fixture.advance(milliseconds(1500), {&former, &next});
            THEN("the second one keeps its token")
            {
                CHECK(next.calls.last_fence < 4'000);
                CHECK(next.runner.available());
                CHECK_FALSE(former.runner.available());
            }
        }
        // Guards against a true end that is lost: the answer had been on its way.
        WHEN("a report of the run's end is on its way when the token is refused")
        {
            fixture.worker.finish_all_but("");
            fixture.now += milliseconds(10);
            former.runner.tick();
            auto next = fixture.new_process(3'000);
            fixture.announce(next);
            fixture.advance(milliseconds(100), {&next, &former});
            THEN("the end is reported")
            {
                REQUIRE(former.results.size() == 1);
                CHECK(former.results.front().kind == outcome_kind::succeeded);
            }
        }
    }
}

SCENARIO("an agent starts with a lower fencing token than its worker has seen", "[agent][leased]")
{
    GIVEN("a worker that has seen the token of a former process, whose clock was ahead")
    {
        for (std::uint64_t const ahead : {1ULL, 60'001ULL, 86'400'000ULL, 31'536'000'000ULL}) {
            WHEN("the clock was set back by " + std::to_string(ahead) + " ms")
            {
                superseded_agent_fixture fixture;
                (void)fixture.worker.begin_report({1'000 + ahead, {}}, worker_clock(0), 0);
                auto process = fixture.new_process(1'000);
                fixture.announce(process);
                fixture.advance(milliseconds(1500), {&process});
                fixture.start(process, "a.0.0.0");
                fixture.advance(milliseconds(50), {&process});
                // Guards against an agent being refused for good after its clock was set back.
                THEN("the new process raises its token and works")
                {
                    CHECK(process.calls.last_fence > 1'000 + ahead);
                    CHECK(process.runner.available());
                    CHECK(fixture.worker.runs("a.0.0.0"));
                }
            }
        }
    }
}

SCENARIO("the next life of a worker carries out an order with a higher token", "[agent][leased]")
{
    GIVEN("an agent at work, and a late order of an earlier process to the next life of its worker")
    {
        superseded_agent_fixture fixture;
        auto process = fixture.new_process(1'000);
        fixture.announce(process);
        fixture.advance(milliseconds(1050), {&process});
        REQUIRE(process.runner.available());
        fixture.worker.restart(6);
        (void)fixture.worker.carry_out_stop({500'000, {}}, {"z.0.0.0", 1});
        fixture.advance(milliseconds(1500), {&process});
        REQUIRE_FALSE(process.runner.available());
        auto const calls_before = process.calls.calls;

        // Guards against an agent that stays without work for good, and against one that outbids
        // another process which still takes work.
        WHEN("the worker goes on announcing itself to the process")
        {
            fixture.advance_announced(2 * announcement_interval, process);
            CHECK(process.calls.calls == calls_before);
            fixture.advance_announced(longest_outage - 3 * announcement_interval, process);
            THEN("the process raises its token once another one would have no endpoint, and works")
            {
                CHECK(process.calls.last_fence > 500'000);
                CHECK(process.runner.available());
                fixture.start(process, "a.0.0.0");
                fixture.advance(milliseconds(50), {&process});
                CHECK(fixture.worker.runs("a.0.0.0"));
            }
        }
        // Guards against a process that takes the worker back from one that it announces itself to.
        WHEN("the worker announces itself elsewhere")
        {
            fixture.advance(std::chrono::minutes(5), {&process});
            THEN("the process stays silent")
            {
                CHECK(process.calls.calls == calls_before);
                CHECK_FALSE(process.runner.available());
            }
        }
    }
}

// Guards against an agent that serves nothing any more because its worker has seen one higher
// fencing token, in a late order of a process that has ended.
SCENARIO("a worker at work carries out one order with a higher token", "[agent][leased]")
{
    GIVEN("an agent with two runs, to which its worker announces itself")
    {
        for (std::uint64_t const distance : {1ULL, 1'000ULL, 1'000'000ULL}) {
            superseded_agent_fixture fixture;
            auto process = fixture.new_process(1'000);
            fixture.announce(process);
            fixture.advance(milliseconds(1050), {&process});
            fixture.start(process, "a.0.0.0");
            fixture.start(process, "b.0.0.0");
            fixture.advance(milliseconds(700), {&process});
            REQUIRE(fixture.worker.runs("a.0.0.0"));
            REQUIRE(fixture.worker.runs("b.0.0.0"));
            auto const late_token = process.calls.last_fence + distance;
            auto const serves_again = [&fixture, &process, late_token] {
                CHECK(process.runner.available());
                CHECK(process.runner.settled());
                CHECK(process.calls.last_fence > late_token);
                fixture.start(process, "c.0.0.0");
                fixture.advance(milliseconds(50), {&process});
                CHECK(fixture.worker.runs("c.0.0.0"));
                CHECK_FALSE(process.outcomes.contains("c.0.0.0"));
            };
            auto const distance_text = " that is higher by " + std::to_string(distance);

            WHEN("its worker carries out an order with a token" + distance_text)
            {
                (void)fixture.worker.carry_out_stop({late_token, {}}, {"z.0.0.0", 1});
                fixture.advance(milliseconds(100), {&process});
                REQUIRE_FALSE(process.runner.available());
                fixture.worker.finish_all_but("a.0.0.0");
                fixture.advance_announced(longest_outage, process);
                THEN("it serves again, and reports the ends that the worker lists")
                {
                    CHECK(process.outcomes["a.0.0.0"] == outcome_kind::cancelled);
                    CHECK(process.outcomes["b.0.0.0"] == outcome_kind::succeeded);
                    CHECK(process.results.size() == 2);
                    serves_again();
                }
            }
            WHEN("the next life of its worker first carries out one with a token" + distance_text)
            {
                fixture.worker.restart(6);
                // The process advances its own token by 1 for the next life.
                (void)fixture.worker.carry_out_stop({late_token + 1, {}}, {"z.0.0.0", 1});
                fixture.advance(milliseconds(100), {&process});
                REQUIRE_FALSE(process.runner.available());
                fixture.advance_announced(longest_outage, process);
                THEN("it serves again, and reports its runs as lost with the former life")
                {
                    CHECK(process.outcomes["a.0.0.0"] == outcome_kind::unknown);
                    CHECK(process.outcomes["b.0.0.0"] == outcome_kind::unknown);
                    CHECK(process.results.size() == 2);
                    serves_again();
                }
            }
            WHEN("another process extended its worker's lease for 4.4 s with a token"
                 + distance_text)
            {
                auto const other_ended = fixture.now + milliseconds(4400);
                for (auto const end = fixture.now + longest_outage; fixture.now < end;) {
                    if (fixture.now < other_ended)
                        (void)fixture.worker.begin_report(
                            {late_token, {}}, fixture.worker.clock + milliseconds(1000), 0);
                    fixture.announce(process);
                    fixture.advance(milliseconds(100), {&process});
                }
                THEN("it serves again, and its runs go on until they end")
                {
                    CHECK(process.results.empty());
                    serves_again();
                    fixture.worker.finish_all_but("c.0.0.0");
                    fixture.advance(milliseconds(50), {&process});
                    CHECK(process.outcomes["a.0.0.0"] == outcome_kind::succeeded);
                    CHECK(process.outcomes["b.0.0.0"] == outcome_kind::succeeded);
                }
            }
            // Guards against a run that counts as ended because the lease that this process has
            // granted has lapsed, while another process has extended it.
            WHEN("lists leave out its runs when it goes on, after another process had a token"
                 + distance_text)
            {
                fixture.worker.lists_runs = false;
                for (auto const end = fixture.now + milliseconds(5000); fixture.now < end;) {
                    if (fixture.now < end - milliseconds(600))
                        (void)fixture.worker.begin_report(
                            {late_token, {}}, fixture.worker.clock + milliseconds(1000), 0);
                    fixture.announce(process);
                    fixture.advance(milliseconds(100), {&process});
                }
                REQUIRE(process.runner.available());
                REQUIRE(fixture.worker.runs("a.0.0.0"));
                THEN("it reports nothing about its runs before they have ended")
                {
                    CHECK(process.results.empty());
                    fixture.worker.lists_runs = true;
                    fixture.advance(milliseconds(100), {&process});
                    CHECK(process.results.empty());
                    CHECK(fixture.worker.runs("a.0.0.0"));
                }
            }
            // Guards against a run that counts as ended because the worker does not answer, while
            // another process extends the lease.
            WHEN("it gets no answer when it goes on, after another process had a token"
                 + distance_text)
            {
                (void)fixture.worker.begin_report({late_token, {}},
                                                  fixture.worker.clock + milliseconds(1000), 0);
                fixture.advance(milliseconds(300), {&process});
                REQUIRE_FALSE(process.runner.available());
                fixture.worker.silent = true;
                auto const fence_before = process.calls.last_fence;
                for (auto const end = fixture.now + milliseconds(8000); fixture.now < end;) {
                    (void)fixture.worker.begin_report({late_token, {}},
                                                      fixture.worker.clock + milliseconds(1000), 0);
                    fixture.announce(process);
                    fixture.advance(milliseconds(100), {&process});
                }
                REQUIRE(process.calls.last_fence > fence_before);
                THEN("it reports nothing about its runs")
                {
                    CHECK(process.results.empty());
                    CHECK(fixture.worker.runs("a.0.0.0"));
                }
            }
        }
    }
}

// Guards against a process that outbids another one which is living and at work.
SCENARIO("a superseded process hears the worker beside the process that has replaced it",
         "[agent][leased]")
{
    GIVEN("a process that another one has replaced")
    {
        superseded_agent_fixture fixture;
        auto former = fixture.new_process(1'000);
        fixture.announce(former);
        fixture.advance(milliseconds(1050), {&former});
        auto next = fixture.new_process(3'000);
        fixture.announce(next);
        auto const keeps_worker = [&fixture, &former, &next] {
            CHECK(former.calls.last_fence == 1'000);
            CHECK_FALSE(former.runner.available());
            CHECK(next.calls.last_fence == 3'000);
            CHECK(next.runner.available());
            fixture.start(next, "b.0.0.0");
            fixture.advance(milliseconds(50), {&former, &next});
            CHECK(fixture.worker.runs("b.0.0.0"));
        };

        WHEN("the worker announces itself to each of the two in turn")
        {
            for (int turn = 0; turn < 50; ++turn) {
                fixture.announce(turn % 2 == 0 ? former : next);
                fixture.advance(announcement_interval, {&former, &next});
            }
            THEN("the next one keeps the worker")
            {
                keeps_worker();
            }
        }
        WHEN("the worker announces itself to the former one, which is told to end after 2 s")
        {
            fixture.announce(former);
            fixture.advance(milliseconds(2000), {&former, &next});
            former.runner.begin_shutdown();
            // Its shutdown limit is 5.5 s.
            for (int announcement = 0; announcement < 4; ++announcement) {
                fixture.announce(former);
                fixture.advance(announcement_interval, {&former, &next});
            }
            THEN("the next one keeps the worker")
            {
                keeps_worker();
            }
        }
        WHEN("the former one is paused, and reads old announcements when it goes on")
        {
            fixture.advance(std::chrono::seconds(2), {&next});
            for (int announcement = 0; announcement < 20; ++announcement) {
                fixture.announce(next);
                fixture.advance(announcement_interval, {&next});
            }
            for (int announcement = 0; announcement < 20; ++announcement)
                fixture.announce(former);
            fixture.advance(milliseconds(500), {&former, &next});
            for (int announcement = 0; announcement < 20; ++announcement)
                fixture.announce(former);
            for (int announcement = 0; announcement < 20; ++announcement) {
                fixture.announce(next);
                fixture.advance(announcement_interval, {&former, &next});
            }
            THEN("the next one keeps the worker")
            {
                keeps_worker();
            }
        }
        WHEN("the former one is paused while it is superseded")
        {
            fixture.advance(std::chrono::seconds(1), {&former, &next});
            REQUIRE_FALSE(former.runner.available());
            for (int announcement = 0; announcement < 20; ++announcement) {
                fixture.announce(next);
                fixture.advance(announcement_interval, {&next});
            }
            for (int announcement = 0; announcement < 20; ++announcement)
                fixture.announce(former);
            fixture.advance(announcement_interval, {&former, &next});
            THEN("the next one keeps the worker")
            {
                keeps_worker();
            }
        }
    }
}

SCENARIO("several late orders with higher tokens reach a worker", "[agent][leased]")
{
    GIVEN("an agent at work")
    {
        superseded_agent_fixture fixture;
        auto process = fixture.new_process(1'000);
        fixture.announce(process);
        fixture.advance(milliseconds(1050), {&process});

        // Guards against an agent that is out of work for longer with each late order.
        WHEN("its worker carries out one every two minutes")
        {
            THEN("it serves again as soon after each")
            {
                for (int order = 0; order < 8; ++order) {
                    (void)fixture.worker.carry_out_stop({process.calls.last_fence + 1'000, {}},
                                                        {"z.0.0.0", 1});
                    fixture.advance(milliseconds(300), {&process});
                    CHECK_FALSE(process.runner.available());
                    fixture.advance_announced(longest_outage, process);
                    CHECK(process.runner.available());
                    CHECK(process.runner.settled());
                    fixture.advance_announced(std::chrono::minutes(2) - longest_outage, process);
                    CHECK(process.runner.available());
                }
            }
        }
    }
}
