// An agent core, its runner and one leased worker on virtual time, in steps of 1 ms. Messages of
// entries take time, the agent may be paused, and answers of the worker may be lost.

#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "agent/agent_fixture.h"
#include "agent/leased_runner.h"
#include "agent/simulated_worker.h"

namespace greengagehead::agent::fakes {

/// Keeps the answers of a worker until the agent's process reads them. Holds a report back for its
/// `wait`, as a worker does while nothing ends.
class buffered_worker : public leased_worker {
public:
    explicit buffered_worker(simulated_worker& target) : worker(target) { }

    void start(call_context const& context, worker_run const& run, protocol::task_start const& task,
               worker_clock lease_until, std::function<void(worker_reply const&)> done) override
    {
        this->worker.start(context, run, task, lease_until, this->keep(std::move(done)));
    }
    void stop(call_context const& context, worker_run const& run,
              std::function<void(worker_reply const&)> done) override
    {
        this->worker.stop(context, run, this->keep(std::move(done)));
    }
    void report(call_context const& context, worker_clock lease_until, std::uint64_t last_seen_end,
                std::chrono::milliseconds wait,
                std::function<void(worker_report const&)> done) override
    {
        if (wait == std::chrono::milliseconds(0))
            return this->worker.report(context, lease_until, last_seen_end, wait,
                                       this->keep(std::move(done)));
        this->worker.report(context, lease_until, last_seen_end, wait, [](auto const&) {});
        this->held.push_back(
            {wait, [this, context, last_seen_end, done = std::move(done)]() mutable {
                 this->worker.report(context, worker_clock(0), last_seen_end, {},
                                     this->keep(std::move(done)));
             }});
    }

    void advance(std::chrono::milliseconds duration)
    {
        for (auto& each : std::exchange(this->held, {})) {
            each.first -= duration;
            if (each.first > std::chrono::milliseconds(0))
                this->held.push_back(std::move(each));
            else
                each.second();
        }
        // In hundredths of a millisecond.
        this->elapsed += duration.count() * this->rate_percent;
        this->worker.advance(std::chrono::milliseconds(this->elapsed / 100));
        this->elapsed %= 100;
    }
    void deliver()
    {
        for (auto const& answer : std::exchange(this->answers, {}))
            answer();
    }

    bool lost_answers = false;
    /// Rate of the worker's clock.
    std::int64_t rate_percent = 100;

private:
    template <typename Answer>
    std::function<void(Answer const&)> keep(std::function<void(Answer const&)> done)
    {
        return [this, done = std::move(done)](Answer const& answer) {
            this->answers.push_back(
                [done, answer = this->lost_answers ? Answer() : answer] { done(answer); });
        };
    }

    simulated_worker& worker;
    std::int64_t elapsed = 0;
    std::vector<std::function<void()>> answers;
    std::vector<std::pair<std::chrono::milliseconds, std::function<void()>>> held;
};

struct run_bounds_fixture {
    /// As `entry::lease_manager` makes them.
    static constexpr milliseconds stamp_validity {900};
    /// 1% of the validity and of the age of the agent's last report, by which a stamp ends early.
    static constexpr milliseconds stamp_drift {12};
    static constexpr milliseconds tick_interval {10};

    run_bounds_fixture()
        : calls(worker), runner(calls, {}, 100, [this] { return this->now; }),
          core(settings(), sender, runner, now)
    {
        this->runner.announced({"i-1", 5}, this->worker.clock);
        this->announce(8);
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
        values.queue.targeted = 64;
        values.queue.untargeted = 64;
        return values;
    }
    void announce(std::uint32_t slots)
    {
        (void)this->core.announce(
            {"i-1", "http://127.0.0.1:9000", {"quote"}, slots, 60, 64, 1024, {}}, this->now);
    }
    /// A stamp that is sent now.
    [[nodiscard]] protocol::lease_stamp stamp(protocol::process_id const& entry) const
    {
        return {entry, 1,
                base::to_reading(this->now + stamp_validity - stamp_drift - this->link_delay)};
    }
    void send(protocol::process_id const& entry, protocol::message message)
    {
        this->in_transit.push_back({this->now + this->link_delay, entry.name, std::move(message)});
    }
    void send_start(protocol::process_id const& entry, std::string const& name,
                    std::uint32_t attempt = 1)
    {
        protocol::task_start task;
        task.task = {entry.name + "-" + name, 0};
        task.name = name;
        task.attempt = attempt;
        task.endpoint = "i-1";
        task.kind = "quote";
        task.payload = "{}";
        task.remaining = milliseconds(30'000);
        task.start_within = milliseconds(30'000);
        task.ephemeral = true;
        this->send(entry, protocol::start_batch {this->stamp(entry), 77, {task}});
    }
    void send_cancel(protocol::process_id const& entry, std::string const& name)
    {
        this->send(entry, protocol::cancel_batch {{{{entry.name + "-" + name, 0}, 1}}});
    }
    void advance(milliseconds duration)
    {
        constexpr milliseconds step {1};
        for (auto const end = this->now + duration; this->now < end;) {
            this->now += step;
            this->calls.advance(step);
            for (auto const& entry : {this->entry_a, this->entry_b})
                this->update_if_due(entry);
            if (this->agent_runs())
                this->run_agent();
        }
    }
    [[nodiscard]] std::size_t outcomes(protocol::process_id const& entry,
                                       protocol::outcome_kind kind) const
    {
        std::set<std::pair<std::string, std::uint32_t>> found;
        for (auto const& outcome : this->sender.outcomes(entry.name)) {
            if (outcome.kind == kind)
                found.emplace(outcome.task.job, outcome.attempt);
        }
        return found.size();
    }

    protocol::process_id const entry_a {"entry.a", 11};
    protocol::process_id const entry_b {"entry.b", 22};
    base::steady_time now {std::chrono::hours(1)};
    milliseconds link_delay {0}; ///< In one direction.
    /// Interval of the updates of an entry; 0 for an entry that sends none.
    std::map<std::string, milliseconds> update_interval {{"entry.a", milliseconds(300)},
                                                         {"entry.b", milliseconds(300)}};
    /// Whether the agent's process has the processor.
    std::function<bool()> agent_runs = [] { return true; };

    struct message_in_transit {
        base::steady_time arrives;
        std::string peer;
        protocol::message body;
    };
    std::vector<message_in_transit> in_transit;
    std::map<std::string, base::steady_time> next_update;
    base::steady_time next_tick;
    simulated_worker worker;
    buffered_worker calls;
    recording_sender sender;
    leased_runner runner;
    agent_core core;

private:
    void update_if_due(protocol::process_id const& entry)
    {
        auto const interval = this->update_interval.at(entry.name);
        if (interval == milliseconds(0) || this->now < this->next_update[entry.name])
            return;
        this->next_update[entry.name] = this->now + interval;
        this->send(entry,
                   protocol::lease_update {
                       this->stamp(entry), {}, {}, {this->entry_a, this->entry_b}, {}});
    }
    /// One pass of the event loop: messages and answers come before timers.
    void run_agent()
    {
        for (auto& message : std::exchange(this->in_transit, {})) {
            if (message.arrives <= this->now)
                this->core.receive(message.peer, message.body, this->now);
            else
                this->in_transit.push_back(std::move(message));
        }
        this->calls.deliver();
        if (this->now < this->next_tick)
            return;
        this->next_tick = this->now + tick_interval;
        this->runner.tick();
        this->core.tick(this->now);
    }
};

} // namespace greengagehead::agent::fakes
