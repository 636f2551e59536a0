// An entry and a real agent whose link becomes slow or works in one direction only.

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

#include "agent/agent_core.h"
#include "entry/simulated_fleet.h"

namespace {

using namespace greengagehead;
using namespace greengagehead::test;

/// Runs end at the latest this long after their cancellation was sent. Callers send a job again
/// after 1.3 s.
constexpr milliseconds longest_run_after_cancellation {1000};

/// Runs go on until they are stopped.
class endless_runner : public agent::endpoint_runner {
public:
    void start(agent::run_request const& request, callback done) override
    {
        this->runs.push_back({request.task.task, std::move(done), false});
    }
    void stop(std::string const& /*url*/, protocol::task_ref const& task) override
    {
        for (auto& run : this->runs) {
            if (run.task == task)
                run.stopped = true;
        }
    }
    void end_stopped(steady_time now)
    {
        std::vector<callback> ended;
        for (auto& run : this->runs) {
            if (run.stopped)
                ended.push_back(std::move(run.done));
        }
        std::erase_if(this->runs, [](auto const& run) { return run.stopped; });
        for (auto const& done : ended)
            done({protocol::outcome_kind::cancelled, {}, "stopped on request"}, now);
    }

    struct active_run {
        protocol::task_ref task;
        callback done;
        bool stopped = false;
    };
    std::vector<active_run> runs;
};

/// A fleet with one entry, a real agent `agent.1`, and a link from the entry to it that delivers in
/// order and late.
struct late_link_fleet : simulated_fleet {
    late_link_fleet() : simulated_fleet(1)
    {
        this->add_entry("entry.a", "recife");
        this->on_send = [this](auto const& /*from*/, auto const& to, auto const& body) {
            if (to == "agent.1")
                this->to_agent.push_back({this->now + this->link_delay(), body});
            auto const* const batch = std::get_if<protocol::cancel_batch>(&body);
            if (to == "agent.1" && batch != nullptr && !this->cancellation_sent)
                this->cancellation_sent = this->now;
            if (auto const* const starts = std::get_if<protocol::start_batch>(&body))
                this->starts_sent += starts->starts.size();
        };
        this->core.peer_up("entry.a", this->agent_time());
        this->advance(milliseconds(1000));
    }

