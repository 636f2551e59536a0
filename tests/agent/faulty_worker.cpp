// Faults of calls, and the lives of the worker.

#include "agent/faulty_worker.h"

#include <algorithm>
#include <numeric>
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
/// `stop_grace_ms`, on the worker's clock.
constexpr std::uint64_t longest_stop_duration_ms = 50;
/// Stopped runs of which the work is done while they are being stopped.
constexpr std::uint32_t done_in_stop_percent = 10;
constexpr std::uint64_t longest_report_delay_ms = 60;
constexpr std::uint64_t shortest_gap_ms = 10;
constexpr std::uint64_t longest_gap_ms = 90;
constexpr std::uint32_t gap_percent = 2; ///< Of the milliseconds in which a gap may begin.
constexpr std::uint64_t smallest_share = 3;
/// Unix time of the start of the first life, in milliseconds.
constexpr std::uint64_t first_born = 1'000'000'000;
constexpr std::uint64_t longest_set_back_ms = 5000;

/// Whether a task is among one in `share`. The same on every machine, unlike `std::hash`.
bool is_selected(std::string const& task, std::uint64_t share)
{
    auto const sum = std::accumulate(task.begin(), task.end(), std::uint64_t {0});
    return sum % share == 0;
}

} // namespace

class faulty_worker::port final : public leased_worker {
public:
    port(faulty_worker& called, std::shared_ptr<caller> caller_of_this)
        : target(called), self(std::move(caller_of_this))
    {
    }

    void start(call_context const& context, worker_run const& run, protocol::task_start const& task,
               worker_clock lease_until, std::function<void(worker_reply const&)> done) override
    {
        this->target.send_start(this->self, context, run, task, lease_until, std::move(done));
    }
    void stop(call_context const& context, worker_run const& run,
              std::function<void(worker_reply const&)> done) override
    {
        this->target.send_stop(this->self, context, run, std::move(done));
    }
    void report(call_context const& context, worker_clock lease_until, std::uint64_t last_seen_end,
                milliseconds wait, std::function<void(worker_report const&)> done) override
    {
        this->target.send_report(this->self, context, lease_until, last_seen_end, wait,
                                 std::move(done));
    }

private:
    faulty_worker& target;
    std::shared_ptr<caller> self;
};

faulty_worker::faulty_worker(simulation_world& simulated, run_oracle& judge)
    : identity(simulated), world(simulated), oracle(judge), life_began(simulated.now),
      clock_permille(simulated.draw(slowest_clock_permille, 1000))
{
    this->state.run_started
        = [this](model_run const& run) { this->oracle.on_run_started(run, this->exempt_start); };
    this->state.run_ended = [this](model_run const& run, run_end_reason reason) {
        this->oracle.on_run_ended(run, reason);
    };
    this->state.is_left_out = [this](model_run const& run) {
        return this->world.now < this->left_out_until
            && is_selected(run.run.task, this->left_out_share);
    };
    this->state.stands_still = [this](model_run const& run) {
        return this->world.now < this->standing_until
            && is_selected(run.run.task, this->standing_share);
    };
    this->state.denies
        = [this](call_context const& context) { return this->identity.denies(context); };
    this->state.stated_born
        = [this](std::uint64_t born) { return this->identity.stated_born(born); };
    this->state.born = first_born;
    this->draw_habits();
}

std::unique_ptr<leased_worker> faulty_worker::connect(delivery to_agent)
{
    return std::make_unique<port>(
        *this, std::make_shared<caller>(caller {std::move(to_agent), this->life}));
}

void faulty_worker::draw_habits()
{
    this->listing = static_cast<stop_listing>(this->world.draw(0, stop_listing_count - 1));
    this->longest_stop_ms = this->world.chance(75) ? longest_stop_duration_ms : 0;
    constexpr std::uint32_t few_percent = 20;
    this->early_reports_percent = this->world.chance(50) ? few_percent : 0;
}

void faulty_worker::draw_left_out_rows()
{
    if (this->world.now >= this->rows_left_out_until || this->world.now < this->left_out_until
        || !this->world.chance(gap_percent))
        return;
    this->left_out_until = this->world.now + this->world.draw_time(shortest_gap_ms, longest_gap_ms);
    this->left_out_share = this->world.draw(1, smallest_share);
}

void faulty_worker::stand_still_until(base::steady_time time, std::uint64_t share)
{
    this->standing_until = std::max(this->standing_until, time);
    this->standing_share = share;
}

worker_answer faulty_worker::carry_out_stop(call_context const& context, worker_run const& run)
{
    this->state.stop_duration = this->world.draw_time(0, this->longest_stop_ms);
    auto const result = this->state.carry_out_stop(context, run);
    if (result != worker_answer::accepted)
        return result;
    this->oracle.on_stop_accepted(run);
    if (this->world.chance(done_in_stop_percent))
        this->state.finish_within(run, this->world.draw_time(0, longest_stop_duration_ms));
    return result;
}

worker_report faulty_worker::make_report(worker_answer judged, std::uint64_t last_seen_end)
{
    this->state.lists_stopping_runs = this->listing == stop_listing::always
        || (this->listing == stop_listing::at_times && this->world.chance(50));
    return this->state.report(judged, last_seen_end);
}

