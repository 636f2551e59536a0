// Orders to the worker, the lease over them, and the ends of runs. Reports: leased_reports.cpp.

#include "agent/leased_runner.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "base/log_record.h"

namespace greengagehead::agent {

namespace {

using protocol::outcome_kind;
using std::chrono::milliseconds;

/// A worker on the same VM answers within a few milliseconds. Orders are repeated under the same
/// run number, so a repetition has no effect when the first one was carried out.
constexpr milliseconds stop_interval {30};
constexpr milliseconds start_interval {20};
constexpr std::uint32_t most_repeated_starts = 3;
constexpr milliseconds unreachable_after {700};
/// Run numbers and fencing tokens of an earlier incarnation of this agent are not known here. They
/// are passed by steps that grow no more than a few times.
constexpr std::uint32_t most_start_tries = 6;
constexpr std::uint64_t run_number_step = 16;
constexpr std::uint64_t fence_step = 60'000;

std::string_view text_of(worker_answer answer)
{
    static constexpr std::string_view texts[] = {"accepted",
                                                 "fencing token too low",
                                                 "run number too low",
                                                 "arrived late",
                                                 "no room",
                                                 "the worker is unhealthy",
                                                 "restarted",
                                                 "rejected",
                                                 "the worker was not reached",
                                                 "no answer"};
    return texts[static_cast<std::size_t>(answer)];
}

} // namespace

leased_runner::leased_runner(leased_worker& port, lease_limits wanted, std::uint64_t first_fence,
                             clock_source source)
    : worker(port), limits(wanted), fence(first_fence), now(std::move(source)),
      created(this->now()), last_contact(this->created),
      leases_over(this->created + wanted.longest * (100 + wanted.clock_drift_percent) / 100),
      alive(std::make_shared<bool>(true))
{
}

std::string leased_runner::name_of(protocol::task_start const& task)
{
    return task.name.empty() ? task.task.job + "." + std::to_string(task.task.index) : task.name;
}

void leased_runner::start(run_request const& request, callback done)
{
    auto const name = name_of(request.task);
    if (this->incarnation.id.empty() || !this->is_settled || this->runs.contains(name)
        || this->now() >= request.start_before) {
        auto const* const reason = this->runs.contains(name)
            ? "another run of the task has not ended yet"
            : "the worker is not ready, or the lease or the deadline has ended";
        return done({outcome_kind::not_run, {}, reason}, this->now());
    }
    auto& item = this->runs[name];
    item.task = request.task;
    item.done = std::move(done);
    auto& number = this->numbers[name];
    number = std::max<std::uint64_t>(number + 1, request.task.attempt);
    item.run = {name, number};
    this->send_start(item);
}

void leased_runner::send_start(open_run& item)
{
    ++item.tries;
    ++item.unanswered;
    ++item.under_way;
    item.next_try = this->now() + start_interval;
    auto const until = this->lease_end();
    this->worker.start(this->terms(), item.run, item.task, until,
                       [this, weak = std::weak_ptr(this->alive), name = item.run.task,
                        number = item.run.number](worker_reply const& reply) {
                           if (!weak.expired())
                               this->on_started(name, number, reply);
                       });
}

void leased_runner::on_started(std::string const& name, std::uint64_t number,
                               worker_reply const& reply)
{
    this->note_clock(reply.clock);
    auto const found = this->runs.find(name);
    if (found == this->runs.end() || found->second.run.number != number)
        return;
    auto& item = found->second;
    --item.under_way;
    item.unanswered -= reply.answer == worker_answer::no_answer ? 0 : 1;
    if (reply.answer == worker_answer::wrong_incarnation)
        return this->lose_life("the worker has restarted");
    // Another try has decided already.
    if (item.state != phase::starting)
        return;
    switch (reply.answer) {
    case worker_answer::accepted:
        return this->on_accepted(item);
    case worker_answer::stale_run:
        // An unanswered try may have run to its end by now; its end will be listed.
        if (item.unanswered > 0)
            return this->on_accepted(item);
        if (item.tries >= most_start_tries)
            break;
        item.run.number += run_number_step * item.tries;
        this->numbers[name] = item.run.number;
        return this->send_start(item);
    case worker_answer::stale_fence:
        this->raise_fence();
        if (item.tries >= most_start_tries)
            break;
        return this->send_start(item);
    case worker_answer::no_answer:
        base::log_record(base::log_event::start_unanswered)
            .with("task", name)
            .with("run", item.run.number)
            .with("worker", this->incarnation.id);
        if (item.under_way == 0)
            this->on_doubt(item);
        return;
    case worker_answer::wrong_incarnation:
    case worker_answer::command_expired:
    case worker_answer::no_capacity:
    case worker_answer::unhealthy:
    case worker_answer::rejected:
    case worker_answer::not_sent:
        break;
    }
    // An unanswered try may be carried out yet, so the run is stopped before it counts as not run.
    if (item.unanswered > 0) {
        this->on_doubt(item);
        if (!item.stop_sent)
            this->send_stop(item);
        return;
    }
    this->end(name,
              {outcome_kind::not_run,
               {},
               "the worker refused the start: " + std::string(text_of(reply.answer))});
}

void leased_runner::on_accepted(open_run& item)
{
    this->note_contact();
    item.state = phase::running;
    if (this->clock)
        item.progress.start(*this->clock);
    item.known_since = this->reports_sent;
    if (item.stop_wanted)
        this->send_stop(item);
    if (!this->report_open)
        this->next_report = std::min(this->next_report, this->now() + report_gap);
}

void leased_runner::on_doubt(open_run& item)
{
    item.state = phase::doubtful;
    item.known_since = this->reports_sent;
    if (item.stop_wanted)
        this->send_stop(item);
    else
        this->send_report(report_kind::probe);
}

void leased_runner::stop(std::string const& /*url*/, protocol::task_ref const& task)
{
    for (auto& [name, item] : this->runs) {
        if (item.task.task != task)
            continue;
        item.stop_wanted = true;
        if (item.state == phase::running)
            this->send_stop(item);
        return;
    }
}

void leased_runner::send_stop(open_run& item)
{
    item.stop_sent = true;
    item.next_stop = this->now() + stop_interval;
    this->worker.stop(this->terms(), item.run,
                      [this, weak = std::weak_ptr(this->alive), name = item.run.task,
                       number = item.run.number](worker_reply const& reply) {
                          if (weak.expired())
                              return;
                          this->note_clock(reply.clock);
                          if (reply.answer == worker_answer::wrong_incarnation)
                              return this->lose_life("the worker has restarted");
                          if (reply.answer == worker_answer::stale_fence)
                              return this->raise_fence();
                          auto const found = this->runs.find(name);
                          if (reply.answer != worker_answer::accepted || found == this->runs.end()
                              || found->second.run.number != number)
                              return;
                          this->note_contact();
                          auto& stopped = found->second;
                          stopped.stop_answered = true;
                          // From here on the worker refuses the start, so that a report without the
                          // run shows that it is over.
                          if (stopped.state == phase::doubtful) {
                              stopped.known_since = this->reports_sent;
                              stopped.missing = missing_reports_until_over - 1;
                          }
                          if (!this->report_open)
                              this->next_report = this->now();
                      });
}

void leased_runner::stop_foreign(worker_run const& run)
{
    base::log_record(base::log_event::foreign_run_stopped)
        .with("task", run.task)
        .with("run", run.number)
        .with("worker", this->incarnation.id);
    auto& number = this->numbers[run.task];
    number = std::max(number, run.number);
    this->worker.stop(this->terms(), run, [](worker_reply const&) {});
}

void leased_runner::announced(worker_incarnation const& wanted, std::optional<worker_clock> reading)
{
    // A delayed announcement of an earlier incarnation says nothing about the present one.
    if (!this->incarnation.id.empty() && wanted.born < this->incarnation.born)
        return;
    if (wanted != this->incarnation) {
        if (!this->incarnation.id.empty())
            this->lose_life("the worker has restarted");
        this->incarnation = wanted;
        this->clock.reset();
        this->seen_end = 0;
        this->next_report = this->now();
    }
    this->note_clock(reading);
}

void leased_runner::note_clock(std::optional<worker_clock> reading)
{
    if (!reading)
        return;
    auto const time = this->now();
    // Answers may overtake each other; the clock of one incarnation never goes back.
    if (this->clock && *reading < *this->clock)
        return;
    this->clock = reading;
    this->clock_read_at = time;
}

worker_clock leased_runner::lease_end() const
{
    if (!this->clock)
        return this->limits.longest;
    auto const passed = std::chrono::duration_cast<worker_clock>(this->now() - this->clock_read_at);
    return *this->clock + passed + this->limits.longest;
}

void leased_runner::note_contact()
{
    this->last_contact = this->now();
    if (!std::exchange(this->is_reachable, true))
        this->reachable_changed.emit(true);
}

void leased_runner::tick()
{
    auto const time = this->now();
    if (!this->is_settled && time >= this->leases_over) {
        this->is_settled = true;
        base::log_record(base::log_event::worker_settled).with("reason", "leases have lapsed");
    }
    if (!this->report_open && time >= this->next_report)
        this->send_report(report_kind::renewal);
    if (this->is_reachable && !this->runs.empty() && time >= this->next_probe)
        this->send_report(report_kind::probe);
    this->repeat_orders(time);
    if (this->is_reachable && time - this->last_contact > unreachable_after) {
        this->is_reachable = false;
        base::log_record(base::log_event::worker_unreachable).with("worker", this->incarnation.id);
        this->reachable_changed.emit(false);
    }
    // A silent worker ends everything when its leases lapse, and refuses late starts.
    if (!this->is_reachable && !this->runs.empty() && time >= this->leases_over) {
        auto const names = [this] {
            std::vector<std::string> all;
            for (auto const& [name, item] : this->runs)
                all.push_back(name);
            return all;
        }();
        for (auto const& name : names)
            this->end(name, {outcome_kind::unknown, {}, "the worker is silent"});
    }
}

void leased_runner::repeat_orders(base::steady_time time)
{
    for (auto& [name, item] : this->runs) {
        bool const stopping = item.stop_sent && !item.stop_answered;
        if (stopping && time >= item.next_stop)
            this->send_stop(item);
        bool const starting = item.state == phase::starting && !item.stop_wanted;
        if (starting && this->is_reachable && time >= item.next_try
            && item.tries < most_repeated_starts)
            this->send_start(item);
    }
}

void leased_runner::raise_fence()
{
    this->fence += fence_step;
    base::log_record(base::log_event::fence_raised)
        .with("worker", this->incarnation.id)
        .with("fence", this->fence);
}

void leased_runner::lose_life(std::string const& reason)
{
    base::log_record(base::log_event::worker_lost)
        .with("worker", this->incarnation.id)
        .with("runs", this->runs.size())
        .with("reason", reason);
    this->incarnation = {};
    this->clock.reset();
    this->seen_end = 0;
    this->numbers.clear();
    this->ended_numbers.clear();
    // `done` may start other tasks.
    auto lost = std::exchange(this->runs, {});
    for (auto& [name, item] : lost)
        std::exchange(item.done, nullptr)({outcome_kind::unknown, {}, reason}, this->now());
}

void leased_runner::end(std::string const& name, run_result result)
{
    auto const found = this->runs.find(name);
    if (found == this->runs.end())
        return;
    auto const done = std::move(found->second.done);
    this->runs.erase(found);
    if (this->numbers.size() > most_numbers)
        this->numbers.clear();
    done(std::move(result), this->now());
}

} // namespace greengagehead::agent
