// The parts of the simulation and its troubles.

#include "agent/agent_simulation.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "agent/agent_core.h"
#include "agent/faulty_worker.h"
#include "agent/incarnation_verifier.h"
#include "agent/leased_runner.h"
#include "agent/run_oracle.h"
#include "agent/simulated_entry.h"
#include "agent/simulation_world.h"

namespace greengagehead::agent::fakes {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds agent_tick {10};
constexpr milliseconds announcement_interval {400};
/// Troubles begin between these times.
constexpr std::uint64_t first_trouble_ms = 1'500;
constexpr std::uint64_t last_trouble_ms = 15'000;
constexpr std::uint64_t most_troubles = 14;
constexpr std::uint64_t most_trouble_kinds = 6;
/// Tasks are started until this time after the last trouble.
constexpr std::chrono::seconds calm_end {7};
constexpr std::uint64_t shortest_run_ms = 50;
constexpr std::uint64_t longest_run_ms = 3600;

enum class trouble_kind : std::uint8_t {
    calls, ///< Starts, stops or reports get no answer, or a late one.
    agent_frozen,
    machine_frozen,
    agent_restart,
    worker_restart,
    worker_restart_after_calls,
    entry_frozen,
    entry_end,
    entry_end_without_stops,
    entry_end_after_late_messages,
    agent_frozen_without_starts,
    agent_and_worker_restart,
    link, ///< Of an entry; breaks in one direction.
    agent_paused, ///< Shorter than `agent_frozen`.
    agent_overlap, ///< A process of the agent runs on beside the next one.
    worker_silent, ///< No call gets an answer.
    tasks_stand_still,
    rows_left_out, ///< Running runs are missing from lists for some tens of milliseconds.
};
constexpr std::uint64_t trouble_kind_count = 18;

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
        if (this->latest && !this->is_known(announced)) {
            (void)this->core.leave(this->latest->id, this->world.now);
            this->latest.reset();
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
            this->latest->id, "http://127.0.0.1:9000", {"quote"}, slots, 0, 64, 1024, {}};
        endpoint.draining = !this->runner.available();
        (void)this->core.announce(endpoint, this->world.now);
    }

    simulation_world& world;
    leased_runner& runner;
    agent_core& core;
    incarnation_verifier verifier;
    std::optional<worker_incarnation> latest;
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
        this->runner.lag_detected.connect([this](auto const& run, milliseconds remaining) {
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
    /// As in platform/worker_adapter.cpp, a time in milliseconds.
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

/// The connection between the agent and an entry. Messages keep their order.
struct entry_link {
    bool agent_up = false;
    bool entry_up = false;
    std::uint64_t number = 0; ///< Of the connection; 0 for none.
    protocol::incarnation_number agent = 0; ///< Process at its end.
    /// Messages in this direction are held up until then.
    base::steady_time to_agent_held;
    base::steady_time to_entry_held;
    base::steady_time last_to_agent;
    base::steady_time last_to_entry;
};

struct entry_machine {
    std::string name;
    protocol::incarnation_number incarnation = 0;
    std::unique_ptr<simulated_entry> process; ///< Null while it has ended.
    base::steady_time frozen_until;
    std::deque<std::function<void()>> unread;
    entry_link link;
    base::steady_time next_start;
};

class simulation {
public:
    simulation(std::uint64_t seed, agent_processes allowed);
    simulation_result run();

private:
    void send_to_entry(protocol::incarnation_number from, std::string const& peer,
                       protocol::message const& body);
    void send_to_agent(entry_machine& entry, protocol::message const& body);
    /// Runs `action` in a process of the agent, once it is not frozen.
    void deliver_to_agent(protocol::incarnation_number number,
                          std::function<void(agent_process&)> const& action);
    /// Null if the process has ended.
    agent_process* find_agent(protocol::incarnation_number number);
    void deliver_to_entry(entry_machine& entry, std::function<void()> action);

    void step();
    void step_agent(agent_process& agent);
    void step_entry(entry_machine& entry);
    void announce_worker();
    void start_tasks(entry_machine& entry);

    void start_agent();
    void end_agent(protocol::incarnation_number number);
    void start_entry(entry_machine& entry);
    void connect(agent_process& agent, entry_machine& entry);
    void close_agent_side(entry_machine& entry);
    /// The callers of an entry that has fallen silent send their jobs again.
    void resubmit(std::vector<simulated_entry::open_attempt> const& attempts);

    void schedule_troubles();
    void begin_trouble();
    void break_calls();
    /// @param kinds one bit for each `call_kind`.
    void break_calls_of(std::uint64_t kinds, milliseconds duration);
    void freeze_agent(std::uint64_t shortest_ms, std::uint64_t longest_ms);
    void freeze_machine();
    void restart_agent();
    /// The next process of the agent starts, and the present one ends later.
    void overlap_agents();
    void silence_worker();
    void let_tasks_stand_still();
    void leave_out_rows();
    void restart_worker();
    void freeze_entry(entry_machine& entry);
    void end_entry(entry_machine& entry);
    void break_link(entry_machine& entry);
    void freeze_agent_until(agent_process& agent, base::steady_time time);

    [[nodiscard]] std::set<std::string> present_entries() const;

    agent_processes const processes;
    simulation_world world;
    run_oracle oracle;
    faulty_worker worker;
    std::uint64_t worker_ids = 1;
    base::steady_time announcements_late_until;
    base::steady_time next_announcement;
    std::vector<std::unique_ptr<agent_process>> agents; ///< The newest one is the last.
    protocol::incarnation_number agent_incarnation = 0;
    std::vector<std::unique_ptr<entry_machine>> entries;
    std::vector<trouble_kind> trouble_kinds;
    std::uint64_t last_task = 0;
    std::uint64_t last_connection = 0;
};

simulation::simulation(std::uint64_t seed, agent_processes allowed)
    : processes(allowed), world(seed), oracle(this->world), worker(this->world, this->oracle)
{
    this->start_agent();
    constexpr std::array<char const*, 3> names {"entry.a", "entry.b", "entry.c"};
    auto const count = this->world.draw(2, names.size());
    for (std::size_t index = 0; index < count; ++index) {
        this->entries.push_back(std::make_unique<entry_machine>());
        this->entries.back()->name = names.at(index);
        this->start_entry(*this->entries.back());
    }
    this->schedule_troubles();
}

void simulation::send_to_entry(protocol::incarnation_number from, std::string const& peer,
                               protocol::message const& body)
{
    if (auto const* const batch = std::get_if<protocol::outcome_batch>(&body)) {
        for (auto const& outcome : batch->outcomes)
            this->oracle.on_outcome(outcome);
    }
    if (auto const* const report = std::get_if<protocol::outcome_report>(&body)) {
        for (auto const& outcome : report->outcomes) {
            if (outcome.kind != protocol::outcome_kind::running)
                this->oracle.on_outcome(outcome);
        }
    }
    auto const found = std::find_if(this->entries.begin(), this->entries.end(),
                                    [&peer](auto const& entry) { return entry->name == peer; });
    if (found == this->entries.end() || !(*found)->link.agent_up || (*found)->link.agent != from)
        return;
    auto& entry = **found;
    auto const delay = this->world.draw_time(0, 3);
    auto& link = entry.link;
    link.last_to_entry
        = std::max({this->world.now + delay, link.last_to_entry, link.to_entry_held});
    this->world.at(link.last_to_entry, [this, &entry, number = link.number, body] {
        if (!entry.link.entry_up || entry.link.number != number)
            return;
        this->deliver_to_entry(entry, [&entry, body] { entry.process->receive(body); });
    });
}

void simulation::send_to_agent(entry_machine& entry, protocol::message const& body)
{
    auto& link = entry.link;
    if (!link.entry_up)
        return;
    auto const delay = this->world.draw_time(0, 3);
    link.last_to_agent
        = std::max({this->world.now + delay, link.last_to_agent, link.to_agent_held});
    this->world.at(link.last_to_agent, [this, &entry, number = link.number, body] {
        if (!entry.link.agent_up || entry.link.number != number)
            return;
        this->deliver_to_agent(entry.link.agent, [this, peer = entry.name, body](auto& agent) {
            agent.core.receive(peer, body, this->world.now);
        });
    });
}

agent_process* simulation::find_agent(protocol::incarnation_number number)
{
    auto const found
        = std::find_if(this->agents.begin(), this->agents.end(),
                       [number](auto const& agent) { return agent->number == number; });
    return found == this->agents.end() ? nullptr : found->get();
}

void simulation::deliver_to_agent(protocol::incarnation_number number,
                                  std::function<void(agent_process&)> const& action)
{
    auto* const agent = this->find_agent(number);
    if (agent == nullptr)
        return;
    if (this->world.now < agent->frozen_until || !agent->unread.empty())
        agent->unread.push_back([agent, action] { action(*agent); });
    else
        action(*agent);
}

void simulation::deliver_to_entry(entry_machine& entry, std::function<void()> action)
{
    if (!entry.process)
        return;
    if (this->world.now < entry.frozen_until || !entry.unread.empty())
        entry.unread.push_back(std::move(action));
    else
        action();
}

void simulation::step()
{
    this->worker.advance();
    this->world.run_due();
    this->worker.advance();
    this->announce_worker();
    for (auto& agent : this->agents)
        this->step_agent(*agent);
    for (auto& entry : this->entries)
        this->step_entry(*entry);
    this->oracle.check(this->worker.frozen());
    this->world.now += milliseconds(1);
}

void simulation::step_agent(agent_process& agent)
{
    if (this->world.now < agent.frozen_until)
        return;
    auto const tick = [this, &agent] {
        agent.announcements.tick();
        agent.runner.tick();
        agent.core.tick(this->world.now);
    };
    if (std::exchange(agent.was_frozen, false)) {
        // The order of a timer and of unread messages is not defined.
        if (this->world.chance(50))
            tick();
        while (!agent.unread.empty()) {
            auto const action = std::move(agent.unread.front());
            agent.unread.pop_front();
            action();
        }
    }
    if (this->world.now < agent.next_tick)
        return;
    agent.next_tick = this->world.now + agent_tick;
    tick();
    if (!agent.runner.settled())
        return;
    for (auto& entry : this->entries) {
        bool const replaces = entry->link.agent < agent.number;
        if (entry->process && (entry->link.number == 0 || replaces))
            this->connect(agent, *entry);
    }
}

void simulation::step_entry(entry_machine& entry)
{
    if (!entry.process || this->world.now < entry.frozen_until)
        return;
    while (!entry.unread.empty()) {
        auto const action = std::move(entry.unread.front());
        entry.unread.pop_front();
        action();
    }
    entry.process->tick();
    this->start_tasks(entry);
}

void simulation::start_tasks(entry_machine& entry)
{
    if (this->world.now < entry.next_start
        || this->world.now > this->oracle.last_trouble() + calm_end)
        return;
    entry.next_start = this->world.now + this->world.draw_time(50, 500);
    auto const work = this->world.draw_time(shortest_run_ms, longest_run_ms);
    (void)entry.process->start("t" + std::to_string(++this->last_task) + ".0.0.0", work);
}

void simulation::announce_worker()
{
    if (!this->worker.up() || this->worker.frozen() || this->world.now < this->next_announcement)
        return;
    this->next_announcement = this->world.now + announcement_interval;
    auto delay = this->world.draw_time(0, 3);
    if (this->world.now < this->announcements_late_until)
        delay += this->world.draw_time(0, 3000);
    auto const& state = this->worker.model();
    this->world.after(
        delay,
        [this, incarnation = worker_incarnation {state.id, state.born}, clock = state.clock] {
            if (this->agents.empty())
                return;
            auto const receiver = this->world.draw(0, this->agents.size() - 1);
            this->deliver_to_agent(this->agents.at(receiver)->number,
                                   [incarnation, clock](auto& agent) {
                                       agent.announcements.handle(incarnation, clock);
                                   });
        });
}

void simulation::start_agent()
{
    auto const number = ++this->agent_incarnation;
    this->world.note("agent starts as " + std::to_string(number));
    auto connection = this->worker.connect([this, number](std::function<void()> const& action) {
        this->deliver_to_agent(number, [action](auto& /*agent*/) { action(); });
    });
    this->agents.push_back(std::make_unique<agent_process>(
        this->world, number,
        [this, number](std::string const& entry, protocol::message const& body) {
            this->send_to_entry(number, entry, body);
        },
        std::move(connection)));
}

void simulation::end_agent(protocol::incarnation_number number)
{
    if (this->find_agent(number) == nullptr)
        return;
    this->world.note("agent " + std::to_string(number) + " ends");
    std::erase_if(this->agents, [number](auto const& agent) { return agent->number == number; });
    for (auto& entry : this->entries) {
        if (entry->link.agent != number)
            continue;
        entry->link.agent_up = false;
        auto const notice = this->world.draw_time(1, 500);
        this->world.after(notice, [this, &entry = *entry, number = entry->link.number] {
            if (entry.link.number != number)
                return;
            entry.link.entry_up = false;
            entry.link.number = 0;
            this->deliver_to_entry(entry, [&entry] { entry.process->link_down(); });
        });
    }
}

void simulation::start_entry(entry_machine& entry)
{
    ++entry.incarnation;
    this->world.note(entry.name + " starts");
    entry.process = std::make_unique<simulated_entry>(
        this->world, this->oracle, protocol::process_id {entry.name, entry.incarnation},
        [this, &entry](protocol::message const& body) { this->send_to_agent(entry, body); });
    entry.next_start = this->world.now;
}

void simulation::connect(agent_process& agent, entry_machine& entry)
{
    auto& link = entry.link;
    // To a former process.
    this->close_agent_side(entry);
    link = {true, true, ++this->last_connection, agent.number, {}, {}, {}, {}};
    this->deliver_to_entry(entry, [&entry] { entry.process->link_up(); });
    agent.core.peer_up(entry.name, this->world.now);
}

void simulation::close_agent_side(entry_machine& entry)
{
    if (!std::exchange(entry.link.agent_up, false))
        return;
    this->deliver_to_agent(entry.link.agent, [this, name = entry.name](auto& agent) {
        agent.core.peer_down(name, this->world.now);
    });
}

void simulation::resubmit(std::vector<simulated_entry::open_attempt> const& attempts)
{
    for (auto const& attempt : attempts) {
        bool const sent = this->world.chance(60);
        auto const other = this->world.draw(0, this->entries.size() - 1);
        auto& entry = *this->entries.at(other);
        if (sent && entry.process && this->world.now >= entry.frozen_until)
            (void)entry.process->start(
                attempt.task.name,
                attempt.task.expected.count() > 0
                    ? std::chrono::duration_cast<milliseconds>(attempt.task.expected)
                    : milliseconds(shortest_run_ms));
    }
}

void simulation::schedule_troubles()
{
    // Few kinds, so that the same ones overlap in different ways.
    auto const kinds = this->world.draw(1, most_trouble_kinds);
    for (std::uint64_t kind = 0; kind < kinds; ++kind)
        this->trouble_kinds.push_back(
            static_cast<trouble_kind>(this->world.draw(0, trouble_kind_count - 1)));
    if (this->processes == agent_processes::overlapping)
        this->trouble_kinds.push_back(trouble_kind::agent_overlap);
    auto const count = this->world.draw(0, most_troubles);
    for (std::uint64_t trouble = 0; trouble < count; ++trouble) {
        auto const begin = this->world.draw_time(first_trouble_ms, last_trouble_ms);
        this->world.after(begin, [this] { this->begin_trouble(); });
    }
}

void simulation::begin_trouble()
{
    auto const target = this->world.draw(0, this->entries.size() - 1);
    auto& entry = *this->entries.at(target);
    auto const kind = this->world.draw(0, this->trouble_kinds.size() - 1);
    switch (this->trouble_kinds.at(kind)) {
    case trouble_kind::calls:
        return this->break_calls();
    case trouble_kind::agent_frozen:
        return this->freeze_agent(100, 3000);
    case trouble_kind::agent_paused:
        return this->freeze_agent(20, 700);
    case trouble_kind::agent_overlap:
        if (this->processes == agent_processes::overlapping)
            this->overlap_agents();
        return;
    case trouble_kind::worker_silent:
        return this->silence_worker();
    case trouble_kind::tasks_stand_still:
        return this->let_tasks_stand_still();
    case trouble_kind::rows_left_out:
        return this->leave_out_rows();
    case trouble_kind::machine_frozen:
        return this->freeze_machine();
    case trouble_kind::agent_restart:
        return this->restart_agent();
    case trouble_kind::worker_restart:
        return this->restart_worker();
    case trouble_kind::worker_restart_after_calls: {
        // The next life may carry out what was sent to the former one.
        auto const duration = this->world.draw_time(500, 4000);
        auto const restart = this->world.draw_time(20, 3000);
        auto const other_kinds = this->world.draw(0, 3);
        this->break_calls_of(1 + 2 * other_kinds, duration);
        return this->world.after(restart, [this] { this->restart_worker(); });
    }
    case trouble_kind::entry_frozen:
        return this->freeze_entry(entry);
    case trouble_kind::entry_end:
        return this->end_entry(entry);
    case trouble_kind::entry_end_without_stops: {
        auto const duration = this->world.draw_time(300, 3000);
        this->break_calls_of(2, duration);
        return this->end_entry(entry);
    }
    case trouble_kind::entry_end_after_late_messages: {
        auto const late = this->world.draw_time(400, 900);
        auto const end = this->world.draw_time(1, 300);
        auto const duration = this->world.draw_time(1000, 3000);
        this->break_calls_of(2, duration);
        this->oracle.on_entry_trouble(entry.name, this->world.now + late);
        entry.link.to_agent_held = std::max(entry.link.to_agent_held, this->world.now + late);
        return this->world.after(end, [this, &entry] { this->end_entry(entry); });
    }
    case trouble_kind::agent_frozen_without_starts: {
        auto const duration = this->world.draw_time(100, 1000);
        auto const freeze = this->world.draw_time(10, 500);
        this->break_calls_of(1, duration);
        return this->world.after(freeze, [this] { this->freeze_agent(100, 3000); });
    }
    case trouble_kind::agent_and_worker_restart: {
        auto const restart = this->world.draw_time(1, 2500);
        this->restart_agent();
        return this->world.after(restart, [this] { this->restart_worker(); });
    }
    case trouble_kind::link:
        return this->break_link(entry);
    }
}

void simulation::break_calls()
{
    auto const duration = this->world.draw_time(200, 3000);
    auto const kinds = this->world.draw(1, 7);
    this->break_calls_of(kinds, duration);
}

void simulation::break_calls_of(std::uint64_t kinds, milliseconds duration)
{
    auto const until = this->world.now + duration;
    constexpr std::array<call_kind, 3> all {call_kind::start, call_kind::stop, call_kind::report};
    for (std::size_t index = 0; index < all.size(); ++index) {
        auto const percent = static_cast<std::uint32_t>(this->world.draw(5, 150));
        auto const mode = static_cast<fault_mode>(this->world.draw(0, fault_mode_count - 1));
        if ((kinds >> index & 1U) != 0)
            this->worker.set_faults(all.at(index), {until, percent, mode});
    }
    this->world.note("trouble: calls of kinds " + std::to_string(kinds) + " for "
                     + std::to_string(duration.count()) + " ms");
    this->oracle.on_trouble(until);
}

void simulation::freeze_agent_until(agent_process& agent, base::steady_time time)
{
    agent.frozen_until = std::max(agent.frozen_until, time);
    agent.was_frozen = true;
    this->oracle.on_trouble(agent.frozen_until);
}

void simulation::freeze_agent(std::uint64_t shortest_ms, std::uint64_t longest_ms)
{
    if (this->agents.empty())
        return;
    auto const duration = this->world.draw_time(shortest_ms, longest_ms);
    auto const frozen = this->world.draw(0, this->agents.size() - 1);
    auto& agent = *this->agents.at(frozen);
    this->world.note("trouble: agent " + std::to_string(agent.number) + " is frozen for "
                     + std::to_string(duration.count()) + " ms");
    this->freeze_agent_until(agent, this->world.now + duration);
}

void simulation::overlap_agents()
{
    if (this->agents.size() != 1)
        return;
    auto const duration = this->world.draw_time(0, 2000);
    this->world.note("trouble: two processes of the agent overlap for "
                     + std::to_string(duration.count()) + " ms");
    this->oracle.on_trouble(this->world.now + duration);
    auto const former = this->agents.back()->number;
    this->start_agent();
    this->world.after(duration, [this, former] { this->end_agent(former); });
}

void simulation::silence_worker()
{
    auto const duration = this->world.draw_time(100, 2500);
    auto const until = this->world.now + duration;
    auto const mode = static_cast<fault_mode>(this->world.draw(1, fault_mode_count - 1));
    this->world.note("trouble: the worker is silent for " + std::to_string(duration.count())
                     + " ms");
    constexpr std::uint32_t all = 100;
    for (auto const kind : {call_kind::start, call_kind::stop, call_kind::report})
        this->worker.set_faults(kind, {until, all, mode});
    this->oracle.on_trouble(until);
}

void simulation::let_tasks_stand_still()
{
    auto const duration = this->world.draw_time(100, 2500);
    auto const share = this->world.draw(1, 3);
    this->world.note("trouble: one task in " + std::to_string(share) + " stands still for "
                     + std::to_string(duration.count()) + " ms");
    // Ends no run, unless an entry cancels it.
    this->worker.stand_still_until(this->world.now + duration, share);
}

void simulation::leave_out_rows()
{
    auto const duration = this->world.draw_time(100, 3000);
    this->world.note("trouble: lists leave out rows for " + std::to_string(duration.count())
                     + " ms");
    // Ends no run, because rows return in time.
    this->worker.leave_out_rows_until(this->world.now + duration);
}

void simulation::freeze_machine()
{
    auto const duration = this->world.draw_time(100, 3000);
    this->world.note("trouble: the machine is frozen for " + std::to_string(duration.count())
                     + " ms");
    for (auto& agent : this->agents)
        this->freeze_agent_until(*agent, this->world.now + duration);
    this->oracle.on_trouble(this->world.now + duration);
    this->worker.freeze_until(this->world.now + duration);
}

void simulation::restart_agent()
{
    if (this->agents.empty())
        return;
    auto const duration = this->world.draw_time(20, 2000);
    this->world.note("trouble: the agent ends for " + std::to_string(duration.count()) + " ms");
    this->oracle.on_trouble(this->world.now + duration);
    while (!this->agents.empty())
        this->end_agent(this->agents.back()->number);
    this->world.after(duration, [this] { this->start_agent(); });
}

void simulation::restart_worker()
{
    if (!this->worker.up() || this->worker.frozen())
        return;
    bool const soon = this->world.chance(50);
    auto const duration = this->world.draw_time(5, soon ? 60 : 2500);
    auto const announced = this->world.draw_time(5, 2000);
    bool const same_id = this->world.chance(75);
    this->oracle.on_trouble(this->world.now + duration + announced + milliseconds(3000));
    this->worker.crash();
    this->world.after(duration, [this, same_id, announced] {
        this->worker_ids += same_id ? 0 : 1;
        this->worker.begin_life("i-" + std::to_string(this->worker_ids));
        this->next_announcement = this->world.now + announced;
        this->announcements_late_until
            = this->world.now + announced + this->world.draw_time(0, 1500);
    });
}

void simulation::freeze_entry(entry_machine& entry)
{
    if (!entry.process)
        return;
    auto const duration = this->world.draw_time(100, 5000);
    this->world.note("trouble: " + entry.name + " is frozen for " + std::to_string(duration.count())
                     + " ms");
    entry.frozen_until = std::max(entry.frozen_until, this->world.now + duration);
    this->oracle.on_entry_trouble(entry.name, entry.frozen_until);
    if (duration > run_oracle::resubmission_delay)
        this->world.after(
            run_oracle::resubmission_delay,
            [this, attempts = entry.process->open_attempts()] { this->resubmit(attempts); });
}

void simulation::end_entry(entry_machine& entry)
{
    if (!entry.process)
        return;
    auto const duration = this->world.draw_time(50, 5000);
    this->world.note("trouble: " + entry.name + " ends for " + std::to_string(duration.count())
                     + " ms");
    this->oracle.on_entry_trouble(entry.name, this->world.now + duration + milliseconds(500));
    this->world.after(
        run_oracle::resubmission_delay,
        [this, attempts = entry.process->open_attempts()] { this->resubmit(attempts); });
    entry.process.reset();
    entry.unread.clear();
    entry.frozen_until = {};
    entry.link.entry_up = false;
    // The machine may have ended too, and the agent then learns it from a time-out.
    auto const notice
        = this->world.chance(50) ? this->world.draw_time(0, 5) : this->world.draw_time(200, 3000);
    this->world.after(notice, [this, &entry, number = entry.link.number] {
        if (entry.link.number == number)
            this->close_agent_side(entry);
    });
    this->world.after(duration, [this, &entry] {
        if (entry.process)
            return;
        this->close_agent_side(entry);
        this->start_entry(entry);
        entry.link.number = 0;
    });
}

void simulation::break_link(entry_machine& entry)
{
    if (!entry.process || entry.link.number == 0)
        return;
    auto const duration = this->world.draw_time(50, 3000);
    bool const to_agent = this->world.chance(50);
    bool const closes = this->world.chance(60);
    this->world.note("trouble: the link of " + entry.name + " breaks " + (to_agent ? "to" : "from")
                     + " the agent for " + std::to_string(duration.count()) + " ms"
                     + (closes ? ", and closes" : ""));
    this->oracle.on_entry_trouble(entry.name, this->world.now + duration + milliseconds(500));
    auto& held = to_agent ? entry.link.to_agent_held : entry.link.to_entry_held;
    held = std::max(held, this->world.now + duration);
    if (!closes)
        return;
    auto const number = entry.link.number;
    auto const agent_notice
        = this->world.draw_time(1, static_cast<std::uint64_t>(duration.count()));
    auto const entry_notice
        = this->world.draw_time(1, static_cast<std::uint64_t>(duration.count()));
    this->world.after(agent_notice, [this, &entry, number] {
        if (entry.link.number == number)
            this->close_agent_side(entry);
    });
    this->world.after(entry_notice, [this, &entry, number] {
        if (entry.link.number != number || !std::exchange(entry.link.entry_up, false))
            return;
        this->deliver_to_entry(entry, [&entry] { entry.process->link_down(); });
    });
    this->world.after(duration, [&entry, number] {
        if (entry.link.number == number)
            entry.link.number = 0;
    });
}

std::set<std::string> simulation::present_entries() const
{
    std::set<std::string> present;
    for (auto const& entry : this->entries) {
        if (entry->process)
            present.insert(entry->name + "/" + std::to_string(entry->incarnation));
    }
    return present;
}

simulation_result simulation::run()
{
    auto const troubles_end = this->world.began + milliseconds(last_trouble_ms) + milliseconds(1);
    while (this->world.now < troubles_end
           || this->world.now < this->oracle.last_trouble() + calm_end)
        this->step();
    while (this->world.now < this->oracle.last_trouble() + run_oracle::longest_wait
           && this->oracle.awaits_outcome(this->present_entries()))
        this->step();
    this->oracle.check_outcomes(this->present_entries());
    return {this->oracle.violations,
            this->world.trace,
            this->oracle.runs,
            this->oracle.runs_done,
            this->oracle.late_starts_exempted,
            this->oracle.frozen_runs_exempted};
}

} // namespace

simulation_result simulate_agent(std::uint64_t seed, agent_processes processes)
{
    return simulation(seed, processes).run();
}

} // namespace greengagehead::agent::fakes
