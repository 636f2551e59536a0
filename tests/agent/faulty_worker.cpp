// Faults of calls, and the lives of the worker.

#include "agent/faulty_worker.h"

#include <algorithm>
#include <utility>

namespace greengagehead::agent::fakes {

namespace {

using std::chrono::milliseconds;

/// After this time a call without an answer counts as unanswered.
constexpr milliseconds call_timeout {120};
constexpr std::uint64_t shortest_call_delay_ms = 30;
constexpr std::uint64_t longest_short_call_delay_ms = 1000;
constexpr std::uint64_t longest_call_delay_ms = 12'000;
constexpr std::uint64_t longest_answer_delay_ms = 200;
constexpr std::uint64_t slowest_clock_permille = 980;

} // namespace

faulty_worker::faulty_worker(simulation_world& simulated, run_oracle& judge, delivery to_agent)
    : world(simulated), oracle(judge), deliver(std::move(to_agent)), life_began(simulated.now),
      clock_permille(simulated.draw(slowest_clock_permille, 1000))
{
    this->state.run_started
        = [this](model_run const& run) { this->oracle.on_run_started(run, this->exempt_start); };
    this->state.run_ended = [this](model_run const& run, run_end_reason reason) {
        this->oracle.on_run_ended(run, reason);
    };
}

void faulty_worker::start(call_context const& context, worker_run const& run,
                          protocol::task_start const& task, worker_clock lease_until,
                          std::function<void(worker_reply const&)> done)
{
    auto const sent = std::make_shared<call>();
    sent->kind = call_kind::start;
    sent->context = context;
    sent->timeout = call_timeout;
    sent->fail = [done](worker_answer reason) { done({reason, {}, {}}); };
    sent->execute = [this, run, task, lease_until, done](std::shared_ptr<call> const& arrived) {
        this->exempt_start = arrived->life != this->life && !this->called_with_knowledge;
        auto const reply = this->state.reply(
            this->state.carry_out_start(arrived->context, run, task, lease_until));
        this->answer(arrived, [done, reply] { done(reply); });
    };
    this->send(sent);
}

void faulty_worker::stop(call_context const& context, worker_run const& run,
                         std::function<void(worker_reply const&)> done)
{
    auto const sent = std::make_shared<call>();
    sent->kind = call_kind::stop;
    sent->context = context;
    sent->timeout = call_timeout;
    sent->fail = [done](worker_answer reason) { done({reason, {}, {}}); };
    sent->execute = [this, run, done](std::shared_ptr<call> const& arrived) {
        auto const result = this->state.carry_out_stop(arrived->context, run);
        if (result == worker_answer::accepted)
            this->oracle.on_stop_accepted(run);
        auto const reply = this->state.reply(result);
        this->answer(arrived, [done, reply] { done(reply); });
    };
    this->send(sent);
}

void faulty_worker::report(call_context const& context, worker_clock lease_until,
                           std::uint64_t last_seen_end, milliseconds wait,
                           std::function<void(worker_report const&)> done)
{
    auto const sent = std::make_shared<call>();
    sent->kind = call_kind::report;
    sent->context = context;
    sent->timeout = call_timeout + wait;
    sent->fail = [done](worker_answer reason) { done({{reason, {}, {}}, {}, {}}); };
    sent->execute = [this, lease_until, last_seen_end, wait,
                     done](std::shared_ptr<call> const& arrived) {
        auto const judged = this->state.begin_report(arrived->context, lease_until, last_seen_end);
        auto const respond = [this, arrived, judged, last_seen_end, done] {
            auto const listed = this->state.report(judged, last_seen_end);
            this->answer(arrived, [this, listed, done] {
                this->oracle.on_list_received(listed.running);
                done(listed);
            });
        };
        if (judged != worker_answer::accepted || wait == milliseconds(0))
            return respond();
        this->waiting.push_back({arrived, last_seen_end, this->world.now + wait, respond});
    };
    this->send(sent);
}

void faulty_worker::send(std::shared_ptr<call> const& sent)
{
    sent->life = this->life;
    sent->agent_generation = this->agent_generation;
    sent->known_life = this->known_life;
    auto const request_delay = this->world.draw_time(0, 2);
    sent->answer_delay = this->world.draw_time(0, 2);
    if (!this->is_up)
        return this->fail_after(sent, sent->answer_delay, worker_answer::not_sent);
    this->fail_after(sent, sent->timeout, worker_answer::no_answer);
    auto const& fault = this->faults[sent->kind];
    if (this->world.now >= fault.until || !this->world.chance(fault.percent))
        return this->world.after(request_delay, [this, sent] { this->arrive(sent); });
    auto const kind = this->world.draw(0, 9);
    bool const soon = this->world.chance(50);
    auto const lateness = this->world.draw_time(
        shortest_call_delay_ms, soon ? longest_short_call_delay_ms : longest_call_delay_ms);
    auto const answer_lateness = this->world.draw_time(0, longest_answer_delay_ms);
    constexpr std::uint64_t first_late = 3;
    constexpr std::uint64_t first_answer_lost = 6;
    constexpr std::uint64_t first_answer_late = 8;
    bool const mixed = fault.mode == fault_mode::mixed;
    if (fault.mode == fault_mode::lost || (mixed && kind < first_late))
        return;
    if (fault.mode == fault_mode::late || kind < first_answer_lost) {
        this->oracle.on_trouble(this->world.now + lateness);
        return this->world.after(lateness, [this, sent] { this->arrive(sent); });
    }
    sent->answer_lost = kind < first_answer_late;
    sent->answer_delay += answer_lateness;
    this->world.after(request_delay, [this, sent] { this->arrive(sent); });
}

void faulty_worker::arrive(std::shared_ptr<call> const& arrived)
{
    if (!this->is_up)
        return;
    if (this->frozen())
        return this->world.at(this->frozen_until, [this, arrived] { this->arrive(arrived); });
    arrived->execute(arrived);
    if (arrived->known_life >= this->life)
        this->called_with_knowledge = true;
}

void faulty_worker::deliver_once(std::shared_ptr<call> const& answered,
                                 std::function<void()> action)
{
    this->deliver([this, answered, action = std::move(action)] {
        if (answered->agent_generation != this->agent_generation
            || std::exchange(answered->answered, true))
            return;
        action();
    });
}

void faulty_worker::answer(std::shared_ptr<call> const& answered, std::function<void()> deliver_it)
{
    if (answered->answer_lost)
        return;
    auto const from_life = this->life;
    this->world.after(answered->answer_delay,
                      [this, answered, from_life, deliver_it = std::move(deliver_it)] {
                          this->deliver_once(answered, [this, from_life, deliver_it] {
                              this->known_life = std::max(this->known_life, from_life);
                              deliver_it();
                          });
                      });
}

void faulty_worker::fail_after(std::shared_ptr<call> const& failed, milliseconds delay,
                               worker_answer reason)
{
    this->world.after(delay, [this, failed, reason] {
        this->deliver_once(failed, [this, failed, reason] {
            // The next life follows the one that refuses connections.
            if (reason == worker_answer::not_sent)
                this->known_life = std::max(this->known_life, failed->life + 1);
            failed->fail(reason);
        });
    });
}

void faulty_worker::advance()
{
    if (!this->is_up || this->frozen())
        return;
    auto const passed
        = std::chrono::duration_cast<milliseconds>(this->world.now - this->life_began);
    this->state.advance_to(this->clock_at_start + passed * this->clock_permille / 1000);
    for (auto report = this->waiting.begin(); report != this->waiting.end();) {
        if (this->world.now < report->until && !this->state.ended_after(report->last_seen_end)) {
            ++report;
            continue;
        }
        report->respond();
        report = this->waiting.erase(report);
    }
}

void faulty_worker::crash()
{
    this->world.note("worker ends");
    this->is_up = false;
    this->state.crash();
    this->oracle.on_worker_ended();
    // Their connections are closed.
    for (auto const& report : std::exchange(this->waiting, {}))
        this->fail_after(report.from, milliseconds(1), worker_answer::no_answer);
}

void faulty_worker::begin_life(std::string const& id)
{
    this->world.note("worker starts as " + id);
    ++this->life;
    this->is_up = true;
    this->called_with_knowledge = false;
    this->life_began = this->world.now;
    this->clock_at_start = worker_clock(0);
    this->state.id = id;
    this->state.begin_life(this->state.born + 1);
}

} // namespace greengagehead::agent::fakes
