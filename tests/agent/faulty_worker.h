// The worker of a simulation and the calls to it, which may be lost, late or overtake each other.

#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>

#include "agent/leased_worker.h"
#include "agent/run_oracle.h"
#include "agent/simulation_world.h"
#include "agent/worker_model.h"

namespace greengagehead::agent::fakes {

enum class fault_mode : std::uint8_t {
    mixed, ///< Calls are lost or late, or their answers are.
    late, ///< Calls are carried out late.
    lost, ///< Calls are never carried out.
};
constexpr std::uint64_t fault_mode_count = 3;

/// Faults of the calls of one kind while a trouble lasts.
struct call_faults {
    base::steady_time until;
    std::uint32_t percent = 0; ///< Share of the calls with a fault.
    fault_mode mode = fault_mode::mixed;
};

enum class call_kind : std::uint8_t { start, stop, report };

class faulty_worker : public leased_worker {
public:
    /// Delivers to the agent, which may be frozen or gone.
    using delivery = std::function<void(std::function<void()>)>;

    faulty_worker(simulation_world& simulated, run_oracle& judge, delivery to_agent);

    void start(call_context const& context, worker_run const& run, protocol::task_start const& task,
               worker_clock lease_until, std::function<void(worker_reply const&)> done) override;
    void stop(call_context const& context, worker_run const& run,
              std::function<void(worker_reply const&)> done) override;
    void report(call_context const& context, worker_clock lease_until, std::uint64_t last_seen_end,
                std::chrono::milliseconds wait,
                std::function<void(worker_report const&)> done) override;

    /// Advances the worker to the present. To be called each millisecond.
    void advance();
    /// Ends the worker. Connections are refused until `begin_life`.
    void crash();
    void begin_life(std::string const& id);
    void freeze_until(base::steady_time time) { this->frozen_until = time; }
    void set_faults(call_kind kind, call_faults const& faults) { this->faults[kind] = faults; }
    /// A new incarnation of the agent has a higher token than all before.
    void on_agent_restarted()
    {
        ++this->agent_generation;
        this->known_life = this->life;
    }

    [[nodiscard]] bool up() const { return this->is_up; }
    [[nodiscard]] bool frozen() const { return this->world.now < this->frozen_until; }
    [[nodiscard]] worker_model const& model() const { return this->state; }

private:
    /// A call that was sent. Exactly one of its answers reaches the agent.
    struct call {
        call_kind kind = call_kind::report;
        call_context context;
        std::uint64_t life = 0; ///< To which it was sent.
        std::uint64_t agent_generation = 0; ///< Which sent it.
        std::uint64_t known_life = 0; ///< Latest one that the agent knew of.
        std::chrono::milliseconds timeout {0};
        bool answered = false;
        std::chrono::milliseconds answer_delay {0};
        bool answer_lost = false;
        std::function<void(worker_answer)> fail;
        /// Carries the call out at the worker.
        std::function<void(std::shared_ptr<call> const&)> execute;
    };
    struct waiting_report {
        std::shared_ptr<call> from;
        std::uint64_t last_seen_end = 0;
        base::steady_time until;
        std::function<void()> respond;
    };

    void send(std::shared_ptr<call> const& sent);
    void arrive(std::shared_ptr<call> const& arrived);
    /// Delivers to the agent that has sent the call, if it has had no answer yet.
    void deliver_once(std::shared_ptr<call> const& answered, std::function<void()> action);
    /// Sends an answer to the agent.
    void answer(std::shared_ptr<call> const& answered, std::function<void()> deliver);
    void fail_after(std::shared_ptr<call> const& failed, std::chrono::milliseconds delay,
                    worker_answer reason);

    simulation_world& world;
    run_oracle& oracle;
    delivery deliver;
    worker_model state;
    std::map<call_kind, call_faults> faults;
    std::list<waiting_report> waiting;
    bool is_up = true;
    base::steady_time frozen_until;
    base::steady_time life_began;
    worker_clock clock_at_start {10'000};
    std::uint64_t clock_permille = 1000; ///< Rate of the clock.
    std::uint64_t life = 1;
    std::uint64_t agent_generation = 0;
    std::uint64_t known_life = 0;
    /// Whether the present life has carried out a call of an agent that knew of it.
    bool called_with_knowledge = false;
    bool exempt_start = false; ///< Of the start that is being carried out.
};

} // namespace greengagehead::agent::fakes