    static agent::agent_settings make_settings()
    {
        agent::agent_settings settings;
        settings.id = {"agent.1", 7};
        settings.zone = "recife";
        return settings;
    }
    [[nodiscard]] steady_time agent_time() const { return this->now + std::chrono::seconds(77); }
    [[nodiscard]] milliseconds link_delay() const
    {
        if (!this->slow_since)
            return milliseconds(1);
        auto const slow_for
            = std::chrono::duration_cast<milliseconds>(this->now - *this->slow_since);
        return std::min(this->longest_delay, slow_for * this->growth_percent / 100)
            + milliseconds(1);
    }
    /// Advances the clock in steps until `time` has passed or a task runs twice.
    void advance(milliseconds time)
    {
        for (auto const end = this->now + time; this->now < end && !this->two_runs;) {
            this->run(milliseconds(10));
            (void)this->core.announce(
                {"chairs-1", "http://127.0.0.1:9000", {"quote"}, 4, 60, 64, 1024, "rack-1"},
                this->agent_time());
            while (!this->to_agent.empty() && this->to_agent.front().first <= this->now) {
                this->core.receive("entry.a", this->to_agent.front().second, this->agent_time());
                this->to_agent.pop_front();
            }
            this->core.tick(this->agent_time());
            this->runner.end_stopped(this->agent_time());
            this->two_runs = this->runs_of_the_job() > 1;
        }
    }
    [[nodiscard]] std::size_t runs_of_the_job() const
    {
        auto count = this->runner.runs.size();
        for (auto const& [name, agent] : this->agents)
            count += agent.running();
        return count;
    }
    /// Waits until the entry has no lease.
    void lose_control()
    {
        this->isolated.insert("control.a");
        this->advance(milliseconds(3000));
        REQUIRE_FALSE(this->entries.at("entry.a")->status(this->now).lease_valid);
    }
    std::shared_ptr<submission> start_job()
    {
        auto request = make_job("s1", 1, false);
        request.ephemeral = true;
        request.deadline = milliseconds(30'000);
        auto const submitted = this->submit("entry.a", request, milliseconds(30'000));
        this->advance(milliseconds(100));
        REQUIRE(this->runner.runs.size() == 1);
        return submitted;
    }

    /// Sends the messages of the agent, unless its direction of the link is broken.
    struct agent_sender : protocol::message_sender {
        explicit agent_sender(late_link_fleet& target) : fleet(target) { }
        void send(std::string const& peer, protocol::message const& body) override
        {
            if (!this->broken)
                this->fleet.post("agent.1", peer, body);
        }
        late_link_fleet& fleet;
        bool broken = false;
    };

    agent_sender sender {*this};
    endless_runner runner;
    agent::agent_core core {make_settings(), sender, runner, this->agent_time()};
    std::deque<std::pair<steady_time, protocol::message>> to_agent; // In order of arrival.
    std::optional<steady_time> slow_since; ///< From then on the delay of the link grows.
    int growth_percent = 0; ///< Growth of the delay, in percent of the time that passes.
    milliseconds longest_delay {3000};
    std::optional<steady_time> cancellation_sent; ///< To the real agent.
    std::size_t starts_sent = 0; ///< To any agent.
    bool two_runs = false; ///< The task has run twice at the same time.
};

} // namespace

SCENARIO("a run is cancelled behind messages that are late", "[entry][late_link]")
{
    GIVEN("a task at an agent whose link becomes slower")
    {
        auto const growth = GENERATE(10, 20, 50, 80, 120);
        auto const outage = GENERATE(false, true);
        late_link_fleet fleet;
        if (outage)
            fleet.lose_control();
        auto const job = fleet.start_job();
        fleet.slow_since = fleet.now;
        fleet.growth_percent = growth;

        WHEN("its job is cancelled two seconds later")
        {
            fleet.advance(milliseconds(2000));
            auto const requested = fleet.now;
            auto const id
                = fleet.runner.runs.empty() ? std::string() : fleet.runner.runs.front().task.job;
            if (!id.empty())
                fleet.entries.at("entry.a")->cancel(
                    id, [](auto const&) {}, fleet.now);
            fleet.advance(longest_run_after_cancellation);
            // Guards against a run that goes on while its cancellation is on its way, beside a
            // second one at another entry.
            THEN("the run has ended within a second")
            {
                INFO("growth of the delay: " << growth << "%, outage of control: " << outage);
                CHECK((id.empty() || fleet.cancellation_sent == requested));
                CHECK(fleet.runner.runs.empty());
            }
        }
    }
}

SCENARIO("an agent hears its entry late and is not heard by it", "[entry][late_link]")
{
    GIVEN("a task at an agent whose link becomes slower")
    {
        auto const growth = GENERATE(0, 40, 90, 150);
        auto const outage = GENERATE(false, true);
        late_link_fleet fleet;
        // Known before control is lost, and without room until the task runs at the other agent.
        auto& other = fleet.add_agent("agent.2", "fortaleza");
        other.slots = 0;
        other.run_time = milliseconds(60'000);
        fleet.advance(milliseconds(500));
        if (outage)
            fleet.lose_control();
        auto const job = fleet.start_job();
        fleet.slow_since = fleet.now;
        fleet.growth_percent = growth;
        other.slots = 4;

        WHEN("the entry no longer hears the agent")
        {
            fleet.advance(milliseconds(2000));
            fleet.sender.broken = true;
            fleet.advance(milliseconds(8000));
            // Guards against a second run at another agent while this one goes on, because it
            // still hears the entry that has given it up.
            THEN("the task never runs twice at the same time")
            {
                INFO("growth of the delay: " << growth << "%, outage of control: " << outage);
                CHECK_FALSE(fleet.two_runs);
                CHECK(fleet.runner.runs.size() + other.running() <= 1);
            }
            AND_WHEN("it hears the agent again")
            {
                fleet.sender.broken = false;
                fleet.growth_percent = 0;
                fleet.advance(milliseconds(3000));
                // Guards against a task that is never started again.
                THEN("the task runs at one of the agents")
                {
                    INFO("growth of the delay: " << growth << "%, outage of control: " << outage);
                    CHECK_FALSE(fleet.two_runs);
                    CHECK(fleet.runner.runs.size() + other.running() == 1);
                }
            }
        }
    }
}

SCENARIO("an entry is reachable although something else fails", "[entry][late_link]")
{
    GIVEN("a running task")
    {
        late_link_fleet fleet;
        auto const job = fleet.start_job();
        auto const continues = [&fleet] {
            fleet.advance(milliseconds(6000));
            return fleet.runner.runs.size() == 1 && !fleet.cancellation_sent
                && fleet.starts_sent == 1;
        };

        WHEN("control is unreachable")
        {
            fleet.isolated.insert("control.a");
            // Guards against an agent that counts its entry as lost when the lease ends.
            THEN("the run goes on")
            {
                CHECK(continues());
            }
        }
        WHEN("the messages of the entry arrive 0.4 s late")
        {
            fleet.slow_since = fleet.now;
            fleet.growth_percent = 50;
            fleet.longest_delay = milliseconds(400);
            // Guards against stopping runs that their entry can still cancel in time.
            THEN("the run goes on")
            {
                CHECK(continues());
            }
        }
    }
}
