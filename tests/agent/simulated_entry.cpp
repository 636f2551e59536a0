// Messages and timers of a simulated entry.

#include "agent/simulated_entry.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace greengagehead::agent::fakes {

namespace {

using protocol::outcome_kind;
using std::chrono::milliseconds;

// As in entry::lease_manager, entry_core and policy::unconfirmed_run_limit.
constexpr milliseconds stamp_validity {900};
constexpr milliseconds update_interval {300};
constexpr milliseconds agent_silence {1000};
constexpr milliseconds agent_check_interval {100};
constexpr milliseconds unconfirmed_run_limit {2000};
/// Of an attempt without an outcome. Its start may have been lost with a connection.
constexpr milliseconds query_interval {2000};
constexpr std::int64_t clock_drift_percent = 1;

constexpr std::uint64_t slowest_clock_permille = 980;
constexpr std::uint32_t max_attempts = 3;
constexpr std::uint32_t cancelled_percent = 8;
constexpr std::uint32_t retried_percent = 70;
constexpr std::uint32_t moved_percent = 80; ///< Runs that are cancelled because they lag.

} // namespace

simulated_entry::simulated_entry(simulation_world& simulated, run_oracle& judge,
                                 protocol::process_id id, sender to_agent)
    : world(simulated), oracle(judge), self(std::move(id)), send(std::move(to_agent)),
      clock_permille(simulated.draw(slowest_clock_permille, 1000))
{
}

base::steady_time simulated_entry::local_time() const
{
    return this->world.began
        + (this->world.now - this->world.began) * static_cast<std::int64_t>(this->clock_permille)
        / 1000;
}

protocol::lease_stamp simulated_entry::stamp() const
{
    auto const end = this->local_time() + stamp_validity;
    auto const since_report = base::to_reading(end) - base::to_reading(this->last_report);
    return {this->self, 1, this->agent_clock + since_report * (100 - clock_drift_percent) / 100,
            true};
}

void simulated_entry::send_stamped(protocol::message const& body)
{
    this->oracle.on_stamp_sent(this->self);
    this->send(body);
}