void faulty_worker::send_start(std::shared_ptr<caller> const& from, call_context const& context,
                               worker_run const& run, protocol::task_start const& task,
                               worker_clock lease_until,
                               std::function<void(worker_reply const&)> done)
{
    auto const sent = std::make_shared<call>();
    sent->from = from;
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

void faulty_worker::send_stop(std::shared_ptr<caller> const& from, call_context const& context,
                              worker_run const& run, std::function<void(worker_reply const&)> done)
{
    auto const sent = std::make_shared<call>();
    sent->from = from;
    sent->kind = call_kind::stop;
    sent->context = context;
    sent->timeout = call_timeout;
    sent->fail = [done](worker_answer reason) { done({reason, {}, {}}); };
    sent->execute = [this, run, done](std::shared_ptr<call> const& arrived) {
        auto const reply = this->state.reply(this->carry_out_stop(arrived->context, run));
        this->answer(arrived, [done, reply] { done(reply); });
    };
    this->send(sent);
}

void faulty_worker::send_report(std::shared_ptr<caller> const& from, call_context const& context,
                                worker_clock lease_until, std::uint64_t last_seen_end,
                                milliseconds wait, std::function<void(worker_report const&)> done)
{
    auto const sent = std::make_shared<call>();
    sent->from = from;
    sent->kind = call_kind::report;
    sent->context = context;
    sent->timeout = call_timeout + wait;
    sent->fail = [done](worker_answer reason) { done({{reason, {}, {}}, {}, {}}); };
    sent->execute = [this, lease_until, last_seen_end, wait,
                     done](std::shared_ptr<call> const& arrived) {
        auto const judged = this->state.begin_report(arrived->context, lease_until, last_seen_end);
        bool const early = this->world.chance(this->early_reports_percent);
        auto const time = early
            ? static_cast<report_time>(this->world.draw(1, report_time_count - 1))
            : report_time::answer;
        auto const first = early ? this->make_report(judged, last_seen_end) : worker_report {};
        auto const respond = [this, arrived, judged, last_seen_end, time, first, done] {
            auto listed
                = time == report_time::arrival ? first : this->make_report(judged, last_seen_end);
            if (time == report_time::arrival_of_rows)
                listed.running = first.running;
            this->answer(arrived, [this, listed, done] {
                this->oracle.on_list_received(listed.running);
                done(listed);
            });
        };
        if (judged != worker_answer::accepted)
            return respond();
        if (early) {
            auto const delay = this->world.draw_time(0, longest_report_delay_ms);
            this->waiting.push_back(
                {arrived, worker_model::no_end, this->world.now + delay, respond});
            return;
        }
        if (wait == milliseconds(0))
            return respond();
        this->waiting.push_back({arrived, last_seen_end, this->world.now + wait, respond});
    };
    this->send(sent);
}

void faulty_worker::send(std::shared_ptr<call> const& sent)
{
    sent->life = this->life;
    sent->known_life = sent->from->known_life;
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
    if (fault.mode == fault_mode::late || (mixed && kind < first_answer_lost)) {
        this->oracle.on_trouble(this->world.now + lateness);
        return this->world.after(lateness, [this, sent] { this->arrive(sent); });
    }
    sent->answer_lost = fault.mode == fault_mode::unanswered
        || (fault.mode == fault_mode::mixed && kind < first_answer_late);
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
    answered->from->deliver([answered, action = std::move(action)] {
        if (!std::exchange(answered->answered, true))
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
                          this->deliver_once(answered, [answered, from_life, deliver_it] {
                              auto& known = answered->from->known_life;
                              known = std::max(known, from_life);
                              deliver_it();
                          });
                      });
}

void faulty_worker::fail_after(std::shared_ptr<call> const& failed, milliseconds delay,
                               worker_answer reason)
{
    this->world.after(delay, [this, failed, reason] {
        this->deliver_once(failed, [failed, reason] {
            // The next life follows the one that refuses connections.
            auto& known = failed->from->known_life;
            if (reason == worker_answer::not_sent)
                known = std::max(known, failed->life + 1);
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
    this->draw_left_out_rows();
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

void faulty_worker::rename(std::string const& id, base::steady_time former_id_until)
{
    this->world.note("worker " + this->state.id + " calls itself " + id);
    this->state.former_id = std::exchange(this->state.id, id);
    this->world.at(former_id_until, [this, former_id = this->state.former_id] {
        if (this->state.former_id == former_id)
            this->state.former_id.clear();
    });
}

void faulty_worker::begin_life(std::string const& id, bool set_back)
{
    auto const unix_time = milliseconds(first_born) + this->world.elapsed();
    if (set_back) {
        auto const before = this->world.draw_time(1, longest_set_back_ms);
        this->clock_set_back = unix_time - milliseconds(this->state.born) + before;
    }
    auto const born = static_cast<std::uint64_t>((unix_time - this->clock_set_back).count());
    this->world.note("worker starts as " + id + ", born " + std::to_string(born));
    ++this->life;
    this->is_up = true;
    this->called_with_knowledge = false;
    this->life_began = this->world.now;
    this->clock_at_start = worker_clock(0);
    this->state.id = id;
    this->state.begin_life(born);
    this->draw_habits();
}

} // namespace greengagehead::agent::fakes
