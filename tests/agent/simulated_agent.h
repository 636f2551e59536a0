// One process of the agent in a simulation.

#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "agent/agent_core.h"
#include "agent/incarnation_verifier.h"
#include "agent/leased_runner.h"
#include "agent/simulation_world.h"

namespace greengagehead::agent::fakes {

/// The agent's side of the worker's announcements, as in platform/worker_adapter.cpp.
class announcement_handler {
public:
    announcement_handler(simulation_world& simulated, leased_runner& target, agent_core& endpoints)
        : world(simulated), runner(target), core(endpoints),
          verifier([this](auto const& announced, auto done) {
              this->runner.ask_incarnation(announced, std::move(done));
          })
    {
        this->runner.availability_changed.connect([this](bool) { this->forward(); });
    }

    void handle(worker_incarnation const& announced, worker_clock clock)
    {
        if (this->is_known(announced))
            return this->apply(announced, clock);
        this->verifier.verify(announced, this->world.now,
                              [this, announced, clock](incarnation_verdict verdict) {
                                  if (verdict == incarnation_verdict::confirmed)
                                      this->apply(announced, clock);
                              });
    }
    void tick() { this->verifier.tick(this->world.now); }

private:
    [[nodiscard]] bool is_known(worker_incarnation const& incarnation) const
    {
        return this->latest == incarnation && this->runner.current_incarnation() == incarnation;
    }
    void apply(worker_incarnation const& announced, worker_clock clock)
    {
        // An incarnation that changes its id keeps its endpoint.
        bool const same_life = this->latest
            && (this->is_known(announced)
                || (announced.born != 0 && this->latest->born == announced.born));
        if (!same_life) {
            if (this->latest)
                (void)this->core.leave(this->endpoint_name, this->world.now);
            this->endpoint_name = announced.id;
        }
        this->latest = announced;
        this->runner.announced(announced, clock);
        this->forward();
    }
    void forward()
    {
        if (!this->latest)
            return;
        constexpr std::uint32_t slots = 64;
        announcement endpoint {
            this->endpoint_name, "http://127.0.0.1:9000", {"quote"}, slots, 0, 64, 1024, {}};
        endpoint.draining = !this->runner.available();
        (void)this->core.announce(endpoint, this->world.now);
    }

    simulation_world& world;
    leased_runner& runner;
    agent_core& core;
    incarnation_verifier verifier;
    std::optional<worker_incarnation> latest;
    std::string endpoint_name;
};

/// One incarnation of the agent's process.
class agent_process {
public:
    using message_sink
        = std::function<void(std::string const& entry, protocol::message const& body)>;

    agent_process(simulation_world& simulated, protocol::incarnation_number incarnation,
                  message_sink to_entry, std::unique_ptr<leased_worker> connection)
        : number(incarnation), worker(std::move(connection)), sender(std::move(to_entry)),
          runner(*this->worker, {}, fence_at(simulated), [&simulated] { return simulated.now; }),
          core(settings(incarnation), this->sender, this->runner, simulated.now),
          announcements(simulated, this->runner, this->core)
    {
        this->runner.lag_detected.connect(
            [this](auto const& run, std::chrono::milliseconds remaining) {
                this->core.report_lag(run, remaining);
            });
    }

    protocol::incarnation_number const number;
    base::steady_time frozen_until;
    bool was_frozen = false;
    std::deque<std::function<void()>> unread;
    base::steady_time next_tick;

private:
    struct sender_adapter final : protocol::message_sender {
        explicit sender_adapter(message_sink target) : sink(std::move(target)) { }
        void send(std::string const& peer, protocol::message const& body) override
        {
            this->sink(peer, body);
        }
        message_sink sink;
    };

    std::unique_ptr<leased_worker> worker;
    sender_adapter sender;

public:
    leased_runner runner;
    agent_core core;
    announcement_handler announcements;

private:
    /// As in platform/worker_adapter.cpp, a time in std::chrono::milliseconds.
    static std::uint64_t fence_at(simulation_world const& simulated)
    {
        constexpr std::uint64_t at_begin = 1'000'000;
        return at_begin + static_cast<std::uint64_t>(simulated.elapsed().count());
    }
    static agent_settings settings(protocol::incarnation_number incarnation)
    {
        agent_settings values;
        values.id = {"agent.recife-7", incarnation};
        values.zone = "recife";
        return values;
    }
};

} // namespace greengagehead::agent::fakes