bool simulated_entry::start(std::string const& name, milliseconds work)
{
    if (!this->connected || this->silent || this->endpoints.empty())
        return false;
    protocol::task_start task;
    task.task = {this->self.name + "-" + std::to_string(this->self.incarnation) + "-"
                     + std::to_string(++this->last_job),
                 0};
    task.name = name;
    task.kind = "quote";
    task.payload = std::to_string(work.count());
    task.remaining = milliseconds(30'000);
    task.expected = work;
    task.ephemeral = true;
    return this->send_start(std::move(task));
}

bool simulated_entry::send_start(protocol::task_start task)
{
    if (!this->connected || this->silent || this->endpoints.empty())
        return false;
    task.endpoint = this->endpoints.back();
    bool const cancelled = this->world.chance(cancelled_percent);
    auto const cancel_delay = this->world.draw_time(1, 1500);
    this->open.push_back({task,
                          cancelled ? this->world.now + cancel_delay : base::steady_time::max(),
                          this->world.now + query_interval, false});
    this->oracle.on_attempt_sent({task.task, task.attempt}, this->self);
    this->send_stamped(protocol::start_batch {this->stamp(), this->agent_incarnation, {task}});
    return true;
}

void simulated_entry::receive(protocol::message const& body)
{
    if (auto const* const report = std::get_if<protocol::agent_report>(&body))
        return this->on_report(*report);
    if (auto const* const batch = std::get_if<protocol::outcome_batch>(&body)) {
        this->send(protocol::outcome_ack {batch->agent.incarnation, batch->batch_id});
        for (auto const& outcome : batch->outcomes)
            this->on_outcome(outcome);
        return;
    }
    if (auto const* const notice = std::get_if<protocol::lagging_run>(&body))
        return this->on_lagging(*notice);
    auto const* const answer = std::get_if<protocol::outcome_report>(&body);
    if (answer == nullptr)
        return;
    for (auto const& outcome : answer->outcomes) {
        if (outcome.kind != outcome_kind::running)
            this->on_outcome(outcome);
    }
    // An attempt that the agent does not know was lost: its start was sent before the query.
    for (auto const& queried : this->queries[answer->query_id]) {
        std::erase_if(this->open, [&](auto const& attempt) {
            auto const& task = attempt.task;
            bool const listed = std::any_of(
                answer->outcomes.begin(), answer->outcomes.end(), [&task](auto const& outcome) {
                    return outcome.task == task.task && outcome.attempt == task.attempt;
                });
            bool const lost
                = task.task.job == queried.job && task.attempt <= queried.attempt && !listed;
            if (lost)
                this->oracle.on_given_up({task.task, task.attempt}, "the agent does not know it");
            return lost;
        });
    }
    this->queries.erase(answer->query_id);
}

void simulated_entry::query(std::vector<queried_attempt> attempts)
{
    protocol::outcome_query sent {++this->last_query, {}};
    for (auto const& each : attempts)
        sent.jobs.push_back({each.job, 1});
    this->queries[this->last_query] = std::move(attempts);
    this->send(sent);
}

void simulated_entry::query_old_attempts()
{
    for (auto& attempt : this->open) {
        if (this->world.now < attempt.query_at)
            continue;
        attempt.query_at = this->world.now + query_interval;
        this->query({{attempt.task.task.job, attempt.task.attempt}});
    }
}

void simulated_entry::on_report(protocol::agent_report const& report)
{
    if (report.agent.incarnation < this->agent_incarnation)
        return;
    bool const replaced
        = this->agent_incarnation != 0 && report.agent.incarnation != this->agent_incarnation;
    bool const returned = this->silent && !replaced;
    if (replaced) {
        this->give_up_all("the agent was restarted");
        this->agent_clock = base::clock_reading {0};
    }
    this->agent_incarnation = report.agent.incarnation;
    this->connected = true;
    this->silent = false;
    this->lost = false;
    if (report.agent_clock >= this->agent_clock) {
        this->agent_clock = report.agent_clock;
        this->last_report = this->local_time();
    }
    this->endpoints.clear();
    for (auto const& endpoint : report.endpoints)
        this->endpoints.push_back(endpoint.name);
    if (returned) {
        std::vector<queried_attempt> queried;
        for (auto const& attempt : this->open)
            queried.push_back({attempt.task.task.job, attempt.task.attempt});
        this->query(std::move(queried));
    }
    for (auto const& run : report.ephemeral_runs) {
        bool const known
            = std::any_of(this->open.begin(), this->open.end(), [&run](auto const& attempt) {
                  return attempt.task.task == run.task && attempt.task.attempt == run.attempt;
              });
        if (!known)
            this->cancel(run);
    }
    if (this->next_update == base::steady_time {})
        this->update();
}

void simulated_entry::on_outcome(protocol::task_outcome const& outcome)
{
    auto const found
        = std::find_if(this->open.begin(), this->open.end(), [&outcome](auto const& attempt) {
              return attempt.task.task == outcome.task && attempt.task.attempt == outcome.attempt;
          });
    if (found == this->open.end())
        return;
    auto task = found->task;
    this->open.erase(found);
    bool const retried = this->world.chance(retried_percent);
    if (outcome.kind == outcome_kind::succeeded || task.attempt >= max_attempts || !retried)
        return;
    ++task.attempt;
    (void)this->send_start(std::move(task));
}

void simulated_entry::on_lagging(protocol::lagging_run const& notice)
{
    auto const found
        = std::find_if(this->open.begin(), this->open.end(), [&notice](auto const& attempt) {
              return attempt.task.task == notice.run.task
                  && attempt.task.attempt == notice.run.attempt;
          });
    bool const moved = this->world.chance(moved_percent);
    if (found == this->open.end() || found->cancelled || !moved)
        return;
    found->cancelled = true;
    this->cancel(notice.run);
}

void simulated_entry::cancel(protocol::attempt_ref const& attempt)
{
    this->oracle.on_cancel(attempt);
    this->send(protocol::cancel_batch {{attempt}});
}

void simulated_entry::give_up_all(std::string const& reason)
{
    for (auto const& attempt : std::exchange(this->open, {}))
        this->oracle.on_given_up({attempt.task.task, attempt.task.attempt}, reason);
}

void simulated_entry::check_agent()
{
    auto const time = this->local_time();
    if (this->agent_incarnation == 0 || time < this->next_agent_check)
        return;
    this->next_agent_check = time + agent_check_interval;
    if (this->lost && time >= this->lost_since + unconfirmed_run_limit)
        return this->give_up_all("the agent was lost");
    if (this->lost || time - this->last_report < agent_silence)
        return;
    this->silent = true;
    this->lost = true;
    this->lost_since = time;
}

void simulated_entry::update()
{
    this->next_update = this->local_time() + update_interval;
    this->send_stamped(protocol::lease_update {this->stamp(), {}, {}, {this->self}, {}});
}

void simulated_entry::tick()
{
    this->check_agent();
    if (this->connected && !this->silent && this->agent_incarnation != 0
        && this->local_time() >= this->next_update)
        this->update();
    this->query_old_attempts();
    for (auto& attempt : this->open) {
        if (attempt.cancelled || this->world.now < attempt.cancel_at)
            continue;
        attempt.cancelled = true;
        this->cancel({attempt.task.task, attempt.task.attempt});
    }
}

} // namespace greengagehead::agent::fakes
