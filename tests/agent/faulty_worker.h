// The worker of a simulation and the calls to it, which may be lost, late or overtake each other.
// The worker uses what the protocol leaves open: how long a stop takes, whether a run that is being
// stopped is listed, and when a report is computed.

#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "agent/identity_faults.h"
#include "agent/leased_worker.h"
#include "agent/run_oracle.h"
#include "agent/simulation_world.h"
#include "agent/worker_model.h"

namespace greengagehead::agent::fakes {

enum class fault_mode : std::uint8_t {
    mixed, ///< Calls are lost or late, or their answers are.
    late, ///< Calls are carried out late.
    lost, ///< Calls are never carried out.
    unanswered, ///< Calls are carried out in time, without an answer.
    answered_late, ///< Calls are carried out in time, and answered late.
};
constexpr std::uint64_t fault_mode_count = 5;

/// Faults of the calls of one kind while a trouble lasts.
struct call_faults {
    base::steady_time until;
    std::uint32_t percent = 0; ///< Share of the calls with a fault.
    fault_mode mode = fault_mode::mixed;
};

enum class call_kind : std::uint8_t { start, stop, report };

class faulty_worker {
public:
    /// Delivers to one process of the agent, which may be frozen or gone.
    using delivery = std::function<void(std::function<void()>)>;

    faulty_worker(simulation_world& simulated, run_oracle& judge);

    /// The worker as a new process of the agent calls it. Several processes may call it at a time.
    [[nodiscard]] std::unique_ptr<leased_worker> connect(delivery to_agent);

    /// Advances the worker to the present. To be called each millisecond.
    void advance();
    /// Ends the worker. Connections are refused until `begin_life`.
    void crash();
    /// Another life begins.
    /// @param set_back the machine's clock was set back to before the start of the former
    /// life.
    void begin_life(std::string const& id, bool set_back);
    /// The present life calls itself by another id.
    /// @param former_id_until until then it answers to its former id too.
    void rename(std::string const& id, base::steady_time former_id_until);
    void freeze_until(base::steady_time time) { this->frozen_until = time; }
    void set_faults(call_kind kind, call_faults const& faults) { this->faults[kind] = faults; }
    /// Until `time` some of the tasks make no progress.
    /// @param share one task in so many stands still.
    void stand_still_until(base::steady_time time, std::uint64_t share);
    /// Until `time` reports leave out running runs for some tens of milliseconds, time and again.
    void leave_out_rows_until(base::steady_time time) { this->rows_left_out_until = time; }

    identity_faults identity;

    [[nodiscard]] bool up() const { return this->is_up; }
    [[nodiscard]] bool frozen() const { return this->world.now < this->frozen_until; }
    [[nodiscard]] worker_model const& model() const { return this->state; }

private:
    using call_context = leased_worker::call_context;

    /// A process of the agent.
    struct caller {
        delivery deliver;
        std::uint64_t known_life = 0; ///< Latest one that the process knows of.
    };
    class port;
    /// A call that was sent. Exactly one of its answers reaches the agent.
    struct call {
        call_kind kind = call_kind::report;
        call_context context;
        std::uint64_t life = 0; ///< To which it was sent.
        std::shared_ptr<caller> from;
        std::uint64_t known_life = 0; ///< Latest one that the caller knew of.
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

    /// How the present life lists a run that it is stopping.
    enum class stop_listing : std::uint8_t { always, never, at_times };
    /// When a report is computed that is answered later.
    enum class report_time : std::uint8_t {
        answer, ///< When it is answered.
        arrival, ///< When the call arrives.
        arrival_of_rows, ///< `running` when the call arrives, clock and ends when it is answered.
    };
    static constexpr std::uint64_t stop_listing_count = 3;
    static constexpr std::uint64_t report_time_count = 3;

    void send_start(std::shared_ptr<caller> const& from, call_context const& context,
                    worker_run const& run, protocol::task_start const& task,
                    worker_clock lease_until, std::function<void(worker_reply const&)> done);
    void send_stop(std::shared_ptr<caller> const& from, call_context const& context,
                   worker_run const& run, std::function<void(worker_reply const&)> done);
    void send_report(std::shared_ptr<caller> const& from, call_context const& context,
                     worker_clock lease_until, std::uint64_t last_seen_end,
                     std::chrono::milliseconds wait,
                     std::function<void(worker_report const&)> done);
    [[nodiscard]] worker_answer carry_out_stop(call_context const& context, worker_run const& run);
    [[nodiscard]] worker_report make_report(worker_answer judged, std::uint64_t last_seen_end);
    /// Draws what the protocol leaves open to a life of the worker.
    void draw_habits();
    /// Draws which rows reports leave out from now on.
    void draw_left_out_rows();
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
    worker_model state;
    std::map<call_kind, call_faults> faults;
    std::list<waiting_report> waiting;
    bool is_up = true;
    base::steady_time frozen_until;
    base::steady_time life_began;
    std::chrono::milliseconds clock_set_back {0}; ///< By which the machine's clock is wrong.
    worker_clock clock_at_start {10'000};
    std::uint64_t clock_permille = 1000; ///< Rate of the clock.
    std::uint64_t life = 1;
    stop_listing listing = stop_listing::always;
    std::uint64_t longest_stop_ms = 0;
    std::uint32_t early_reports_percent = 0; ///< Computed before they are answered.
    base::steady_time standing_until;
    std::uint64_t standing_share = 1;
    base::steady_time rows_left_out_until;
    base::steady_time left_out_until; ///< End of the present gap in the lists.
    std::uint64_t left_out_share = 1;
    /// Whether the present life has carried out a call of an agent that knew of it.
    bool called_with_knowledge = false;
    bool exempt_start = false; ///< Of the start that is being carried out.
};

} // namespace greengagehead::agent::fakes
